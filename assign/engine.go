package assign

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

// engine is what is known of the models of one engine.
type engine struct {
	Report
	// heard is when the last report came.
	heard clock.Time
	// ordered is the order that is not yet answered; 0 if there is none.
	ordered Number
	// begun is when the last order was answered, until a report shows what came of it.
	begun clock.Time
	// asked is the model of that order until it is loaded or the load has failed.
	asked string
	// due is the earliest time of the next order; 0 if the model is not missing.
	due clock.Time
	// failures counts the orders since the model was last seen that came to nothing.
	failures int
	// turned is when the engine got its turn, passed how many turns it let pass.
	turned clock.Time
	passed int
}

func (e *engine) report(now clock.Time, r Report, upTo func(clock.Span) clock.Span) {
	silent := now.Sub(e.heard) >= fresh
	e.Report = r
	e.heard = now
	switch {
	case e.asked == "":
	case slices.Contains(r.Models, e.asked):
		e.asked, e.begun = "", 0
	case len(r.Loading) > 0:
		e.begun = 0
	case now.Sub(e.begun) >= begins:
		// The load failed, or the engine crashed before its end.
		e.asked, e.begun = "", 0
		e.postpone(now, upTo)
	}
	if silent {
		// The engine or this process was stopped; what others do is not known yet.
		e.silence()
	}
}

// expect notes that the next reports should show a load.
func (e *engine) expect(now clock.Time, model string) {
	e.asked, e.begun = model, now
}

// starts ends the turn of an engine that loads. A later order waits anew.
func (e *engine) starts(now clock.Time) {
	e.turned = 0
	if !now.Before(e.due) {
		e.due = 0
	}
}

// loads tells whether the engine is seen to load a model or may have begun to.
func (e *engine) loads(now clock.Time) bool {
	if e.ordered > 0 {
		return true
	}
	if e.begun > 0 {
		return now.Sub(e.begun) < holding
	}
	return len(e.Loading) > 0 && now.Sub(e.heard) < holding
}

// lacks tells whether a fresh report shows that the engine has not got a model.
func (e *engine) lacks(now clock.Time, model string) bool {
	return e.Lists && now.Sub(e.heard) < fresh && !slices.Contains(e.Models, model)
}

// await starts the delay of an engine that is first seen without its model. After
// orders that came to nothing it is longer: a load may be what ends the engine.
func (e *engine) await(now clock.Time, delay clock.Span) {
	if e.due == 0 {
		e.due = now.Add(delay + e.backoff() - backoff)
	}
}

// rest forgets the delays of an engine that needs no order of this entry.
func (e *engine) rest() {
	e.silence()
	e.passed, e.failures = 0, 0
}

// silence starts the delays of an engine that can't be asked anew. What its orders
// came to is kept.
func (e *engine) silence() { e.due, e.turned = 0, 0 }

// backoff returns the delay after the orders that came to nothing so far.
func (e *engine) backoff() clock.Span { return min(longest, backoff<<e.failures) }

// takeTurn notes that the engine is one of those that may load next. If it does not
// begin for long, its turn passes.
func (e *engine) takeTurn(now clock.Time) {
	if e.turned == 0 {
		e.turned = now
	}
	if now.Sub(e.turned) >= turn {
		e.turned = 0
		e.passed++
	}
}

// postpone delays the next order after one that came to nothing.
func (e *engine) postpone(now clock.Time, upTo func(clock.Span) clock.Span) {
	delay := e.backoff()
	if delay < longest {
		e.failures++
	}
	e.due = now.Add(delay/2 + upTo(delay/2))
}
