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

// retryLater is the advice given with refusals that pass by themselves.
const retryLater = clock.Second

// target is what a request's head resolves to in the bundle in force.
type target struct {
	doc     *bundle.Document
	service *bundle.Service
	// call is nil for completions.
	call    *bundle.Call
	allowed []ident.Region
	home    ident.Home
}

func (t target) once() bool { return t.call != nil && !t.call.Idempotent }

// Admit checks a request before its body is read and returns nil if it may go on.
func (c *Core) Admit(now clock.Time, h Head) *Refusal {
	_, refusal := c.resolve(now, h)
	return c.Truthful(now, h, refusal)
}

// Truthful corrects what a refusal says about the execution of a request that
// carries a ticket: an earlier send of the ticket may have been run. A ticket of
// this process that was not seen yet is voided before "not run" is said.
func (c *Core) Truthful(now clock.Time, h Head, refusal *Refusal) *Refusal {
	if refusal == nil || h.Ticket == nil || refusal.Ran != caller.RanNo {
		return refusal
	}
	switch c.ledger.Void(now, *h.Ticket).State {
	case ledger.Void, ledger.Expired:
	case ledger.Done, ledger.Running:
		refusal.Ran = caller.RanYes
	default:
		refusal.Ran = caller.RanUnknown
	}
	return refusal
}

// BodyLimit returns the largest request body that the bundle in force allows, or 0 without a bundle.
func (c *Core) BodyLimit() ident.Bytes {
	if doc := c.force.Current(); doc != nil {
		return doc.Limits.Body
	}
	return 0
}

func (c *Core) resolve(now clock.Time, h Head) (target, *Refusal) {
	doc := c.force.Current()
	if doc == nil || !c.Ready(now) {
		return target{}, refused(caller.ReasonUnready, "the entry is not ready to take work", retryLater)
	}
	if c.draining && !now.Before(c.drainEnd) {
		r := refused(caller.ReasonDraining, "the entry is leaving", 0)
		r.Entries = c.others()
		return target{}, r
	}
	t, refusal := c.lookUp(doc, h)
	if refusal != nil {
		return t, refusal
	}
	if !t.service.Transit && !slices.Contains(t.allowed, c.region) {
		r := refused(caller.ReasonRegion, "this entry may not see this request's data", 0)
		r.Entries = c.located(now, t)
		return t, r
	}
	if t.once() && h.Ticket == nil {
		return t, refused(caller.ReasonTicket, "a call that is not idempotent needs a ticket; ask /v1/locate for one", 0)
	}
	if h.Ticket != nil && (h.Ticket.Service != h.Service || h.Ticket.Home != h.Home) {
		return t, refused(caller.ReasonService, "the ticket is for another service or home", 0)
	}
	return t, nil
}

func (c *Core) lookUp(doc *bundle.Document, h Head) (target, *Refusal) {
	s, ok := doc.Service(h.Service)
	if !ok {
		return target{}, refused(caller.ReasonService, fmt.Sprintf("unknown service %q", h.Service), 0)
	}
	t := target{doc: doc, service: s, home: h.Home}
	if s.Kind == bundle.Plain && !h.Any {
		call, ok := s.Call(h.Method, h.Path)
		if !ok {
			return t, refused(caller.ReasonService, fmt.Sprintf("service %q has no call %s %s", h.Service, h.Method, h.Path), 0)
		}
		t.call = call
	} else if h.Path != "" {
		return t, refused(caller.ReasonService, fmt.Sprintf("service %q takes completions only", h.Service), 0)
	}
	allowed, err := doc.Allowed(s, h.Home)
	if err != nil {
		return t, refused(caller.ReasonHome, err.Error(), 0)
	}
	t.allowed = allowed
	return t, nil
}

func refused(reason caller.Reason, text string, after clock.Span) *Refusal {
	return &Refusal{Reason: reason, Ran: caller.RanNo, Text: text, After: after}
}

// Ready tells whether the entry may take new work. A gap between ticks shows that
// the process was stopped and may hold an old view.
func (c *Core) Ready(now clock.Time) bool {
	return c.ready && c.knowsEndpoints && c.lastTick > 0 && now.Sub(c.lastTick) < pauseLimit && c.force.Current() != nil
}

