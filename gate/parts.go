package gate

import (
	"slices"
	"strconv"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// partName returns the id of a prompt part as it is logged.
func partName(part ident.Part) string { return strconv.FormatUint(uint64(part), 16) }

// shareableParts returns the parts of a prompt that other requests may share: all but the last.
func shareableParts(parts []pool.PromptPart) (ids []ident.Part) {
	for i := range max(0, len(parts)-1) {
		ids = append(ids, ident.Part(parts[i].ID))
	}
	return ids
}

// crashID returns the identifier by which all instances know a crash of the endpoint as it is listed
// now. The lock must be held.
func (s *state) crashID(id ident.Endpoint) ident.Crash {
	return crash.ID(id, strconv.FormatInt(s.listing.entries[id].Info.Incarnation, 10))
}

// refusedPart returns the first of the prompt parts with which no request may run.
func (s *state) refusedPart(parts []ident.Part) (ident.Part, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts.Refused(s.clock.Now(), parts)
}

// startTrial reports whether a request with refused parts may run as a trial. live lists the
// instances that may try a part.
func (s *state) startTrial(parts []ident.Part, live []ident.Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	started := s.parts.StartTrial(now, parts, func(part ident.Part) bool {
		return s.tries(partName(part), live)
	})
	s.logRefusedParts(now)
	return started
}

// tries reports whether this instance is the one of the live instances that runs the trials of a suspect.
func (s *state) tries(suspect string, live []ident.Entry) bool {
	return slices.Contains(watch.Rendezvous(suspect, live, 1), s.settings.Name)
}

// logRefusedParts logs which prompt parts are refused from now on and which are no longer. The lock
// must be held.
func (s *state) logRefusedParts(now clock.Time) {
	verdicts := s.parts.Verdicts(now)
	if len(verdicts) == 0 && len(s.refusedParts) == 0 {
		return
	}
	current := make(map[ident.Part]crash.PartVerdict, len(verdicts))
	for _, v := range verdicts {
		current[v.Part] = v
		if _, known := s.refusedParts[v.Part]; !known {
			s.log.Warn("prompt part refused", zap.String("part", partName(v.Part)), zap.Int("crashes", v.Crashes), zap.Int("requests", v.Requests))
		}
	}
	for part := range s.refusedParts {
		if _, still := current[part]; !still {
			s.log.Warn("prompt part allowed again", zap.String("part", partName(part)))
		}
	}
	s.refusedParts = current
}

// crashReason tells why a request must not run because of crashes of endpoints, or returns "". A
// request that was refused, or has a refused prompt part, may become the trial.
func (f *inflight) crashReason() string {
	if f.trial && f.sends == 0 {
		return ""
	}
	switch refused, needsTrial := f.server.state.crashRefused(f.fingerprint); {
	case refused || needsTrial && !f.mayTry():
		return "request crashed endpoints"
	case needsTrial:
		f.trial = f.server.state.startSuspectTrial(f.fingerprint, f.server.liveInstances())
		if !f.trial {
			return "request crashed endpoints"
		}
		f.server.log.Info("refused request tried", zap.String("request", f.meta.AttemptID))
		return ""
	}
	part, refused := f.server.state.refusedPart(f.parts)
	if !refused {
		return ""
	}
	if f.mayTry() && f.server.state.startTrial(f.parts, f.server.liveInstances()) {
		f.trial = true
		f.server.log.Info("refused prompt part tried", zap.String("request", f.meta.AttemptID), zap.String("part", partName(part)))
		return ""
	}
	f.refusedPart = part
	f.server.metrics.partRefusals.Inc(1)
	return "prompt part crashed endpoints"
}

// mayTry reports whether this instance may run the request as a trial, at an endpoint of its region.
func (f *inflight) mayTry() bool {
	return f.sends == 0 && !f.hopped() && f.route.Allows(f.server.settings.Region)
}

// liveInstances returns the names of the instances that are ready, including this one.
func (s *Server) liveInstances() []ident.Entry {
	live := []ident.Entry{s.settings.Name}
	for _, peer := range s.node.Alive() {
		live = append(live, peer.Name)
	}
	return live
}
