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
	r.HandleFunc(status.PathStatus, s.status).Methods(http.MethodGet)
	r.HandleFunc(status.PathReport, s.report).Methods(http.MethodGet)
	r.HandleFunc(status.PathDrain, s.drain).Methods(http.MethodPost)
	r.HandleFunc(status.PathReady, s.ready).Methods(http.MethodGet)
	r.HandleFunc(status.PathMetrics, s.metricsPage).Methods(http.MethodGet)
	return r
}

func (s *Server) statusNow() status.Status {
	answer := look(s.shell, func(c *core.Core, now clock.Time) status.Status { return c.Status(now) })
	answer.Zone = s.settings.Zone
	return answer
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.statusNow())
}

func (s *Server) report(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, look(s.shell, func(c *core.Core, now clock.Time) burn.Report { return c.Report(now) }))
}

// drain starts a graceful shutdown and answers at once.
func (s *Server) drain(w http.ResponseWriter, _ *http.Request) {
	s.RequestDrain()
	writeJSON(w, http.StatusAccepted, status.Drain{
		Entry: s.settings.Name, Incarnation: s.shell.incarnation, Requests: s.shell.inProgress(),
	})
}

// RequestDrain asks whoever runs the server to drain it; see DrainRequested.
func (s *Server) RequestDrain() { s.drainOnce.Do(func() { close(s.drainNow) }) }

// DrainRequested is closed when an operator has asked for a drain.
func (s *Server) DrainRequested() <-chan struct{} { return s.drainNow }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	state := s.statusNow().State
	code := http.StatusServiceUnavailable
	if state == status.Ready {
		code = http.StatusOK
	}
	writeJSON(w, code, struct {
		State status.State `json:"state"`
	}{state})
}

func (s *Server) metricsPage(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.metrics.registry)
}

// Serve runs until an operator or ctx asks for the end, then drains. A second
// signal on now ends the entry at once.
func (s *Server) Serve(ctx context.Context, now <-chan struct{}) error {
	select {
	case <-ctx.Done():
	case <-s.drainNow:
	}
	drain, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-now:
			cancel()
		case <-drain.Done():
		}
	}()
	return s.Drain(drain)
}
