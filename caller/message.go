// Package caller is the client library: it finds an entry, sends a request, and
// sends it again when that is safe.
package caller

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Headers of the caller protocol. Entries remove them from what endpoints answer.
const (
	// HeaderService names the engine service of a completion.
	HeaderService = "Tanager-Service"
	// HeaderHome names the home that the request's data belongs to.
	HeaderHome = "Tanager-Home"
	// HeaderCaller identifies the caller, for fairness.
	HeaderCaller = "Tanager-Caller"
	// HeaderTicket carries the ticket of a non-idempotent call.
	HeaderTicket = "Tanager-Ticket"
	// HeaderAttempt counts the sends of one request, starting at 1.
	HeaderAttempt = "Tanager-Attempt"
	// HeaderRan tells whether the request was run; its values are those of Ran.
	HeaderRan = "Tanager-Ran"
	// HeaderRequest carries the request id; the answer repeats it.
	HeaderRequest = "X-Request-Id"
)

// Paths of the caller protocol.
const (
	// PathLocate answers with a Location.
	PathLocate = "/v1/locate"
	// PathComplete streams a completion.
	PathComplete = "/v1/chat/completions"
	// PathCall is followed by the service name and the path of the call.
	PathCall = "/v1/call/"
)

// Ran tells what the answering entry knows about the execution of a request.
type Ran string

// Values of Ran.
const (
	// RanNo means that the request was not run and that this entry will not run it.
	RanNo Ran = "no"
	// RanYes means that the request was run.
	RanYes Ran = "yes"
	// RanUnknown means that the request may have been run.
	RanUnknown Ran = "unknown"
)

// Reason classifies the errors that an entry answers with. Each belongs to one
// HTTP status.
type Reason string

// Reasons, with their HTTP status.
const (
	// ReasonMalformed (400): the request can't be read.
	ReasonMalformed Reason = "malformed"
	// ReasonHome (400): the home is unknown or shares no region with the service.
	ReasonHome Reason = "home"
	// ReasonService (404): the service or the call is unknown.
	ReasonService Reason = "service"
	// ReasonExpired (410): the ticket is past its deadline; not run.
	ReasonExpired Reason = "expired"
	// ReasonVoid (410): the ticket was voided before it was run.
	ReasonVoid Reason = "void"
	// ReasonGone (409): the call was run, but its answer is no longer held.
	ReasonGone Reason = "gone"
	// ReasonBody (413): the body is over the limit.
	ReasonBody Reason = "body"
	// ReasonRegion (421): this entry may not serve the request; Entries lists those that may.
	ReasonRegion Reason = "region"
	// ReasonOwner (421): the ticket is in progress at its owner, which Entries names.
	ReasonOwner Reason = "owner"
	// ReasonCrash (422): the request crashed endpoints and is rejected for a while.
	ReasonCrash Reason = "crash"
	// ReasonTicket (428): the call needs a ticket.
	ReasonTicket Reason = "ticket"
	// ReasonShare (429): the caller is over its share.
	ReasonShare Reason = "share"
	// ReasonEndpoint (502): the endpoint failed.
	ReasonEndpoint Reason = "endpoint"
	// ReasonOverload (503): no capacity before the deadline.
	ReasonOverload Reason = "overload"
	// ReasonDraining (503): the entry is leaving.
	ReasonDraining Reason = "draining"
	// ReasonUnready (503): the entry has no bundle or isn't synchronised.
	ReasonUnready Reason = "unready"
	// ReasonUnknown (504): the outcome is unknown.
	ReasonUnknown Reason = "unknown"
)

// Entry is one entry that a caller may use.
type Entry struct {
	Name ident.Entry `json:"name"`
	// Address is host:port.
	Address string       `json:"address"`
	Region  ident.Region `json:"region"`
}

// Location is the answer to a locate request.
type Location struct {
	// Entries are in order of preference.
	Entries []Entry `json:"entries"`
	// Validity is how long the entries may be used without asking again. It is
	// not the validity of the ticket.
	Validity clock.Span `json:"validity"`
	// Ticket is set for a non-idempotent call. It belongs to the answering entry.
	Ticket string `json:"ticket,omitempty"`
}

// Refusal is the content of an error body.
type Refusal struct {
	Kind    Reason        `json:"kind"`
	Ran     Ran           `json:"ran"`
	Message string        `json:"message"`
	Request ident.Request `json:"request"`
	Version ident.Version `json:"version"`
	// Entries lists the entries to use instead, with status 421.
	Entries []Entry `json:"entries,omitempty"`
	// Ticket is a fresh ticket of the answering entry, with status 410 and 428.
	Ticket string `json:"ticket,omitempty"`
}

// Envelope is an error body, and the data of an error event in a stream.
type Envelope struct {
	Error Refusal `json:"error"`
}
