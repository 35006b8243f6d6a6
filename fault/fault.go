// Package fault provides the generic error type that each package instantiates
// with its own kinds. An error has an operation, a kind and an optional cause.
package fault

import (
	"fmt"

	"github.com/pkg/errors"
)

// Error is the error type of one package. K is the kind type of that package.
type Error[K ~string] struct {
	// Op names the operation that failed, such as "parse".
	Op string
	// Kind classifies the failure, so that callers can handle it.
	Kind K
	// Err is the cause, or nil.
	Err error
}

// New returns an Error without a cause.
func New[K ~string](op string, kind K) *Error[K] { return &Error[K]{Op: op, Kind: kind} }

// Wrap returns an Error with cause err.
func Wrap[K ~string](op string, kind K, err error) *Error[K] {
	return &Error[K]{Op: op, Kind: kind, Err: err}
}

// Newf returns an Error whose cause is the formatted message; %w wraps an error.
func Newf[K ~string](op string, kind K, format string, args ...any) *Error[K] {
	return Wrap(op, kind, fmt.Errorf(format, args...))
}

// Error returns "op: kind" or "op: kind: cause".
func (e *Error[K]) Error() string {
	if e.Err == nil {
		return e.Op + ": " + string(e.Kind)
	}
	return e.Op + ": " + string(e.Kind) + ": " + e.Err.Error()
}

// Unwrap returns the cause, or nil.
func (e *Error[K]) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error[K] in err's chain, or "" if there is
// none.
func KindOf[K ~string](err error) K {
	var e *Error[K]
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
