package watch

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of error.
const (
	// KindConfig says that the URL of the platform can't be used.
	KindConfig Kind = "config"
	// KindUnreachable says that the call got no complete response in time.
	KindUnreachable Kind = "unreachable"
	// KindStatus says that the platform answered with an error status.
	KindStatus Kind = "status"
	// KindSize says that the response was larger than the limit.
	KindSize Kind = "size"
	// KindMalformed says that the response breaks the protocol.
	KindMalformed Kind = "malformed"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	// readTimeout bounds a call; the platform usually answers within milliseconds.
	readTimeout = 5 * clock.Second
	// firstRetry and lastRetry bound the wait after a failed call. At the cap, 390
	// entries make about 50 calls a second to a service that serves 2,000.
	firstRetry = 250 * clock.Millisecond
	lastRetry  = 10 * clock.Second
	// maxAfter bounds the Retry-After that is honoured.
	maxAfter = clock.Minute
)

// reply is a complete response.
type reply struct {
	status int
	header http.Header
	body   []byte
}

// fetch reads a response of at most limit bytes. Statuses other than 200 and 304
// are errors.
func fetch(ctx context.Context, client *http.Client, req *http.Request, timeout clock.Span, limit ident.Bytes) (reply, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return reply{}, fault.Wrap("fetch", KindUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	got := reply{status: resp.StatusCode, header: resp.Header}
	if got.status != http.StatusOK && got.status != http.StatusNotModified {
		return got, fault.Newf("fetch", KindStatus, "%s", resp.Status)
	}
	got.body, err = io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		return got, fault.Wrap("fetch", KindUnreachable, err)
	}
	if ident.Bytes(len(got.body)) > limit {
		return got, fault.Newf("fetch", KindSize, "more than %d bytes", limit)
	}
	return got, nil
}

// retryAfter returns the wait that the platform asks for, or 0.
func (r reply) retryAfter() clock.Span {
	seconds, err := strconv.Atoi(r.header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(clock.Span(min(seconds, 3600))*clock.Second, maxAfter)
}

// newClient returns client, or else a client of its own that uses no proxy and
// follows no redirects.
func newClient(client *http.Client) *http.Client {
	if client != nil {
		return client
	}
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: 16 << 10},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// newRequest prepares the request for the given path below base.
func newRequest(ctx context.Context, base string, path ...string) (*http.Request, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, fault.Wrap("request", KindConfig, err)
	}
	if u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return nil, fault.Newf("request", KindConfig, "%q is not an HTTP URL", base)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.JoinPath(path...).String(), http.NoBody)
	if err != nil {
		return nil, fault.Wrap("request", KindConfig, err)
	}
	return req, nil
}

// backoff spreads the calls of many entries.
type backoff struct {
	random   *rand.Rand
	failures int
}

func newBackoff(seed uint64) *backoff {
	return &backoff{random: rand.New(rand.NewPCG(seed, 0x7461_6e61))} //nolint:gosec // jitter is no secret
}

// jitter returns a random span between 3/4 and 5/4 of s.
func (p *backoff) jitter(s clock.Span) clock.Span {
	return s*3/4 + clock.Span(p.random.Int64N(int64(s/2)+1))
}

// failed returns the wait after another failed call: it doubles with each
// failure in a row, and is at least what the platform asked for.
func (p *backoff) failed(least clock.Span) clock.Span {
	wait := min(firstRetry<<min(p.failures, 16), lastRetry)
	p.failures++
	// The upper half is random, so that entries that failed together come back apart.
	return max(least, 0) + wait/2 + clock.Span(p.random.Int64N(int64(wait/2)+1))
}

func (p *backoff) succeeded() { p.failures = 0 }
