package queue

import (
	"slices"
	"sort"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// turn is how many items may be taken from more urgent bands while a band waits
// before its first item that fits goes ahead of them. Without it, a lasting
// surplus of urgent work would starve the rest.
const turn = 16

// line holds the items of one service, in bands of equal urgency.
type line struct {
	service ident.Service
	bands   []*band
	count   int
	// taken and skipped are reused by scan.
	taken   []*entry
	skipped []ident.Class
}

// add inserts e into the band of its urgency.
func (l *line) add(e *entry) {
	l.band(e.item.Urgency).add(e)
	l.count++
}

// remove takes e out of its band.
func (l *line) remove(e *entry) {
	l.band(e.item.Urgency).remove(e)
	l.count--
}

// band returns the band of urgency u and creates it in order if needed.
func (l *line) band(u int) *band {
	at := sort.Search(len(l.bands), func(i int) bool { return l.bands[i].urgency >= u })
	if at < len(l.bands) && l.bands[at].urgency == u {
		return l.bands[at]
	}
	b := newBand(u)
	l.bands = append(l.bands, nil)
	copy(l.bands[at+1:], l.bands[at:])
	l.bands[at] = b
	return b
}

// latest returns the n items to shed in favour of work of urgency u: the least
// urgent first and among those the latest deadline first. It returns nil if
// there are fewer than n that are less urgent than u.
func (l *line) latest(n, u int) []*entry {
	var found []*entry
	for i := len(l.bands) - 1; i >= 0 && len(found) < n; i-- {
		b := l.bands[i]
		if b.urgency <= u {
			return nil
		}
		found = append(found, b.latest(n-len(found))...)
	}
	if len(found) < n {
		return nil
	}
	return found
}

// late appends the items whose deadline has passed.
func (l *line) late(now clock.Time, found []*entry) []*entry {
	for _, b := range l.bands {
		for _, e := range b.entries {
			if e.item.Deadline.Before(now) {
				found = append(found, e)
			}
		}
	}
	return found
}

// scan visits the items in order and returns those that were taken; the slice is
// valid until the next scan.
func (l *line) scan(now clock.Time, visit func(Item) Step) []*entry {
	l.taken = l.taken[:0]
	l.skipped = l.skipped[:0]
	stopped := l.overdue(now, visit)
	for i := 0; i < len(l.bands) && !stopped; i++ {
		stopped = l.pass(now, i, len(l.bands[i].entries), visit)
	}
	return l.taken
}

// overdue lets each band that was passed over too often take one item first.
func (l *line) overdue(now clock.Time, visit func(Item) Step) bool {
	for i := 1; i < len(l.bands); i++ {
		b := l.bands[i]
		if b.passed < turn || len(b.entries) == 0 {
			continue
		}
		if l.pass(now, i, 1, visit) {
			return true
		}
	}
	return false
}

// pass visits band i until the band ends, limit items were taken or the callback
// stops; it reports whether the callback stopped.
func (l *line) pass(now clock.Time, i, limit int, visit func(Item) Step) bool {
	b := l.bands[i]
	first := len(l.taken)
	stopped := false
	b.visit(func(e *entry) (take, end bool) {
		if e.item.Deadline.Before(now) || l.skips(e.item.Class) {
			return false, false
		}
		switch visit(e.item) {
		case Take:
			l.taken = append(l.taken, e)
			l.count--
			return true, len(l.taken)-first >= limit
		case SkipClass:
			l.skipped = append(l.skipped, e.item.Class)
			return false, !b.mixed
		case Stop:
			stopped = true
			return false, true
		}
		return false, false
	})
	l.settle(i, len(l.taken)-first)
	return stopped
}

// settle updates the turns after n items were taken from band i.
func (l *line) settle(i, n int) {
	if n == 0 {
		return
	}
	l.bands[i].passed = 0
	for _, b := range l.bands[i+1:] {
		if len(b.entries) > 0 {
			b.passed += n
		}
	}
}

// skips reports whether the callback has ended the visit of class c.
func (l *line) skips(c ident.Class) bool {
	return slices.Contains(l.skipped, c)
}
