// Package relay sends requests to endpoints over persistent HTTP/1.1 connections and reports for
// each failure whether the request may have been run.
//
// It does not use the standard library's transport, which retries requests on its own when a kept
// connection breaks, and which cannot tell a response to an earlier request from the expected one.
package relay

import (
	"net/http"
	"time"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindUnsent says that no byte of the request was sent, so that it was not run.
	KindUnsent Kind = "unsent"
	// KindWithheld says that Request.Proceed stopped the request before any byte of it was sent.
	KindWithheld Kind = "withheld"
	// KindBroken says that the connection ended; a request that was sent may have been run.
	KindBroken Kind = "broken"
	// KindMalformed says that what arrived is no response to the request.
	KindMalformed Kind = "malformed"
	// KindTooLarge says that the header or the body of a response exceeds its limit.
	KindTooLarge Kind = "large"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Request is a request as it is sent to an endpoint.
type Request struct {
	Method string
	// URI is the request target exactly as the caller sent it.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Match tells from the header of a response whether it answers this request. An endpoint may first
	// send another copy of an earlier response; nil accepts any response.
	Match func(http.Header) Match
	// Proceed is called with the connection, right before the request is written, and reports whether it may
	// be; nil always lets it.
	Proceed func(Connection) bool
	// ConnectTimeout bounds the establishment of a new connection; 0 selects the default.
	ConnectTimeout time.Duration
}

// Connection describes the connection of a send, for the log.
type Connection struct {
	LocalPort int
	// Reused is set if the connection has carried a request before.
	Reused bool
}

// Match is the relation of a response to a request.
type Match int

// Relations.
const (
	// MatchOwn: the response answers the request.
	MatchOwn Match = iota
	// MatchOther: the response answers an earlier request.
	MatchOther
	// MatchUnknown: the response does not say which request it answers.
	MatchUnknown
)

const (
	// dialTimeout bounds the establishment of a connection within a region.
	dialTimeout = 700 * time.Millisecond
	// defaultIdle is how long an idle connection is kept if the endpoint specifies no timeout.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the endpoint's timeout a connection is closed.
	idleMargin = 500 * time.Millisecond
	// concurrentBodyBytes is the size from which the body is written concurrently with reading the
	// response: an endpoint may respond before it has read the whole body.
	concurrentBodyBytes = 16 << 10
	// maxStrayResponses bounds the responses to earlier requests that are skipped on one
	// connection.
	maxStrayResponses = 4
	// maxStrayBytes bounds the body of a skipped response.
	maxStrayBytes = 1 << 20
	// maxHeadBytes bounds the header of a response, together with the interim responses before it.
	maxHeadBytes = 64 << 10
	// uncountedHeadBytes is the part of a header that is not counted in Memory.
	uncountedHeadBytes = 8 << 10
	// maxDiscardBytes and discardTimeout bound the reading of a body that is not needed; the connection
	// is closed instead if the body is longer.
	maxDiscardBytes = 16 << 10
	discardTimeout  = 50 * time.Millisecond
	// uncountedBodyBytes is the part of a buffered body that is not counted in Memory, and reserveBytes
	// the size of one reservation beyond it.
	uncountedBodyBytes = 16 << 10
	reserveBytes       = 64 << 10
	// minSegmentBytes and maxSegmentBytes are the sizes of the first and of the further segments of a
	// buffered body of unknown length.
	minSegmentBytes = 4 << 10
	maxSegmentBytes = 64 << 10
)
