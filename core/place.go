package core

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/queue"
	"github.com/tanagerbridge/tanagerbridge/route"
)

// stallFactor times the target interval between tokens is the time-out for a stalled
// stream. Endpoints that run at a fifth of their speed stay below it.
const stallFactor = 40

func (c *Core) dispatchAllWaiting(now clock.Time) {
	doc := c.bundles.Current()
	if doc == nil {
		return
	}
	for i := range doc.Services {
		c.dispatchWaiting(now, doc.Services[i].Name)
	}
}

// dispatchWaiting dispatches the waiting requests of a service as long as the policy finds
// endpoints for them.
func (c *Core) dispatchWaiting(now clock.Time, service ident.Service) {
	if c.queue.Waiting(service) == 0 {
		return
	}
	var rejected []ident.Request
	c.queue.Scan(now, service, func(item queue.Item) queue.Decision {
		request := c.requests.get(item.Request)
		if request == nil {
			return queue.Take
		}
		if !c.mayRun(now, request) {
			rejected = append(rejected, item.Request)
			return queue.Take
		}
		return c.dispatchIfPlaced(now, request)
	})
	for _, id := range rejected {
		c.rejectWaiting(now, id)
	}
}

// mayRun checks a waiting request against the bundle in force and the suspicions, both of
// which may have changed while it waited.
func (c *Core) mayRun(now clock.Time, request *activeRequest) bool {
	if c.suspects.Verdict(now, request.Fingerprint) == crash.VerdictRefused {
		return false
	}
	_, refusal := c.lookUpCall(c.bundles.Current(), request.Head)
	return refusal == nil && c.mayResend(request)
}

func (c *Core) rejectWaiting(now clock.Time, id ident.Request) {
	request := c.requests.get(id)
	if c.suspects.Verdict(now, request.Fingerprint) == crash.VerdictRefused {
		refusal := newRefusal(caller.ReasonCrash, "this request crashed endpoints and is refused for a while", suspicionTerm)
		refusal.NotifyPeers = true
		c.refuseNotRun(now, request, refusal)
		return
	}
	_, refusal := c.lookUpCall(c.bundles.Current(), request.Head)
	c.refuseNotRun(now, request, refusal)
}

// dispatchIfPlaced dispatches a waiting request if the policy finds an endpoint for it.
func (c *Core) dispatchIfPlaced(now clock.Time, request *activeRequest) queue.Decision {
	choice, ok := c.chooseEndpoint(now, request)
	if !ok {
		return c.skipDecision(now, request)
	}
	if !c.acquireLease(now, request) {
		return queue.Skip
	}
	if request.needsRetryBudget && !c.retries.Take() {
		return queue.Skip
	}
	if !c.suspects.Reserve(now, request.Fingerprint) {
		return queue.Skip
	}
	c.dispatch(now, request, choice, false)
	return queue.Take
}

// skipStep returns SkipClass for a request without restrictions of its own: if there is no
// endpoint for it, there is none for the rest of its class.
func (c *Core) skipDecision(now clock.Time, request *activeRequest) queue.Decision {
	exclusive := c.suspects.Verdict(now, request.Fingerprint) == crash.VerdictExclusive
	if exclusive || request.Home != "" || len(request.tried) > 0 || request.needsRetryBudget {
		return queue.Skip
	}
	return queue.SkipClass
}

func (c *Core) chooseEndpoint(now clock.Time, request *activeRequest) (route.Choice, bool) {
	resolved, refusal := c.lookUpCall(c.bundles.Current(), request.Head)
	if refusal != nil {
		return route.Choice{}, false
	}
	placement := route.Request{
		Request:          request.Request,
		Service:          request.Service,
		Class:            request.class.Name,
		Urgency:          request.class.Urgency,
		Long:             request.class.MaxShare < 1,
		ExpectedDuration: request.slotTime,
		FirstTokenTarget: request.class.FirstTokenTarget,
		Prefix:           request.Prefix,
		Regions:          resolved.allowedRegions,
		Waited:           now.Sub(request.arrivedAt),
		Exclusive:        c.suspects.Verdict(now, request.Fingerprint) == crash.VerdictExclusive,
		Tried:            request.tried,
		Bytes:            request.Bytes,
	}
	policyView := c.viewFor(now, &placement)
	choice, ok := c.policy.Choose(now, placement, policyView)
	if !ok && len(request.tried) > 0 {
		// Retry at an endpoint that already failed this request rather than at none.
		placement.Tried = nil
		choice, ok = c.policy.Choose(now, placement, policyView)
	}
	if ok && !slices.Contains(resolved.allowedRegions, choice.Region) {
		c.counts.Misrouted++
		return route.Choice{}, false
	}
	return choice, ok
}

func (c *Core) viewFor(now clock.Time, placement *route.Request) route.View {
	base := view{c, now}
	if placement.Exclusive {
		return suspectView{view: base, regionAllowed: slices.Contains(placement.Regions, c.region)}
	}
	return base
}

