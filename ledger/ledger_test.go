package ledger_test

import (
	"flag"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// Fixes the seed of the property tests unless -rapid.seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }

const (
	start    clock.Time = 60_000
	validity            = clock.Minute
	margin              = 10 * clock.Second
)

func newLedger(entry ident.Entry) *ledger.Ledger {
	return ledger.New(ledger.Config{Entry: entry, Incarnation: 1, Margin: margin, AnswerLimit: 1000})
}

func doneOutcome(text string) ledger.Outcome {
	return ledger.Outcome{State: ledger.Done, Answer: ledger.Answer{Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte(text)}}
}

// runTicket issues a ticket and finishes its request with the given outcome.
func runTicket(issuer *ledger.Ledger, outcome ledger.Outcome) ticket.Ticket {
	ticket := issuer.Issue(start, "order-desk", "", validity)
	issuer.Begin(start, ticket, "r1")
	issuer.Finish(start, ticket.Sequence, outcome)
	return ticket
}

// roundTrip encodes and decodes a handover.
func roundTrip(t require.TestingT, handover ledger.Handover) (got ledger.Handover) {
	encoded, err := msgpack.Marshal(handover)
	require.NoError(t, err)
	require.LessOrEqual(t, len(encoded), int(ledger.MaxHandoverSize))
	require.NoError(t, msgpack.Unmarshal(encoded, &got))
	return got
}

// Guards against a request that runs twice when it is sent twice, and against a second
// send that gets no answer.
func TestSameTicketTwice(t *testing.T) {
	issuer := newLedger("e1")
	ticket := issuer.Issue(start, "order-desk", "kzn", validity)
	require.Equal(t, ledger.Verdict{Decision: ledger.Run}, issuer.Begin(start, ticket, "r1"))
	require.Equal(t, ledger.Verdict{Decision: ledger.Join, RunningRequest: "r1"}, issuer.Begin(start, ticket, "r2"))
	require.Equal(t, ledger.Running, issuer.ResolveTicket(start, ticket).State)
	issuer.Finish(start, ticket.Sequence, doneOutcome("answer"))
	issuer.Finish(start, ticket.Sequence, ledger.Outcome{State: ledger.Void})
	verdict := issuer.Begin(ticket.Deadline, ticket, "r3")
	require.Equal(t, ledger.Replay, verdict.Decision)
	require.Equal(t, doneOutcome("answer"), verdict.Outcome())
	require.Equal(t, doneOutcome("answer"), issuer.ResolveTicket(start, ticket))
}

// Guards against "not run" for a request whose record has expired, and against tickets
// that run after their deadline or at another process.
func TestDeadline(t *testing.T) {
	issuer := newLedger("e1")
	ran := runTicket(issuer, doneOutcome("answer"))
	unseen := issuer.Issue(start, "order-desk", "", validity)
	require.Equal(t, ledger.Expired, issuer.Begin(unseen.Deadline, unseen, "r2").Decision)
	expiry := ran.Deadline.Add(margin)
	issuer.Expire(expiry - 1)
	require.Equal(t, ledger.Replay, issuer.Begin(expiry-1, ran, "r2").Decision)
	issuer.Expire(expiry)
	require.Equal(t, ledger.Unknown, issuer.Begin(expiry, ran, "r2").Decision)
	require.Equal(t, ledger.Unknown, issuer.ResolveTicket(expiry, unseen).State)
	for _, other := range []ticket.Ticket{{Entry: "e2", Incarnation: 1}, {Entry: "e1", Incarnation: 2}} {
		require.Equal(t, ledger.Foreign, issuer.Begin(start, other, "r2").Decision)
		require.Equal(t, ledger.Unknown, issuer.ResolveTicket(start, other).State)
	}
}

// Guards against a record that expires while its request is still running.
func TestExpireKeepsRunning(t *testing.T) {
	issuer := newLedger("e1")
	ticket := issuer.Issue(start, "order-desk", "", validity)
	issuer.Begin(start, ticket, "r1")
	late := ticket.Deadline.Add(2 * margin)
	issuer.Expire(late)
	require.Equal(t, ledger.Join, issuer.Begin(late, ticket, "r2").Decision)
	issuer.Finish(late, ticket.Sequence, doneOutcome("answer"))
	issuer.Expire(late)
	require.Equal(t, ledger.Unknown, issuer.Begin(late, ticket, "r2").Decision)
}

// Guards against answers that exceed the memory limit, and against an outcome that is
// lost when only its answer is evicted.
func TestAnswersBound(t *testing.T) {
	issuer := newLedger("e1")
	half := strings.Repeat("x", 300)
	first, second := runTicket(issuer, doneOutcome(half)), runTicket(issuer, doneOutcome(half))
	require.Equal(t, ledger.Replay, issuer.Begin(start, first, "r2").Decision)
	third := runTicket(issuer, doneOutcome(half))
	require.Equal(t, ledger.AnswerDropped, issuer.Begin(start, first, "r2").Decision)
	require.Equal(t, ledger.Outcome{State: ledger.Done, Dropped: true}, issuer.ResolveTicket(start, first))
	huge := runTicket(issuer, doneOutcome(strings.Repeat("x", 2000)))
	require.Equal(t, ledger.AnswerDropped, issuer.Begin(start, huge, "r2").Decision)
	require.Equal(t, ledger.Replay, issuer.Begin(start, second, "r2").Decision)
	issuer.SetAnswerLimit(500)
	require.Equal(t, ledger.AnswerDropped, issuer.Begin(start, second, "r2").Decision)
	require.Equal(t, ledger.Replay, issuer.Begin(start, third, "r2").Decision)
	issuer.SetAnswerLimit(-1)
	require.Equal(t, ledger.AnswerDropped, issuer.Begin(start, third, "r2").Decision)
}

// Guards against a successor that reports a request as "not run" although it ran, or
// that does not void an unseen ticket, also after a second handover.
func TestHandover(t *testing.T) {
	owner, successor, next := newLedger("e1"), newLedger("e2"), newLedger("e3")
	ran, failed := runTicket(owner, doneOutcome("answer")), runTicket(owner, ledger.Outcome{State: ledger.Unknown})
	running, unseen := owner.Issue(start, "order-desk", "", validity), owner.Issue(start, "order-desk", "", validity)
	owner.Begin(start, running, "r1")
	_, ok := successor.AdoptedOutcome(start, ran)
	require.False(t, ok)
	const clockOffset = 1_000_000 // of the successor's clock
	successor.Adopt(start+clockOffset, roundTrip(t, owner.Seal(start)))
	require.Equal(t, ledger.Sealed, owner.Begin(start, unseen, "r2").Decision)
	require.Equal(t, ledger.Replay, owner.Begin(start, ran, "r2").Decision)
	require.Equal(t, ledger.Foreign, successor.Begin(start+clockOffset, ran, "r2").Decision)
	next.Adopt(start, roundTrip(t, successor.Seal(start+clockOffset)))
	for now, l := range map[clock.Time]*ledger.Ledger{start + clockOffset: successor, start: next} {
		wants := map[ticket.Ticket]ledger.Outcome{ran: doneOutcome("answer"), failed: {State: ledger.Unknown}, running: {State: ledger.Unknown}, unseen: {State: ledger.Void}}
		for k, want := range wants {
			got, ok := l.AdoptedOutcome(now, k)
			require.True(t, ok)
			require.Equal(t, want, got)
			require.Equal(t, want, l.ResolveTicket(now, k))
		}
		l.Expire(now.Add(validity + margin))
		require.Equal(t, ledger.Unknown, l.ResolveTicket(now, ran).State)
	}
	owner.Finish(start, running.Sequence, doneOutcome("late"))
	successor.Adopt(start+clockOffset, roundTrip(t, owner.Seal(start)))
	require.Equal(t, doneOutcome("late"), successor.ResolveTicket(start+clockOffset, running))
}

// Guards against a handover that exceeds the frame size, and against "not run" from a
// successor that received only some of the records.
func TestHandoverBound(t *testing.T) {
	owner, successor := newLedger("e1"), newLedger("e2")
	owner.SetAnswerLimit(1 << 24)
	successor.SetAnswerLimit(1 << 24)
	var tickets []ticket.Ticket
	for range 40 {
		tickets = append(tickets, runTicket(owner, doneOutcome(strings.Repeat("x", 50_000))))
	}
	successor.Adopt(start, roundTrip(t, owner.Seal(start)))
	require.Equal(t, ledger.Outcome{State: ledger.Done, Dropped: true}, successor.ResolveTicket(start, tickets[0]))
	require.Equal(t, doneOutcome(strings.Repeat("x", 50_000)), successor.ResolveTicket(start, tickets[39]))
	many := newLedger("e4")
	for range 10_000 {
		runTicket(many, ledger.Outcome{State: ledger.Unknown})
	}
	handover := roundTrip(t, many.Seal(start))
	require.True(t, handover.Partial)
	other := newLedger("e3")
	other.Adopt(start, handover)
	require.Equal(t, ledger.Unknown, other.ResolveTicket(start, many.Issue(start, "order-desk", "", validity)).State)
}

// Guards against "not run" from a successor for a request whose record had expired
// before the handover.
func TestHandoverAfterExpire(t *testing.T) {
	owner, successor := newLedger("e1"), newLedger("e2")
	ran := runTicket(owner, doneOutcome("answer"))
	expiry := ran.Deadline.Add(margin)
	unseen := owner.Issue(expiry, "order-desk", "", validity)
	owner.Expire(expiry)
	successor.Adopt(start, roundTrip(t, owner.Seal(expiry)))
	require.Equal(t, ledger.Unknown, successor.ResolveTicket(start, ran).State)
	require.Equal(t, ledger.Void, successor.ResolveTicket(start, unseen).State)
}

// Guards against a handover that carries the answer of a home-bound call to another region.
func TestHandoverKeepsHomeBoundAnswersBack(t *testing.T) {
	issuer := ledger.New(ledger.Config{Entry: "a", Incarnation: 1, Margin: 1000, AnswerLimit: 1 << 20})
	free := issuer.Issue(100, "desk", "", 1000)
	bound := issuer.Issue(100, "desk", "h1", 1000)
	for _, tt := range []ticket.Ticket{free, bound} {
		issuer.Begin(100, tt, "r")
		issuer.Finish(100, tt.Sequence, ledger.Outcome{State: ledger.Done, Answer: ledger.Answer{Status: 200, Body: []byte("secret")}})
	}
	successor := ledger.New(ledger.Config{Entry: "b", Incarnation: 2, Margin: 1000, AnswerLimit: 1 << 20})
	successor.Adopt(50, issuer.Seal(200))
	got, ok := successor.AdoptedOutcome(50, free)
	require.True(t, ok)
	require.Equal(t, "secret", string(got.Answer.Body))
	got, ok = successor.AdoptedOutcome(50, bound)
	require.True(t, ok)
	require.Equal(t, ledger.Outcome{State: ledger.Done, Dropped: true}, got)
}
