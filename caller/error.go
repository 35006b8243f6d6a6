package caller

import (
	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Invalid: the settings or the arguments can't be used; nothing was sent.
	Invalid Kind = "invalid"
	// Unreachable: no entry could be reached; nothing was sent.
	Unreachable Kind = "unreachable"
	// Refused: an entry refused the request; the cause is a *Refusal.
	Refused Kind = "refused"
	// Broken: the answer broke off or stalled.
	Broken Kind = "broken"
	// Crossed: the answer belongs to another request.
	Crossed Kind = "crossed"
	// Large: the answer is larger than Config.Answer.
	Large Kind = "large"
	// Gone: the call was run, but its answer isn't available.
	Gone Kind = "gone"
	// Unresolved: the call may have been run.
	Unresolved Kind = "unresolved"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Error returns the reason and the message of the entry.
func (r *Refusal) Error() string {
	if r.Message == "" {
		return string(r.Kind)
	}
	return string(r.Kind) + ": " + r.Message
}

// final reports whether the same request would be refused by every entry.
func (r *Refusal) final() bool {
	switch r.Kind {
	case ReasonMalformed, ReasonHome, ReasonService, ReasonBody, ReasonCrash:
		return true
	}
	return false
}

// refusal returns the *Refusal in err's chain, or nil.
func refusal(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return nil
}
