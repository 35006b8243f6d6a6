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

// Action is something the shell must do.
type Action interface{ action() }

// Mode tells how a try starts.
type Mode string

// Modes of a try.
const (
	// Fresh sends the request from its beginning.
	Fresh Mode = "fresh"
	// Resume asks the same engine for the rest of a stream it still holds.
	Resume Mode = "resume"
	// Continue asks another engine to go on from the text already sent.
	Continue Mode = "continue"
)

// Dispatch starts a try.
type Dispatch struct {
	Request  ident.Request
	Try      ident.Try
	Endpoint ident.Endpoint
	Address  string
	Region   ident.Region
	Urgency  int
	Mode     Mode
	// Once says that the call is not idempotent: no part of it may be sent twice.
	Once bool
	// Dedupe is the header in which Key is sent; "" for none.
	Dedupe string
	Key    string
	// Begin is the longest wait for the first part of the answer, Stall the longest
	// wait for any further part.
	Begin clock.Span
	Stall clock.Span
}

// Win says that a try's answer is the one to pass on to the caller.
type Win struct {
	Request ident.Request
	Try     ident.Try
}

// Cancel ends a try whose answer is no longer wanted.
type Cancel struct {
	Request ident.Request
	Try     ident.Try
}

// Refuse ends a request with an error. If the caller has already received a part of
// the answer, the stream ends with an explicit error event.
type Refuse struct {
	Request ident.Request
	Refusal Refusal
}

// Deliver ends a request with an answer that the ledger holds.
type Deliver struct {
	Request ident.Request
	Answer  ledger.Answer
}

// Ask puts the question what became of a ticket to its owner.
type Ask struct {
	Request ident.Request
	Ticket  ticket.Ticket
}

// Order tells an engine to load a model. The shell asks ConfirmOrder before it sends
// it and reports its result with Ordered.
type Order struct {
	assign.Order
}

// Push sends news to the peers at once instead of with the next probe.
type Push struct{}

func (Dispatch) action() {}
func (Win) action()      {}
func (Cancel) action()   {}
func (Refuse) action()   {}
func (Deliver) action()  {}
func (Ask) action()      {}
func (Push) action()     {}
func (Order) action()    {}

// Refusal is the answer to a request that gets no answer of an endpoint.
type Refusal struct {
	Reason caller.Reason
	Ran    caller.Ran
	Text   string
	// After is when a new try makes sense; 0 gives no advice.
	After clock.Span
	// Entries lists the entries to use instead.
	Entries []member.Member
	// Ticket is a fresh ticket in place of one that can't be run any more.
	Ticket *ticket.Ticket
	// Tell says that the peers must know of the accusation before the caller gets
	// its answer: a caller that sends the request to another entry at once would
	// otherwise crash a further endpoint.
	Tell bool
}
