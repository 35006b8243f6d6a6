package member

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// heirTerm is how long an heir is remembered, well above the validity of a ticket.
	heirTerm = 10 * clock.Minute
	maxHeirs = 1024
	maxHops  = 8
)

type life struct {
	entry       ident.Entry
	incarnation ident.Incarnation
}

type heir struct {
	entry ident.Entry
	since clock.Time
}

type heirs map[life]heir

// learn reports whether the heir is new.
func (h heirs) learn(now clock.Time, l life, to ident.Entry) bool {
	if h[l].entry == to {
		return false
	}
	if len(h) >= maxHeirs {
		h.dropOldest()
	}
	h[l] = heir{entry: to, since: now}
	return true
}

func (h heirs) find(e ident.Entry, i ident.Incarnation) (ident.Entry, bool) {
	to, ok := h[life{e, i}]
	return to.entry, ok
}

func (h heirs) expire(now clock.Time) {
	for l, to := range h {
		if now.Sub(to.since) > heirTerm {
			delete(h, l)
		}
	}
}

func (h heirs) dropOldest() {
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
