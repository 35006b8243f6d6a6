package fleet

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Outcome says how an attempt ended.
type Outcome string

// Outcomes.
const (
	// Complete says that the whole answer came.
	Complete Outcome = "complete"
	// Refused says that the endpoint did not run the request.
	Refused Outcome = "refused"
	// Broken says that the connection broke after bytes were written.
	Broken Outcome = "broken"
	// Unreachable says that the endpoint could not be reached and did not run the request.
	Unreachable Outcome = "unreachable"
	// Cancelled says that the entry gave up the attempt.
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
	// Long says that the request is of a class that is not urgent.
	Long bool
	// Size is the expected time to run the request; 0 if unknown.
	Size   clock.Span
	Prefix ident.Prefix
	// Alone says that nothing else may run beside the request.
	Alone bool
}

// attempt is an Attempt in flight.
type attempt struct {
	Attempt
	endpoint *endpoint
	began    clock.Time
	// excused says that a queue or a prompt that is not cached explains a late first
	// token.
	excused bool
	// first is when the first token came; 0 if it has not.
	first clock.Time
	// moved and tokens are the time and count of the last progress known.
	moved  clock.Time
	tokens ident.Tokens
}

// older orders attempts by their start, then by id.
func (r *attempt) older(o *attempt) bool {
	if r.began != o.began {
		return r.began.Before(o.began)
	}
	if r.Request != o.Request {
		return r.Request < o.Request
	}
	return r.Try < o.Try
}

// Begin records that an attempt was sent. An attempt to an endpoint that is no
// longer known is kept too, so that its end can be recorded.
func (f *Fleet) Begin(now clock.Time, a Attempt) {
	k := key{a.Request, a.Try}
	if _, ok := f.attempts[k]; ok {
		return
	}
	r := &attempt{Attempt: a, began: now}
	f.attempts[k] = r
	e := f.endpoints[a.Endpoint]
	if e == nil {
		return
	}
	r.endpoint = e
	e.begin(now, r, f.random.Float64())
}

// begin adds r to the endpoint's attempts. jitter, from 0 to 1, spreads probes.
func (e *endpoint) begin(now clock.Time, r *attempt, jitter float64) {
	r.excused = e.estimate()+1 > float64(e.slots) || r.Prefix != 0 && !e.prefixes[r.Prefix]
	e.attempts = append(e.attempts, r)
	if r.Long {
		e.long++
	}
	if r.Alone {
		e.alone++
	}
	e.note(now)
	e.group.began++
	e.slow.began(now, e.group.began, jitter)
}

// First records the first token of an attempt.
func (f *Fleet) First(now clock.Time, request ident.Request, try ident.Try) {
	r := f.attempts[key{request, try}]
	if r == nil || r.first != 0 {
		return
	}
	r.first = now
	r.moved = now
	r.tokens = 1
	if r.endpoint != nil {
		r.endpoint.slow.opened(r, now.Sub(r.began))
	}
}

// Progress records how many tokens of an attempt have come so far. It is optional:
// with it, slow tokens are seen before the attempt ends.
func (f *Fleet) Progress(now clock.Time, request ident.Request, try ident.Try, tokens ident.Tokens) {
	r := f.attempts[key{request, try}]
	if r == nil || r.first == 0 || r.endpoint == nil {
		return
	}
	r.step(now, tokens)
}

// step takes in the tokens since the last progress if they, or the time without
// them, are enough to measure.
func (r *attempt) step(now clock.Time, tokens ident.Tokens) {
	n := tokens - r.tokens
	if n < minTokens && now.Sub(r.moved) < maxSampleTime {
		return
	}
	per := float64(now.Sub(r.moved)) / float64(max(1, n))
	r.endpoint.slow.between.add(per, r.endpoint.slow.rate())
	r.moved = now
	r.tokens = tokens
}

// End records the end of an attempt and the number of tokens that came.
func (f *Fleet) End(now clock.Time, request ident.Request, try ident.Try, o Outcome, tokens ident.Tokens) {
	k := key{request, try}
	r := f.attempts[k]
	if r == nil {
		return
	}
	delete(f.attempts, k)
	if r.endpoint == nil {
		return
	}
	r.endpoint.end(now, r)
	r.endpoint.learn(now, r, o, tokens)
	if o == Complete {
		r.endpoint.group.lasted(now.Sub(r.began))
	}
}

// end takes r off the endpoint's attempts.
func (e *endpoint) end(now clock.Time, r *attempt) {
	for i, o := range e.attempts {
		if o == r {
			e.attempts = append(e.attempts[:i], e.attempts[i+1:]...)
			break
		}
	}
	if r.Long {
		e.long--
	}
	if r.Alone {
		e.alone--
	}
	e.note(now)
}

// learn takes in what the end of r says about the endpoint.
func (e *endpoint) learn(now clock.Time, r *attempt, o Outcome, tokens ident.Tokens) {
	switch o {
	case Unreachable:
		e.fail()
	case Complete:
		e.slow.closed(r, now, tokens)
	case Cancelled:
		e.slow.given(r, now)
	}
}

// Crashed records that endpoint n crashed and returns the attempts that were in
// flight there, oldest first; they are no longer accounted. The endpoint is down
// until it reports, with figures from after the crash, that it is ready.
func (f *Fleet) Crashed(now clock.Time, n ident.Endpoint) []Attempt {
	var lost []Attempt
	if e := f.endpoints[n]; e != nil {
		for len(e.attempts) > 0 {
			r := e.attempts[0]
			lost = append(lost, r.Attempt)
			delete(f.attempts, key{r.Request, r.Try})
			e.end(now, r)
		}
		e.crash(now)
	}
	return lost
}

// crash makes the endpoint down with a cold cache.
func (e *endpoint) crash(now clock.Time) {
	e.fail()
	e.crashed = now
	e.others = 0
	e.load = 0
	e.slow = newSlowness()
	clear(e.prefixes)
}
