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
	"github.com/tanagerbridge/tanagerbridge/proto"
)

// Defaults of Config.
const (
	// defaultAttempts allows for one broken attempt, one ticket voided by another
	// entry and a few refusals.
	defaultAttempts ident.Attempt = 6
	// defaultResponseTimeout exceeds the longest first-token deadline of the deployments,
	// 120 s, so that the entry's own response arrives first.
	defaultResponseTimeout             = 130 * clock.Second
	defaultStallTimeout                = 30 * clock.Second
	defaultBackoff                     = 100 * clock.Millisecond
	defaultMaxResponse     ident.Bytes = 16 << 20
)

// Config configures a Client.
type Config struct {
	// Entries are the addresses (host:port) of the bootstrap entries. At least one is required.
	Entries []string
	Service ident.Service
	// Home is the home that the requests' data belongs to; empty allows all regions of the service.
	Home   ident.Home
	Caller ident.Caller
	// Header is added to every request.
	Header http.Header
	// HTTP sends the requests; nil creates a client. Redirects are never followed.
	HTTP *http.Client
	// Clock measures the validity of locate responses; nil uses the system clock.
	Clock clock.Clock
	// MaxAttempts is the maximum number of attempts per request; 0 means 6.
	MaxAttempts ident.Attempt
	// ResponseTimeout is the maximum time until the start of a response, after which the attempt
	// counts as broken; 0 means 130 s.
	ResponseTimeout clock.Span
	// StallTimeout is the maximum time between two events of a stream, or for the body of a response;
	// 0 means 30 s.
	StallTimeout clock.Span
	// Backoff is the delay after the first failed attempt; it doubles with each further one. 0 means 100 ms.
	Backoff clock.Span
	// MaxResponse is the maximum size of a response to a call; 0 means 16 MiB.
	MaxResponse ident.Bytes
	// Seed seeds the retry jitter and the request ids; 0 picks a random seed.
	Seed uint64
	// Sleep waits between attempts; nil uses a timer.
	Sleep func(context.Context, clock.Span) error
	// OnTicket is called with every ticket before it is used, so that it can be
	// stored for Resume. An error ends the call before the ticket is used.
	OnTicket func(ticket string) error
}

// Client sends the requests of one caller to one service. It is safe for
// concurrent use.
type Client struct {
	config    Config
	http      *http.Client
	directory *directory
	serial    atomic.Uint64

	lock   sync.Mutex
	random *rand.Rand
}

