package core

import (
	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/ticket"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// Event is something that happened outside the core.
type Event interface{ event() }

// Head is what is known of a request before its body is read.
type Head struct {
	Request ident.Request
	Service ident.Service
	Home    ident.Home
	Caller  ident.Caller
	// Method and Path name the call of a plain service; both are empty for completions.
	Method string
	Path   string
	// Any says that a caller asks for entries without naming a call.
	Any bool
	// Attempt counts the caller's own sends of this request, starting at 1.
	Attempt ident.Try
	// Ticket is nil if the request carries none.
	Ticket *ticket.Ticket
}

// Arrived says that a request was read completely.
type Arrived struct {
	Head
	// Prompt is the estimated length of the prompt; Answer is the answer limit.
	Prompt      ident.Tokens
	Answer      ident.Tokens
	Prefix      ident.Prefix
	Fingerprint ident.Fingerprint
	Bytes       ident.Bytes
}

// First says that a try's answer began.
type First struct {
	Request ident.Request
	Try     ident.Try
}

// Ended says that a try is over.
type Ended struct {
	Request ident.Request
	Try     ident.Try
	Outcome fleet.Outcome
	// Tokens counts the tokens that the caller has received from all tries so far.
	Tokens ident.Tokens
	// Between is the mean time between the tokens of this try.
	Between clock.Span
	// Crashed says that the endpoint's address refused or dropped the connection,
	// as it does when its process has died. A timeout is no such sign.
	Crashed bool
	// Leaving says that the endpoint refused because it is leaving.
	Leaving bool
	// Received is the size of the answer.
	Received ident.Bytes
	// Answer is the complete answer of a plain service.
	Answer ledger.Answer
}

// Gone says that the caller closed its connection.
type Gone struct {
	Request ident.Request
}

// Told is what the owner of a ticket, or nobody, answered.
type Told struct {
	Request ident.Request
	Outcome ledger.Outcome
}

// Listed carries the platform's list of instances.
type Listed struct {
	Instances []watch.Instance
}

// Peers carries the members that are alive and whether this entry is synchronised with them.
type Peers struct {
	Live  []member.Member
	Ready bool
}

// Reported carries an endpoint's load report.
type Reported struct {
	Endpoint ident.Endpoint
	Report   fleet.Report
}

// Missed says that an endpoint's load report could not be read.
type Missed struct {
	Endpoint ident.Endpoint
	// Refused says that the connection was refused, as after a crash.
	Refused bool
}

// Unreached says that no endpoint of another region answered within one round of
// polls, as when the link to it is cut.
type Unreached struct {
	Region ident.Region
}

// Heard carries the news of a peer.
type Heard struct {
	News news.News
}

// Bundled says that another bundle version came into force.
type Bundled struct{}

// Ordered says what became of a model order.
type Ordered struct {
	Number assign.Number
	Result assign.Result
}

// Tick says that time has passed.
type Tick struct{}

// Draining says that the entry is to finish what it has and leave.
type Draining struct {
	// Linger is how long new requests are still taken.
	Linger clock.Span
}

func (Arrived) event()   {}
func (First) event()     {}
func (Ended) event()     {}
func (Gone) event()      {}
func (Told) event()      {}
func (Listed) event()    {}
func (Peers) event()     {}
func (Reported) event()  {}
func (Missed) event()    {}
func (Unreached) event() {}
func (Heard) event()     {}
func (Bundled) event()   {}
func (Tick) event()      {}
func (Draining) event()  {}
func (Ordered) event()   {}
