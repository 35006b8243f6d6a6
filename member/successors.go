package member

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// successorTTL is how long a successor is kept; it is well above the validity of a ticket.
	successorTTL     = 10 * clock.Minute
	maxSuccessors    = 1024
	maxSuccessorHops = 8
)

type processKey struct {
	entry       ident.Entry
	incarnation ident.Incarnation
}

type successor struct {
	entry   ident.Entry
	addedAt clock.Time
}

type successors map[processKey]successor

// add stores a successor and reports whether it is new.
func (s successors) add(now clock.Time, key processKey, to ident.Entry) bool {
	if s[key].entry == to {
		return false
	}
	if len(s) >= maxSuccessors {
		s.evictOldest()
	}
	s[key] = successor{entry: to, addedAt: now}
	return true
}

func (s successors) find(entry ident.Entry, incarnation ident.Incarnation) (ident.Entry, bool) {
	to, ok := s[processKey{entry, incarnation}]
	return to.entry, ok
}

func (s successors) expire(now clock.Time) {
	for l, to := range s {
		if now.Sub(to.addedAt) > successorTTL {
			delete(s, l)
		}
	}
}

func (s successors) evictOldest() {
	var oldest processKey
	var since clock.Time
	found := false
	for l, to := range s {
		if !found || to.addedAt.Before(since) {
			oldest, since, found = l, to.addedAt, true
		}
	}
	delete(s, oldest)
}