// New returns a Client. The error has kind KindInvalid if the entries or the service are missing.
func New(config Config) (*Client, error) {
	if len(config.Entries) == 0 {
		return nil, fault.Newf("new", KindInvalid, "no entries configured")
	}
	if config.Service == "" {
		return nil, fault.Newf("new", KindInvalid, "no service configured")
	}
	config = config.defaults()
	return &Client{
		config:    config,
		http:      withoutRedirects(config.HTTP),
		directory: newDirectory(config.Entries),
		random:    rand.New(rand.NewPCG(config.Seed, 0)),
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
	if c.OnTicket == nil {
		c.OnTicket = func(string) error { return nil }
	}
	c.MaxAttempts = positiveOr(c.MaxAttempts, defaultAttempts)
	c.ResponseTimeout = positiveOr(c.ResponseTimeout, defaultResponseTimeout)
	c.StallTimeout = positiveOr(c.StallTimeout, defaultStallTimeout)
	c.Backoff = positiveOr(c.Backoff, defaultBackoff)
	c.MaxResponse = positiveOr(c.MaxResponse, defaultMaxResponse)
	return c
}

func positiveOr[T ~int | ~int64](v, fallback T) T {
	if v <= 0 {
		return fallback
	}
	return v
}

// withoutRedirects returns a copy of base that does not follow redirects: a redirect
// is a response of the service, and following it would bypass the gateway.
func withoutRedirects(base *http.Client) *http.Client {
	if base == nil {
		// Transparent decompression would hide the length of the response.
		base = &http.Client{Transport: &http.Transport{DisableCompression: true}}
	}
	client := *base
	client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &client
}

func sleep(ctx context.Context, span clock.Span) error {
	timer := time.NewTimer(span.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// requestID returns the id of a new request. Each attempt appends its number, so
// that a late response to one attempt is never taken for that to another.
func (c *Client) requestID() string {
	c.lock.Lock()
	defer c.lock.Unlock()
	return strconv.FormatUint(c.random.Uint64(), 36) + "-" + strconv.FormatUint(c.serial.Add(1), 36)
}

// pause waits after the failed attempt with the given number: for the exponential back-off
// with jitter, but at least for the delay requested by the entry.
func (c *Client) pause(ctx context.Context, attempt ident.Attempt, after clock.Span) error {
	const maxDoublings = 6
	wait := clock.Doubled(c.config.Backoff, c.config.Backoff<<maxDoublings, int(attempt)-1)
	c.lock.Lock()
	wait = wait/2 + clock.Span(c.random.Int64N(int64(wait)+1))
	c.lock.Unlock()
	return c.config.Sleep(ctx, max(wait, after))
}

// attempt is one HTTP request to one entry.
type attempt struct {
	address, method, path string
	body                  []byte
	request               ident.Request
	attempt               ident.Attempt
	ticket                string
	accept                string
	// allowMissingID accepts a response without a request id. A response with a
	// different id is rejected in any case.
	allowMissingID bool
}

// reply is the result of an attempt.
type reply struct {
	*http.Response
	// written is set if the entry may have received part of the request. It is
	// valid even if the attempt failed.
	written bool
}

// do sends an attempt and checks that the response carries its request id.
func (c *Client) do(ctx context.Context, current attempt) (reply, error) {
	var written atomic.Bool
	// Nothing can have been written before a connection was obtained.
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { written.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, current.method, "http://"+current.address+current.path, bytes.NewReader(current.body))
	if err != nil {
		return reply{}, fault.Wrap("send", KindInvalid, err)
	}
	disableTransportRetry(request)
	c.setHeaders(request.Header, current)
	response, err := c.http.Do(request)
	if err != nil {
		return reply{written: written.Load()}, fault.Wrap("send", failureKind(written.Load()), err)
	}
	if got := response.Header.Get(HeaderRequest); got != string(current.request) && (got != "" || !current.allowMissingID) {
		_ = response.Body.Close()
		return reply{written: true}, fault.Newf("send", KindWrongRequest, "response carries request id %q, want %q", got, current.request)
	}
	return reply{Response: response, written: true}, nil
}

// disableTransportRetry prevents http.Transport from retrying a request when a reused
// connection breaks: the retry would carry the id and the number of the first
// attempt. The transport retries only idempotent requests with a rewindable body.
func disableTransportRetry(request *http.Request) {
	request.GetBody = nil
	switch request.Method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		// The transport can't rewind a body of an unknown type, even an empty one.
		request.Body = io.NopCloser(io.MultiReader(request.Body))
	}
}

func failureKind(written bool) Kind {
	if written {
		return KindBroken
	}
	return KindUnreachable
}

func (c *Client) setHeaders(header http.Header, current attempt) {
	maps.Copy(header, c.config.Header)
	header.Set(HeaderRequest, string(current.request))
	header.Set(HeaderAttempt, strconv.Itoa(int(current.attempt)))
	header.Set(HeaderService, string(c.config.Service))
	setNonEmpty(header, HeaderHome, string(c.config.Home))
	setNonEmpty(header, HeaderCaller, string(c.config.Caller))
	setNonEmpty(header, HeaderTicket, current.ticket)
	setNonEmpty(header, "Accept", current.accept)
	if len(current.body) > 0 && header.Get("Content-Type") == "" {
		header.Set("Content-Type", "application/json")
	}
}

func setNonEmpty(header http.Header, name, value string) {
	if value != "" {
		header.Set(name, value)
	}
}

// readBody reads the body of a response and fails with kind KindBroken unless it is
// complete, or with kind KindTooLarge if it exceeds Config.MaxResponse.
func (c *Client) readBody(response reply, method string) ([]byte, error) {
	if response.StatusCode < http.StatusOK || response.StatusCode > proto.MaxStatus {
		return nil, fault.Newf("read", KindBroken, "status %q is none of a response", response.Status)
	}
	unbounded := response.ContentLength < 0 && len(response.TransferEncoding) == 0 && response.ProtoMajor == 1 && !response.Uncompressed
	if unbounded && method != http.MethodHead {
		return nil, fault.Newf("read", KindBroken, "response has neither a length nor chunked encoding, truncation can't be detected")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, int64(c.config.MaxResponse)+1))
	if err != nil {
		return nil, fault.Wrap("read", KindBroken, err)
	}
	if ident.Bytes(len(body)) > c.config.MaxResponse {
		return nil, fault.Newf("read", KindTooLarge, "response exceeds %d bytes", c.config.MaxResponse)
	}
	return body, nil
}

// retryAfter returns the delay requested by the Retry-After header, or 0.
func retryAfter(header http.Header) clock.Span {
	seconds, err := strconv.Atoi(strings.TrimSpace(header.Get("Retry-After")))
	if err != nil || seconds < 0 {
		return 0
	}
	return clock.Span(seconds) * clock.Second
}

// withTimeouts returns a context that is cancelled after ResponseTimeout, or, once
// extend was called, when StallTimeout has passed since its last call.
func (c *Client) withTimeouts(ctx context.Context) (bounded context.Context, extend, stop func()) {
	bounded, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(c.config.ResponseTimeout.Duration(), cancel)
	extend = func() { timer.Reset(c.config.StallTimeout.Duration()) }
	stop = func() {
		timer.Stop()
		cancel()
	}
	return bounded, extend, stop
}
