// Package caller is the client library: it locates an entry, sends a request and
// retries it when that is safe.
package caller

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Headers of the caller protocol. Entries remove them from endpoints' responses.
const (
	// HeaderService names the engine service of a completion.
	HeaderService = "Tanager-Service"
	// HeaderHome names the home that the request's data belongs to; see ident.Home.
	HeaderHome = "Tanager-Home"
	// HeaderCaller identifies the caller, for fair queueing.
	HeaderCaller = "Tanager-Caller"
	// HeaderTicket carries the ticket of a non-idempotent call.
	HeaderTicket = "Tanager-Ticket"
	// HeaderAttempt is the attempt number of a request, starting at 1.
	HeaderAttempt = "Tanager-Attempt"
	// HeaderRan says whether the request was executed; its values are those of Ran.
	HeaderRan = "Tanager-Ran"
	// HeaderRequest carries the request id, which the response repeats.
	HeaderRequest = "X-Request-Id"
)

// Paths of the caller protocol.
const (
	// PathLocate returns a Location.
	PathLocate = "/v1/locate"
	// PathComplete streams a completion.
	PathComplete = "/v1/chat/completions"
	// PathCall is followed by the service name and the path of the call.
	PathCall = "/v1/call/"
)

// Ran says what the responding entry knows about the execution of a request.
type Ran string

// Values of Ran.
const (
	// RanNo means that the request was not executed and that this entry will not execute it.
	RanNo Ran = "no"
	// RanYes means that the request was executed.
	RanYes Ran = "yes"
	// RanUnknown means that the request may have been executed.
	RanUnknown Ran = "unknown"
)

// Reason classifies the errors that an entry returns. Each maps to one HTTP
// status.
type Reason string

// Reasons, with their HTTP statuses.
const (
	// ReasonMalformed (400): the request can't be parsed.
	ReasonMalformed Reason = "malformed"
	// ReasonHome (400): the home is unknown or shares no region with the service.
	ReasonHome Reason = "home"
	// ReasonKey (401): the key is missing or unknown.
	ReasonKey Reason = "key"
	// ReasonService (404): the service or the call is unknown.
	ReasonService Reason = "service"
	// ReasonExpired (410): the ticket is past its deadline; the call was not executed.
	ReasonExpired Reason = "expired"
	// ReasonVoid (410): the ticket was voided before the call was executed.
	ReasonVoid Reason = "void"
	// ReasonGone (409): the call was executed, but its response is no longer stored.
	ReasonGone Reason = "gone"
	// ReasonBody (413): the body exceeds the size limit.
	ReasonBody Reason = "body"
	// ReasonRegion (421): this entry must not serve the request; Entries lists those that may.
	ReasonRegion Reason = "region"
	// ReasonOwner (421): the call is in progress at the owner of its ticket, which Entries names.
	ReasonOwner Reason = "owner"
	// ReasonCrash (422): the request crashed endpoints and is rejected for a while.
	ReasonCrash Reason = "crash"
	// ReasonTicket (428): the call needs a ticket.
	ReasonTicket Reason = "ticket"
	// ReasonShare (429): the caller exceeds its fair share.
	ReasonShare Reason = "share"
	// ReasonEndpoint (502): the endpoint failed.
	ReasonEndpoint Reason = "endpoint"
	// ReasonOverload (503): no capacity is available before the deadline.
	ReasonOverload Reason = "overload"
	// ReasonDraining (503): the entry is shutting down.
	ReasonDraining Reason = "draining"
	// ReasonUnready (503): the entry has no bundle or is not synchronised.
	ReasonUnready Reason = "unready"
	// ReasonUnknown (504): the outcome is unknown.
	ReasonUnknown Reason = "unknown"
)

// Entry is an entry instance that a caller may use.
type Entry struct {
	Name ident.Entry `json:"name"`
	// Address is host:port.
	Address string       `json:"address"`
	Region  ident.Region `json:"region"`
}

// Location is the response to a locate request.
type Location struct {
	// Entries are in order of preference.
	Entries []Entry `json:"entries"`
	// Validity is how long the entries may be cached, in milliseconds. It does not
	// apply to the ticket.
	Validity clock.Span `json:"validity"`
	// Ticket is set for a non-idempotent call. Its owner is the responding entry.
	Ticket string `json:"ticket,omitempty"`
}

// Refusal is the error that an entry returns.
type Refusal struct {
	Reason  Reason        `json:"kind"`
	Ran     Ran           `json:"ran"`
	Message string        `json:"message"`
	Request ident.Request `json:"request"`
	Version ident.Version `json:"version"`
	// Entries lists the entries to use instead, with status 421.
	Entries []Entry `json:"entries,omitempty"`
	// Ticket is a new ticket of the responding entry, with status 410 and 428.
	Ticket string `json:"ticket,omitempty"`
}

// Envelope is the body of an error response, and the data of an error event in a stream.
type Envelope struct {
	Error Refusal `json:"error"`
}
