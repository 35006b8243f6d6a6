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

// stallFactor is how many times the target between two tokens a stream may stand
// still before it counts as broken. Endpoints that are slowed five times stay below it.
const stallFactor = 40

func (c *Core) pumpAll(now clock.Time) {
	doc := c.force.Current()
	if doc == nil {
		return
	}
	for i := range doc.Services {
		c.pump(now, doc.Services[i].Name)
	}
}

// pump starts waiting requests of one service as long as the policy finds room.
func (c *Core) pump(now clock.Time, service ident.Service) {
	if c.queue.Waiting(service) == 0 {
		return
	}
	var rejected []ident.Request
	c.queue.Scan(now, service, func(i queue.Item) queue.Step {
		r := c.requests.get(i.Request)
		if r == nil {
			return queue.Take
		}
		if !c.mayRun(now, r) {
			rejected = append(rejected, i.Request)
			return queue.Take
		}
		return c.place(now, r)
	})
	for _, id := range rejected {
		c.rejectWaiting(now, id)
	}
}

// mayRun checks a waiting request against the bundle now in force and the
// suspicions that arose while it waited.
func (c *Core) mayRun(now clock.Time, r *request) bool {
	if c.suspects.Verdict(now, r.Fingerprint) == crash.Refused {
		return false
	}
	_, refusal := c.lookUp(c.force.Current(), r.Head)
	return refusal == nil && c.mayRepeat(r)
}

func (c *Core) rejectWaiting(now clock.Time, id ident.Request) {
	r := c.requests.get(id)
	if c.suspects.Verdict(now, r.Fingerprint) == crash.Refused {
		refusal := refused(caller.ReasonCrash, "this request crashed endpoints and is refused for a while", suspectTerm)
		refusal.Tell = true
		c.refuseUnrun(now, r, refusal)
		return
	}
	_, refusal := c.lookUp(c.force.Current(), r.Head)
	c.refuseUnrun(now, r, refusal)
}

// place dispatches a waiting request if the policy finds an endpoint for it.
func (c *Core) place(now clock.Time, r *request) queue.Step {
	choice, ok := c.choose(now, r)
	if !ok {
		return c.skip(now, r)
	}
	if r.budgeted && !c.retries.Take() {
		return queue.Skip
	}
	if !c.suspects.Start(now, r.Fingerprint) {
		return queue.Skip
	}
	c.dispatch(now, r, choice, false)
	return queue.Take
}

// skip tells whether the rest of a class can be left unvisited: what holds for an
// ordinary request holds for those behind it.
func (c *Core) skip(now clock.Time, r *request) queue.Step {
	alone := c.suspects.Verdict(now, r.Fingerprint) == crash.Alone
	if alone || r.Home != "" || len(r.avoid) > 0 || r.budgeted {
		return queue.Skip
	}
	return queue.SkipClass
}

func (c *Core) choose(now clock.Time, r *request) (route.Choice, bool) {
	t, refusal := c.lookUp(c.force.Current(), r.Head)
	if refusal != nil {
		return route.Choice{}, false
	}
	ask := route.Ask{
		Request: r.Request,
		Service: r.Service,
		Class:   r.class.Name,
		Urgency: r.class.Urgency,
		Long:    r.class.Share < 1,
		Size:    r.size,
		First:   r.class.First,
		Prefix:  r.Prefix,
		Regions: t.allowed,
		Waited:  now.Sub(r.arrived),
		Alone:   c.suspects.Verdict(now, r.Fingerprint) == crash.Alone,
		Avoid:   r.avoid,
		Bytes:   r.Bytes,
	}
	seen := c.viewFor(now, &ask)
	choice, ok := c.policy.Choose(now, ask, seen)
	if !ok && len(r.avoid) > 0 {
		// An endpoint that failed this request is better than none.
		ask.Avoid = nil
		choice, ok = c.policy.Choose(now, ask, seen)
	}
	if ok && !slices.Contains(t.allowed, choice.Region) {
		c.counts.Misrouted++
		return route.Choice{}, false
	}
	return choice, ok
}

func (c *Core) viewFor(now clock.Time, a *route.Ask) route.View {
	v := view{c, now}
	if a.Alone {
		return suspectView{view: v, home: slices.Contains(a.Regions, c.region)}
	}
	return v
}

