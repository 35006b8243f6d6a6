package core

import (
	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/burn"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
)

const (
	// maxResumes bounds how often one try is resumed at its engine.
	maxResumes = 2
	// maxRefusals bounds how many endpoints may refuse a request before it is refused.
	maxRefusals = 6
)

func (c *Core) first(now clock.Time, e First) {
	r := c.requests.get(e.Request)
	if r == nil || r.find(e.Try) == nil {
		c.act(Cancel(e))
		return
	}
	c.fleet.First(now, e.Request, e.Try)
	if r.begun == 0 {
		r.begun = now
	}
	// The shell is busy with the winner's stream from Win on, so that a later Cancel
	// would leave the loser running at its engine.
	c.cancelOthers(now, r, e.Try)
	c.act(Win(e))
}

func (c *Core) cancelOthers(now clock.Time, r *request, keep ident.Try) {
	for _, t := range append([]*try(nil), r.tries...) {
		if t.number != keep {
			c.cancel(now, r, t)
		}
	}
}

func (c *Core) cancel(now clock.Time, r *request, t *try) {
	r.ran = true
	r.drop(t.number)
	c.fleet.End(now, r.Request, t.number, fleet.Cancelled, r.tokens)
	c.suspects.Stop(now, r.Fingerprint)
	c.act(Cancel{Request: r.Request, Try: t.number})
}

func (c *Core) ended(now clock.Time, e Ended) {
	r := c.requests.get(e.Request)
	if r == nil {
		return
	}
	t := r.find(e.Try)
	if t == nil {
		return
	}
	if e.Leaving {
		c.depart(now, t.endpoint)
	}
	r.tokens = max(r.tokens, e.Tokens)
	c.spend(now, t.region, e.Received)
	switch {
	case e.Outcome == fleet.Complete:
		c.complete(now, r, t, e)
	case e.Outcome == fleet.Broken:
		c.broken(now, r, t)
	case t.resumes > 0:
		c.lostEngine(now, r, t, e)
	default:
		c.unrun(now, r, t, e)
	}
	c.pump(now, r.Service)
}

func (c *Core) complete(now clock.Time, r *request, t *try, e Ended) {
	if r.begun == 0 {
		r.begun = now
	}
	c.fleet.End(now, r.Request, t.number, fleet.Complete, e.Tokens)
	r.drop(t.number)
	c.cancelOthers(now, r, t.number)
	c.suspects.Cleared(now, r.Fingerprint)
	c.sizes.observe(r.Service, e.Between, r.begun.Sub(t.started), now.Sub(t.started))
	if r.once {
		c.settle(now, r, ledger.Outcome{State: ledger.Done, Answer: e.Answer})
	}
	c.record(now, r, e.Between, true, caller.RanYes)
	c.counts.Completed++
	c.requests.remove(r.Request)
	if !r.engine {
		c.act(Deliver{Request: r.Request, Answer: e.Answer})
	}
}

// unrun handles a try that the endpoint did not run.
func (c *Core) unrun(now clock.Time, r *request, t *try, e Ended) {
	c.fleet.End(now, r.Request, t.number, e.Outcome, 0)
	c.suspects.Stop(now, r.Fingerprint)
	r.drop(t.number)
	if len(r.tries) > 0 {
		return
	}
	r.avoid = append(r.avoid, t.endpoint)
	r.refusals++
	if r.refusals >= maxRefusals || r.gone {
		c.refuseUnrun(now, r, refused(caller.ReasonOverload, "no endpoint took the request", retryLater))
		return
	}
	c.push(now, r)
}

// broken handles a try that broke off after the request was sent.
func (c *Core) broken(now clock.Time, r *request, t *try) {
	if r.once {
		c.brokenOnce(now, r, t)
		return
	}
	if r.engine && !r.gone && t.resumes < maxResumes {
		t.resumes++
		c.counts.Resumed++
		c.act(c.dispatchOf(r, t, Resume))
		return
	}
	c.lost(now, r, t)
}

// lostEngine handles a stream that could not be resumed at its engine.
func (c *Core) lostEngine(now clock.Time, r *request, t *try, e Ended) {
	if e.Crashed {
		c.crashed(now, t.endpoint)
	}
	c.lost(now, r, t)
}

// crashed takes an endpoint out and divides the suspicion among what ran there.
func (c *Core) crashed(now clock.Time, id ident.Endpoint) {
	attempts := c.fleet.Crashed(now, id)
	if len(attempts) == 0 {
		return
	}
	c.counts.Crashes++
	var marks []crash.Mark
	for _, a := range attempts {
		r := c.requests.get(a.Request)
		if r == nil {
			continue
		}
		marks = append(marks, crash.Mark{Fingerprint: r.Fingerprint, Alone: a.Alone, Regions: c.bound(r)})
	}
	if len(c.suspects.Crashed(now, marks)) > 0 {
		c.act(Push{})
	}
}

