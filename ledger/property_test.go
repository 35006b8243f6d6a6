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

// fate is the model of one ticket.
type fate struct {
	ticket.Ticket
	due      clock.Time
	runs     int
	finished ledger.State
	notRun   bool // somebody was told that the request was not run
}

// model drives one issuer and two successors whose clocks differ.
type model struct {
	now     clock.Time
	ledgers [3]*ledger.Ledger
	shifts  [3]clock.Span
	sealed  bool
	adopted [3]bool
	fates   []*fate
}

func (m *model) at(i int) clock.Time { return m.now.Add(m.shifts[i]) }

func (m *model) pick(t *rapid.T) *fate {
	if len(m.fates) == 0 {
		t.Skip("no ticket")
	}
	return rapid.SampledFrom(m.fates).Draw(t, "ticket")
}

func (m *model) issue(t *rapid.T) {
	v := rapid.SampledFrom([]clock.Span{5, 20, 80}).Draw(t, "validity")
	k := m.ledgers[0].Issue(m.now, "order-desk", "", v)
	m.fates = append(m.fates, &fate{Ticket: k, due: k.Deadline.Add(10)})
}

func (m *model) begin(t *rapid.T) {
	f := m.pick(t)
	v := m.ledgers[0].Begin(m.now, f.Ticket, "r")
	switch v.Kind {
	case ledger.Run:
		require.Zero(t, f.runs, "a second run")
		require.False(t, f.notRun, "run after \"not run\"")
		require.False(t, m.sealed, "run after seal")
		require.Less(t, m.now, f.Deadline, "run after the deadline")
		f.runs++
	case ledger.Join:
		require.True(t, f.runs == 1 && f.finished == "")
	case ledger.Sealed:
		require.True(t, m.sealed)
		m.told(t, f, v.Outcome())
	default:
		m.told(t, f, v.Outcome())
		require.False(t, f.runs == 0 && !f.notRun && m.now < f.Deadline, "a fresh ticket got %v", v)
	}
}

// told checks what a caller or a peer learns about a ticket.
func (m *model) told(t *rapid.T, f *fate, o ledger.Outcome) {
	switch o.State {
	case ledger.Void, ledger.Expired:
		require.True(t, f.runs == 0 || f.finished == ledger.Void, "\"not run\" after a run")
		f.notRun = true
	case ledger.Done:
		require.Equal(t, ledger.Done, f.finished)
		if !o.Dropped {
			require.Equal(t, strconv.FormatUint(f.Sequence, 10), string(o.Answer.Body), "another request's answer")
		}
	case ledger.Running:
		require.True(t, f.runs == 1 && f.finished == "")
	case ledger.Unknown:
	default:
		require.Fail(t, "unexpected state", "%q", o.State)
	}
}

func (m *model) finish(t *rapid.T) {
	f := m.pick(t)
	s := rapid.SampledFrom([]ledger.State{ledger.Done, ledger.Unknown, ledger.Void}).Draw(t, "state")
	m.ledgers[0].Finish(m.now, f.Sequence, ledger.Outcome{State: s, Answer: ledger.Answer{Body: strconv.AppendUint(nil, f.Sequence, 10)}})
	if f.runs == 1 && f.finished == "" {
		f.finished = s
	}
}

func (m *model) void(t *rapid.T) {
	f := m.pick(t)
	o := m.ledgers[0].Void(m.now, f.Ticket)
	m.told(t, f, o)
	unseen := f.runs == 0 && m.now < f.Deadline
	require.True(t, !unseen || o.State == ledger.Void, "unseen ticket is %v", o)
	lasting := f.finished == ledger.Done && m.now < f.due
	require.True(t, !lasting || o.State == ledger.Done, "outcome lost: %v", o)
}

func (m *model) askSuccessor(t *rapid.T) {
	f, i := m.pick(t), rapid.IntRange(1, 2).Draw(t, "successor")
	require.Equal(t, ledger.Foreign, m.ledgers[i].Begin(m.at(i), f.Ticket, "r").Kind)
	o, ok := m.ledgers[i].Answer(m.at(i), f.Ticket)
	if !ok {
		return
	}
	require.True(t, m.adopted[i])
	m.told(t, f, o)
	unseen := f.runs == 0 && m.now < f.Deadline
	require.True(t, !unseen || o.State == ledger.Void, "unseen ticket is %v at the successor", o)
}

// handOver passes a sealed ledger on; what is sent may arrive late.
func (m *model) handOver(t *rapid.T) {
	from, to := rapid.IntRange(0, 1).Draw(t, "from"), rapid.IntRange(1, 2).Draw(t, "to")
	h := sent(t, m.ledgers[from].Seal(m.at(from)))
	m.sealed = m.sealed || from == 0
	m.now = m.now.Add(clock.Span(rapid.IntRange(0, 3).Draw(t, "delay")))
	m.ledgers[to].Adopt(m.at(to), h)
	m.adopted[to] = m.adopted[to] || from == 0 || m.adopted[from]
}

func (m *model) expire(t *rapid.T) {
	i := rapid.IntRange(0, 2).Draw(t, "ledger")
	m.ledgers[i].Expire(m.at(i))
}

// Guards, over random interleavings, against a second run of a ticket, a run
// after "not run", "not run" after a run, and an outcome that is lost too early.
func TestLedgerModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{now: 1000, shifts: [3]clock.Span{0, 5000, -700}}
		for i, e := range []ident.Entry{"e1", "e2", "e3"} {
			m.ledgers[i] = ledger.New(ledger.Config{Entry: e, Incarnation: 1, Margin: 10, Answers: 500})
		}
		pass := func(t *rapid.T) { m.now = m.now.Add(clock.Span(rapid.IntRange(1, 15).Draw(t, "span"))) }
		rt.Repeat(map[string]func(*rapid.T){
			"issue": m.issue, "issue again": m.issue, "begin": m.begin, "re-send": m.begin, "finish": m.finish,
			"void": m.void, "hand over": m.handOver, "ask successor": m.askSuccessor, "expire": m.expire, "pass": pass,
		})
	})
}