func (c *Core) dispatch(now clock.Time, r *request, choice route.Choice, hedge bool) {
	if r.number == 0 {
		r.waited = now.Sub(r.arrived)
	}
	r.number++
	alone := c.suspects.Verdict(now, r.Fingerprint) == crash.Alone
	t := &try{
		number: r.number, endpoint: choice.Endpoint, address: c.fleet.Address(choice.Endpoint), region: choice.Region,
		started: now, mode: r.mode, alone: alone, hedge: hedge,
	}
	r.tries = append(r.tries, t)
	c.count(t, choice)
	c.fleet.Begin(now, fleet.Attempt{
		Request: r.Request, Try: t.number, Endpoint: t.endpoint, Service: r.Service,
		Class: r.class.Name, Urgency: r.class.Urgency, Long: r.class.Share < 1,
		Size: r.size, Prefix: r.Prefix, Alone: alone,
	})
	c.spend(now, t.region, r.Bytes)
	c.act(c.dispatchOf(r, t, t.mode))
}

func (c *Core) dispatchOf(r *request, t *try, mode Mode) Dispatch {
	d := Dispatch{
		Request: r.Request, Try: t.number, Endpoint: t.endpoint, Address: t.address,
		Region: t.region, Urgency: r.class.Urgency, Mode: mode, Once: r.once,
		Begin: r.class.Deadline, Stall: stallFactor * r.class.Between,
	}
	if r.dedupe != "" {
		d.Dedupe, d.Key = r.dedupe, r.Ticket.Key()
	}
	return d
}

func (c *Core) count(t *try, choice route.Choice) {
	switch {
	case t.hedge:
		c.counts.Hedges++
	case t.number > 1:
		c.counts.Retries++
	default:
		c.counts.Dispatched++
	}
	if choice.Away && t.number == 1 {
		c.counts.Away++
	}
}

// Confirm tells whether a try may still be sent: the shell asks just before the
// first byte, since the process may have been stopped after the decision.
func (c *Core) Confirm(now clock.Time, id ident.Request, number ident.Try) bool {
	r := c.requests.get(id)
	if r == nil || r.find(number) == nil {
		return false
	}
	if c.lastTick > 0 && now.Sub(c.lastTick) >= pauseLimit {
		return false
	}
	if r.Ticket != nil && r.once && !now.Before(r.Ticket.Deadline) {
		return false
	}
	t, refusal := c.lookUp(c.force.Current(), r.Head)
	return refusal == nil && c.mayRepeat(r) && slices.Contains(t.allowed, r.find(number).region)
}

func (c *Core) spend(now clock.Time, to ident.Region, size ident.Bytes) {
	for _, l := range c.links {
		if l.to == to {
			l.bucket.Spent(now, size)
		}
	}
}

// expectedWait estimates the wait of a new request from what waits before it.
func (c *Core) expectedWait(now clock.Time, r *request, t target) clock.Span {
	waiting := c.queue.Waiting(r.Service)
	if waiting == 0 || r.class.Urgency == 0 || !c.policy.Queues() {
		return 0
	}
	slots := 0
	for _, region := range t.allowed {
		for _, k := range c.fleet.Candidates(now, r.Service, region) {
			slots += k.Slots
		}
	}
	if slots == 0 {
		return 0
	}
	return clock.Span(waiting) * c.sizes.hold(r.Service) / clock.Span(slots)
}

// view is what a policy may see.
type view struct {
	c   *Core
	now clock.Time
}

func (v view) Region() ident.Region { return v.c.region }

func (v view) Candidates(s ident.Service, region ident.Region) []fleet.Candidate {
	return v.c.fleet.Candidates(v.now, s, region)
}

func (v view) Link(to ident.Region, size ident.Bytes) bool {
	for _, l := range v.c.links {
		if l.to == to {
			return l.bucket.Allows(v.now, size)
		}
	}
	return true
}

func (v view) Weights() bundle.Weights { return v.c.force.Current().Weights }

func (v view) Share(class ident.Class) float64 {
	for _, k := range v.c.force.Current().Classes {
		if k.Name == class {
			return k.Share
		}
	}
	return 1
}

func (v view) Waiting(s ident.Service) int { return v.c.queue.Waiting(s) }
