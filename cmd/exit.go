package cmd

import "github.com/pkg/errors"

// Exit statuses.
const (
	// exitError means invalid settings or any other error.
	exitError = 1
	// exitNotRun means that the request was not executed and will not be.
	exitNotRun = 2
	// exitUnknown means that the request may have been executed.
	exitUnknown = 3
	// exitGone means that the request was executed, but its response is no longer available.
	exitGone = 4
)

// statusError is an error with an exit status.
type statusError struct {
	error
	status int
}

// Unwrap returns the error without its status.
func (e *statusError) Unwrap() error { return e.error }

// exitStatus returns the exit status for a non-nil error.
func exitStatus(err error) int {
	var failed *statusError
	if errors.As(err, &failed) {
		return failed.status
	}
	return exitError
}
