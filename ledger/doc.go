// Package ledger records the outcome of each ticket that this incarnation of an
// entry has issued, so that a request runs at most once and nobody is told "not
// run" of a request that ran. It also answers for the sealed ledgers that other
// entries have handed over. The ledger is not safe for concurrent use.
package ledger

import (
	"net/http"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// State tells what is known of a ticket or what to do with its request.
type State string

// States of verdicts only.
const (
	// Run says that the request must be run now, and Finish called afterwards.
	Run State = "run"
	// Join says that the first execution is still running.
	Join State = "join"
	// Replay says that the request is done; its answer is in the verdict.
	Replay State = "replay"
	// Gone says that the request is done and its answer is no longer held.
	Gone State = "gone"
	// Foreign says that another incarnation issued the ticket.
	Foreign State = "foreign"
	// Sealed says that the ledger was handed over; the request was not run and never will be.
	Sealed State = "sealed"
)

// States of outcomes.
const (
	// Running says that the request is running.
	Running State = "running"
	// Done says that the request has run.
	Done State = "done"
)

// States of both verdicts and outcomes.
const (
	// Unknown says that the request may have run.
	Unknown State = "unknown"
	// Void says that the request was not run and never will be.
	Void State = "void"
	// Expired says that the request was not run and never will be, as its deadline has passed.
	Expired State = "expired"
)

// Answer is the response of an endpoint. The ledger shares its memory with the
// caller; nobody may modify it.
type Answer struct {
	Status int         `msgpack:"status"`
	Header http.Header `msgpack:"header,omitempty"`
	Body   []byte      `msgpack:"body,omitempty"`
}

// Outcome is what became of a request: Running, Done, Unknown, Void or Expired.
type Outcome struct {
	State State `msgpack:"state"`
	// Dropped says that the request is done but its answer is no longer held.
	Dropped bool   `msgpack:"dropped,omitempty"`
	Answer  Answer `msgpack:"answer"`
}

// Verdict tells what to do with a request that arrived with a ticket.
type Verdict struct {
	Kind State
	// First is the request whose execution is running; only for Join.
	First ident.Request
	// Answer is the answer to repeat; only for Replay.
	Answer Answer
}

// Outcome returns what the verdict says about the request. A request that must
// be run or joined is Running; one of another incarnation is Unknown.
func (v Verdict) Outcome() Outcome {
	switch v.Kind {
	case Run, Join:
		return Outcome{State: Running}
	case Replay:
		return Outcome{State: Done, Answer: v.Answer}
	case Gone:
		return Outcome{State: Done, Dropped: true}
	case Sealed:
		return Outcome{State: Void}
	case Foreign:
		return Outcome{State: Unknown}
	default:
		return Outcome{State: v.Kind}
	}
}

// State returns the state of Outcome.
func (v Verdict) State() State { return v.Outcome().State }

// Config configures a Ledger.
type Config struct {
	Entry       ident.Entry
	Incarnation ident.Incarnation
	// Margin is how long records are kept past the deadline of their ticket.
	Margin clock.Span
	// Answers bounds the memory for answers, including adopted ones; 0 holds none.
	Answers ident.Bytes
}

// Handover is what a sealed ledger tells its successor. Its msgpack form is bounded
// by MaxHandover.
type Handover struct {
	Entry       ident.Entry       `msgpack:"entry"`
	Incarnation ident.Incarnation `msgpack:"incarnation"`
	// Clock is the issuer's time at the seal. It turns the deadline of a ticket
	// into a span, and means nothing else to the successor.
	Clock clock.Time `msgpack:"clock"`
	// Margin is the Margin of the issuer's Config.
	Margin clock.Span `msgpack:"margin"`
	// Rest is how long the records of tickets that the issuer gave out still matter.
	Rest clock.Span `msgpack:"rest"`
	// Partial says that records were left out, so that a missing record proves nothing.
	Partial bool     `msgpack:"partial,omitempty"`
	Records []Record `msgpack:"records,omitempty"`
	// Inherited are the handovers that the sender had itself adopted.
	Inherited []Handover `msgpack:"inherited,omitempty"`
}

// Record is one ticket of a Handover. Its outcome is never Running.
type Record struct {
	Sequence uint64 `msgpack:"sequence"`
	// Rest is how long the record is to be kept.
	Rest    clock.Span `msgpack:"rest"`
	Outcome Outcome    `msgpack:"outcome"`
}
