// Package ledger records the outcomes of the tickets that this incarnation of an entry
// has issued, so that a request runs at most once and is never reported as not run after
// it ran. It also answers for the sealed ledgers that other entries have handed over.
package ledger

import (
	"net/http"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// State is the state of a ticket, or the decision about a request that carries it.
type State string

// States that occur in verdicts only.
const (
	// Run means that the request must be run now and Finish called afterwards.
	Run State = "run"
	// Join means that an earlier request with the ticket is still running.
	Join State = "join"
	// Replay means that the request is done; the verdict contains its answer.
	Replay State = "replay"
	// AnswerDropped means that the request is done and its answer is no longer held.
	AnswerDropped State = "gone"
	// Foreign means that another incarnation issued the ticket.
	Foreign State = "foreign"
	// Sealed means that the ledger was handed over; the request was not run and never will be.
	Sealed State = "sealed"
)

// States that occur in outcomes only.
const (
	// Running means that the request is running.
	Running State = "running"
	// Done means that the request has run to completion.
	Done State = "done"
)

// States that occur in verdicts and outcomes.
const (
	// Unknown means that the request may have run.
	Unknown State = "unknown"
	// Void means that the request was not run and never will be.
	Void State = "void"
	// Expired means that the request was not run and never will be, since its deadline
	// has passed.
	Expired State = "expired"
)

// Answer is the response of an endpoint. Its header and body are shared, not copied, and
// must not be modified.
type Answer struct {
	Status int         `msgpack:"status"`
	Header http.Header `msgpack:"header,omitempty"`
	Body   []byte      `msgpack:"body,omitempty"`
}

// Outcome is the result of a request: Running, Done, Unknown, Void or Expired.
type Outcome struct {
	State State `msgpack:"state"`
	// Dropped is set if the request is done but its answer is no longer held.
	Dropped bool   `msgpack:"dropped,omitempty"`
	Answer  Answer `msgpack:"answer"`
}

// Verdict is the decision about a request that arrived with a ticket.
type Verdict struct {
	Decision State
	// RunningRequest is the request that is running; for Join only.
	RunningRequest ident.Request
	// Answer is the recorded answer; for Replay only.
	Answer Answer
}

// Outcome converts the verdict to an outcome: Running for Run and Join, Unknown for
// Foreign.
func (v Verdict) Outcome() Outcome {
	switch v.Decision {
	case Run, Join:
		return Outcome{State: Running}
	case Replay:
		return Outcome{State: Done, Answer: v.Answer}
	case AnswerDropped:
		return Outcome{State: Done, Dropped: true}
	case Sealed:
		return Outcome{State: Void}
	case Foreign:
		return Outcome{State: Unknown}
	default:
		return Outcome{State: v.Decision}
	}
}

// State returns the state of the verdict's Outcome.
func (v Verdict) State() State { return v.Outcome().State }

// Config configures a Ledger.
type Config struct {
	Entry       ident.Entry
	Incarnation ident.Incarnation
	// Margin is how long records are kept after the deadline of their ticket.
	Margin clock.Span
	// AnswerLimit limits the memory for answers, including adopted ones; 0 keeps none.
	AnswerLimit ident.Bytes
}

// Handover transfers a sealed ledger to its successor. Its msgpack encoding is at most
// MaxHandoverSize bytes long.
type Handover struct {
	Entry       ident.Entry       `msgpack:"entry"`
	Incarnation ident.Incarnation `msgpack:"incarnation"`
	// SealedAt is the issuer's clock at the time of the seal. It is only used to convert the
	// deadlines of tickets to spans, since the clocks of processes cannot be compared.
	SealedAt clock.Time `msgpack:"clock"`
	// Margin is the Margin of the issuer's Config.
	Margin clock.Span `msgpack:"margin"`
	// Remaining is how long the records of the issuer's tickets must still be kept.
	Remaining clock.Span `msgpack:"rest"`
	// Partial is set if records were left out, so that a ticket without a record may have
	// run.
	Partial bool     `msgpack:"partial,omitempty"`
	Records []Record `msgpack:"records,omitempty"`
	// Inherited lists the handovers that the sender itself had adopted.
	Inherited []Handover `msgpack:"inherited,omitempty"`
}

// Record is the outcome of one ticket in a Handover. It is never Running.
type Record struct {
	Sequence uint64 `msgpack:"sequence"`
	// Remaining is how long the record must still be kept.
	Remaining clock.Span `msgpack:"rest"`
	Outcome   Outcome    `msgpack:"outcome"`
}
