package fleet

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Outcome is the way an attempt ended.
type Outcome string

// Outcomes.
const (
	// Complete means that the whole response was received.
	Complete Outcome = "complete"
	// Refused means that the endpoint did not run the request.
	Refused Outcome = "refused"
	// Broken means that the connection broke after bytes were written.
	Broken Outcome = "broken"
	// Unreachable means that no connection was established, so the request did not run.
	Unreachable Outcome = "unreachable"
	// Cancelled means that the entry aborted the attempt.
	Cancelled Outcome = "cancelled"
)

// Attempt is one dispatch of a request to an endpoint.
type Attempt struct {
	Request  ident.Request
	Try      ident.Try
	Endpoint ident.Endpoint
	Service  ident.Service
	Class    ident.Class
	Urgency  int
	// Long is set if the class of the request is not urgent.
	Long bool
	// Size is the expected running time of the request; 0 if unknown.
	Size   clock.Span
	Prefix ident.Prefix
	// Alone is set if no other request may run on the endpoint at the same time.
	Alone bool
}

// attempt is an Attempt in flight.
type attempt struct {
	Attempt
	endpoint  *endpoint
	startedAt clock.Time
	// delayExpected is set if a queue or an uncached prompt accounts for a late first
	// token.
	delayExpected bool
	// firstTokenAt is when the first token arrived; 0 if it has not.
	firstTokenAt clock.Time
	// progressAt and tokens are the time and the token count of the last progress update.
	progressAt clock.Time
	tokens     ident.Tokens
}

// startedBefore orders attempts by start time, then by request and try.
func (r *attempt) startedBefore(o *attempt) bool {
	if r.startedAt != o.startedAt {
		return r.startedAt.Before(o.startedAt)
	}
	if r.Request != o.Request {
		return r.Request < o.Request
	}
	return r.Try < o.Try
}

// Begin records that an attempt was sent. Attempts to unknown endpoints are recorded too,
// so that End finds them.
func (f *Fleet) Begin(now clock.Time, a Attempt) {
	k := attemptKey{a.Request, a.Try}
	if _, ok := f.attempts[k]; ok {
		return
	}
	r := &attempt{Attempt: a, startedAt: now}
	f.attempts[k] = r
	e := f.endpoints[a.Endpoint]
	if e == nil {
		return
	}
	r.endpoint = e
	e.addAttempt(now, r, f.random.Float64())
}

// addAttempt adds r to the attempts in flight. jitter, from 0 to 1, spreads probes.
func (e *endpoint) addAttempt(now clock.Time, r *attempt, jitter float64) {
	r.delayExpected = e.estimatedLoad()+1 > float64(e.slots) || r.Prefix != 0 && !e.prefixes[r.Prefix]
	e.attempts = append(e.attempts, r)
	if r.Long {
		e.longAttempts++
	}
	if r.Alone {
		e.exclusiveAttempts++
	}
	e.recordCount(now)
	e.group.attemptsStarted++
	e.speed.attemptStarted(now, e.group.attemptsStarted, jitter)
}

// First records the first token of an attempt.
func (f *Fleet) First(now clock.Time, request ident.Request, try ident.Try) {
	r := f.attempts[attemptKey{request, try}]
	if r == nil || r.firstTokenAt != 0 {
		return
	}
	r.firstTokenAt = now
	r.progressAt = now
	r.tokens = 1
	if r.endpoint != nil {
		r.endpoint.speed.recordFirstToken(r, now.Sub(r.startedAt))
	}
}

// Progress records the number of tokens received so far. It is optional: with it, a slow
// token rate is detected before the attempt ends.
func (f *Fleet) Progress(now clock.Time, request ident.Request, try ident.Try, tokens ident.Tokens) {
	r := f.attempts[attemptKey{request, try}]
	if r == nil || r.firstTokenAt == 0 || r.endpoint == nil {
		return
	}
	r.recordProgress(now, tokens)
}

// recordProgress adds a sample of the time between tokens once enough tokens or enough
// time have accumulated since the last sample.
func (r *attempt) recordProgress(now clock.Time, tokens ident.Tokens) {
	n := tokens - r.tokens
	if n < minTokens && now.Sub(r.progressAt) < maxSampleTime {
		return
	}
	per := float64(now.Sub(r.progressAt)) / float64(max(1, n))
	r.endpoint.speed.betweenTokens.add(per, r.endpoint.speed.nextSampleWeight())
	r.progressAt = now
	r.tokens = tokens
}

// End records the end of an attempt and the number of tokens received.
func (f *Fleet) End(now clock.Time, request ident.Request, try ident.Try, outcome Outcome, tokens ident.Tokens) {
	k := attemptKey{request, try}
	r := f.attempts[k]
	if r == nil {
		return
	}
	delete(f.attempts, k)
	if r.endpoint == nil {
		return
	}
	r.endpoint.removeAttempt(now, r)
	r.endpoint.applyOutcome(now, r, outcome, tokens)
	if outcome == Complete {
		r.endpoint.group.recordDuration(now.Sub(r.startedAt))
	}
}

// removeAttempt removes r from the attempts in flight.
func (e *endpoint) removeAttempt(now clock.Time, r *attempt) {
	for i, o := range e.attempts {
		if o == r {
			e.attempts = append(e.attempts[:i], e.attempts[i+1:]...)
			break
		}
	}
	if r.Long {
		e.longAttempts--
	}
	if r.Alone {
		e.exclusiveAttempts--
	}
	e.recordCount(now)
}

// applyOutcome updates the endpoint's state and speed samples from the end of r.
func (e *endpoint) applyOutcome(now clock.Time, r *attempt, outcome Outcome, tokens ident.Tokens) {
	switch outcome {
	case Unreachable:
		e.markDown()
	case Complete:
		e.speed.recordCompletion(r, now, tokens)
	case Cancelled:
		e.speed.recordCancellation(r, now)
	}
}

// Crashed records that the named endpoint crashed and returns the attempts that were in
// flight there, oldest first; they are no longer accounted for. The endpoint is down
// until it reports, with figures measured after the crash, that it is ready.
func (f *Fleet) Crashed(now clock.Time, name ident.Endpoint) []Attempt {
	var lost []Attempt
	if e := f.endpoints[name]; e != nil {
		for len(e.attempts) > 0 {
			r := e.attempts[0]
			lost = append(lost, r.Attempt)
			delete(f.attempts, attemptKey{r.Request, r.Try})
			e.removeAttempt(now, r)
		}
		e.markCrashed(now)
	}
	return lost
}

// markCrashed marks the endpoint down, with an empty cache and no speed samples.
func (e *endpoint) markCrashed(now clock.Time) {
	e.markDown()
	e.crashedAt = now
	e.othersLoad = 0
	e.reportedLoad = 0
	e.speed = newSpeedStats()
	clear(e.prefixes)
}
