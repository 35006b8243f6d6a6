package gate

import (
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// suspectTerm is how long a request that was in progress at crashes is suspected or refused.
	suspectTerm = 30 * clock.Second
	// maxLost bounds the broken requests that are kept for one endpoint.
	maxLost = 256
)

// fingerprint identifies a request that is sent again by what an endpoint gets of it.
func fingerprint(host, uri string, body []byte) ident.Fingerprint {
	var d xxhash.Digest
	d.Reset()
	// Writing to a digest can't fail.
	_, _ = d.WriteString(host + "\x00" + uri + "\x00")
	_, _ = d.Write(body)
	return ident.Fingerprint(d.Sum64())
}

// mayCrash reports whether a request has crashed so many endpoints that it must not run.
func (s *state) mayCrash(f ident.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Verdict(s.clock.Now(), f) == crash.Refused
}

// lose records a request whose connection to an endpoint broke.
func (s *state) lose(id ident.Endpoint, m crash.Mark) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.lost[id]) < maxLost {
		s.lost[id] = append(s.lost[id], m)
	}
}

// survived records that an endpoint answers: broken connections were not due to a crash.
func (s *state) survived(id ident.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.lost, id)
}

// cleared records that a request has completed.
func (s *state) cleared(f ident.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.Cleared(s.clock.Now(), f)
}

// unreachable records that an endpoint whose connections broke can't be reached.
func (s *state) unreachable(id ident.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crashed(s.clock.Now(), id)
}

// crashed divides the suspicion among the requests that were lost at an endpoint. The lock
// is held.
func (s *state) crashed(now clock.Time, id ident.Endpoint) {
	marks := s.lost[id]
	delete(s.lost, id)
	if len(marks) == 0 {
		return
	}
	told := s.suspects.Crashed(now, marks)
	s.log.Warn("endpoint crashed", zap.String("endpoint", string(id)), zap.Int("requests", len(marks)),
		zap.Int("suspects", len(told)))
}
