package entry

import (
	"context"
	"net/http"

	"github.com/gorilla/mux"

	"github.com/tanagerbridge/tanagerbridge/burn"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/status"
)

func (s *Server) adminRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(status.PathStatus, s.handleStatus).Methods(http.MethodGet)
	r.HandleFunc(status.PathReport, s.handleReport).Methods(http.MethodGet)
	r.HandleFunc(status.PathDrain, s.handleDrain).Methods(http.MethodPost)
	r.HandleFunc(status.PathReady, s.handleReady).Methods(http.MethodGet)
	r.HandleFunc(status.PathMetrics, s.handleMetrics).Methods(http.MethodGet)
	return r
}

func (s *Server) currentStatus() status.Status {
	answer := withCore(s.shell, func(c *core.Core, now clock.Time) status.Status { return c.Status(now) })
	answer.Zone = s.settings.Zone
	return answer
}

func (s *Server) handleStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.currentStatus())
}

func (s *Server) handleReport(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, withCore(s.shell, func(c *core.Core, now clock.Time) burn.Report { return c.Report(now) }))
}

// handleDrain requests a graceful shutdown and answers without waiting for it.
func (s *Server) handleDrain(w http.ResponseWriter, _ *http.Request) {
	s.RequestDrain()
	writeJSON(w, http.StatusAccepted, status.Drain{
		Entry: s.settings.Name, Incarnation: s.shell.incarnation, Requests: s.shell.inProgress(),
	})
}

// RequestDrain closes the channel returned by DrainRequested. It doesn't block.
func (s *Server) RequestDrain() { s.drainOnce.Do(func() { close(s.drainRequested) }) }

// DrainRequested returns a channel that is closed when a drain is requested.
func (s *Server) DrainRequested() <-chan struct{} { return s.drainRequested }

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	state := s.currentStatus().State
	code := http.StatusServiceUnavailable
	if state == status.Ready {
		code = http.StatusOK
	}
	writeJSON(w, code, struct {
		State status.State `json:"state"`
	}{state})
}

func (s *Server) handleMetrics(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.metrics.registry)
}

// Serve runs until ctx is cancelled or a drain is requested, then drains. A signal on
// abort during the drain ends the entry at once. Errors are those of Drain.
func (s *Server) Serve(ctx context.Context, abort <-chan struct{}) error {
	select {
	case <-ctx.Done():
	case <-s.drainRequested:
	}
	drainCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-abort:
			cancel()
		case <-drainCtx.Done():
		}
	}()
	return s.Drain(drainCtx)
}
