// Package fakes provides test doubles with fault injection for the systems around the
// gateway: model engines, plain services, the platform's configuration service and
// instance list, and the network between regions.
//
// Each type is built from a config struct, listens by default on a loopback port chosen
// by the system, and is controlled by methods or by POST /control (JSON).
package fakes

import "github.com/tanagerbridge/tanagerbridge/fault"

// Kind classifies an Error.
type Kind string

// Kinds of error.
const (
	// KindListen means that listening on the address failed.
	KindListen Kind = "listen"
	// KindInvalid means that a control request or a value was malformed or too large.
	KindInvalid Kind = "invalid"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Headers of the endpoint protocol.
const (
	headerRequest  = "X-Request-Id"
	headerPriority = "Tanager-Priority"
	headerState    = "Tanager-State"
	headerResume   = "Last-Event-ID"
)
