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

// Fixes the seed of the property tests unless the command line sets one.
func init() { _ = flag.Set("rapid.seed", "1") }

const (
	start    clock.Time = 60_000
	validity            = clock.Minute
	margin              = 10 * clock.Second
)

func newLedger(e ident.Entry) *ledger.Ledger {
	return ledger.New(ledger.Config{Entry: e, Incarnation: 1, Margin: margin, Answers: 1000})
}

func done(text string) ledger.Outcome {
	return ledger.Outcome{State: ledger.Done, Answer: ledger.Answer{Status: 201, Header: http.Header{"A": {"b"}}, Body: []byte(text)}}
}

// run issues a ticket and finishes its request with o.
func run(l *ledger.Ledger, o ledger.Outcome) ticket.Ticket {
	t := l.Issue(start, "order-desk", "", validity)
	l.Begin(start, t, "r1")
	l.Finish(start, t.Sequence, o)
	return t
}

// sent passes a handover through its wire form.
func sent(t require.TestingT, h ledger.Handover) (got ledger.Handover) {
	b, err := msgpack.Marshal(h)
	require.NoError(t, err)
	require.LessOrEqual(t, len(b), int(ledger.MaxHandover))
	require.NoError(t, msgpack.Unmarshal(b, &got))
	return got
}

// Guards against a request that runs twice or whose second caller gets no answer.
func TestSameTicketTwice(t *testing.T) {
	l := newLedger("e1")
	k := l.Issue(start, "order-desk", "kzn", validity)
	require.Equal(t, ledger.Verdict{Kind: ledger.Run}, l.Begin(start, k, "r1"))
	require.Equal(t, ledger.Verdict{Kind: ledger.Join, First: "r1"}, l.Begin(start, k, "r2"))
	require.Equal(t, ledger.Running, l.Void(start, k).State)
	l.Finish(start, k.Sequence, done("answer"))
	l.Finish(start, k.Sequence, ledger.Outcome{State: ledger.Void})
	v := l.Begin(k.Deadline, k, "r3")
	require.Equal(t, ledger.Replay, v.Kind)
	require.Equal(t, done("answer"), v.Outcome())
	require.Equal(t, done("answer"), l.Void(start, k))
}

// Guards against "not run" for a request whose record was dropped, and against
// tickets that run late or at another process.
func TestDeadline(t *testing.T) {
	l := newLedger("e1")
	ran := run(l, done("answer"))
	unseen := l.Issue(start, "order-desk", "", validity)
	require.Equal(t, ledger.Expired, l.Begin(unseen.Deadline, unseen, "r2").Kind)
	due := ran.Deadline.Add(margin)
	l.Expire(due - 1)
	require.Equal(t, ledger.Replay, l.Begin(due-1, ran, "r2").Kind)
	l.Expire(due)
	require.Equal(t, ledger.Unknown, l.Begin(due, ran, "r2").Kind)
	require.Equal(t, ledger.Unknown, l.Void(due, unseen).State)
	for _, other := range []ticket.Ticket{{Entry: "e2", Incarnation: 1}, {Entry: "e1", Incarnation: 2}} {
		require.Equal(t, ledger.Foreign, l.Begin(start, other, "r2").Kind)
		require.Equal(t, ledger.Unknown, l.Void(start, other).State)
	}
}

// Guards against a running request whose record is dropped before its outcome is known.
func TestExpireKeepsRunning(t *testing.T) {
	l := newLedger("e1")
	k := l.Issue(start, "order-desk", "", validity)
	l.Begin(start, k, "r1")
	late := k.Deadline.Add(2 * margin)
	l.Expire(late)
	require.Equal(t, ledger.Join, l.Begin(late, k, "r2").Kind)
	l.Finish(late, k.Sequence, done("answer"))
	l.Expire(late)
	require.Equal(t, ledger.Unknown, l.Begin(late, k, "r2").Kind)
}

// Guards against answers that exceed the memory bound, and against a lost
// outcome where only the answer had to go.
func TestAnswersBound(t *testing.T) {
	l := newLedger("e1")
	half := strings.Repeat("x", 300)
	first, second := run(l, done(half)), run(l, done(half))
	require.Equal(t, ledger.Replay, l.Begin(start, first, "r2").Kind)
	third := run(l, done(half))
	require.Equal(t, ledger.Gone, l.Begin(start, first, "r2").Kind)
	require.Equal(t, ledger.Outcome{State: ledger.Done, Dropped: true}, l.Void(start, first))
	huge := run(l, done(strings.Repeat("x", 2000)))
	require.Equal(t, ledger.Gone, l.Begin(start, huge, "r2").Kind)
	require.Equal(t, ledger.Replay, l.Begin(start, second, "r2").Kind)
	l.Limit(500)
	require.Equal(t, ledger.Gone, l.Begin(start, second, "r2").Kind)
	require.Equal(t, ledger.Replay, l.Begin(start, third, "r2").Kind)
	l.Limit(-1)
	require.Equal(t, ledger.Gone, l.Begin(start, third, "r2").Kind)
}

