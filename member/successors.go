package member

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// successorTerm is how long a successor is remembered, well above the validity of a ticket.
	successorTerm = 10 * clock.Minute
	maxSuccessors = 1024
	maxHops       = 8
)

type life struct {
	entry       ident.Entry
	incarnation ident.Incarnation
}

type successor struct {
	entry ident.Entry
	since clock.Time
}

type successors map[life]successor

// learn reports whether the successor is new.
func (h successors) learn(now clock.Time, l life, to ident.Entry) bool {
	if h[l].entry == to {
		return false
	}
	if len(h) >= maxSuccessors {
		h.dropOldest()
	}
	h[l] = successor{entry: to, since: now}
	return true
}

func (h successors) find(e ident.Entry, i ident.Incarnation) (ident.Entry, bool) {
	to, ok := h[life{e, i}]
	return to.entry, ok
}

func (h successors) expire(now clock.Time) {
	for l, to := range h {
		if now.Sub(to.since) > successorTerm {
			delete(h, l)
		}
	}
}

func (h successors) dropOldest() {
	var oldest life
	var since clock.Time
	found := false
	for l, to := range h {
		if !found || to.since.Before(since) {
			oldest, since, found = l, to.since, true
		}
	}
	delete(h, oldest)
}
