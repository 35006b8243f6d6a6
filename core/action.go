package core

import (
	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// Action is an effect that the shell must carry out.
type Action interface{ action() }

// Mode tells how an attempt starts.
type Mode string

// Modes of an attempt.
const (
	// Fresh sends the whole request.
	Fresh Mode = "fresh"
	// Resume asks the same engine for the rest of a stream that it still buffers.
	Resume Mode = "resume"
	// Continue asks another engine to continue the text that was already sent.
	Continue Mode = "continue"
)

// Dispatch starts an attempt.
type Dispatch struct {
	Request  ident.Request
	Try      ident.Try
	Endpoint ident.Endpoint
	Address  string
	Region   ident.Region
	Urgency  int
	Mode     Mode
	// Once is set for a non-idempotent call, no part of which may be sent twice.
	Once bool
	// Dedupe is the name of the header for the idempotency key Key; "" for none.
	Dedupe string
	Key    string
	// Begin is the time-out for the first part of the answer, Stall that for each further
	// part.
	Begin clock.Span
	Stall clock.Span
}

// Win selects the attempt whose answer is forwarded to the caller.
type Win struct {
	Request ident.Request
	Try     ident.Try
}

// Cancel aborts an attempt whose answer is no longer needed.
type Cancel struct {
	Request ident.Request
	Try     ident.Try
}

// Refuse ends a request with an error. If the caller has already received part of the
// answer, the stream ends with an explicit error event.
type Refuse struct {
	Request ident.Request
	Refusal Refusal
}

// Deliver ends a request with a complete answer.
type Deliver struct {
	Request ident.Request
	Answer  ledger.Answer
}

// Ask queries the owner of a ticket for its outcome.
type Ask struct {
	Request ident.Request
	Ticket  ticket.Ticket
}

// Order tells an engine to load a model. The shell must check ConfirmOrder right before
// sending it and report the result with Ordered.
type Order struct {
	assign.Order
}

// Push sends the news to the peers immediately instead of with the next probe.
type Push struct{}

func (Dispatch) action() {}
func (Win) action()      {}
func (Cancel) action()   {}
func (Refuse) action()   {}
func (Deliver) action()  {}
func (Ask) action()      {}
func (Push) action()     {}
func (Order) action()    {}

// Refusal is the error response to a request that gets no answer from an endpoint.
type Refusal struct {
	Reason caller.Reason
	Ran    caller.Ran
	Text   string
	// After is the delay after which the caller should retry; 0 gives no advice.
	After clock.Span
	// Entries lists the entries that the caller should use instead.
	Entries []member.Member
	// Ticket replaces a ticket that can no longer be run; nil for none.
	Ticket *ticket.Ticket
	// Tell is set if the accusation must reach the peers before the caller gets its
	// answer. Otherwise a caller that resends the request to another entry immediately
	// would crash one more endpoint.
	Tell bool
}
