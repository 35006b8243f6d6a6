package caller

import (
	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindInvalid means that the settings or the arguments are unusable; nothing was sent.
	KindInvalid Kind = "invalid"
	// KindUnreachable means that no connection to an entry could be made; nothing was sent.
	KindUnreachable Kind = "unreachable"
	// KindRefused means that an entry refused the request; the cause is a *Refusal.
	KindRefused Kind = "refused"
	// KindBroken means that the response was truncated or stalled.
	KindBroken Kind = "broken"
	// KindWrongRequest means that the response belongs to another request.
	KindWrongRequest Kind = "crossed"
	// KindTooLarge means that the response is larger than Config.MaxResponse.
	KindTooLarge Kind = "large"
	// KindAnswerDropped means that the call was executed, but its response is not available.
	KindResponseUnavailable Kind = "gone"
	// KindUnresolved means that the call may have been executed.
	KindUnresolved Kind = "unresolved"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Error returns the reason and the entry's message, separated by a colon.
func (r *Refusal) Error() string {
	if r.Message == "" {
		return string(r.Reason)
	}
	return string(r.Reason) + ": " + r.Message
}

// permanent reports whether every entry would refuse the same request.
func (r *Refusal) permanent() bool {
	switch r.Reason {
	case ReasonMalformed, ReasonHome, ReasonKey, ReasonService, ReasonBody, ReasonCrash:
		return true
	}
	return false
}

// asRefusal returns the *Refusal in err's chain, or nil.
func asRefusal(err error) *Refusal {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal
	}
	return nil
}