// bound returns the regions that a home-bound request may be known in, nil for others.
func (c *Core) bound(r *request) []ident.Region {
	if r.Home == "" {
		return nil
	}
	t, refusal := c.lookUp(c.force.Current(), r.Head)
	if refusal != nil {
		return []ident.Region{c.region}
	}
	return t.allowed
}

// lost sends a request elsewhere after its try broke off for good.
func (c *Core) lost(now clock.Time, r *request, t *try) {
	r.ran = true
	c.fleet.End(now, r.Request, t.number, fleet.Broken, r.tokens)
	c.suspects.Stop(now, r.Fingerprint)
	r.drop(t.number)
	if len(r.tries) > 0 {
		return
	}
	if r.gone {
		c.forget(now, r)
		return
	}
	r.avoid = append(r.avoid, t.endpoint)
	attempts := c.force.Current().Retry.Attempts
	r.losses++
	if r.losses >= int(attempts) {
		c.fail(now, r, "the answer broke off and no try is left")
		return
	}
	if r.tokens > 0 && !c.continues(r) {
		c.fail(now, r, "the answer broke off and this service can't continue it")
		return
	}
	r.mode = Fresh
	if r.tokens > 0 {
		r.mode = Continue
	}
	r.budgeted = true
	r.deadline = now.Add(r.class.Deadline)
	c.push(now, r)
}

func (c *Core) continues(r *request) bool {
	s, ok := c.force.Current().Service(r.Service)
	return ok && s.Kind == bundle.Engine && s.Continue
}

// fail ends an idempotent request whose answer broke off.
func (c *Core) fail(now clock.Time, r *request, text string) {
	c.counts.Failed++
	c.record(now, r, 0, false, caller.RanYes)
	c.requests.remove(r.Request)
	c.act(Refuse{Request: r.Request, Refusal: Refusal{
		Reason: caller.ReasonEndpoint, Ran: caller.RanYes, Text: text, After: retryLater,
		Tell: c.suspects.Verdict(now, r.Fingerprint) != crash.Clear,
	}})
}

// refuse answers a request that is not in the table.
func (c *Core) refuse(_ clock.Time, id ident.Request, refusal *Refusal) {
	c.counts.Refused++
	c.act(Refuse{Request: id, Refusal: *refusal})
}

// refuseUnrun ends a request that no endpoint has run.
func (c *Core) refuseUnrun(now clock.Time, r *request, refusal *Refusal) {
	if r.unsettled {
		c.unknown(now, r)
		return
	}
	if r.tokens > 0 || r.begun > 0 {
		c.fail(now, r, refusal.Text)
		return
	}
	if r.once {
		refusal = c.voided(now, r, refusal)
	}
	if r.ran {
		refusal.Ran = caller.RanYes
	}
	c.record(now, r, 0, false, refusal.Ran)
	c.requests.remove(r.Request)
	c.refuse(now, r.Request, refusal)
}

// refuseWaiting ends a request that has left the queue without being placed.
func (c *Core) refuseWaiting(now clock.Time, id ident.Request, text string) {
	if r := c.requests.get(id); r != nil {
		c.refuseUnrun(now, r, refused(caller.ReasonOverload, text, retryLater))
	}
}

// gone handles a caller that closed its connection. A non-idempotent call that is
// running goes on, so that its outcome is known when the caller asks again.
func (c *Core) gone(now clock.Time, id ident.Request) {
	r := c.requests.get(id)
	if r == nil {
		return
	}
	if r.once && (len(r.tries) > 0 || len(r.joined) > 0 || r.unsettled) {
		r.gone = true
		return
	}
	c.forget(now, r)
	c.pump(now, r.Service)
}

// forget drops a request whose caller has gone.
func (c *Core) forget(now clock.Time, r *request) {
	c.queue.Remove(r.Request)
	c.cancelOthers(now, r, 0)
	if r.once {
		c.settle(now, r, ledger.Outcome{State: ledger.Void})
	}
	c.counts.Gone++
	c.burn.Record(now, burn.Sample{Service: r.Service, Class: r.class.Name, Region: c.region, Gone: true})
	c.requests.remove(r.Request)
}

func (c *Core) record(now clock.Time, r *request, between clock.Span, good bool, ran caller.Ran) {
	first := now.Sub(r.arrived)
	if r.begun > 0 {
		first = r.begun.Sub(r.arrived)
	}
	c.burn.Record(now, burn.Sample{
		Service: r.Service, Class: r.class.Name, Region: c.region,
		First: first, Between: between, Wait: r.waited, Good: good, Ran: string(ran),
	})
}
