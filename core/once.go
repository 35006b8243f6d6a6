package core

import (
	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// claim asks the ledger whether a non-idempotent request may run here. If it may
// not, the request gets its answer and claim returns false.
func (c *Core) claim(now clock.Time, r *request, t target) bool {
	verdict := c.ledger.Begin(now, *r.Ticket, r.Request)
	switch verdict.Kind {
	case ledger.Run:
		return true
	case ledger.Join:
		c.join(r, verdict.First)
	case ledger.Foreign:
		c.requests.add(r)
		c.askOwner(now, r)
	default:
		c.answer(now, r.Request, t, verdict.Outcome())
	}
	return false
}

// join lets a request wait for the execution that another request with its ticket has started.
func (c *Core) join(r *request, first ident.Request) {
	if running := c.requests.get(first); running != nil {
		running.joined = append(running.joined, r.Request)
		return
	}
	c.act(Refuse{Request: r.Request, Refusal: Refusal{Reason: caller.ReasonUnknown, Ran: caller.RanUnknown, Text: "the first execution can't be followed"}})
}

func (c *Core) askOwner(now clock.Time, r *request) {
	if outcome, ok := c.ledger.Answer(now, *r.Ticket); ok {
		c.told(now, Told{Request: r.Request, Outcome: outcome})
		return
	}
	c.act(Ask{Request: r.Request, Ticket: *r.Ticket})
}

func (c *Core) told(now clock.Time, e Told) {
	r := c.requests.get(e.Request)
	if r == nil {
		return
	}
	c.requests.remove(e.Request)
	t, refusal := c.resolve(now, r.Head)
	if refusal != nil && e.Outcome.State == ledger.Void {
		c.refuse(now, e.Request, refusal)
		return
	}
	c.answer(now, e.Request, t, e.Outcome)
	if owner := c.memberOf(r.Ticket.Entry); owner != nil && e.Outcome.State == ledger.Running {
		c.pointToOwner(e.Request, *owner)
	}
}

func (c *Core) pointToOwner(id ident.Request, owner member.Member) {
	c.act(Refuse{Request: id, Refusal: Refusal{
		Reason: caller.ReasonOwner, Ran: caller.RanYes, Text: "the call is running at its owner",
		After: retryLater, Entries: []member.Member{owner},
	}})
}

// answer tells a caller what became of its ticket.
func (c *Core) answer(now clock.Time, id ident.Request, t target, o ledger.Outcome) {
	switch o.State {
	case ledger.Done:
		if o.Dropped {
			c.act(Refuse{Request: id, Refusal: Refusal{Reason: caller.ReasonGone, Ran: caller.RanYes, Text: "the call was done; its answer is no longer held"}})
			return
		}
		c.act(Deliver{Request: id, Answer: o.Answer})
	case ledger.Void:
		c.refuse(now, id, c.fresh(now, t, caller.ReasonVoid, "the call was not run; use the new ticket"))
	case ledger.Expired:
		c.refuse(now, id, c.fresh(now, t, caller.ReasonExpired, "the ticket has expired and was not run; use the new ticket"))
	case ledger.Running:
	default:
		c.counts.Unknown++
		c.act(Refuse{Request: id, Refusal: Refusal{Reason: caller.ReasonUnknown, Ran: caller.RanUnknown, Text: "the outcome of the call can't be found out"}})
	}
}

// fresh returns a refusal that says "not run" and carries a new ticket if this entry may issue one.
func (c *Core) fresh(now clock.Time, t target, reason caller.Reason, text string) *Refusal {
	refusal := refused(reason, text, 0)
	if t.service != nil && !c.draining {
		issued := c.Issue(now, t.service.Name, t.home, t.service.Validity)
		refusal.Ticket = &issued
	}
	return refusal
}

// Issue returns a ticket that only this process may run.
func (c *Core) Issue(now clock.Time, s ident.Service, h ident.Home, validity clock.Span) ticket.Ticket {
	return c.ledger.Issue(now, s, h, validity)
}

// settle records the outcome of an execution and tells the requests that waited for it.
func (c *Core) settle(now clock.Time, r *request, o ledger.Outcome) {
	c.ledger.Finish(now, r.Ticket.Sequence, o)
	t, _ := c.lookUp(c.force.Current(), r.Head)
	for _, id := range r.joined {
		c.answer(now, id, t, o)
	}
	r.joined = nil
}

// voided records that a request will never be run and returns the refusal that says so.
func (c *Core) voided(now clock.Time, r *request, refusal *Refusal) *Refusal {
	c.settle(now, r, ledger.Outcome{State: ledger.Void})
	t, _ := c.lookUp(c.force.Current(), r.Head)
	again := c.fresh(now, t, refusal.Reason, refusal.Text)
	again.After, again.Entries, again.Tell = refusal.After, refusal.Entries, refusal.Tell
	return again
}

// unknown ends a non-idempotent request whose endpoint did not answer after the call was sent.
func (c *Core) unknown(now clock.Time, r *request) {
	c.settle(now, r, ledger.Outcome{State: ledger.Unknown})
	c.record(now, r, 0, false, caller.RanUnknown)
	c.requests.remove(r.Request)
	c.answer(now, r.Request, target{}, ledger.Outcome{State: ledger.Unknown})
}

// Told answers a peer's question about a ticket: a ticket that was never seen is voided first.
func (c *Core) Told(now clock.Time, t ticket.Ticket) ledger.Outcome {
	if outcome, ok := c.ledger.Answer(now, t); ok {
		return outcome
	}
	return c.ledger.Void(now, t)
}

// Seal ends the ledger of a leaving entry and returns what its successor needs.
func (c *Core) Seal(now clock.Time) ledger.Handover { return c.ledger.Seal(now) }

// Adopt takes over the ledger of a peer that leaves. An entry that leaves itself declines.
func (c *Core) Adopt(now clock.Time, h ledger.Handover) error {
	if c.draining {
		return errors.New("the entry is leaving")
	}
	c.ledger.Adopt(now, h)
	return nil
}

func (c *Core) memberOf(id ident.Entry) *member.Member {
	for i := range c.members {
		if c.members[i].Entry == id {
			return &c.members[i]
		}
	}
	return nil
}
