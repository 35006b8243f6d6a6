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

// claimTicket asks the ledger whether a non-idempotent request may run here. If not,
// claimTicket answers the request, joins it to the running one or queries the ticket's
// owner, and returns false.
func (c *Core) claimTicket(now clock.Time, request *activeRequest, resolved resolution) bool {
	verdict := c.ledger.Begin(now, *request.Ticket, request.Request)
	switch verdict.Decision {
	case ledger.Run:
		return true
	case ledger.Join:
		c.joinExecution(request, verdict.RunningRequest)
	case ledger.Foreign:
		c.requests.add(request)
		c.queryOwner(now, request)
	default:
		c.answerOutcome(now, request.Request, resolved, verdict.Outcome())
	}
	return false
}

// joinExecution makes a request wait for the running request with the same ticket.
func (c *Core) joinExecution(request *activeRequest, first ident.Request) {
	if running := c.requests.get(first); running != nil {
		running.joinedRequests = append(running.joinedRequests, request.Request)
		return
	}
	c.emit(Refuse{Request: request.Request, Refusal: Refusal{Reason: caller.ReasonUnknown, Ran: caller.RanUnknown, Text: "the first execution can't be followed"}})
}

func (c *Core) queryOwner(now clock.Time, request *activeRequest) {
	if outcome, ok := c.ledger.AdoptedOutcome(now, *request.Ticket); ok {
		c.handleOwnerReply(now, OwnerReplied{Request: request.Request, Outcome: outcome})
		return
	}
	c.emit(QueryOwner{Request: request.Request, Ticket: *request.Ticket})
}

func (c *Core) handleOwnerReply(now clock.Time, event OwnerReplied) {
	request := c.requests.get(event.Request)
	if request == nil {
		return
	}
	c.endRequest(now, request)
	resolved, refusal := c.resolve(now, request.Head)
	if refusal != nil && event.Outcome.State == ledger.Void {
		c.refuse(now, event.Request, refusal)
		return
	}
	c.answerOutcome(now, event.Request, resolved, event.Outcome)
	if owner := c.memberOf(request.Ticket.Entry); owner != nil && event.Outcome.State == ledger.Running {
		c.referToOwner(event.Request, *owner)
	}
}

func (c *Core) referToOwner(id ident.Request, owner member.Member) {
	c.emit(Refuse{Request: id, Refusal: Refusal{
		Reason: caller.ReasonOwner, Ran: caller.RanYes, Text: "the call is running at its owner",
		RetryAfter: defaultRetryAfter, Entries: []member.Member{owner},
	}})
}

// answerOutcome answers a request with the outcome of its ticket.
func (c *Core) answerOutcome(now clock.Time, id ident.Request, resolved resolution, outcome ledger.Outcome) {
	switch outcome.State {
	case ledger.Done:
		if outcome.Dropped {
			c.emit(Refuse{Request: id, Refusal: Refusal{Reason: caller.ReasonGone, Ran: caller.RanYes, Text: "the call was done; its answer is no longer held"}})
			return
		}
		c.emit(Deliver{Request: id, Answer: outcome.Answer})
	case ledger.Void:
		c.refuse(now, id, c.refusalWithTicket(now, resolved, caller.ReasonVoid, "the call was not run; use the new ticket"))
	case ledger.Expired:
		c.refuse(now, id, c.refusalWithTicket(now, resolved, caller.ReasonExpired, "the ticket has expired and was not run; use the new ticket"))
	case ledger.Running:
	default:
		c.counts.UnknownOutcomes++
		c.emit(Refuse{Request: id, Refusal: Refusal{Reason: caller.ReasonUnknown, Ran: caller.RanUnknown, Text: "the outcome of the call can't be found out"}})
	}
}

// refusalWithTicket returns a refusal that says "not run" and contains a new ticket if this
// entry may issue one.
func (c *Core) refusalWithTicket(now clock.Time, resolved resolution, reason caller.Reason, text string) *Refusal {
	refusal := newRefusal(reason, text, 0)
	if resolved.service != nil && !c.draining {
		issued := c.Issue(now, resolved.service.Name, resolved.home, resolved.service.Validity)
		refusal.Ticket = &issued
	}
	return refusal
}

// Issue returns a ticket for a request that only this process may run.
func (c *Core) Issue(now clock.Time, service ident.Service, home ident.Home, validity clock.Span) ticket.Ticket {
	return c.ledger.Issue(now, service, home, validity)
}

// recordOutcome records the outcome of a request and answers the requests joined to it.
func (c *Core) recordOutcome(now clock.Time, request *activeRequest, outcome ledger.Outcome) {
	c.ledger.Finish(now, request.Ticket.Sequence, outcome)
	resolved, _ := c.lookUpCall(c.bundles.Current(), request.Head)
	for _, id := range request.joinedRequests {
		c.answerOutcome(now, id, resolved, outcome)
	}
	request.joinedRequests = nil
}

// voidTicket records that a request will never be run and returns the refusal that says so.
func (c *Core) voidTicket(now clock.Time, request *activeRequest, refusal *Refusal) *Refusal {
	c.recordOutcome(now, request, ledger.Outcome{State: ledger.Void})
	resolved, _ := c.lookUpCall(c.bundles.Current(), request.Head)
	replacement := c.refusalWithTicket(now, resolved, refusal.Reason, refusal.Text)
	replacement.RetryAfter, replacement.Entries, replacement.NotifyPeers = refusal.RetryAfter, refusal.Entries, refusal.NotifyPeers
	return replacement
}

// endUnknown ends a non-idempotent request whose endpoint did not answer after the call
// was sent.
func (c *Core) endUnknown(now clock.Time, request *activeRequest) {
	c.recordOutcome(now, request, ledger.Outcome{State: ledger.Unknown})
	c.recordSample(now, request, 0, false, caller.RanUnknown)
	c.endRequest(now, request)
	c.answerOutcome(now, request.Request, resolution{}, ledger.Outcome{State: ledger.Unknown})
}

// TicketOutcome answers a peer's query about a ticket. An unseen ticket of this process is voided
// first.
func (c *Core) TicketOutcome(now clock.Time, ticket ticket.Ticket) ledger.Outcome {
	if outcome, ok := c.ledger.AdoptedOutcome(now, ticket); ok {
		return outcome
	}
	return c.ledger.ResolveTicket(now, ticket)
}

// Seal closes the ledger of a draining entry and returns the handover for its successor.
func (c *Core) Seal(now clock.Time) ledger.Handover { return c.ledger.Seal(now) }

// Adopt takes over the ledger of a draining peer. It returns an error if this entry is
// draining itself.
func (c *Core) Adopt(now clock.Time, handover ledger.Handover) error {
	if c.draining {
		return errors.New("the entry is leaving")
	}
	c.ledger.Adopt(now, handover)
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
