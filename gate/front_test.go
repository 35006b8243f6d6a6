package gate

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
)

// deadlineWriter is a response writer that keeps the deadlines that are set.
type deadlineWriter struct {
	*httptest.ResponseRecorder
	read, write time.Time
	// writeAtHeader is the write deadline when the header was written.
	writeAtHeader time.Time
}

func (w *deadlineWriter) SetReadDeadline(end time.Time) error {
	w.read = end
	return nil
}

func (w *deadlineWriter) SetWriteDeadline(end time.Time) error {
	w.write = end
	return nil
}

func (w *deadlineWriter) WriteHeader(status int) {
	w.writeAtHeader = w.write
	w.ResponseRecorder.WriteHeader(status)
}

// plainProtocol is a protocol whose requests have no header fields of the platform.
type plainProtocol struct{ Protocol }

func (plainProtocol) RequestMeta(http.Header) RequestMeta         { return RequestMeta{} }
func (plainProtocol) SetRetryAfter(http.Header, clock.Span)       {}
func (plainProtocol) CopyAttemptID(response, request http.Header) {}

func newBareServer() *Server {
	return &Server{
		clock: clock.NewSystem(), log: zap.NewNop(), metrics: newMetrics(gometrics.NewRegistry()), state: &state{}, protocol: plainProtocol{},
	}
}

// newLateRequest returns a request whose time limit and write deadline have long passed.
func newLateRequest(server *Server, body string) (*inflight, *deadlineWriter) {
	past := time.Now().Add(-time.Minute)
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder(), read: past, write: past}
	return &inflight{
		server: server, writer: w, request: httptest.NewRequest(http.MethodPost, "/", strings.NewReader(body)),
		route: &bundle.Route{}, table: &bundle.Table{}, deadline: server.clock.Now().Add(-clock.Minute),
	}, w
}

// Guards against a read deadline that ends the context of a request which has no body to be read.
func TestNoReadDeadlineWithoutBody(t *testing.T) {
	w := &deadlineWriter{ResponseRecorder: httptest.NewRecorder()}
	newBareServer().serveCaller(w, httptest.NewRequest(http.MethodGet, "/", nil))
	require.Zero(t, w.read)
	require.NotZero(t, w.write)
}

// Guards against a read deadline that ends the context of a request whose body has been read.
func TestNoReadDeadlineAfterTheBody(t *testing.T) {
	request, w := newLateRequest(newBareServer(), "body")
	require.True(t, request.readBody(0))
	require.Zero(t, w.read)
}

// Guards against responses that aren't written because the process was held up beyond the write deadline.
func TestLateResponsesAreWritten(t *testing.T) {
	for name, respond := range map[string]func(*inflight){
		"fail":   func(f *inflight) { f.fail(http.StatusGatewayTimeout, "late") },
		"refuse": func(f *inflight) { f.refuse("late", minRetryAfter) },
		"reject": func(f *inflight) { f.reject(http.StatusBadRequest, "late") },
		"deliver": func(f *inflight) {
			f.buffered = &bufferedResponse{status: http.StatusOK, header: http.Header{}}
			f.deliverBuffered()
		},
	} {
		t.Run(name, func(t *testing.T) {
			request, w := newLateRequest(newBareServer(), "")
			respond(request)
			require.True(t, w.writeAtHeader.After(time.Now()), "deadline %v", w.writeAtHeader)
		})
	}
}
