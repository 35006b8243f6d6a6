package watch_test

import (
	"bytes"
	"context"
	"flag"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// Sets a fixed seed for the property tests; the command line overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

// platform is an in-memory configuration service that runs on the fake clock of a
// synctest bubble.
type platform struct {
	mutex    sync.Mutex
	calls    int
	revision int
	changed  chan struct{}
	// broken replaces the service's answer if it is set.
	broken func(*http.Request) (*http.Response, error)
}

func newPlatform() *platform { return &platform{revision: 1} }

func (p *platform) set(revision int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.revision = revision
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *platform) count() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.calls
}

func (p *platform) state() (string, chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return strconv.Itoa(p.revision), p.changed
}

func response(status int, body string, header ...string) *http.Response {
	r := &http.Response{StatusCode: status, Status: http.StatusText(status), Header: http.Header{}, Body: io.NopCloser(strings.NewReader(body))}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// RoundTrip implements http.RoundTripper.
func (p *platform) RoundTrip(r *http.Request) (*http.Response, error) {
	p.mutex.Lock()
	p.calls++
	broken := p.broken
	p.mutex.Unlock()
	if broken != nil {
		return broken(r)
	}
	query := r.URL.Query()
	wait, _ := strconv.Atoi(query.Get("wait"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		revision, changed := p.state()
		if query.Get("after") != revision {
			return response(200, "value "+revision, "Revision", revision), nil
		}
		select {
		case <-r.Context().Done():
			return nil, r.Context().Err()
		case <-timeout:
			return response(304, ""), nil
		case <-changed:
		}
	}
}

// reader holds the inputs and results of a running ValueReader.
type reader struct {
	found    atomic.Pointer[[]byte]
	watching atomic.Bool
	silent   atomic.Bool
	failed   atomic.Pointer[error]
}

func (r *reader) value() string {
	if b := r.found.Load(); b != nil {
		return string(*b)
	}
	return ""
}

// runReader runs a ValueReader against p while test runs. The bubble fails if a goroutine
// outlives it.
func runReader(t *testing.T, p *platform, test func(t *testing.T, r *reader)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p.changed = make(chan struct{}) // the fake clock advances only for channels made in the bubble
		r := &reader{}
		values := watch.NewValueReader(watch.ValueReaderConfig{
			URL: "http://127.0.0.1:1", Name: "bundle", Client: &http.Client{Transport: p}, Seed: 1,
			IsWatcher: r.watching.Load, UpdatesOverdue: r.silent.Load, OnError: func(err error) { r.failed.Store(&err) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = values.Run(ctx, func(b []byte) { r.found.Store(&b) }) }()
		test(t, r)
	})
}

// Guards against polls that are too frequent for a large fleet, or that miss a value.
func TestPoll(t *testing.T) {
	p := newPlatform()
	runReader(t, p, func(t *testing.T, r *reader) {
		t.Helper()
		time.Sleep(10 * time.Minute)
		require.Equal(t, "value 1", r.value())
		require.InDelta(t, 20, p.count(), 4)
		p.set(2)
		time.Sleep(40 * time.Second)
		require.Equal(t, "value 2", r.value())
	})
}

// Guards against a reader that keeps its slow poll rate when updates from the watchers
// are overdue, and against one that keeps the fast rate for good.
func TestOverdueUpdatesArePolledMoreOften(t *testing.T) {
	p := newPlatform()
	runReader(t, p, func(t *testing.T, r *reader) {
		t.Helper()
		r.silent.Store(true)
		time.Sleep(30 * time.Second)
		require.GreaterOrEqual(t, p.count(), 4)
		time.Sleep(2 * time.Minute)
		before := p.count()
		require.LessOrEqual(t, before, 18)
		time.Sleep(10 * time.Minute)
		require.LessOrEqual(t, p.count()-before, 27)
		r.silent.Store(false)
		time.Sleep(time.Minute)
		r.silent.Store(true)
		before = p.count()
		time.Sleep(30 * time.Second)
		require.GreaterOrEqual(t, p.count()-before, 4)
	})
}

// Guards against a watcher that sees a change late, and against a reader that becomes
// a watcher only after its poll period.
func TestWatch(t *testing.T) {
	p := newPlatform()
	runReader(t, p, func(t *testing.T, r *reader) {
		t.Helper()
		time.Sleep(time.Second)
		r.watching.Store(true)
		time.Sleep(2 * time.Second)
		for revision := 2; revision < 12; revision++ {
			p.set(revision)
			time.Sleep(time.Second)
			require.Equal(t, "value "+strconv.Itoa(revision), r.value())
		}
		before := p.count()
		time.Sleep(10 * time.Minute)
		require.InDelta(t, 24, p.count()-before, 2)
	})
}

// Guards against call storms on a failing platform, and against a reader that does not
// recover.
func TestTrouble(t *testing.T) {
	always := func(r *http.Response) func(*http.Request) (*http.Response, error) {
		return func(*http.Request) (*http.Response, error) { c := *r; return &c, nil }
	}
	cases := []struct {
		name   string
		broken func(*http.Request) (*http.Response, error)
		kind   watch.Kind
		most   int // calls in 10 minutes
	}{
		{"unreachable", func(*http.Request) (*http.Response, error) { return nil, errors.New("refused") }, watch.KindUnreachable, 90},
		{"hangs", func(r *http.Request) (*http.Response, error) { <-r.Context().Done(); return nil, r.Context().Err() }, watch.KindUnreachable, 90},
		{"down", always(response(503, "")), watch.KindStatus, 90},
		{"over its rate", always(response(429, "", "Retry-After", "30")), watch.KindStatus, 21},
		{"redirect", always(response(307, "")), watch.KindStatus, 90},
		{"ignores the wait", always(response(304, "")), watch.KindMalformed, 90},
		{"no revision", always(response(200, "value")), watch.KindMalformed, 90},
		{"too large", func(*http.Request) (*http.Response, error) {
			body := io.NopCloser(bytes.NewReader(make([]byte, 1<<20+1)))
			return &http.Response{StatusCode: http.StatusOK, Header: http.Header{"Revision": {"9"}}, Body: body}, nil
		}, watch.KindTooLarge, 90},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPlatform()
			p.broken = c.broken
			runReader(t, p, func(t *testing.T, r *reader) {
				t.Helper()
				r.watching.Store(true)
				time.Sleep(10 * time.Minute)
				require.Empty(t, r.value())
				require.Equal(t, c.kind, fault.KindOf[watch.Kind](*r.failed.Load()))
				require.LessOrEqual(t, p.count(), c.most)
				p.mutex.Lock()
				p.broken = nil
				p.mutex.Unlock()
				time.Sleep(time.Minute)
				require.Equal(t, "value 1", r.value())
			})
		})
	}
}

