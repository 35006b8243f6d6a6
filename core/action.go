package core

import (
	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
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
	// ModeFresh sends the whole request.
	ModeFresh Mode = "fresh"
	// ModeResume asks the same engine for the rest of a stream that it still buffers.
	ModeResume Mode = "resume"
	// ModeContinue asks another engine to continue the text that was already sent.
	ModeContinue Mode = "continue"
)

// Dispatch starts an attempt.
type Dispatch struct {
	Request  ident.Request
	Attempt  ident.Attempt
	Endpoint ident.Endpoint
	Address  string
	Region   ident.Region
	Urgency  int
	Mode     Mode
	// NonIdempotent is set for a non-idempotent call, no part of which may be sent twice.
	NonIdempotent bool
	// KeyHeader is the name of the header for the idempotency key Key; "" for none.
	KeyHeader string
	Key       string
	// FirstTimeout is the time-out for the first part of the answer, StallTimeout that for each
	// further part.
	FirstTimeout clock.Span
	StallTimeout clock.Span
}

// Forward selects the attempt whose answer is forwarded to the caller.
type Forward struct {
	Request ident.Request
	Attempt ident.Attempt
}

// Cancel aborts an attempt whose answer is no longer needed. An engine must be told to stop its stream even
// if the attempt's connection has ended.
type Cancel struct {
	Request ident.Request
	Attempt ident.Attempt
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

// QueryOwner queries the owner of a ticket for its outcome.
type QueryOwner struct {
	Request ident.Request
	Ticket  ticket.Ticket
}

// QueryLease requests the lease of a suspect from its owner.
type QueryLease struct {
	Owner ident.Entry
	Lease crash.LeaseRequest
}

// ReturnLease returns the lease of a suspect to its owner.
type ReturnLease struct {
	Owner ident.Entry
	Lease crash.LeaseRequest
}

// Order tells an engine to load a model. The shell must check MaySendOrder right before
// sending it and report the result with OrderEnded.
type Order struct {
	assign.Order
}

// PushGossip sends the gossip to the peers immediately instead of with the next probe.
type PushGossip struct{}

func (Dispatch) action()    {}
func (Forward) action()     {}
func (Cancel) action()      {}
func (Refuse) action()      {}
func (Deliver) action()     {}
func (QueryOwner) action()  {}
func (QueryLease) action()  {}
func (ReturnLease) action() {}
func (PushGossip) action()  {}
func (Order) action()       {}

// Refusal is the error response to a request that gets no answer from an endpoint.
type Refusal struct {
	Reason caller.Reason
	Ran    caller.Ran
	Text   string
	// RetryAfter is the delay after which the caller should retry; 0 gives no advice.
	RetryAfter clock.Span
	// Entries lists the entries that the caller should use instead.
	Entries []member.Member
	// Ticket replaces a ticket that can no longer be run; nil for none.
	Ticket *ticket.Ticket
	// NotifyPeers is set if the crash report must reach the peers before the caller gets its
	// answer. Otherwise a caller that resends the request to another entry immediately
	// would crash one more endpoint.
	NotifyPeers bool
}
