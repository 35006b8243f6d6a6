package gate

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/mesh"
)

const (
	// validity is how long callers use an answer of the directory, if the settings allow it.
	validity = 2 * clock.Second
	// maxNamed bounds the instances that an answer names.
	maxNamed = 64
)

// answerReady tells whether the instance takes work.
func (s *Server) answerReady(w http.ResponseWriter, _ *http.Request) {
	if !s.state.ready() || s.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// answerDirectory names the instances that a caller should use: those of its region, or
// all others if there is none.
func (s *Server) answerDirectory(w http.ResponseWriter, r *http.Request) {
	q := s.dialect.Question(r)
	addresses := s.locate(q.Region)
	if len(addresses) == 0 {
		s.log.Info("no instance to name", zap.String("region", string(q.Region)))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	life := validity
	if s.settings.Validity > 0 {
		life = min(life, s.settings.Validity)
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s.dialect.Location(addresses, life)); err != nil {
		s.log.Debug("directory answer not sent", zap.Error(err))
	}
}

func (s *Server) locate(region ident.Region) []string {
	var near, far []string
	add := func(r mesh.Record) {
		if r.Region == region {
			near = append(near, r.Front)
		} else {
			far = append(far, r.Front)
		}
	}
	for _, r := range s.node.View().Alive {
		add(r)
	}
	if s.state.ready() && !s.draining.Load() {
		add(mesh.Record{Region: s.settings.Region, Front: s.settings.Front})
	}
	if len(near) == 0 {
		near = far
	}
	start := 0
	if len(near) > maxNamed {
		start = int(s.random() % uint64(len(near)))
		near = append(near[start:], near[:start]...)[:maxNamed]
	}
	return near
}
