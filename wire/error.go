package wire

import "github.com/tanagerbridge/tanagerbridge/fault"

// Kind classifies the errors of this package.
type Kind string

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Kinds of error. Those of an answer reach the asker as the other side set them.
const (
	// Secret: the fleet secret is unusable.
	Secret Kind = "secret"
	// Unauthenticated: the other side does not have the fleet's key.
	Unauthenticated Kind = "unauthenticated"
	// Unreachable: no connection could be made; nothing was sent.
	Unreachable Kind = "unreachable"
	// Closed: the connection ended before the answer came.
	Closed Kind = "closed"
	// Timeout: no answer came in time.
	Timeout Kind = "timeout"
	// Oversized: a frame is larger than MaxFrame.
	Oversized Kind = "oversized"
	// Malformed: a frame or its body can't be decoded.
	Malformed Kind = "malformed"
	// Unknown: the other side does not handle this kind of message.
	Unknown Kind = "unknown"
	// Proto: the other side speaks another version of the protocol.
	Proto Kind = "proto"
	// Busy: the other side has too many requests in progress on this connection.
	Busy Kind = "busy"
	// Failed: the handler on the other side returned an error.
	Failed Kind = "failed"
)
