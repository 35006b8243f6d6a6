package gate

import (
	"encoding/json"
	"net/http"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/mesh"
)

const (
	// validity is how long callers use an answer of the directory, if the settings allow it.
	validity = 1 * clock.Second
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
// else those of regions that may see all that the host's callers send, or else all.
func (s *Server) answerDirectory(w http.ResponseWriter, r *http.Request) {
	q := s.dialect.Question(r)
	addresses := s.locate(q)
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

func (s *Server) locate(q Question) []string {
	view := s.node.View()
	alive := view.Alive
	self := mesh.Record{Region: s.settings.Region, Front: s.settings.Front}
	if s.state.ready() && !s.draining.Load() {
		alive = append(alive, self)
	}
	near, allowed, rest := s.sorted(q, alive)
	if len(near)+len(allowed) == 0 {
		// During a rolling restart the replacements are there within seconds; until then a
		// caller's data must not be led elsewhere.
		near, allowed, _ = s.sorted(q, view.Stopping)
	}
	for _, named := range [][]string{near, allowed, rest} {
		if len(named) > 0 {
			return s.some(named)
		}
	}
	return nil
}

// sorted divides instances into those of the caller's region, those of regions that may
// see all that the host's callers send, and the rest.
func (s *Server) sorted(q Question, instances []mesh.Record) (near, allowed, rest []string) {
	table := s.state.table.Load()
	for _, r := range instances {
		switch {
		case r.Region == q.Region:
			near = append(near, r.Front)
		case table != nil && table.Anywhere(q.Host, r.Region):
			allowed = append(allowed, r.Front)
		default:
			rest = append(rest, r.Front)
		}
	}
	return near, allowed, rest
}

// some returns as many addresses as an answer may name.
func (s *Server) some(addresses []string) []string {
	if len(addresses) <= maxNamed {
		return addresses
	}
	start := int(s.random() % uint64(len(addresses)))
	return append(addresses[start:], addresses[:start]...)[:maxNamed]
}