// Guards against a successor that calls a request "not run" that ran, or can't tell
// that an unseen one never will, also after a second hand-over.
func TestHandover(t *testing.T) {
	owner, successor, next := newLedger("e1"), newLedger("e2"), newLedger("e3")
	ran, failed := run(owner, done("answer")), run(owner, ledger.Outcome{State: ledger.Unknown})
	running, unseen := owner.Issue(start, "order-desk", "", validity), owner.Issue(start, "order-desk", "", validity)
	owner.Begin(start, running, "r1")
	_, ok := successor.Answer(start, ran)
	require.False(t, ok)
	const apart = 1_000_000 // the successor's clock shows another time
	successor.Adopt(start+apart, sent(t, owner.Seal(start)))
	require.Equal(t, ledger.Sealed, owner.Begin(start, unseen, "r2").Kind)
	require.Equal(t, ledger.Replay, owner.Begin(start, ran, "r2").Kind)
	require.Equal(t, ledger.Foreign, successor.Begin(start+apart, ran, "r2").Kind)
	next.Adopt(start, sent(t, successor.Seal(start+apart)))
	for now, l := range map[clock.Time]*ledger.Ledger{start + apart: successor, start: next} {
		wants := map[ticket.Ticket]ledger.Outcome{ran: done("answer"), failed: {State: ledger.Unknown}, running: {State: ledger.Unknown}, unseen: {State: ledger.Void}}
		for k, want := range wants {
			got, ok := l.Answer(now, k)
			require.True(t, ok)
			require.Equal(t, want, got)
			require.Equal(t, want, l.Void(now, k))
		}
		l.Expire(now.Add(validity + margin))
		require.Equal(t, ledger.Unknown, l.Void(now, ran).State)
	}
	owner.Finish(start, running.Sequence, done("late"))
	successor.Adopt(start+apart, sent(t, owner.Seal(start)))
	require.Equal(t, done("late"), successor.Void(start+apart, running))
}

// Guards against a hand-over larger than a frame, and against "not run" from an
// successor that received only a part of the records.
func TestHandoverBound(t *testing.T) {
	owner, successor := newLedger("e1"), newLedger("e2")
	owner.Limit(1 << 24)
	successor.Limit(1 << 24)
	var tickets []ticket.Ticket
	for range 40 {
		tickets = append(tickets, run(owner, done(strings.Repeat("x", 50_000))))
	}
	successor.Adopt(start, sent(t, owner.Seal(start)))
	require.Equal(t, ledger.Outcome{State: ledger.Done, Dropped: true}, successor.Void(start, tickets[0]))
	require.Equal(t, done(strings.Repeat("x", 50_000)), successor.Void(start, tickets[39]))
	many := newLedger("e4")
	for range 10_000 {
		run(many, ledger.Outcome{State: ledger.Unknown})
	}
	h := sent(t, many.Seal(start))
	require.True(t, h.Partial)
	other := newLedger("e3")
	other.Adopt(start, h)
	require.Equal(t, ledger.Unknown, other.Void(start, many.Issue(start, "order-desk", "", validity)).State)
}

// Guards against "not run" from a successor for a request whose record the issuer
// had dropped before the hand-over.
func TestHandoverAfterExpire(t *testing.T) {
	owner, successor := newLedger("e1"), newLedger("e2")
	ran := run(owner, done("answer"))
	due := ran.Deadline.Add(margin)
	unseen := owner.Issue(due, "order-desk", "", validity)
	owner.Expire(due)
	successor.Adopt(start, sent(t, owner.Seal(due)))
	require.Equal(t, ledger.Unknown, successor.Void(start, ran).State)
	require.Equal(t, ledger.Void, successor.Void(start, unseen).State)
}

// Guards against the answer of a home-bound call that a handover takes to another region.
func TestHandoverKeepsHomeBoundAnswersBack(t *testing.T) {
	l := ledger.New(ledger.Config{Entry: "a", Incarnation: 1, Margin: 1000, Answers: 1 << 20})
	free := l.Issue(100, "desk", "", 1000)
	bound := l.Issue(100, "desk", "h1", 1000)
	for _, tt := range []ticket.Ticket{free, bound} {
		l.Begin(100, tt, "r")
		l.Finish(100, tt.Sequence, ledger.Outcome{State: ledger.Done, Answer: ledger.Answer{Status: 200, Body: []byte("secret")}})
	}
	successor := ledger.New(ledger.Config{Entry: "b", Incarnation: 2, Margin: 1000, Answers: 1 << 20})
	successor.Adopt(50, l.Seal(200))
	got, ok := successor.Answer(50, free)
	require.True(t, ok)
	require.Equal(t, "secret", string(got.Answer.Body))
	got, ok = successor.Answer(50, bound)
	require.True(t, ok)
	require.Equal(t, ledger.Outcome{State: ledger.Done, Dropped: true}, got)
}
