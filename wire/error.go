package wire

import "github.com/tanagerbridge/tanagerbridge/fault"

// Kind classifies the errors of this package.
type Kind string

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Kinds of errors. The kind of an error response is passed on unchanged.
const (
	// KindInvalidSecret means that the fleet secret is unusable.
	KindInvalidSecret Kind = "secret"
	// KindUnauthenticated means that the remote process does not hold the fleet's key.
	KindUnauthenticated Kind = "unauthenticated"
	// KindUnreachable means that no connection could be established; nothing was sent.
	KindUnreachable Kind = "unreachable"
	// KindClosed means that the connection ended before the response arrived.
	KindClosed Kind = "closed"
	// KindTimeout means that no response arrived in time.
	KindTimeout Kind = "timeout"
	// KindTooLarge means that a frame is larger than MaxFrame.
	KindTooLarge Kind = "oversized"
	// KindMalformed means that a frame or its body can't be decoded.
	KindMalformed Kind = "malformed"
	// KindUnknown means that the server has no handler for this kind of message.
	KindUnknown Kind = "unknown"
	// KindProtocolMismatch means that the remote process uses another protocol version.
	KindProtocolMismatch Kind = "proto"
	// KindBusy means that too many requests are in progress on this connection.
	KindBusy Kind = "busy"
	// KindHandlerFailed means that the remote handler returned an error without a kind.
	KindHandlerFailed Kind = "failed"
)
