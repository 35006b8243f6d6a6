package caller

import (
	"bytes"
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Defaults of Config.
const (
	// defaultAttempts covers one broken send, one ticket voided by another entry
	// and a few refusals.
	defaultAttempts ident.Try = 6
	// defaultWait is above the longest deadline for a first token that the
	// deployments use, 120 s, so that the entry's own answer comes first.
	defaultWait                = 130 * clock.Second
	defaultStall               = 30 * clock.Second
	defaultBackoff             = 100 * clock.Millisecond
	defaultAnswer  ident.Bytes = 16 << 20
)

// Config is the configuration of a Client.
type Config struct {
	// Entries are the addresses (host:port) of the entries to ask first. At least one is needed.
	Entries []string
	Service ident.Service
	// Home is where the data of the requests belongs; empty for the service's regions.
	Home   ident.Home
	Caller ident.Caller
	// Header is added to every request.
	Header http.Header
	// HTTP sends the requests; nil for a client of its own. Redirects are never followed.
	HTTP *http.Client
	// Clock measures the validity of locate answers; nil for the system's clock.
	Clock clock.Clock
	// Attempts bounds the sends of one request; 0 for 6.
	Attempts ident.Try
	// Wait is the longest time until an answer begins before a send counts as broken; 0 for 130 s.
	Wait clock.Span
	// Stall is the longest time between two events of a stream, or for the body of an answer; 0 for 30 s.
	Stall clock.Span
	// Backoff is the pause after the first failed send; it doubles with each one. 0 for 100 ms.
	Backoff clock.Span
	// Answer is the largest answer of a call; 0 for 16 MiB.
	Answer ident.Bytes
	// Seed varies the pauses between sends and the request ids; 0 for a random one.
	Seed uint64
	// Sleep waits between sends; nil for a timer.
	Sleep func(context.Context, clock.Span) error
	// Ticketed is told every ticket before it is used, so that it can be kept for
	// Resume. An error ends the call before the ticket is used.
	Ticketed func(ticket string) error
}

// Client sends the requests of one caller for one service. It is safe for
// concurrent use.
type Client struct {
	config Config
	http   *http.Client
	book   *book
	serial atomic.Uint64

	lock   sync.Mutex
	random *rand.Rand
}

// New returns a Client.
func New(c Config) (*Client, error) {
	if len(c.Entries) == 0 {
		return nil, fault.Newf("new", Invalid, "no entries")
	}
	if c.Service == "" {
		return nil, fault.Newf("new", Invalid, "no service")
	}
	c = c.defaults()
	return &Client{
		config: c,
		http:   direct(c.HTTP),
		book:   newBook(c.Entries),
		random: rand.New(rand.NewPCG(c.Seed, 0)),
	}, nil
}

func (c Config) defaults() Config {
	if c.Clock == nil {
		c.Clock = clock.NewSystem()
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64()
	}
	if c.Sleep == nil {
		c.Sleep = sleep
	}
	if c.Ticketed == nil {
		c.Ticketed = func(string) error { return nil }
	}
	c.Attempts = or(c.Attempts, defaultAttempts)
	c.Wait = or(c.Wait, defaultWait)
	c.Stall = or(c.Stall, defaultStall)
	c.Backoff = or(c.Backoff, defaultBackoff)
	c.Answer = or(c.Answer, defaultAnswer)
	return c
}

func or[T ~int | ~int64](v, otherwise T) T {
	if v <= 0 {
		return otherwise
	}
	return v
}

// direct returns a copy of h that doesn't follow redirects: a redirect is an
// answer of the service, and following it would leave the gateway.
func direct(h *http.Client) *http.Client {
	if h == nil {
		// Transparent decompression would hide the length of the answer.
		h = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	}
	own := *h
	own.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &own
}

func sleep(ctx context.Context, s clock.Span) error {
	t := time.NewTimer(s.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// requestID returns the id of a new request; each send adds its number, so that
// a late answer to one send is never taken for the answer to another.
func (c *Client) requestID() string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return strconv.FormatUint(c.random.Uint64(), 36) + "-" + strconv.FormatUint(c.serial.Add(1), 36)
}

// pause waits after failed send number try: for as long as the entry asked for,
// otherwise for a random time around the back-off.
func (c *Client) pause(ctx context.Context, try ident.Try, after clock.Span) error {
	const most = 6 // doublings
	wait := c.config.Backoff << min(int(try)-1, most)
	c.lock.Lock()
	wait = wait/2 + clock.Span(c.random.Int64N(int64(wait)+1))
	c.lock.Unlock()
	return c.config.Sleep(ctx, max(wait, after))
}

// send is one HTTP request to one entry.
type send struct {
	address, method, path string
	body                  []byte
	request               ident.Request
	try                   ident.Try
	ticket                string
	accept                string
	// anonymous accepts an answer without a request id; one with another id is
	// rejected all the same.
	anonymous bool
}

// reply is what came back.
type reply struct {
	*http.Response
	// written says that the entry may have received some of the request. It is
	// meaningful with an error as well.
	written bool
}

// do sends s. The answer belongs to s: its request id was checked.
func (c *Client) do(ctx context.Context, s send) (reply, error) {
	var written atomic.Bool
	// Before a connection is obtained nothing can have been written.
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { written.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	r, err := http.NewRequestWithContext(ctx, s.method, "http://"+s.address+s.path, bytes.NewReader(s.body))
	if err != nil {
		return reply{}, fault.Wrap("send", Invalid, err)
	}
	once(r)
	c.headers(r.Header, s)
	answer, err := c.http.Do(r)
	if err != nil {
		return reply{written: written.Load()}, fault.Wrap("send", unanswered(written.Load()), err)
	}
	if got := answer.Header.Get(HeaderRequest); got != string(s.request) && (got != "" || !s.anonymous) {
		_ = answer.Body.Close()
		return reply{written: true}, fault.Newf("send", Crossed, "answer to request %q, not %q", got, s.request)
	}
	return reply{Response: answer, written: true}, nil
}

// once keeps http.Transport from repeating r by itself when a reused connection
// breaks: the repeat would carry the id and the number of the first send. The
// transport repeats only what it takes for idempotent and can rewind.
func once(r *http.Request) {
	r.GetBody = nil
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		// An empty body of a type of its own counts as one that can't be rewound.
		r.Body = io.NopCloser(io.MultiReader(r.Body))
	}
}

func unanswered(written bool) Kind {
	if written {
		return Broken
	}
	return Unreachable
}

func (c *Client) headers(h http.Header, s send) {
	maps.Copy(h, c.config.Header)
	h.Set(HeaderRequest, string(s.request))
	h.Set(HeaderAttempt, strconv.Itoa(int(s.try)))
	h.Set(HeaderService, string(c.config.Service))
	set(h, HeaderHome, string(c.config.Home))
	set(h, HeaderCaller, string(c.config.Caller))
	set(h, HeaderTicket, s.ticket)
	set(h, "Accept", s.accept)
	if len(s.body) > 0 && h.Get("Content-Type") == "" {
		h.Set("Content-Type", "application/json")
	}
}

func set(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

// whole reads the body of an answer and fails unless it is complete.
func (c *Client) whole(r reply, method string) ([]byte, error) {
	unbounded := r.ContentLength < 0 && len(r.TransferEncoding) == 0 && r.ProtoMajor == 1 && !r.Uncompressed
	if unbounded && method != http.MethodHead {
		return nil, fault.Newf("read", Broken, "answer without a length: its end can't be told")
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, int64(c.config.Answer)+1))
	if err != nil {
		return nil, fault.Wrap("read", Broken, err)
	}
	if ident.Bytes(len(body)) > c.config.Answer {
		return nil, fault.Newf("read", Large, "answer of more than %d bytes", c.config.Answer)
	}
	return body, nil
}

// retryAfter returns the pause that an entry asked for.
func retryAfter(h http.Header) clock.Span {
	n, err := strconv.Atoi(strings.TrimSpace(h.Get("Retry-After")))
	if err != nil || n < 0 {
		return 0
	}
	return clock.Span(n) * clock.Second
}

// guard returns a context that ends after Wait, or once alive was called, when
// that hasn't been called again for Stall.
func (c *Client) guard(ctx context.Context) (guarded context.Context, alive, stop func()) {
	guarded, cancel := context.WithCancel(ctx)
	t := time.AfterFunc(c.config.Wait.Duration(), cancel)
	alive = func() { t.Reset(c.config.Stall.Duration()) }
	stop = func() {
		t.Stop()
		cancel()
	}
	return guarded, alive, stop
}
