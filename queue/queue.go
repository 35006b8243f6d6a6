// Package queue holds the requests that wait at one entry, bounded in number and
// ordered by urgency, by turns between callers and by deadline.
package queue

import (
	"sort"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of error.
const (
	// Full says that the queue of the service is full of work that is at least as urgent.
	Full Kind = "full"
	// Share says that the caller has as many requests waiting as it may.
	Share Kind = "share"
	// Known says that a request of that id waits already.
	Known Kind = "known"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Step is what the callback of Scan decides about an item.
type Step int

// Steps of a scan.
const (
	// Skip leaves the item and goes on to the next.
	Skip Step = iota
	// Take removes the item and goes on to the next.
	Take
	// SkipClass leaves the item and visits no further item of its class.
	SkipClass
	// Stop leaves the item and ends the scan.
	Stop
)

// Item is one waiting request.
type Item struct {
	Request ident.Request
	Service ident.Service
	Class   ident.Class
	// Urgency orders items; 0 is the most urgent.
	Urgency int
	Caller  ident.Caller
	Arrived clock.Time
	// Deadline is when the item is no longer worth starting.
	Deadline clock.Time
	// Size is the expected time that the request occupies a slot.
	Size clock.Span
}

// Config bounds a Queue. A bound of 0 or less means no bound.
type Config struct {
	// Limit is the largest number of items that wait for one service.
	Limit int
	// Caller is the largest number of items of one caller, over all services.
	Caller int
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue struct {
	config   Config
	services []*line
	requests map[ident.Request]*entry
	callers  map[ident.Caller]int
	sequence uint64
}

// New returns an empty Queue.
func New(c Config) *Queue {
	return &Queue{
		config:   c,
		requests: map[ident.Request]*entry{},
		callers:  map[ident.Caller]int{},
	}
}

// Configure replaces the bounds. Items that wait already stay.
func (q *Queue) Configure(c Config) { q.config = c }

// Len returns the number of items in the queue.
func (q *Queue) Len() int { return len(q.requests) }

// Waiting returns the number of items that wait for service s; within a callback of
// Scan, items already taken don't count.
func (q *Queue) Waiting(s ident.Service) int {
	if l := q.find(s); l != nil {
		return l.count
	}
	return 0
}

// Held returns the number of items of caller c.
func (q *Queue) Held(c ident.Caller) int { return q.callers[c] }

// Push adds an item. If the service's queue is full, it makes room by removing
// the least urgent items with the latest deadlines, provided that they are less
// urgent than i, and returns them; otherwise the error is of kind Full.
func (q *Queue) Push(_ clock.Time, i Item) ([]Item, error) {
	if _, ok := q.requests[i.Request]; ok {
		return nil, fault.New("push", Known)
	}
	if q.config.Caller > 0 && q.callers[i.Caller] >= q.config.Caller {
		return nil, fault.New("push", Share)
	}
	l := q.line(i.Service)
	shed, ok := q.room(l, i.Urgency)
	if !ok {
		return nil, fault.New("push", Full)
	}
	q.sequence++
	e := &entry{item: i, sequence: q.sequence}
	q.requests[i.Request] = e
	q.callers[i.Caller]++
	l.add(e)
	return shed, nil
}

// room removes items of l that are less urgent than u until one more fits.
func (q *Queue) room(l *line, u int) ([]Item, bool) {
	if q.config.Limit <= 0 || l.count < q.config.Limit {
		return nil, true
	}
	victims := l.latest(l.count-q.config.Limit+1, u)
	if victims == nil {
		return nil, false
	}
	shed := make([]Item, 0, len(victims))
	for _, e := range victims {
		q.drop(l, e)
		shed = append(shed, e.item)
	}
	return shed, true
}

// Walk visits the items of service s that are not past their deadline, in order,
// and removes those for which take returns true. take must not change the queue.
func (q *Queue) Walk(now clock.Time, s ident.Service, take func(Item) bool) {
	q.Scan(now, s, func(i Item) Step {
		if take(i) {
			return Take
		}
		return Skip
	})
}

// Scan is Walk with a callback that can also end the visit of a class or of the
// whole queue. An item that is left may be visited twice. The callback must not
// change the queue.
func (q *Queue) Scan(now clock.Time, s ident.Service, visit func(Item) Step) {
	l := q.find(s)
	if l == nil || l.count == 0 {
		return
	}
	taken := l.scan(now, visit)
	for _, e := range taken {
		q.forget(e)
	}
	clear(taken)
}

// Remove removes the item of request r.
func (q *Queue) Remove(r ident.Request) (Item, bool) {
	e, ok := q.requests[r]
	if !ok {
		return Item{}, false
	}
	q.drop(q.find(e.item.Service), e)
	return e.item, true
}

// Expire removes and returns the items whose deadline has passed, earliest first.
func (q *Queue) Expire(now clock.Time) []Item {
	var late []*entry
	for _, l := range q.services {
		late = l.late(now, late)
	}
	sort.Slice(late, func(a, b int) bool { return late[a].sooner(late[b]) })
	items := make([]Item, 0, len(late))
	for _, e := range late {
		q.drop(q.find(e.item.Service), e)
		items = append(items, e.item)
	}
	return items
}

// drop removes e from its line and from the counts.
func (q *Queue) drop(l *line, e *entry) {
	l.remove(e)
	q.forget(e)
}

// forget removes e from the counts.
func (q *Queue) forget(e *entry) {
	delete(q.requests, e.item.Request)
	q.callers[e.item.Caller]--
	if q.callers[e.item.Caller] <= 0 {
		delete(q.callers, e.item.Caller)
	}
}

// find returns the line of service s, or nil.
func (q *Queue) find(s ident.Service) *line {
	for _, l := range q.services {
		if l.service == s {
			return l
		}
	}
	return nil
}

// line returns the line of service s and creates it if needed.
func (q *Queue) line(s ident.Service) *line {
	if l := q.find(s); l != nil {
		return l
	}
	l := &line{service: s}
	q.services = append(q.services, l)
	return l
}
