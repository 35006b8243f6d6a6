// Package fakes holds test doubles of the systems around the gateway, each with
// its faults on demand: model engines, plain services, the platform's
// configuration service and instance list, and the network between regions.
//
// Each type is built from a config struct, listens on a loopback address picked
// by the system and takes controls by method or by POST /control (JSON).
package fakes

import "github.com/tanagerbridge/tanagerbridge/fault"

// Kind classifies an Error.
type Kind string

// Kinds of error.
const (
	// KindListen means that the address could not be listened on.
	KindListen Kind = "listen"
	// KindInvalid means that a control or a value was malformed or too large.
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
