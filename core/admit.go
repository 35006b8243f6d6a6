package core

import (
	"fmt"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/queue"
)

// defaultRetryAfter is the retry advice in refusals for temporary conditions.
const defaultRetryAfter = clock.Second

// resolution is the result of looking up a request head in the bundle in force.
type resolution struct {
	doc     *bundle.Document
	service *bundle.Service
	// call is nil for completions.
	call           *bundle.Call
	allowedRegions []ident.Region
	home           ident.Home
}

func (r resolution) nonIdempotent() bool { return r.call != nil && !r.call.Idempotent }

// Admit checks a request before its body is read. It returns nil if the request is
// admitted.
func (c *Core) Admit(now clock.Time, head Head) *Refusal {
	_, refusal := c.resolve(now, head)
	return c.CorrectRefusal(now, head, refusal)
}

// CorrectRefusal corrects the execution status in the refusal of a request with a ticket, since
// an earlier request with the ticket may have run. An unseen ticket of this process is
// voided before the refusal says "not run".
func (c *Core) CorrectRefusal(now clock.Time, head Head, refusal *Refusal) *Refusal {
	if refusal == nil || head.Ticket == nil || refusal.Ran != caller.RanNo {
		return refusal
	}
	switch c.ledger.ResolveTicket(now, *head.Ticket).State {
	case ledger.Void, ledger.Expired:
	case ledger.Done, ledger.Running:
		refusal.Ran = caller.RanYes
	default:
		refusal.Ran = caller.RanUnknown
	}
	return refusal
}

// BodyLimit returns the maximum size of a request body, or 0 if no bundle is in force.
func (c *Core) BodyLimit() ident.Bytes {
	if doc := c.bundles.Current(); doc != nil {
		return doc.Limits.Body
	}
	return 0
}

// resolve looks up a request head and refuses it if this entry may not take the request.
func (c *Core) resolve(now clock.Time, head Head) (resolution, *Refusal) {
	doc := c.bundles.Current()
	if doc == nil || !c.Ready(now) {
		return resolution{}, newRefusal(caller.ReasonUnready, "the entry is not ready to take work", defaultRetryAfter)
	}
	if c.draining && !now.Before(c.drainUntil) {
		refusal := newRefusal(caller.ReasonDraining, "the entry is leaving", 0)
		refusal.Entries = c.otherEntries()
		return resolution{}, refusal
	}
	resolved, refusal := c.lookUpCall(doc, head)
	if refusal != nil {
		return resolved, refusal
	}
	if !resolved.service.Transit && !slices.Contains(resolved.allowedRegions, c.region) {
		refusal := newRefusal(caller.ReasonRegion, "this entry may not see this request's data", 0)
		refusal.Entries = c.permittedEntries(now, resolved)
		return resolved, refusal
	}
	if resolved.nonIdempotent() && head.Ticket == nil {
		return resolved, newRefusal(caller.ReasonTicket, "a call that is not idempotent needs a ticket; ask /v1/locate for one", 0)
	}
	if head.Ticket != nil && (head.Ticket.Service != head.Service || head.Ticket.Home != head.Home) {
		return resolved, newRefusal(caller.ReasonService, "the ticket is for another service or home", 0)
	}
	return resolved, nil
}

// lookUpCall looks up the service and the call of a request head and the regions that may
// run it.
func (c *Core) lookUpCall(doc *bundle.Document, head Head) (resolution, *Refusal) {
	service, ok := doc.Service(head.Service)
	if !ok {
		return resolution{}, newRefusal(caller.ReasonService, fmt.Sprintf("unknown service %q", head.Service), 0)
	}
	resolved := resolution{doc: doc, service: service, home: head.Home}
	if service.Kind == bundle.Plain && !head.AnyCall {
		call, ok := service.Call(head.Method, head.Path)
		if !ok {
			return resolved, newRefusal(caller.ReasonService, fmt.Sprintf("service %q has no call %s %s", head.Service, head.Method, head.Path), 0)
		}
		resolved.call = call
	} else if head.Path != "" {
		return resolved, newRefusal(caller.ReasonService, fmt.Sprintf("service %q takes completions only", head.Service), 0)
	}
	allowed, err := doc.Allowed(service, head.Home)
	if err != nil {
		return resolved, newRefusal(caller.ReasonHome, err.Error(), 0)
	}
	resolved.allowedRegions = allowed
	return resolved, nil
}

func newRefusal(reason caller.Reason, text string, after clock.Span) *Refusal {
	return &Refusal{Reason: reason, Ran: caller.RanNo, Text: text, RetryAfter: after}
}

// Ready reports whether the entry may accept requests. A gap between ticks shows that the
// process was paused and that its state may be out of date.
func (c *Core) Ready(now clock.Time) bool {
	return c.synchronised && c.knowsEndpoints && c.lastTick > 0 && now.Sub(c.lastTick) < maxTickGap && c.bundles.Current() != nil
}

