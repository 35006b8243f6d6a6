package store

import "cmp"

// Era counts how often the store has come back from a copy and lost the changes after it. Each era
// gives out revisions again.
type Era int64

// UnknownEra is the era of an answer that does not name one.
const UnknownEra Era = -1

// Revision is the store-wide change counter within an era.
type Revision int64

// Position is a point in the history of the store. The zero value precedes all others.
type Position struct {
	Era      Era
	Revision Revision
}

// Compare returns -1 if p precedes q, 1 if it follows q and 0 if both are equal.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether p precedes q.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// Known reports whether anything has been read as of this position.
func (p Position) Known() bool { return p != Position{} }

// Latest returns the later one of two positions.
func Latest(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}

// in returns the position with the given era if it has none.
func (p Position) in(known Era) Position {
	if p.Era == UnknownEra {
		p.Era = known
	}
	return p
}
