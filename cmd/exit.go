package cmd

import "github.com/pkg/errors"

// Exit statuses.
const (
	// exitError: wrong settings, or any other error.
	exitError = 1
	// exitNotRun: the request was not run and will not be.
	exitNotRun = 2
	// exitUnknown: the request may have been run.
	exitUnknown = 3
	// exitGone: the request was run, but its answer can't be had any more.
	exitGone = 4
)

// statusError is an error with an exit status of its own.
type statusError struct {
	error
	status int
}

// Unwrap returns the error without its status.
func (e *statusError) Unwrap() error { return e.error }

// exitStatus returns the exit status for err, which is not nil.
func exitStatus(err error) int {
	var e *statusError
	if errors.As(err, &e) {
		return e.status
	}
	return exitError
}
