package ledger

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// Ledger is the only authority on the outcomes of its incarnation's tickets. It is not
// safe for concurrent use.
type Ledger struct {
	config   Config
	sequence uint64
	sealed   bool
	own      *recordSet
	adopted  []*recordSet
	answers  answerCache
}

// New returns an empty Ledger.
func New(config Config) *Ledger {
	return &Ledger{
		config:  config,
		own:     newRecordSet(config.Entry, config.Incarnation, config.Margin),
		answers: answerCache{limit: max(config.AnswerLimit, 0)},
	}
}

// Issue returns a new ticket without storing a record. A request with a ticket that was
// issued after Seal is never run.
func (l *Ledger) Issue(now clock.Time, service ident.Service, home ident.Home, validity clock.Span) ticket.Ticket {
	l.sequence++
	ticket := ticket.Ticket{
		Entry: l.config.Entry, Incarnation: l.config.Incarnation, Sequence: l.sequence,
		Service: service, Home: home, Deadline: now.Add(validity),
	}
	l.own.lastExpiry = max(l.own.lastExpiry, l.own.expiry(ticket))
	return ticket
}

// Begin decides about a request that carries a ticket. The verdict is Run for at most one
// request per ticket, and only before the deadline. Once the record of the ticket may
// have expired, the verdict is Unknown instead of Expired.
func (l *Ledger) Begin(now clock.Time, ticket ticket.Ticket, request ident.Request) Verdict {
	if !l.own.covers(ticket) {
		return Verdict{Decision: Foreign}
	}
	if record := l.own.find(ticket.Sequence); record != nil {
		return record.verdict()
	}
	switch {
	case l.own.mayHaveExpired(ticket):
		return Verdict{Decision: Unknown}
	case l.sealed:
		return Verdict{Decision: Sealed}
	case !now.Before(ticket.Deadline):
		return Verdict{Decision: Expired}
	}
	l.own.add(&ticketRecord{sequence: ticket.Sequence, expiry: l.own.expiry(ticket), firstRequest: request, state: Running, homeBound: ticket.Home != ""})
	return Verdict{Decision: Run}
}

// Finish records the outcome of a request for which Begin returned Run: Done with its
// answer, Unknown, or Void if nothing was sent. Any other state is recorded as Unknown.
// Finish has no effect unless the record is Running, so the first outcome is final.
func (l *Ledger) Finish(_ clock.Time, sequence uint64, outcome Outcome) {
	record := l.own.find(sequence)
	if record == nil || record.state != Running {
		return
	}
	l.settle(record, outcome)
}

// settle sets the final outcome of a record.
func (l *Ledger) settle(record *ticketRecord, outcome Outcome) {
	switch outcome.State {
	case Done:
		record.state, record.dropped = Done, outcome.Dropped
		if !outcome.Dropped {
			l.answers.store(record, outcome.Answer)
		}
	case Void:
		record.state = Void
	default:
		record.state = Unknown
	}
}

// ResolveTicket returns the outcome of a ticket, for queries by peers. A ticket without a record
// is voided first, so that Begin never runs it. For an adopted incarnation the outcome
// is that of AdoptedOutcome; for any other it is Unknown.
func (l *Ledger) ResolveTicket(now clock.Time, ticket ticket.Ticket) Outcome {
	if !l.own.covers(ticket) {
		outcome, ok := l.AdoptedOutcome(now, ticket)
		if !ok {
			return Outcome{State: Unknown}
		}
		return outcome
	}
	if record := l.own.find(ticket.Sequence); record != nil {
		return record.outcome()
	}
	if l.own.mayHaveExpired(ticket) {
		return Outcome{State: Unknown}
	}
	if !l.sealed && now.Before(ticket.Deadline) {
		l.own.add(&ticketRecord{sequence: ticket.Sequence, expiry: l.own.expiry(ticket), state: Void})
	}
	return Outcome{State: Void}
}

// AdoptedOutcome returns the outcome of a ticket of an adopted incarnation, or false if the
// incarnation was not adopted. A ticket of which its sealed issuer had no record is Void.
func (l *Ledger) AdoptedOutcome(_ clock.Time, ticket ticket.Ticket) (Outcome, bool) {
	set := l.adoptedSet(ticket.Entry, ticket.Incarnation)
	if set == nil {
		return Outcome{}, false
	}
	if record := set.find(ticket.Sequence); record != nil {
		return record.outcome(), true
	}
	if set.partial || set.mayHaveExpired(ticket) {
		return Outcome{State: Unknown}, true
	}
	return Outcome{State: Void}, true
}

// SetAnswerLimit changes the memory limit for answers.
func (l *Ledger) SetAnswerLimit(limit ident.Bytes) { l.answers.setLimit(limit) }

// Expire deletes the records whose ticket's deadline plus margin has passed. Running
// records are kept until they are finished.
func (l *Ledger) Expire(now clock.Time) {
	l.own.expire(now, &l.answers)
	l.adopted = slices.DeleteFunc(l.adopted, func(set *recordSet) bool {
		set.expire(now, &l.answers)
		return !set.lastExpiry.After(now)
	})
	l.answers.compact()
}

func (l *Ledger) adoptedSet(entry ident.Entry, incarnation ident.Incarnation) *recordSet {
	index := slices.IndexFunc(l.adopted, func(set *recordSet) bool { return set.entry == entry && set.incarnation == incarnation })
	if index < 0 {
		return nil
	}
	return l.adopted[index]
}
