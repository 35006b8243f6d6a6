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

// Kinds of errors.
const (
	// KindConfig means that the platform's URL is invalid.
	KindConfig Kind = "config"
	// KindUnreachable means that the call got no complete response in time.
	KindUnreachable Kind = "unreachable"
	// KindStatus means that the platform answered with an error status.
	KindStatus Kind = "status"
	// KindTooLarge means that the response exceeds the size limit.
	KindTooLarge Kind = "size"
	// KindMalformed means that the response violates the protocol.
	KindMalformed Kind = "malformed"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

const (
	// readTimeout bounds a call, besides the wait of a long poll. The platform usually
	// answers within milliseconds.
	readTimeout = 5 * clock.Second
	// initialRetryDelay and maxRetryDelay are the first and the longest backoff after failed
	// calls. At the cap, 390 entries make about 50 calls a second to a service that serves
	// 2,000.
	initialRetryDelay = 250 * clock.Millisecond
	maxRetryDelay     = 10 * clock.Second
	// maxRetryAfter caps the Retry-After header.
	maxRetryAfter = clock.Minute
)

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
}

// fetch makes a call and reads a response of at most limit bytes. Statuses other than
// 200 and 304 are errors of KindStatus, returned with the response's headers.
func fetch(ctx context.Context, client *http.Client, req *http.Request, timeout clock.Span, limit ident.Bytes) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout.Duration())
	defer cancel()
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		return response{}, fault.Wrap("fetch", KindUnreachable, err)
	}
	defer func() { _ = resp.Body.Close() }()
	got := response{status: resp.StatusCode, header: resp.Header}
	if got.status != http.StatusOK && got.status != http.StatusNotModified {
		return got, fault.Newf("fetch", KindStatus, "%s", resp.Status)
	}
	got.body, err = io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err != nil {
		return got, fault.Wrap("fetch", KindUnreachable, err)
	}
	if ident.Bytes(len(got.body)) > limit {
		return got, fault.Newf("fetch", KindTooLarge, "response body exceeds %d bytes", limit)
	}
	return got, nil
}

// retryAfter returns the delay from the Retry-After header, or 0 without a valid one.
func (r response) retryAfter() clock.Span {
	seconds, err := strconv.Atoi(r.header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return min(clock.Span(min(seconds, 3600))*clock.Second, maxRetryAfter)
}

// clientOrDefault returns client, or for nil a new one that uses no proxy and follows
// no redirects.
func clientOrDefault(client *http.Client) *http.Client {
	if client != nil {
		return client
	}
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: 16 << 10},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// newRequest returns a GET request for the given path below base. Errors are of KindConfig.
func newRequest(ctx context.Context, base string, path ...string) (*http.Request, error) {
	target, err := url.Parse(base)
	if err != nil {
		return nil, fault.Wrap("request", KindConfig, err)
	}
	if target.Scheme != "http" && target.Scheme != "https" || target.Host == "" {
		return nil, fault.Newf("request", KindConfig, "%q is not an HTTP URL", base)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.JoinPath(path...).String(), http.NoBody)
	if err != nil {
		return nil, fault.Wrap("request", KindConfig, err)
	}
	return req, nil
}

// backoff computes jittered delays, so that many entries don't call at the same time.
type backoff struct {
	clock.Backoff

	random *rand.Rand
}

func newBackoff(seed uint64) *backoff {
	return &backoff{
		Backoff: clock.Backoff{First: initialRetryDelay, Last: maxRetryDelay},
		random:  rand.New(rand.NewPCG(seed, 0x7461_6e61)), //nolint:gosec // jitter is no secret
	}
}

func (b *backoff) jitter(span clock.Span) clock.Span { return clock.Jitter(span, b.random.Int64N) }

// nextDelay returns the delay after a failed call: minDelay, as requested by the
// platform, plus a backoff that doubles with each consecutive failure.
func (b *backoff) nextDelay(minDelay clock.Span) clock.Span {
	wait := b.Next()
	// Half of the backoff is random, so that entries that failed together retry apart.
	return max(minDelay, 0) + wait/2 + clock.Span(b.random.Int64N(int64(wait/2)+1))
}
