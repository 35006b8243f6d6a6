package wire

import "github.com/tanagerbridge/tanagerbridge/fault"

// Kind classifies the errors of this package.
type Kind string

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Kinds of errors. The kind of an error response is passed on unchanged.
const (
	// InvalidSecret means that the fleet secret is unusable.
	InvalidSecret Kind = "secret"
	// Unauthenticated means that the remote process does not hold the fleet's key.
	Unauthenticated Kind = "unauthenticated"
	// Unreachable means that no connection could be established; nothing was sent.
	Unreachable Kind = "unreachable"
	// Closed means that the connection ended before the response arrived.
	Closed Kind = "closed"
	// Timeout means that no response arrived in time.
	Timeout Kind = "timeout"
	// Oversized means that a frame is larger than MaxFrame.
	Oversized Kind = "oversized"
	// Malformed means that a frame or its body can't be decoded.
	Malformed Kind = "malformed"
	// Unknown means that the server has no handler for this kind of message.
	Unknown Kind = "unknown"
	// ProtocolMismatch means that the remote process uses another protocol version.
	ProtocolMismatch Kind = "proto"
	// Busy means that too many requests are in progress on this connection.
	Busy Kind = "busy"
	// HandlerFailed means that the remote handler returned an error without a kind.
	HandlerFailed Kind = "failed"
)
