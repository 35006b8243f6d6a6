package ledger

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// Ledger is the sole owner of the outcomes of its incarnation's tickets.
type Ledger struct {
	config   Config
	sequence uint64
	sealed   bool
	own      *book
	adopted  []*book
	answers  answers
}

// New returns an empty Ledger.
func New(c Config) *Ledger {
	return &Ledger{
		config:  c,
		own:     newBook(c.Entry, c.Incarnation, c.Margin),
		answers: answers{limit: max(c.Answers, 0)},
	}
}

// Issue returns a new ticket. It stores no record. A ticket that is issued
// after Seal never runs.
func (l *Ledger) Issue(now clock.Time, s ident.Service, h ident.Home, validity clock.Span) ticket.Ticket {
	l.sequence++
	t := ticket.Ticket{
		Entry: l.config.Entry, Incarnation: l.config.Incarnation, Sequence: l.sequence,
		Service: s, Home: h, Deadline: now.Add(validity),
	}
	l.own.last = max(l.own.last, l.own.due(t))
	return t
}

// Begin decides about a request with ticket t. The verdict is Run for at most
// one request with this ticket, and only before its deadline. Once the record
// of a ticket may have been dropped, the verdict is Unknown instead of Expired.
func (l *Ledger) Begin(now clock.Time, t ticket.Ticket, request ident.Request) Verdict {
	if !l.own.issued(t) {
		return Verdict{Kind: Foreign}
	}
	if r := l.own.find(t.Sequence); r != nil {
		return r.verdict()
	}
	switch {
	case l.own.forgotten(t):
		return Verdict{Kind: Unknown}
	case l.sealed:
		return Verdict{Kind: Sealed}
	case !now.Before(t.Deadline):
		return Verdict{Kind: Expired}
	}
	l.own.add(&record{sequence: t.Sequence, due: l.own.due(t), first: request, state: Running, bound: t.Home != ""})
	return Verdict{Kind: Run}
}

// Finish records the outcome of a request that Begin told to run: Done with its
// answer, Unknown, or Void if nothing was sent. Without a running record it has
// no effect, so the first outcome stays. Any other state counts as Unknown.
func (l *Ledger) Finish(_ clock.Time, sequence uint64, o Outcome) {
	r := l.own.find(sequence)
	if r == nil || r.state != Running {
		return
	}
	l.settle(r, o)
}

// settle gives a record its final outcome.
func (l *Ledger) settle(r *record, o Outcome) {
	switch o.State {
	case Done:
		r.state, r.dropped = Done, o.Dropped
		if !o.Dropped {
			l.answers.hold(r, o.Answer)
		}
	case Void:
		r.state = Void
	default:
		r.state = Unknown
	}
}

// Void answers a peer's question about a ticket. A ticket that was not seen is
// voided first, so that Begin never runs it. For an adopted incarnation it
// returns what Answer does; for any other the outcome is Unknown.
func (l *Ledger) Void(now clock.Time, t ticket.Ticket) Outcome {
	if !l.own.issued(t) {
		o, ok := l.Answer(now, t)
		if !ok {
			return Outcome{State: Unknown}
		}
		return o
	}
	if r := l.own.find(t.Sequence); r != nil {
		return r.outcome()
	}
	if l.own.forgotten(t) {
		return Outcome{State: Unknown}
	}
	if !l.sealed && now.Before(t.Deadline) {
		l.own.add(&record{sequence: t.Sequence, due: l.own.due(t), state: Void})
	}
	return Outcome{State: Void}
}

// Answer returns the outcome of a ticket of an adopted incarnation; false if
// the incarnation was not adopted. A ticket that its sealed issuer had not seen
// is Void.
func (l *Ledger) Answer(_ clock.Time, t ticket.Ticket) (Outcome, bool) {
	b := l.adoptedBook(t.Entry, t.Incarnation)
	if b == nil {
		return Outcome{}, false
	}
	if r := b.find(t.Sequence); r != nil {
		return r.outcome(), true
	}
	if b.partial || b.forgotten(t) {
		return Outcome{State: Unknown}, true
	}
	return Outcome{State: Void}, true
}

// Limit changes the bound for the memory of answers.
func (l *Ledger) Limit(n ident.Bytes) { l.answers.bound(n) }

// Expire drops the records whose ticket's deadline lies more than the margin in
// the past. Running records stay until they are finished.
func (l *Ledger) Expire(now clock.Time) {
	l.own.expire(now, &l.answers)
	l.adopted = slices.DeleteFunc(l.adopted, func(b *book) bool {
		b.expire(now, &l.answers)
		return !b.last.After(now)
	})
	l.answers.compact()
}

func (l *Ledger) adoptedBook(e ident.Entry, i ident.Incarnation) *book {
	k := slices.IndexFunc(l.adopted, func(b *book) bool { return b.entry == e && b.incarnation == i })
	if k < 0 {
		return nil
	}
	return l.adopted[k]
}
