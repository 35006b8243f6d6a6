package core

import (
	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/queue"
)

// request is one request in progress at this entry.
type request struct {
	Arrived
	class  bundle.Class
	engine bool
	// once says that the call is not idempotent.
	once  bool
	hedge bool
	// dedupe is the header in which the endpoint gets the key of a call that is not
	// idempotent; "" if it takes none.
	dedupe string
	// unsettled says that a try of such a call broke off and may have been run.
	unsettled bool
	size      clock.Span

	arrived  clock.Time
	deadline clock.Time
	// queued is when the request last joined the queue.
	queued clock.Time
	// waited is the time spent in the queue before the first try.
	waited clock.Span
	// begun is when the first part of the answer came; 0 before that.
	begun clock.Time

	tries  []*try
	number ident.Try
	// refusals counts tries that ended without being run, losses those that broke off.
	refusals int
	losses   int
	// budgeted says that the next try is a retry and needs the retry budget.
	budgeted bool
	mode     Mode
	tokens   ident.Tokens
	avoid    []ident.Endpoint
	// joined lists requests that carry the same ticket and wait for this execution.
	joined []ident.Request
	gone   bool
	// ran says that a try was sent which may have been run in part.
	ran bool
}

// try is one dispatch of a request.
type try struct {
	number   ident.Try
	endpoint ident.Endpoint
	address  string
	region   ident.Region
	started  clock.Time
	mode     Mode
	resumes  int
	alone    bool
	hedge    bool
}

func (r *request) find(number ident.Try) *try {
	for _, t := range r.tries {
		if t.number == number {
			return t
		}
	}
	return nil
}

func (r *request) drop(number ident.Try) {
	for i, t := range r.tries {
		if t.number == number {
			r.tries = append(r.tries[:i], r.tries[i+1:]...)
			return
		}
	}
}

func (r *request) item() queue.Item {
	return queue.Item{
		Request:  r.Request,
		Service:  r.Service,
		Class:    r.class.Name,
		Urgency:  r.class.Urgency,
		Caller:   r.Caller,
		Arrived:  r.arrived,
		Deadline: r.deadline,
		Size:     r.size,
	}
}

// requestTable holds the requests in progress; each visits them in order of arrival.
type requestTable struct {
	byID  map[ident.Request]*request
	order []ident.Request
	// held counts the requests of each caller that has any.
	held map[ident.Caller]int
}

func newRequestTable() requestTable {
	return requestTable{byID: make(map[ident.Request]*request), held: make(map[ident.Caller]int)}
}

func (t *requestTable) add(r *request) {
	t.byID[r.Request] = r
	t.order = append(t.order, r.Request)
	t.held[r.Caller]++
}

func (t *requestTable) get(id ident.Request) *request { return t.byID[id] }

func (t *requestTable) remove(id ident.Request) {
	r := t.byID[id]
	if r == nil {
		return
	}
	delete(t.byID, id)
	if t.held[r.Caller]--; t.held[r.Caller] == 0 {
		delete(t.held, r.Caller)
	}
	if len(t.order) > 2*len(t.byID)+16 {
		t.compact()
	}
}

func (t *requestTable) compact() {
	kept := t.order[:0]
	for _, id := range t.order {
		if t.byID[id] != nil {
			kept = append(kept, id)
		}
	}
	t.order = kept
}

func (t *requestTable) each(visit func(*request)) {
	for _, id := range append([]ident.Request(nil), t.order...) {
		if r := t.byID[id]; r != nil {
			visit(r)
		}
	}
}

func (t *requestTable) count() int { return len(t.byID) }
