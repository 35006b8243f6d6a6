// Package queue implements the bounded queue of waiting requests at one entry. Requests
// are ordered by urgency, then fairly between callers, then by deadline.
package queue

import (
	"sort"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Kind classifies the errors of this package.
type Kind string

// Error kinds.
const (
	// KindFull is returned if the queue of the service is full of requests that are at least
	// as urgent.
	KindFull Kind = "full"
	// KindCallerLimit is returned if the caller has reached its limit of waiting requests.
	KindCallerLimit Kind = "share"
	// KindDuplicate is returned if a request with the same id is already queued.
	KindDuplicate Kind = "known"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Decision is the decision of a Scan callback about an item.
type Decision int

// Decisions of a Scan callback.
const (
	// Skip keeps the item and continues with the next.
	Skip Decision = iota
	// Take removes the item and continues with the next.
	Take
	// SkipClass keeps the item and visits no further items of its class.
	SkipClass
	// Stop keeps the item and ends the scan.
	Stop
)

// Item is a waiting request.
type Item struct {
	Request ident.Request
	Service ident.Service
	Class   ident.Class
	// Urgency is the priority of the item; 0 is the most urgent.
	Urgency int
	Caller  ident.Caller
	Arrived clock.Time
	// Deadline is the time after which the item must not be started any more.
	Deadline clock.Time
	// SlotTime is the time for which the request is expected to occupy a slot.
	SlotTime clock.Span
}

// Config bounds a Queue. A bound of 0 or less means no bound.
type Config struct {
	// PerService is the maximum number of waiting items of one service.
	PerService int
	// PerCaller is the maximum number of waiting items of one caller over all services.
	PerCaller int
}

// Queue holds waiting items. It is not safe for concurrent use.
type Queue struct {
	config   Config
	services []*serviceQueue
	requests map[ident.Request]*queuedItem
	callers  map[ident.Caller]int
	sequence uint64
}

// New returns an empty Queue.
func New(config Config) *Queue {
	return &Queue{
		config:   config,
		requests: map[ident.Request]*queuedItem{},
		callers:  map[ident.Caller]int{},
	}
}

// Configure replaces the bounds. Items that are already queued are kept.
func (q *Queue) Configure(config Config) { q.config = config }

// Len returns the number of items in the queue.
func (q *Queue) Len() int { return len(q.requests) }

// Waiting returns the number of waiting items of a service. Within a Scan callback,
// items already taken are not counted.
func (q *Queue) Waiting(service ident.Service) int {
	if queue := q.find(service); queue != nil {
		return queue.count
	}
	return 0
}

// Push adds an item. If the queue of its service is full, Push sheds the least urgent
// items with the latest deadlines, provided that they are less urgent than the new one,
// and returns them. Errors are of kind KindFull, KindCallerLimit or KindDuplicate.
func (q *Queue) Push(_ clock.Time, item Item) ([]Item, error) {
	if _, ok := q.requests[item.Request]; ok {
		return nil, fault.New("push", KindDuplicate)
	}
	if q.config.PerCaller > 0 && q.callers[item.Caller] >= q.config.PerCaller {
		return nil, fault.New("push", KindCallerLimit)
	}
	queue := q.serviceQueue(item.Service)
	shed, ok := q.makeRoom(queue, item.Urgency)
	if !ok {
		return nil, fault.New("push", KindFull)
	}
	q.sequence++
	element := &queuedItem{item: item, sequence: q.sequence}
	q.requests[item.Request] = element
	q.callers[item.Caller]++
	queue.add(element)
	return shed, nil
}

// makeRoom sheds items that are less urgent than urgency until one more item fits.
func (q *Queue) makeRoom(queue *serviceQueue, urgency int) ([]Item, bool) {
	if q.config.PerService <= 0 || queue.count < q.config.PerService {
		return nil, true
	}
	candidates := queue.shedCandidates(queue.count-q.config.PerService+1, urgency)
	if candidates == nil {
		return nil, false
	}
	shed := make([]Item, 0, len(candidates))
	for _, e := range candidates {
		q.removeItem(queue, e)
		shed = append(shed, e.item)
	}
	return shed, true
}

// Walk visits the items of a service in order, except those past their deadline, and
// removes those for which take returns true. take must not modify the queue.
func (q *Queue) Walk(now clock.Time, service ident.Service, take func(Item) bool) {
	q.Scan(now, service, func(item Item) Decision {
		if take(item) {
			return Take
		}
		return Skip
	})
}

// Scan is like Walk, but its callback can also skip the rest of a class or end the scan.
// An item that is kept may be visited twice. The callback must not modify the queue.
func (q *Queue) Scan(now clock.Time, service ident.Service, visit func(Item) Decision) {
	queue := q.find(service)
	if queue == nil || queue.count == 0 {
		return
	}
	taken := queue.scan(now, visit)
	for _, e := range taken {
		q.uncount(e)
	}
	clear(taken)
}

// Remove removes and returns the item of a request; false if it is not queued.
func (q *Queue) Remove(id ident.Request) (Item, bool) {
	element, ok := q.requests[id]
	if !ok {
		return Item{}, false
	}
	q.removeItem(q.find(element.item.Service), element)
	return element.item, true
}

// Expire removes and returns the items whose deadline has passed, earliest deadline first.
func (q *Queue) Expire(now clock.Time) []Item {
	var expired []*queuedItem
	for _, s := range q.services {
		expired = s.appendExpired(now, expired)
	}
	sort.Slice(expired, func(a, b int) bool { return expired[a].dueBefore(expired[b]) })
	items := make([]Item, 0, len(expired))
	for _, e := range expired {
		q.removeItem(q.find(e.item.Service), e)
		items = append(items, e.item)
	}
	return items
}

// removeItem removes an item from its service queue and from the index.
func (q *Queue) removeItem(queue *serviceQueue, element *queuedItem) {
	queue.remove(element)
	q.uncount(element)
}

// uncount removes an item from the index and from the count of its caller.
func (q *Queue) uncount(element *queuedItem) {
	delete(q.requests, element.item.Request)
	q.callers[element.item.Caller]--
	if q.callers[element.item.Caller] <= 0 {
		delete(q.callers, element.item.Caller)
	}
}

// find returns the queue of a service, or nil.
func (q *Queue) find(service ident.Service) *serviceQueue {
	for _, s := range q.services {
		if s.service == service {
			return s
		}
	}
	return nil
}

// serviceQueue returns the queue of a service and creates it if needed.
func (q *Queue) serviceQueue(service ident.Service) *serviceQueue {
	if queue := q.find(service); queue != nil {
		return queue
	}
	queue := &serviceQueue{service: service}
	q.services = append(q.services, queue)
	return queue
}
