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
	Number   ident.Attempt
	Endpoint ident.Endpoint
	Service  ident.Service
	Class    ident.Class
	Urgency  int
	// Long is set if the class of the request is not urgent.
	Long bool
	// ExpectedDuration is the expected running time of the request; 0 if unknown.
	ExpectedDuration clock.Span
	Prefix           ident.Prefix
	// Exclusive is set if no other request may run on the endpoint at the same time.
	Exclusive bool
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

// startedBefore orders attempts by start time, then by request and number.
func (a *attempt) startedBefore(other *attempt) bool {
	if a.startedAt != other.startedAt {
		return a.startedAt.Before(other.startedAt)
	}
	if a.Request != other.Request {
		return a.Request < other.Request
	}
	return a.Number < other.Number
}

// Begin records that an attempt was sent. Attempts to unknown endpoints are recorded too,
// so that End finds them.
func (f *Fleet) Begin(now clock.Time, sent Attempt) {
	key := attemptKey{sent.Request, sent.Number}
	if _, ok := f.attempts[key]; ok {
		return
	}
	attempt := &attempt{Attempt: sent, startedAt: now}
	f.attempts[key] = attempt
	endpoint := f.endpoints[sent.Endpoint]
	if endpoint == nil {
		return
	}
	attempt.endpoint = endpoint
	endpoint.addAttempt(now, attempt, f.random.Float64())
}

// addAttempt adds an attempt to the attempts in flight. jitter, from 0 to 1, spreads probes.
func (e *endpoint) addAttempt(now clock.Time, attempt *attempt, jitter float64) {
	attempt.delayExpected = e.estimatedLoad()+1 > float64(e.slots) || attempt.Prefix != 0 && !e.prefixes[attempt.Prefix]
	e.attempts = append(e.attempts, attempt)
	if attempt.Long {
		e.longAttempts++
	}
	if attempt.Exclusive {
		e.exclusiveAttempts++
	}
	e.recordCount(now)
	e.group.attemptsStarted++
	e.speed.attemptStarted(now, e.group.attemptsStarted, jitter)
}

// RecordFirstToken records the first token of an attempt.
func (f *Fleet) RecordFirstToken(now clock.Time, request ident.Request, number ident.Attempt) {
	attempt := f.attempts[attemptKey{request, number}]
	if attempt == nil || attempt.firstTokenAt != 0 {
		return
	}
	attempt.firstTokenAt = now
	attempt.progressAt = now
	attempt.tokens = 1
	if attempt.endpoint != nil {
		attempt.endpoint.speed.recordFirstToken(attempt, now.Sub(attempt.startedAt))
	}
}

// Progress records the number of tokens received so far. It is optional: with it, a slow
// token rate is detected before the attempt ends.
func (f *Fleet) Progress(now clock.Time, request ident.Request, number ident.Attempt, tokens ident.Tokens) {
	attempt := f.attempts[attemptKey{request, number}]
	if attempt == nil || attempt.firstTokenAt == 0 || attempt.endpoint == nil {
		return
	}
	attempt.recordProgress(now, tokens)
}

// recordProgress adds a sample of the time between tokens once enough tokens or enough
// time have accumulated since the last sample.
func (a *attempt) recordProgress(now clock.Time, tokens ident.Tokens) {
	count := tokens - a.tokens
	if count < minTokens && now.Sub(a.progressAt) < maxSampleTime {
		return
	}
	interval := float64(now.Sub(a.progressAt)) / float64(max(1, count))
	a.endpoint.speed.betweenTokens.add(interval, a.endpoint.speed.nextSampleWeight())
	a.progressAt = now
	a.tokens = tokens
}

// End records the end of an attempt and the number of tokens received.
func (f *Fleet) End(now clock.Time, request ident.Request, number ident.Attempt, outcome Outcome, tokens ident.Tokens) {
	key := attemptKey{request, number}
	attempt := f.attempts[key]
	if attempt == nil {
		return
	}
	delete(f.attempts, key)
	if attempt.endpoint == nil {
		return
	}
	attempt.endpoint.removeAttempt(now, attempt)
	attempt.endpoint.applyOutcome(now, attempt, outcome, tokens)
	if outcome == Complete {
		attempt.endpoint.group.recordDuration(now.Sub(attempt.startedAt))
	}
}

// removeAttempt removes an attempt from the attempts in flight.
func (e *endpoint) removeAttempt(now clock.Time, attempt *attempt) {
	for i, o := range e.attempts {
		if o == attempt {
			e.attempts = append(e.attempts[:i], e.attempts[i+1:]...)
			break
		}
	}
	if attempt.Long {
		e.longAttempts--
	}
	if attempt.Exclusive {
		e.exclusiveAttempts--
	}
	e.recordCount(now)
}

// applyOutcome updates the endpoint's state and speed samples when an attempt ends.
func (e *endpoint) applyOutcome(now clock.Time, attempt *attempt, outcome Outcome, tokens ident.Tokens) {
	switch outcome {
	case Unreachable:
		e.markDown()
	case Complete:
		e.speed.recordCompletion(attempt, now, tokens)
	case Cancelled:
		e.speed.recordCancellation(attempt, now)
	}
}

// RecordCrash records that the named endpoint crashed and returns the attempts that were in
// flight there, oldest first; they are no longer accounted for. The endpoint is down
// until it reports, with figures measured after the crash, that it is ready.
func (f *Fleet) RecordCrash(now clock.Time, name ident.Endpoint) []Attempt {
	var lost []Attempt
	if endpoint := f.endpoints[name]; endpoint != nil {
		for len(endpoint.attempts) > 0 {
			attempt := endpoint.attempts[0]
			lost = append(lost, attempt.Attempt)
			delete(f.attempts, attemptKey{attempt.Request, attempt.Number})
			endpoint.removeAttempt(now, attempt)
		}
		endpoint.markCrashed(now)
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
