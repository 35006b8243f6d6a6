package entry

import (
	"net/http"
	"net/http/httptest"
	"net/url"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/route"
)

// newIdleServer returns a Server without a bundle and without tasks, and its log.
func newIdleServer(t *testing.T) (*Server, *observer.ObservedLogs) {
	t.Helper()
	observed, lines := observer.New(zap.ErrorLevel)
	log := zap.New(observed)
	policy, err := route.New("tanager", 1)
	require.NoError(t, err)
	system, bundles := clock.NewSystem(), bundle.NewActive(nil)
	return &Server{
		log: log, clock: system, metrics: newMetrics(), client: newClient(),
		shell: newShell(log, system, bundles, core.New(core.Config{Entry: "e", Incarnation: 1, Region: "r", Seed: 1, Bundles: bundles, Policy: policy})),
	}, lines
}

// panicOnce is a ResponseWriter whose first WriteHeader panics.
type panicOnce struct {
	*httptest.ResponseRecorder
	panicked bool
}

func (p *panicOnce) WriteHeader(status int) {
	if !p.panicked {
		p.panicked = true
		panic("planted")
	}
	p.ResponseRecorder.WriteHeader(status)
}

// Guards against a panic in one request that ends the process or leaves the request in progress.
func TestPanicInRequest(t *testing.T) {
	for name, run := range map[string]func(s *Server, w http.ResponseWriter, pending *pendingRequest){
		"completion": func(s *Server, w http.ResponseWriter, pending *pendingRequest) {
			call := &engineCall{server: s, pending: pending, writer: newCompletionWriter(w, pending.id, true)}
			call.run(t.Context(), core.RequestArrived{Head: core.Head{Request: pending.id, Service: "chat"}})
		},
		"call": func(s *Server, w http.ResponseWriter, pending *pendingRequest) {
			call := &plainCall{server: s, pending: pending}
			call.run(t.Context(), w, core.RequestArrived{Head: core.Head{Request: pending.id, Service: "desk"}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, lines := newIdleServer(t)
			w := &panicOnce{ResponseRecorder: httptest.NewRecorder()}
			run(s, w, s.shell.register("a"))
			require.Equal(t, http.StatusGatewayTimeout, w.Code, "the outcome is unknown")
			require.Zero(t, s.shell.inProgress())
			require.EqualValues(t, 1, s.metrics.panics.Count())
			require.Len(t, lines.FilterMessage("panic").All(), 1)
		})
	}
}

// Guards against a panic while a load report is read that ends the process.
func TestPanicInPoll(t *testing.T) {
	s, _ := newIdleServer(t)
	s.client.pooled.Proxy = func(*http.Request) (*url.URL, error) { panic("planted") }
	require.False(t, s.pollEndpoint(t.Context(), fleet.Target{Endpoint: "r1", Address: "127.0.0.1:1"}))
	require.EqualValues(t, 1, s.metrics.panics.Count())
}

// Guards against a process that goes on with a core that is half changed.
func TestPanicInCoreEndsProcess(t *testing.T) {
	s, lines := newIdleServer(t)
	status := 0
	s.shell.exit = func(code int) { status = code }
	s.shell.core = nil
	s.shell.apply(core.Tick{})
	require.Equal(t, exitPanic, status)
	require.Len(t, lines.FilterMessage("panic").All(), 1)
	status = 0
	withCore(s.shell, func(*core.Core, clock.Time) int { panic("planted") })
	require.Equal(t, exitPanic, status)
}
