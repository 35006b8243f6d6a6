package gate

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// suspectTerm is how long a request that was in progress during a crash stays suspected, and refused
	// after the second one.
	suspectTerm = 30 * clock.Second
	// brokenTerm is how long after a connection broke the list may show that the endpoint crashed.
	brokenTerm = 10 * clock.Second
	// maxBrokenPerEndpoint bounds the broken requests that are kept for one endpoint.
	maxBrokenPerEndpoint = 256
	// maxLoggedSuspects bounds the requests and the prompt parts that are named in one line of the log.
	maxLoggedSuspects = 8
	// startTime is how long after the first output of a send a crash may still be due to its start. A
	// request that only happened to be at the crash is protected by completions of others with its parts.
	startTime = 2 * clock.Second
	// unframedTerm is how long after an unframed end of a response a crash may have caused it.
	unframedTerm = clock.Second
)

// brokenRequest is a request whose connection to an endpoint broke.
type brokenRequest struct {
	crash.InFlightRequest
	attemptID string
	// unframed is set if the connection ended the response, so that only a crash of the endpoint soon
	// after brokenAt shows that the response was broken off.
	unframed bool
	brokenAt clock.Time
	// answered is set if the endpoint has answered a health check since. It may have restarted before.
	answered bool
}

// fingerprint identifies a request across sends by the parts that an endpoint receives.
func fingerprint(host, uri string, body []byte) ident.Fingerprint {
	var digest xxhash.Digest
	digest.Reset()
	// Writing to a digest cannot fail.
	_, _ = digest.WriteString(host + "\x00" + uri + "\x00")
	_, _ = digest.Write(body)
	return ident.Fingerprint(digest.Sum64())
}

// crashRefused reports whether a request must not run because it has crashed too many endpoints, and whether its
// refusal has ended, so that it may only run as a trial.
func (s *state) crashRefused(fingerprint ident.Fingerprint) (refused, needsTrial bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	verdict := s.suspects.Verdict(now, fingerprint)
	return verdict == crash.VerdictRefused, verdict == crash.VerdictExclusive && s.suspects.NeedsTrial(now, fingerprint)
}

// startSuspectTrial reports whether such a request may run now. One of the live instances tries it.
func (s *state) startSuspectTrial(fingerprint ident.Fingerprint, live []ident.Entry) bool {
	if !s.tries(strconv.FormatUint(uint64(fingerprint), 16), live) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.suspects.StartTrial(s.clock.Now(), fingerprint)
}

// recordBroken records a request whose connection to an endpoint broke.
func (s *state) recordBroken(id ident.Endpoint, broken brokenRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	broken.brokenAt = now
	s.removeOutdated(now, id)
	if broken.Crash = s.crashID(id); len(s.brokenRequests[id]) < maxBrokenPerEndpoint {
		s.brokenRequests[id] = append(s.brokenRequests[id], broken)
	}
}

// outdated reports whether the request ended too long ago to be due to a crash now.
func (b brokenRequest) outdated(now clock.Time) bool {
	if b.unframed {
		return now.Sub(b.brokenAt) > unframedTerm
	}
	return now.Sub(b.brokenAt) > brokenTerm
}

// removeOutdated forgets the requests of an endpoint that ended too long ago. The lock must be held.
func (s *state) removeOutdated(now clock.Time, id ident.Endpoint) {
	kept := slices.DeleteFunc(s.brokenRequests[id], func(b brokenRequest) bool { return b.outdated(now) })
	if len(kept) == 0 {
		delete(s.brokenRequests, id)
		return
	}
	s.brokenRequests[id] = kept
}

// removeAllOutdated does the same for all endpoints, and forgets questions about them. The lock must be held.
func (s *state) removeAllOutdated(now clock.Time) {
	maps.DeleteFunc(s.questions, func(_ ident.Endpoint, q question) bool { return now.Sub(q.at) > brokenTerm })
	for id := range s.brokenRequests {
		s.removeOutdated(now, id)
	}
}

// recordAnswering records that an endpoint answers a health check. Only the list can still show that its
// connections broke because of a crash: a new process may have answered.
func (s *state) recordAnswering(id ident.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeOutdated(s.clock.Now(), id)
	broken := s.brokenRequests[id]
	for i := range broken {
		broken[i].answered = true
	}
	if len(broken) > 0 {
		s.log.Info("endpoint answers after broken connections", zap.String("endpoint", string(id)), zap.Int("requests", len(broken)))
	}
}

// recordCompleted records that a request has completed: that its response is known to be whole.
func (s *state) recordCompleted(f *inflight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.suspects.RecordCompletion(now, f.fingerprint)
	if f.generated {
		s.parts.RecordCompletion(now, f.parts, f.route.HomeRegions)
		s.logRefusedParts(now)
	}
}

// recordUnreachable records that an endpoint whose connections broke cannot be reached.
func (s *state) recordUnreachable(id ident.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordCrash(s.clock.Now(), id)
}

// recordGone records that an endpoint is no longer listed. If it has not said that it leaves, its
// connections broke and it has not answered since, it has crashed. The lock must be held.
func (s *state) recordGone(now clock.Time, id ident.Endpoint) {
	answered := slices.ContainsFunc(s.brokenRequests[id], func(b brokenRequest) bool { return b.answered })
	if !answered && !s.pool.Leaving(id) {
		s.recordCrash(now, id)
	}
}

// recordCrash distributes the suspicion among the requests that were running on a crashed
// endpoint. The lock must be held.
func (s *state) recordCrash(now clock.Time, id ident.Endpoint) {
	s.removeOutdated(now, id)
	broken := s.brokenRequests[id]
	delete(s.brokenRequests, id)
	if len(broken) == 0 {
		return
	}
	var inFlight []crash.InFlightRequest
	for _, b := range broken {
		inFlight = append(inFlight, b.InFlightRequest)
	}
	reports := s.suspects.RecordEndpointCrash(now, inFlight)
	s.parts.RecordCrash(now, inFlight)
	starting, ids, parts := startingRequests(broken)
	s.log.Warn("endpoint crashed", zap.String("endpoint", string(id)), zap.Int("requests", len(inFlight)),
		zap.Int("suspects", len(reports)), zap.Int("starting", starting), zap.Strings("ids", ids), zap.Strings("parts", parts))
	s.logRefusedParts(now)
}

// startingRequests returns the number of requests that had no output yet or only just had the first,
// and for the log the ids and the shareable prompt parts of some of them.
func startingRequests(broken []brokenRequest) (count int, ids, parts []string) {
	for _, b := range broken {
		if !b.Starting {
			continue
		}
		count++
		if len(ids) < maxLoggedSuspects {
			ids = append(ids, b.attemptID)
		}
		for _, part := range b.Parts {
			if name := partName(part); len(parts) < maxLoggedSuspects && !slices.Contains(parts, name) {
				parts = append(parts, name)
			}
		}
	}
	return count, ids, parts
}
