package pool

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

const (
	// maxPause bounds a pause, so that an endpoint that errs about the time is not out of use for good.
	maxPause = 10 * clock.Minute
	// returnInterval is the time within which no more instances than an endpoint has slots return to it
	// after a pause that ends for all at the same time.
	returnInterval = 100 * clock.Millisecond
	// maxReturnDelay bounds how long an instance waits for its turn.
	maxReturnDelay = 3 * clock.Second
)

// paused reports whether the endpoint has asked for a pause that is not over.
func (e *endpoint) paused(now clock.Time) bool { return now.Before(e.selfReport().pausedUntil) }

// returnTime returns when this instance may send requests to an endpoint again that asks for a pause, or
// 0 without a pause. The instances of the region return in turns.
func (p *Pool) returnTime(now clock.Time, from *endpoint, pause clock.Span) clock.Time {
	if pause <= 0 {
		return 0
	}
	turn, turns := p.turn(from)
	window := min(maxReturnDelay, clock.Span(turns)*returnInterval/clock.Span(max(1, from.Slots)))
	return now.Add(min(pause, maxPause) + clock.Span(turn)*window/clock.Span(turns))
}

// turn returns the position of this instance among those of the region, which take turns at an endpoint,
// and their number. Each endpoint has another order.
func (p *Pool) turn(at *endpoint) (turn, turns int) {
	turns = max(1, len(p.members))
	rank, _ := slices.BinarySearch(p.members, p.config.Self)
	return int((uint64(rank) + at.idHash) % uint64(turns)), turns
}

// mayTry reports whether an endpoint whose pause is over may get one more request: one at first, and
// more as it answers.
func (e *endpoint) mayTry() bool { return e.trialLimit == 0 || e.trials < e.trialLimit }

// beginTrial counts a send to an endpoint that returns from a pause.
func (e *endpoint) beginTrial(send *Send) {
	if e.trialLimit > 0 {
		send.trial = true
		e.trials++
		send.excess = e.trials > e.trialLimit
	}
}

// endTrial counts the end of a send. An answer lets the endpoint get twice as many requests, until it
// gets as many as it has slots.
func (e *endpoint) endTrial(send *Send, answered bool) {
	if !send.trial || send.process.Incarnation != e.Incarnation {
		return
	}
	send.trial = false
	e.trials--
	if answered && e.trialLimit > 0 {
		e.trialLimit *= 2
		if e.trialLimit >= e.Slots {
			e.trialLimit = 0
		}
	}
}

// EndedPauses returns the processes whose pause has ended since the last call.
func (p *Pool) EndedPauses(now clock.Time) (ended []Process) {
	for process, until := range p.pauses {
		if !now.Before(until) {
			ended = append(ended, process)
			delete(p.pauses, process)
		}
	}
	return ended
}
