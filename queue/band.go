package queue

import (
	"sort"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// entry is an item with its place in the order of its band.
type entry struct {
	item     Item
	sequence uint64
	// round is the turn of the item's caller in which the item is due.
	round uint64
}

// sooner orders entries by deadline, then by arrival.
func (e *entry) sooner(o *entry) bool {
	if e.item.Deadline != o.item.Deadline {
		return e.item.Deadline.Before(o.item.Deadline)
	}
	return e.sequence < o.sequence
}

// before orders the entries of a band.
func (e *entry) before(o *entry) bool {
	if e.round != o.round {
		return e.round < o.round
	}
	return e.sooner(o)
}

// band holds the items of one urgency in rounds: each caller has at most one item
// in a round, and within a round the earliest deadline comes first. The round of
// an item is fixed when it is added, as in self-clocked fair queueing, so that
// later arrivals can't overtake it for ever.
type band struct {
	urgency int
	entries []*entry
	callers map[ident.Caller]*caller
	// round is the latest round that was reached by taking items.
	round uint64
	// passed counts what was taken from more urgent bands since this one's last turn.
	passed int
	// mixed says that items of several classes may be in the band.
	mixed bool
}

// caller holds what one caller has in a band.
type caller struct {
	// entries is in order of deadline, and so in order of rounds.
	entries []*entry
	// last is the latest round given to the caller.
	last uint64
}

func newBand(urgency int) *band {
	return &band{urgency: urgency, callers: map[ident.Caller]*caller{}}
}

// add gives e the next round of its caller. If e has an earlier deadline than
// others of the caller, it takes the round of the first of them, and they move back.
func (b *band) add(e *entry) {
	if len(b.entries) == 0 {
		b.mixed = false
	} else if b.entries[0].item.Class != e.item.Class {
		b.mixed = true
	}
	c := b.callers[e.item.Caller]
	if c == nil {
		c = &caller{}
		b.callers[e.item.Caller] = c
	}
	c.last = max(c.last, b.round) + 1
	at := sort.Search(len(c.entries), func(i int) bool { return e.sooner(c.entries[i]) })
	c.entries = append(c.entries, nil)
	copy(c.entries[at+1:], c.entries[at:])
	c.entries[at] = e
	b.shift(c, at)
}

// shift gives the entries of c from index at on the round of their successor and
// puts them into the order of the band.
func (b *band) shift(c *caller, at int) {
	moved := c.entries[at+1:]
	e := c.entries[at]
	for _, m := range moved {
		b.cut(m)
	}
	for i := range moved {
		e.round, moved[i].round = moved[i].round, c.last
		b.insert(e)
		e = moved[i]
	}
	e.round = c.last
	b.insert(e)
}

// insert puts e into the order of the band.
func (b *band) insert(e *entry) {
	at := sort.Search(len(b.entries), func(i int) bool { return e.before(b.entries[i]) })
	b.entries = append(b.entries, nil)
	copy(b.entries[at+1:], b.entries[at:])
	b.entries[at] = e
}

// cut takes e out of the order of the band.
func (b *band) cut(e *entry) {
	at := sort.Search(len(b.entries), func(i int) bool { return !b.entries[i].before(e) })
	copy(b.entries[at:], b.entries[at+1:])
	b.entries[len(b.entries)-1] = nil
	b.entries = b.entries[:len(b.entries)-1]
}

// remove takes e out of the band without a turn of its caller.
func (b *band) remove(e *entry) {
	b.cut(e)
	b.leave(e)
}

// leave takes e off its caller's list.
func (b *band) leave(e *entry) {
	c := b.callers[e.item.Caller]
	for i, o := range c.entries {
		if o == e {
			c.entries = append(c.entries[:i], c.entries[i+1:]...)
			break
		}
	}
	if len(c.entries) == 0 && (c.last <= b.round || len(b.entries) == 0) {
		delete(b.callers, e.item.Caller)
	}
}

// visit calls fn for each entry in order until it asks for the end, and removes
// those that it takes.
func (b *band) visit(fn func(*entry) (take, end bool)) {
	kept := 0
	i := 0
	for end := false; i < len(b.entries) && !end; i++ {
		e := b.entries[i]
		var take bool
		take, end = fn(e)
		if take {
			b.reach(e.round)
			continue
		}
		b.entries[kept], b.entries[i] = e, b.entries[kept]
		kept++
	}
	if kept == i {
		return
	}
	b.compact(kept, i)
}

// compact closes the gap between the kept entries and the unvisited ones from
// index rest on; the entries in the gap were taken.
func (b *band) compact(kept, rest int) {
	taken := append([]*entry(nil), b.entries[kept:rest]...)
	n := copy(b.entries[kept:], b.entries[rest:])
	clear(b.entries[kept+n:])
	b.entries = b.entries[:kept+n]
	for _, e := range taken {
		b.leave(e)
	}
	b.prune()
}

// reach moves the band's round towards that of an item taken, by one at most: an
// item taken out of order must not push newcomers behind all that wait.
func (b *band) reach(round uint64) {
	if round > b.round {
		b.round++
	}
}

// prune forgets callers without items whose turns have been reached.
func (b *band) prune() {
	if len(b.callers) <= 2*len(b.entries)+16 {
		return
	}
	for n, c := range b.callers {
		if len(c.entries) == 0 && (c.last <= b.round || len(b.entries) == 0) {
			delete(b.callers, n)
		}
	}
}

// latest returns up to n entries with the latest deadlines, the latest first.
func (b *band) latest(n int) []*entry {
	found := append([]*entry(nil), b.entries...)
	sort.Slice(found, func(i, j int) bool { return found[j].sooner(found[i]) })
	return found[:min(n, len(found))]
}
