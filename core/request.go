package core

import (
	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/queue"
)

// activeRequest is a request in progress at this entry.
type activeRequest struct {
	RequestArrived
	class         bundle.Class
	isEngine      bool
	nonIdempotent bool
	mayHedge      bool
	// keyHeader is the name of the header for the idempotency key of a non-idempotent
	// call; "" if the service takes none.
	keyHeader string
	// outcomeUnknown is set if an attempt of a non-idempotent call broke and may have run.
	outcomeUnknown bool
	slotTime       clock.Span

	arrivedAt clock.Time
	deadline  clock.Time
	// queuedAt is when the request was last added to the queue.
	queuedAt clock.Time
	// firstWait is the queueing time before the first attempt.
	firstWait clock.Span
	// answerStartedAt is when the first part of the answer was received; 0 before that.
	answerStartedAt clock.Time

	attempts    []*activeAttempt
	lastAttempt ident.Attempt
	// refusals counts the attempts that ended without being run, breaks those whose
	// connection broke.
	refusals int
	breaks   int
	// needsRetryBudget is set if the next attempt is charged to the retry budget.
	needsRetryBudget bool
	mode             Mode
	tokensSent       ident.Tokens
	tried            []ident.Endpoint
	// joinedRequests lists the requests with the same ticket that wait for this one.
	joinedRequests     []ident.Request
	callerDisconnected bool
	// mayHaveRun is set if an attempt was sent that may have run in part.
	mayHaveRun bool
	// lease is the right to run the request if it is a suspect.
	lease suspectLease
}

// activeAttempt is an attempt in progress: one dispatch of a request.
type activeAttempt struct {
	number    ident.Attempt
	endpoint  ident.Endpoint
	address   string
	region    ident.Region
	startedAt clock.Time
	mode      Mode
	resumes   int
	exclusive bool
	hedge     bool
}

func (r *activeRequest) findAttempt(number ident.Attempt) *activeAttempt {
	for _, a := range r.attempts {
		if a.number == number {
			return a
		}
	}
	return nil
}

func (r *activeRequest) removeAttempt(number ident.Attempt) {
	for i, a := range r.attempts {
		if a.number == number {
			r.attempts = append(r.attempts[:i], r.attempts[i+1:]...)
			return
		}
	}
}

func (r *activeRequest) queueItem() queue.Item {
	return queue.Item{
		Request:  r.Request,
		Service:  r.Service,
		Class:    r.class.Name,
		Urgency:  r.class.Urgency,
		Caller:   r.Caller,
		Arrived:  r.arrivedAt,
		Deadline: r.deadline,
		SlotTime: r.slotTime,
	}
}

// requestTable holds the requests in progress in order of arrival.
type requestTable struct {
	byID         map[ident.Request]*activeRequest
	arrivalOrder []ident.Request
	// perCaller counts the requests in progress of each caller; callers without any are
	// not in the map.
	perCaller map[ident.Caller]int
}

func newRequestTable() requestTable {
	return requestTable{byID: make(map[ident.Request]*activeRequest), perCaller: make(map[ident.Caller]int)}
}

func (t *requestTable) add(request *activeRequest) {
	t.byID[request.Request] = request
	t.arrivalOrder = append(t.arrivalOrder, request.Request)
	t.perCaller[request.Caller]++
}

func (t *requestTable) get(id ident.Request) *activeRequest { return t.byID[id] }

func (t *requestTable) remove(id ident.Request) {
	request := t.byID[id]
	if request == nil {
		return
	}
	delete(t.byID, id)
	if t.perCaller[request.Caller]--; t.perCaller[request.Caller] == 0 {
		delete(t.perCaller, request.Caller)
	}
	if len(t.arrivalOrder) > 2*len(t.byID)+16 {
		t.compact()
	}
}

func (t *requestTable) compact() {
	kept := t.arrivalOrder[:0]
	for _, id := range t.arrivalOrder {
		if t.byID[id] != nil {
			kept = append(kept, id)
		}
	}
	t.arrivalOrder = kept
}

func (t *requestTable) each(visit func(*activeRequest)) {
	for _, id := range append([]ident.Request(nil), t.arrivalOrder...) {
		if request := t.byID[id]; request != nil {
			visit(request)
		}
	}
}

func (t *requestTable) count() int { return len(t.byID) }