func (c *Core) dispatch(now clock.Time, request *activeRequest, choice route.Choice, hedge bool) {
	if request.lastAttempt == 0 {
		request.firstWait = now.Sub(request.arrivedAt)
	}
	request.lastAttempt++
	exclusive := c.suspects.Verdict(now, request.Fingerprint) == crash.VerdictExclusive
	attempt := &activeAttempt{
		number: request.lastAttempt, endpoint: choice.Endpoint, address: c.fleet.Address(choice.Endpoint), region: choice.Region,
		startedAt: now, mode: request.mode, exclusive: exclusive, hedge: hedge,
	}
	request.attempts = append(request.attempts, attempt)
	c.countDispatch(attempt, choice)
	c.fleet.Begin(now, fleet.Attempt{
		Request: request.Request, Number: attempt.number, Endpoint: attempt.endpoint, Service: request.Service,
		Class: request.class.Name, Urgency: request.class.Urgency, Long: request.class.MaxShare < 1,
		ExpectedDuration: request.slotTime, Prefix: request.Prefix, Exclusive: exclusive,
	})
	c.spendLink(now, attempt.region, request.Bytes)
	c.emit(c.dispatchOf(request, attempt, attempt.mode))
}

func (c *Core) dispatchOf(request *activeRequest, attempt *activeAttempt, mode Mode) Dispatch {
	dispatch := Dispatch{
		Request: request.Request, Attempt: attempt.number, Endpoint: attempt.endpoint, Address: attempt.address,
		Region: attempt.region, Urgency: request.class.Urgency, Mode: mode, NonIdempotent: request.nonIdempotent,
		FirstTimeout: request.class.Deadline, StallTimeout: stallFactor * request.class.BetweenTokensTarget,
	}
	if request.keyHeader != "" {
		dispatch.KeyHeader, dispatch.Key = request.keyHeader, request.Ticket.IdempotencyKey()
	}
	return dispatch
}

func (c *Core) countDispatch(attempt *activeAttempt, choice route.Choice) {
	switch {
	case attempt.hedge:
		c.counts.Hedges++
	case attempt.number > 1:
		c.counts.Retries++
	default:
		c.counts.Dispatched++
	}
	if choice.Remote && attempt.number == 1 {
		c.counts.Remote++
	}
}

// MaySendAttempt reports whether an attempt may still be sent. The shell checks this just before
// the first byte, since the process may have been paused after the decision.
func (c *Core) MaySendAttempt(now clock.Time, id ident.Request, number ident.Attempt) bool {
	request := c.requests.get(id)
	if request == nil || request.findAttempt(number) == nil {
		return false
	}
	if c.lastTick > 0 && now.Sub(c.lastTick) >= maxTickGap {
		return false
	}
	if request.findAttempt(number).exclusive && !request.lease.held(now) {
		return false
	}
	if request.Ticket != nil && request.nonIdempotent && !now.Before(request.Ticket.Deadline) {
		return false
	}
	resolved, refusal := c.lookUpCall(c.bundles.Current(), request.Head)
	return refusal == nil && c.mayResend(request) && slices.Contains(resolved.allowedRegions, request.findAttempt(number).region)
}

func (c *Core) spendLink(now clock.Time, region ident.Region, size ident.Bytes) {
	for _, l := range c.links {
		if l.region == region {
			l.budget.Record(now, size)
		}
	}
}

// expectedWait estimates the queueing time of a new request from the length of the queue.
func (c *Core) expectedWait(now clock.Time, request *activeRequest, resolved resolution) clock.Span {
	waiting := c.queue.Waiting(request.Service)
	if waiting == 0 || request.class.Urgency == 0 || !c.policy.QueuesAtEntry() {
		return 0
	}
	slots := 0
	for _, region := range resolved.allowedRegions {
		for _, k := range c.fleet.Candidates(now, request.Service, region) {
			slots += k.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	return clock.Span(waiting) * c.estimates.meanSlotTime(request.Service) / clock.Span(slots)
}

// view implements route.View.
type view struct {
	core *Core
	now  clock.Time
}

func (v view) Region() ident.Region { return v.core.region }

func (v view) Candidates(service ident.Service, region ident.Region) []fleet.Candidate {
	return v.core.fleet.Candidates(v.now, service, region)
}

func (v view) LinkAllows(region ident.Region, size ident.Bytes) bool {
	for _, l := range v.core.links {
		if l.region == region {
			return l.budget.Allows(v.now, size)
		}
	}
	return true
}

func (v view) Weights() bundle.Weights { return v.core.bundles.Current().Weights }

func (v view) ClassShare(class ident.Class) float64 {
	for _, k := range v.core.bundles.Current().Classes {
		if k.Name == class {
			return k.MaxShare
		}
	}
	return 1
}

func (v view) QueueLength(service ident.Service) int { return v.core.queue.Waiting(service) }