func (c *Core) handleRequestArrived(now clock.Time, arrival RequestArrived) {
	if c.requests.get(arrival.Request) != nil {
		c.refuse(now, arrival.Request, newRefusal(caller.ReasonService, "a request with this id is in progress", 0))
		return
	}
	resolved, refusal := c.resolve(now, arrival.Head)
	if refusal == nil && c.suspects.Verdict(now, arrival.Fingerprint) == crash.VerdictRefused {
		refusal = newRefusal(caller.ReasonCrash, "this request crashed endpoints and is refused for a while", suspicionTerm)
	}
	if refusal != nil {
		c.refuse(now, arrival.Request, c.CorrectRefusal(now, arrival.Head, refusal))
		return
	}
	request := c.newRequest(now, arrival, resolved)
	if request.nonIdempotent && !c.claimTicket(now, request, resolved) {
		return
	}
	c.enqueue(now, request, resolved)
}

func (c *Core) newRequest(now clock.Time, arrival RequestArrived, resolved resolution) *activeRequest {
	class := classFor(resolved, arrival.MaxTokens)
	hedge := resolved.call == nil && class.Urgency == 0 || resolved.call != nil && resolved.call.Hedge
	if !c.policy.UsesClasses() {
		class = withoutPriority(resolved.doc, class)
	}
	request := &activeRequest{
		RequestArrived: arrival,
		class:          class,
		isEngine:       resolved.call == nil,
		nonIdempotent:  resolved.nonIdempotent(),
		mayHedge:       hedge,
		arrivedAt:      now,
		deadline:       now.Add(class.Deadline),
		mode:           ModeFresh,
	}
	if request.nonIdempotent {
		request.keyHeader = resolved.call.KeyHeader
	}
	request.slotTime = c.estimates.expectedSlotTime(arrival.Service, arrival.PromptTokens, arrival.MaxTokens)
	return request
}

// classFor returns the class of a request. Calls of plain services get the most urgent one.
func classFor(resolved resolution, answer ident.Tokens) bundle.Class {
	if resolved.call == nil {
		return *resolved.doc.ClassFor(answer)
	}
	best := resolved.doc.Classes[0]
	for _, k := range resolved.doc.Classes {
		if k.Urgency < best.Urgency {
			best = k
		}
	}
	return best
}

// withoutPriority returns a class with the urgency, share and deadline common to all
// requests under a policy that does not distinguish classes, so that they are queued in
// order of arrival. The name and the targets are kept for reports.
func withoutPriority(doc *bundle.Document, class bundle.Class) bundle.Class {
	class.Urgency, class.MaxShare = 0, 1
	for _, k := range doc.Classes {
		class.Deadline = max(class.Deadline, k.Deadline)
	}
	return class
}

// enqueue adds a request to the queue or refuses it as not run.
func (c *Core) enqueue(now clock.Time, request *activeRequest, resolved resolution) {
	if request.CallerAttempt > resolved.doc.Retry.MaxAttempts && !c.retries.Take() {
		c.refuseNew(now, request, newRefusal(caller.ReasonOverload, "too many re-sends of this request", defaultRetryAfter))
		return
	}
	if c.requests.perCaller[request.Caller] >= resolved.doc.Limits.Caller {
		c.refuseNew(now, request, newRefusal(caller.ReasonShare, "the caller has too many requests in progress here", defaultRetryAfter))
		return
	}
	if wait := c.expectedWait(now, request, resolved); wait > request.class.Deadline {
		c.refuseNew(now, request, newRefusal(caller.ReasonOverload, "the request can't be served in time", wait-request.class.Deadline+defaultRetryAfter))
		return
	}
	if request.CallerAttempt <= 1 {
		c.retries.RecordFirst()
	}
	c.requests.add(request)
	if c.push(now, request) {
		c.dispatchWaiting(now, request.Service)
	}
}

// push adds a request to the queue and refuses the requests that were shed for it. It
// returns false if the request itself was refused.
func (c *Core) push(now clock.Time, request *activeRequest) bool {
	request.queuedAt = now
	shed, err := c.queue.Push(now, request.queueItem())
	for _, i := range shed {
		c.refuseWaiting(now, i.Request, "more urgent work took its place")
	}
	if err == nil {
		return true
	}
	reason := caller.ReasonOverload
	if fault.KindOf[queue.Kind](err) == queue.KindCallerLimit {
		reason = caller.ReasonShare
	}
	c.refuseNotRun(now, request, newRefusal(reason, err.Error(), defaultRetryAfter))
	return false
}

// refuseNew refuses a request that is not yet in the table.
func (c *Core) refuseNew(now clock.Time, request *activeRequest, refusal *Refusal) {
	c.requests.add(request)
	c.refuseNotRun(now, request, refusal)
}
