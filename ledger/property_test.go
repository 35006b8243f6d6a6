package ledger_test

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// trackedTicket is the model state of one ticket.
type trackedTicket struct {
	ticket.Ticket
	expiry         clock.Time
	runs           int
	finished       ledger.State
	reportedNotRun bool // a caller or peer was told that the request was not run
}

// ledgerModel drives an issuer and two successors with different clocks.
type ledgerModel struct {
	now          clock.Time
	ledgers      [3]*ledger.Ledger
	clockOffsets [3]clock.Span
	sealed       bool
	adopted      [3]bool
	tickets      []*trackedTicket
}

func (m *ledgerModel) clockAt(index int) clock.Time { return m.now.Add(m.clockOffsets[index]) }

func (m *ledgerModel) pick(t *rapid.T) *trackedTicket {
	if len(m.tickets) == 0 {
		t.Skip("no ticket")
	}
	return rapid.SampledFrom(m.tickets).Draw(t, "ticket")
}

func (m *ledgerModel) issue(t *rapid.T) {
	span := rapid.SampledFrom([]clock.Span{5, 20, 80}).Draw(t, "validity")
	ticket := m.ledgers[0].Issue(m.now, "order-desk", "", span)
	m.tickets = append(m.tickets, &trackedTicket{Ticket: ticket, expiry: ticket.Deadline.Add(10)})
}

func (m *ledgerModel) begin(t *rapid.T) {
	tracked := m.pick(t)
	verdict := m.ledgers[0].Begin(m.now, tracked.Ticket, "r")
	switch verdict.Decision {
	case ledger.Run:
		require.Zero(t, tracked.runs, "a second run")
		require.False(t, tracked.reportedNotRun, "run after \"not run\"")
		require.False(t, m.sealed, "run after seal")
		require.Less(t, m.now, tracked.Deadline, "run after the deadline")
		tracked.runs++
	case ledger.Join:
		require.True(t, tracked.runs == 1 && tracked.finished == "")
	case ledger.Sealed:
		require.True(t, m.sealed)
		m.checkOutcome(t, tracked, verdict.Outcome())
	default:
		m.checkOutcome(t, tracked, verdict.Outcome())
		require.False(t, tracked.runs == 0 && !tracked.reportedNotRun && m.now < tracked.Deadline, "a fresh ticket got %v", verdict)
	}
}

// checkOutcome checks the outcome that a caller or a peer is told.
func (m *ledgerModel) checkOutcome(t *rapid.T, tracked *trackedTicket, outcome ledger.Outcome) {
	switch outcome.State {
	case ledger.Void, ledger.Expired:
		require.True(t, tracked.runs == 0 || tracked.finished == ledger.Void, "\"not run\" after a run")
		tracked.reportedNotRun = true
	case ledger.Done:
		require.Equal(t, ledger.Done, tracked.finished)
		if !outcome.Dropped {
			require.Equal(t, strconv.FormatUint(tracked.Sequence, 10), string(outcome.Answer.Body), "another request's answer")
		}
	case ledger.Running:
		require.True(t, tracked.runs == 1 && tracked.finished == "")
	case ledger.Unknown:
	default:
		require.Fail(t, "unexpected state", "%q", outcome.State)
	}
}

func (m *ledgerModel) finish(t *rapid.T) {
	tracked := m.pick(t)
	state := rapid.SampledFrom([]ledger.State{ledger.Done, ledger.Unknown, ledger.Void}).Draw(t, "state")
	m.ledgers[0].Finish(m.now, tracked.Sequence, ledger.Outcome{State: state, Answer: ledger.Answer{Body: strconv.AppendUint(nil, tracked.Sequence, 10)}})
	if tracked.runs == 1 && tracked.finished == "" {
		tracked.finished = state
	}
}

func (m *ledgerModel) void(t *rapid.T) {
	tracked := m.pick(t)
	outcome := m.ledgers[0].ResolveTicket(m.now, tracked.Ticket)
	m.checkOutcome(t, tracked, outcome)
	unseen := tracked.runs == 0 && m.now < tracked.Deadline
	require.True(t, !unseen || outcome.State == ledger.Void, "unseen ticket is %v", outcome)
	lasting := tracked.finished == ledger.Done && m.now < tracked.expiry
	require.True(t, !lasting || outcome.State == ledger.Done, "outcome lost: %v", outcome)
}

func (m *ledgerModel) querySuccessor(t *rapid.T) {
	tracked, index := m.pick(t), rapid.IntRange(1, 2).Draw(t, "successor")
	require.Equal(t, ledger.Foreign, m.ledgers[index].Begin(m.clockAt(index), tracked.Ticket, "r").Decision)
	outcome, ok := m.ledgers[index].AdoptedOutcome(m.clockAt(index), tracked.Ticket)
	if !ok {
		return
	}
	require.True(t, m.adopted[index])
	m.checkOutcome(t, tracked, outcome)
	unseen := tracked.runs == 0 && m.now < tracked.Deadline
	require.True(t, !unseen || outcome.State == ledger.Void, "unseen ticket is %v at the successor", outcome)
}

// handOver seals a ledger and hands it over with a random delay.
func (m *ledgerModel) handOver(t *rapid.T) {
	from, receiver := rapid.IntRange(0, 1).Draw(t, "from"), rapid.IntRange(1, 2).Draw(t, "to")
	handover := roundTrip(t, m.ledgers[from].Seal(m.clockAt(from)))
	m.sealed = m.sealed || from == 0
	m.now = m.now.Add(clock.Span(rapid.IntRange(0, 3).Draw(t, "delay")))
	m.ledgers[receiver].Adopt(m.clockAt(receiver), handover)
	m.adopted[receiver] = m.adopted[receiver] || from == 0 || m.adopted[from]
}

func (m *ledgerModel) expire(t *rapid.T) {
	index := rapid.IntRange(0, 2).Draw(t, "ledger")
	m.ledgers[index].Expire(m.clockAt(index))
}

// Guards, for random interleavings, against a second run of a ticket, a run after "not
// run" was reported, "not run" after a run, and an outcome that is lost before it expires.
func TestLedgerModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		model := &ledgerModel{now: 1000, clockOffsets: [3]clock.Span{0, 5000, -700}}
		for i, e := range []ident.Entry{"e1", "e2", "e3"} {
			model.ledgers[i] = ledger.New(ledger.Config{Entry: e, Incarnation: 1, Margin: 10, AnswerLimit: 500})
		}
		pass := func(t *rapid.T) { model.now = model.now.Add(clock.Span(rapid.IntRange(1, 15).Draw(t, "span"))) }
		rt.Repeat(map[string]func(*rapid.T){
			"issue": model.issue, "issue again": model.issue, "begin": model.begin, "re-send": model.begin, "finish": model.finish,
			"void": model.void, "hand over": model.handOver, "ask successor": model.querySuccessor, "expire": model.expire, "pass": pass,
		})
	})
}
