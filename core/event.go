package core

import (
	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/ticket"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// Event is an input of the core.
type Event interface{ event() }

// Head is the part of a request that is known before its body is read.
type Head struct {
	Request ident.Request
	Service ident.Service
	Home    ident.Home
	Caller  ident.Caller
	// Method and Path identify the call of a plain service; both are empty for completions.
	Method string
	Path   string
	// AnyCall is set if a caller asks for entries without specifying a call.
	AnyCall bool
	// CallerAttempt numbers the sends of this request by the caller, starting at 1.
	CallerAttempt ident.Attempt
	// Ticket is nil if the request has none.
	Ticket *ticket.Ticket
}

// RequestArrived reports that a request was read completely.
type RequestArrived struct {
	Head
	// PromptTokens is the estimated length of the prompt; MaxTokens is the maximum length of the
	// answer.
	PromptTokens ident.Tokens
	MaxTokens    ident.Tokens
	Prefix       ident.Prefix
	Fingerprint  ident.Fingerprint
	Bytes        ident.Bytes
}

// AnswerStarted reports that the answer of an attempt has started.
type AnswerStarted struct {
	Request ident.Request
	Attempt ident.Attempt
}

// AttemptEnded reports that an attempt has ended.
type AttemptEnded struct {
	Request ident.Request
	Attempt ident.Attempt
	Outcome fleet.Outcome
	// Tokens counts the tokens that the caller has received from all attempts so far.
	Tokens ident.Tokens
	// TokenInterval is the mean time between the tokens of this attempt.
	TokenInterval clock.Span
	// Crashed is set if the endpoint's address refused or dropped the connection, as after
	// the death of its process. A time-out does not count as a crash.
	Crashed bool
	// Leaving is set if the endpoint refused the request because it is shutting down.
	Leaving bool
	// AnswerSize is the size of the answer.
	AnswerSize ident.Bytes
	// Answer is the complete answer of a plain service.
	Answer ledger.Answer
}

// CallerDisconnected reports that the caller has closed its connection.
type CallerDisconnected struct {
	Request ident.Request
}

// OwnerReplied reports the reply of a ticket's owner to QueryOwner; without a reply the
// outcome is Unknown.
type OwnerReplied struct {
	Request ident.Request
	Outcome ledger.Outcome
}

// LeaseReplied reports the reply of the owner of a suspect to QueryLease; without a reply the lease
// is not granted.
type LeaseReplied struct {
	Request ident.Request
	Owner   ident.Entry
	Reply   crash.LeaseReply
}

// InstancesListed reports the platform's list of instances.
type InstancesListed struct {
	Instances []watch.Instance
}

// MembersUpdated reports the other members that are alive or suspect, and whether this entry is
// synchronised with them.
type MembersUpdated struct {
	Live  []member.Member
	Ready bool
}

// LoadReported delivers the load report of an endpoint.
type LoadReported struct {
	Endpoint ident.Endpoint
	Report   fleet.Report
}

// ReportMissed reports that the load report of an endpoint could not be read.
type ReportMissed struct {
	Endpoint ident.Endpoint
	// Refused is set if the connection was refused, as after a crash.
	Refused bool
}

// RegionUnreachable reports that no endpoint of another region answered within one round of
// polls, as when the link to that region is cut.
type RegionUnreachable struct {
	Region ident.Region
}

// GossipReceived delivers the gossip of a peer.
type GossipReceived struct {
	Gossip gossip.Payload
}

// BundleChanged reports that another bundle version has come into force.
type BundleChanged struct{}

// OrderEnded reports the result of a model order.
type OrderEnded struct {
	Number assign.OrderNumber
	Result assign.Result
}

// Tick reports the passage of time.
type Tick struct{}

// DrainStarted tells the entry to finish its requests in progress and shut down.
type DrainStarted struct {
	// AcceptFor is how long new requests are still accepted.
	AcceptFor clock.Span
}

func (RequestArrived) event()     {}
func (AnswerStarted) event()      {}
func (AttemptEnded) event()       {}
func (CallerDisconnected) event() {}
func (OwnerReplied) event()       {}
func (LeaseReplied) event()       {}
func (InstancesListed) event()    {}
func (MembersUpdated) event()     {}
func (LoadReported) event()       {}
func (ReportMissed) event()       {}
func (RegionUnreachable) event()  {}
func (GossipReceived) event()     {}
func (BundleChanged) event()      {}
func (Tick) event()               {}
func (DrainStarted) event()       {}
func (OrderEnded) event()         {}