// Guards against a call storm caused by a value whose revision changes with every call.
func TestFlappingRevision(t *testing.T) {
	p := newPlatform()
	var n atomic.Int64
	p.broken = func(*http.Request) (*http.Response, error) {
		return response(200, "", "Revision", strconv.FormatInt(n.Add(1), 10)), nil
	}
	runReader(t, p, func(t *testing.T, r *reader) {
		t.Helper()
		r.watching.Store(true)
		time.Sleep(time.Minute)
		require.LessOrEqual(t, p.count(), 800)
	})
}

// Guards against goroutines and connections that outlive Run, over a real connection
// with a pending watch, and against a Run that accepts an invalid URL.
func TestCancel(t *testing.T) {
	before := runtime.NumGoroutine()
	pending := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/base/v1/value/a%2Fb" && r.URL.EscapedPath() != "/base/v1/value/a%2Fb" {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if r.URL.Query().Get("after") == "" {
			w.Header().Set("Revision", "1")
			return
		}
		pending <- struct{}{}
		<-r.Context().Done()
	}))
	ctx, cancel := context.WithCancel(t.Context())
	values := watch.NewValueReader(watch.ValueReaderConfig{URL: server.URL + "/base", Name: "a/b", IsWatcher: func() bool { return true }})
	ended := make(chan error)
	go func() { ended <- values.Run(ctx, func([]byte) {}) }()
	<-pending
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
	server.Close()
	require.Eventually(t, func() bool { return runtime.NumGoroutine() <= before+1 }, 10*time.Second, 10*time.Millisecond)
	for _, url := range []string{"", "127.0.0.1:1", "ftp://127.0.0.1:1", "http://[::1"} {
		err := watch.NewValueReader(watch.ValueReaderConfig{URL: url}).Run(t.Context(), nil)
		require.Equal(t, watch.KindConfig, fault.KindOf[watch.Kind](err), url)
		err = watch.NewListReader(watch.ListReaderConfig{URL: url, Period: clock.Second}).Run(t.Context(), nil)
		require.Equal(t, watch.KindConfig, fault.KindOf[watch.Kind](err), url)
	}
}
