package gate

import (
	"encoding/json"
	"math"
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
// else those of the regions that may see most of what the host's callers send.
func (s *Server) answerDirectory(w http.ResponseWriter, r *http.Request) {
	q := s.dialect.Question(r)
	addresses := s.locate(q)
	if len(addresses) == 0 {
		s.log.Info("no instance to name", zap.String("region", string(q.Region)))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.log.Debug("directory", zap.String("host", q.Host), zap.String("region", string(q.Region)), zap.Strings("named", addresses))
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
	alive := s.node.Alive()
	self := mesh.Record{Region: s.settings.Region, Front: s.settings.Front}
	if s.state.ready() && !s.draining.Load() {
		alive = append(alive, self)
	}
	near := func(r mesh.Record) bool { return r.Region == q.Region }
	if named := fronts(alive, near); len(named) > 0 {
		return s.some(named)
	}
	stopping := s.node.Stopping()
	best := s.fewest(q.Host, alive, stopping)
	home := func(r mesh.Record) bool { return s.excluded(q.Host, r) == best }
	if named := fronts(alive, home); len(named) > 0 {
		return s.some(named)
	}
	// During a rolling restart the replacements are there within seconds; until then a
	// caller's data must not be led elsewhere.
	if named := fronts(stopping, func(r mesh.Record) bool { return near(r) || home(r) }); len(named) > 0 {
		return s.some(named)
	}
	return s.some(fronts(alive, func(mesh.Record) bool { return true }))
}

// excluded returns how many routes of a host an instance's region may not serve.
func (s *Server) excluded(host string, r mesh.Record) int {
	if table := s.state.table.Load(); table != nil {
		return table.Excluded(host, r.Region)
	}
	return 0
}

// fewest returns the least number of excluded routes among the instances.
func (s *Server) fewest(host string, lists ...[]mesh.Record) int {
	best := math.MaxInt
	for _, list := range lists {
		for _, r := range list {
			best = min(best, s.excluded(host, r))
		}
	}
	return best
}

// fronts returns the addresses for callers of the instances that fit.
func fronts(instances []mesh.Record, fits func(mesh.Record) bool) (addresses []string) {
	for _, r := range instances {
		if fits(r) {
			addresses = append(addresses, r.Front)
		}
	}
	return addresses
}

// some returns as many addresses as an answer may name.
func (s *Server) some(addresses []string) []string {
	if len(addresses) <= maxNamed {
		return addresses
	}
	start := int(s.random() % uint64(len(addresses)))
	return append(addresses[start:], addresses[:start]...)[:maxNamed]
}
