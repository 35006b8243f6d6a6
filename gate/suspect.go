package gate

import (
	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// suspectTerm is how long a request that was in progress during crashes stays suspected or
	// refused.
	suspectTerm = 30 * clock.Second
	// maxBrokenPerEndpoint bounds the broken requests that are kept for one endpoint.
	maxBrokenPerEndpoint = 256
)

// fingerprint identifies a request across sends by the parts that an endpoint receives.
func fingerprint(host, uri string, body []byte) ident.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to a digest cannot fail.
	_, _ = digest.WriteString(host + "\x00" + uri + "\x00")
	_, _ = digest.Write(body)
	return ident.Fingerprint(digest.Sum64())
}

// crashRefused reports whether a request must not run because it has crashed too many endpoints.
func (s *state) crashRefused(fingerprint ident.Fingerprint) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.Verdict(s.clock.Now(), fingerprint) == crash.VerdictRefused
}

// recordBroken records a request whose connection to an endpoint broke.
func (s *state) recordBroken(id ident.Endpoint, inFlight crash.InFlightRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.brokenRequests[id]) < maxBrokenPerEndpoint {
		s.brokenRequests[id] = append(s.brokenRequests[id], inFlight)
	}
}

// clearBroken records that an endpoint responds, so that broken connections were not caused by a
// crash.
func (s *state) clearBroken(id ident.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.brokenRequests, id)
}

// recordCompleted records that a request has completed.
func (s *state) recordCompleted(fingerprint ident.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspects.RecordCompletion(s.clock.Now(), fingerprint)
}

// recordUnreachable records that an endpoint whose connections broke cannot be reached.
func (s *state) recordUnreachable(id ident.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordCrash(s.clock.Now(), id)
}

// recordCrash distributes the suspicion among the requests that were running on a crashed
// endpoint. The lock must be held.
func (s *state) recordCrash(now clock.Time, id ident.Endpoint) {
	inFlight := s.brokenRequests[id]
	delete(s.brokenRequests, id)
	if len(inFlight) == 0 {
		return
	}
	reports := s.suspects.RecordEndpointCrash(now, inFlight)
	s.log.Warn("endpoint crashed", zap.String("endpoint", string(id)), zap.Int("requests", len(inFlight)),
		zap.Int("suspects", len(reports)))
}
