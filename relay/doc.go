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
	// KindBroken says that the connection ended; a request that was sent may have been run.
	KindBroken Kind = "broken"
	// KindMalformed says that only responses to other requests arrived.
	KindMalformed Kind = "malformed"
	// KindTooLarge says that a response exceeds the limit.
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
	// IsResponse reports whether a response with this header answers this request. An endpoint may
	// first send a response to an earlier request; nil accepts any response.
	IsResponse func(http.Header) bool
}

const (
	// dialTimeout bounds the establishment of a connection within a region.
	dialTimeout = 700 * time.Millisecond
	// userTimeout is how long sent bytes may remain unacknowledged.
	userTimeout = 1500 * time.Millisecond
	// probeIdle, probeInterval and probeCount make a dead connection fail after about 2 s.
	probeIdle     = 1 * time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 2
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
)
