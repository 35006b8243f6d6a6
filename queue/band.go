package queue

import (
	"sort"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// queuedItem is an item with its position in the order of its band.
type queuedItem struct {
	item     Item
	sequence uint64
	// round is the scheduling round of the item.
	round uint64
}

// dueBefore orders items by deadline, then by arrival.
func (e *queuedItem) dueBefore(other *queuedItem) bool {
	if e.item.Deadline != other.item.Deadline {
		return e.item.Deadline.Before(other.item.Deadline)
	}
	return e.sequence < other.sequence
}

// precedes orders the items of a band: by round, then by deadline and arrival.
func (e *queuedItem) precedes(other *queuedItem) bool {
	if e.round != other.round {
		return e.round < other.round
	}
	return e.dueBefore(other)
}

// band is a fair queue of the items of one urgency. Items are ordered in rounds: each
// caller has at most one item per round, and within a round the earliest deadline comes
// first. The round of an item is assigned when it is added, as in self-clocked fair
// queueing, so that later arrivals cannot overtake it forever.
type band struct {
	urgency  int
	elements []*queuedItem
	callers  map[ident.Caller]*callerState
	// round is the virtual time: the latest round reached by taking items.
	round uint64
	// passedOver counts the items taken from more urgent bands since an item was last
	// taken from this one.
	passedOver int
	// mixedClasses is set if the band may hold items of several classes.
	mixedClasses bool
}

// callerState holds the items of one caller in a band.
type callerState struct {
	// elements is ordered by deadline and therefore by round.
	elements []*queuedItem
	// lastRound is the latest round assigned to the caller.
	lastRound uint64
}

func newBand(urgency int) *band {
	return &band{urgency: urgency, callers: map[ident.Caller]*callerState{}}
}

// add assigns the next round of its caller to an item. If the item has an earlier
// deadline than others of the caller, it takes the round of the first of them, and each
// of those takes the round of its successor.
func (b *band) add(element *queuedItem) {
	if len(b.elements) == 0 {
		b.mixedClasses = false
	} else if b.elements[0].item.Class != element.item.Class {
		b.mixedClasses = true
	}
	state := b.callers[element.item.Caller]
	if state == nil {
		state = &callerState{}
		b.callers[element.item.Caller] = state
	}
	state.lastRound = max(state.lastRound, b.round) + 1
	index := sort.Search(len(state.elements), func(i int) bool { return element.dueBefore(state.elements[i]) })
	state.elements = append(state.elements, nil)
	copy(state.elements[index+1:], state.elements[index:])
	state.elements[index] = element
	b.reassignRounds(state, index)
}

// reassignRounds gives each of the caller's items from index on the round of its
// successor, the last one lastRound, and updates the order of the band.
func (b *band) reassignRounds(state *callerState, index int) {
	moved := state.elements[index+1:]
	element := state.elements[index]
	for _, m := range moved {
		b.unlink(m)
	}
	for i := range moved {
		element.round, moved[i].round = moved[i].round, state.lastRound
		b.insert(element)
		element = moved[i]
	}
	element.round = state.lastRound
	b.insert(element)
}

// insert adds an item to the order of the band.
func (b *band) insert(element *queuedItem) {
	index := sort.Search(len(b.elements), func(i int) bool { return element.precedes(b.elements[i]) })
	b.elements = append(b.elements, nil)
	copy(b.elements[index+1:], b.elements[index:])
	b.elements[index] = element
}

// unlink removes an item from the order of the band.
func (b *band) unlink(element *queuedItem) {
	index := sort.Search(len(b.elements), func(i int) bool { return !b.elements[i].precedes(element) })
	copy(b.elements[index:], b.elements[index+1:])
	b.elements[len(b.elements)-1] = nil
	b.elements = b.elements[:len(b.elements)-1]
}

// remove removes an item from the band without advancing the round.
func (b *band) remove(element *queuedItem) {
	b.unlink(element)
	b.removeFromCaller(element)
}

// removeFromCaller removes an item from the list of its caller.
func (b *band) removeFromCaller(element *queuedItem) {
	state := b.callers[element.item.Caller]
	for i, o := range state.elements {
		if o == element {
			state.elements = append(state.elements[:i], state.elements[i+1:]...)
			break
		}
	}
	if len(state.elements) == 0 && (state.lastRound <= b.round || len(b.elements) == 0) {
		delete(b.callers, element.item.Caller)
	}
}

// visit calls the function for each item in order until it returns end, and removes the
// items for which it returns take.
func (b *band) visit(visit func(*queuedItem) (take, end bool)) {
	kept := 0
	next := 0
	for end := false; next < len(b.elements) && !end; next++ {
		element := b.elements[next]
		var take bool
		take, end = visit(element)
		if take {
			b.advance(element.round)
			continue
		}
		b.elements[kept], b.elements[next] = element, b.elements[kept]
		kept++
	}
	if kept == next {
		return
	}
	b.compact(kept, next)
}

// compact removes the taken items, which lie between the kept ones and the unvisited
// ones that start at index rest.
func (b *band) compact(kept, rest int) {
	taken := append([]*queuedItem(nil), b.elements[kept:rest]...)
	moved := copy(b.elements[kept:], b.elements[rest:])
	clear(b.elements[kept+moved:])
	b.elements = b.elements[:kept+moved]
	for _, e := range taken {
		b.removeFromCaller(e)
	}
	b.pruneCallers()
}

// advance moves the round of the band towards that of a taken item by at most one: an
// item taken out of order must not place later arrivals behind all waiting items.
func (b *band) advance(round uint64) {
	if round > b.round {
		b.round++
	}
}

// pruneCallers deletes callers without items whose last round has been reached.
func (b *band) pruneCallers() {
	if len(b.callers) <= 2*len(b.elements)+16 {
		return
	}
	for n, c := range b.callers {
		if len(c.elements) == 0 && (c.lastRound <= b.round || len(b.elements) == 0) {
			delete(b.callers, n)
		}
	}
}

// latestDeadlines returns up to limit items with the latest deadlines, latest first.
func (b *band) latestDeadlines(limit int) []*queuedItem {
	found := append([]*queuedItem(nil), b.elements...)
	sort.Slice(found, func(i, j int) bool { return found[j].dueBefore(found[i]) })
	return found[:min(limit, len(found))]
}