func (c *Core) arrive(now clock.Time, e Arrived) {
	if c.requests.get(e.Request) != nil {
		c.refuse(now, e.Request, refused(caller.ReasonService, "a request with this id is in progress", 0))
		return
	}
	t, refusal := c.resolve(now, e.Head)
	if refusal == nil && c.suspects.Verdict(now, e.Fingerprint) == crash.Refused {
		refusal = refused(caller.ReasonCrash, "this request crashed endpoints and is refused for a while", suspectTerm)
	}
	if refusal != nil {
		c.refuse(now, e.Request, c.Truthful(now, e.Head, refusal))
		return
	}
	r := c.newRequest(now, e, t)
	if r.once && !c.claim(now, r, t) {
		return
	}
	c.enqueue(now, r, t)
}

func (c *Core) newRequest(now clock.Time, e Arrived, t target) *request {
	class := classOf(t, e.Answer)
	hedge := t.call == nil && class.Urgency == 0 || t.call != nil && t.call.Hedge
	if !c.policy.Classes() {
		class = unclassed(t.doc, class)
	}
	r := &request{
		Arrived:  e,
		class:    class,
		engine:   t.call == nil,
		once:     t.once(),
		hedge:    hedge,
		arrived:  now,
		deadline: now.Add(class.Deadline),
		mode:     Fresh,
	}
	if r.once {
		r.dedupe = t.call.Dedupe
	}
	r.size = c.sizes.expect(e.Service, e.Prompt, e.Answer)
	return r
}

// classOf returns the class of a request. Calls of plain services are short.
func classOf(t target, answer ident.Tokens) bundle.Class {
	if t.call == nil {
		return *t.doc.ClassFor(answer)
	}
	best := t.doc.Classes[0]
	for _, k := range t.doc.Classes {
		if k.Urgency < best.Urgency {
			best = k
		}
	}
	return best
}

// unclassed returns a class with the urgency, share and deadline that all requests
// have under a policy that doesn't tell classes apart, so that they wait in order of
// arrival. The name and the targets stay, for reports.
func unclassed(doc *bundle.Document, class bundle.Class) bundle.Class {
	class.Urgency, class.Share = 0, 1
	for _, k := range doc.Classes {
		class.Deadline = max(class.Deadline, k.Deadline)
	}
	return class
}

// enqueue admits a request to the queue or refuses it as not run.
func (c *Core) enqueue(now clock.Time, r *request, t target) {
	if r.Attempt > t.doc.Retry.Attempts && !c.retries.Take() {
		c.refuseNew(now, r, refused(caller.ReasonOverload, "too many re-sends of this request", retryLater))
		return
	}
	if c.requests.held[r.Caller] >= t.doc.Limits.Caller {
		c.refuseNew(now, r, refused(caller.ReasonShare, "the caller has too many requests in progress here", retryLater))
		return
	}
	if wait := c.expectedWait(now, r, t); wait > r.class.Deadline {
		c.refuseNew(now, r, refused(caller.ReasonOverload, "the request can't be served in time", wait-r.class.Deadline+retryLater))
		return
	}
	if r.Attempt <= 1 {
		c.retries.First()
	}
	c.requests.add(r)
	if c.push(now, r) {
		c.pump(now, r.Service)
	}
}

// push puts a request into the queue and refuses what had to make room for it.
func (c *Core) push(now clock.Time, r *request) bool {
	r.queued = now
	shed, err := c.queue.Push(now, r.item())
	for _, i := range shed {
		c.refuseWaiting(now, i.Request, "more urgent work took its place")
	}
	if err == nil {
		return true
	}
	reason := caller.ReasonOverload
	if fault.KindOf[queue.Kind](err) == queue.Share {
		reason = caller.ReasonShare
	}
	c.refuseUnrun(now, r, refused(reason, err.Error(), retryLater))
	return false
}

// refuseNew refuses a request that is not in the table yet.
func (c *Core) refuseNew(now clock.Time, r *request, refusal *Refusal) {
	c.requests.add(r)
	c.refuseUnrun(now, r, refusal)
}
