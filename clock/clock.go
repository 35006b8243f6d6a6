// Package clock provides the project's time types, in milliseconds, and the
// sources of time that the daemon and the tests use.
package clock

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"
)

// Time is a point on a process's monotonic clock, in milliseconds. Times of
// two processes can't be compared; messages carry a Span instead.
type Time int64

// Span is a length of time in milliseconds.
type Span int64

// Lengths of time.
const (
	Millisecond Span = 1
	Second           = 1000 * Millisecond
	Minute           = 60 * Second
)

// Add returns the time that lies s after t.
func (t Time) Add(s Span) Time { return t + Time(s) }

// Sub returns the span from u to t.
func (t Time) Sub(u Time) Span { return Span(t - u) }

// Before reports whether t lies before u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t lies after u.
func (t Time) After(u Time) bool { return t > u }

// Duration converts s for use with the standard library.
func (s Span) Duration() time.Duration { return time.Duration(s) * time.Millisecond }

// String formats s as a number with its unit, such as "54ms".
func (s Span) String() string { return strconv.FormatInt(int64(s), 10) + "ms" }

// Of converts a duration of the standard library, rounding down to 1 ms.
func Of(d time.Duration) Span { return Span(d / time.Millisecond) }

// Clock tells the current time.
type Clock interface {
	Now() Time
}

// System is a Clock that follows the monotonic clock of the machine. It goes on
// while the process is stopped by a signal.
type System struct {
	start time.Time
}

// NewSystem returns a System whose time zero lies one minute in the past, so
// that a Time of 0 can stand for "never".
func NewSystem() *System { return &System{start: time.Now().Add(-time.Minute)} }

// Now returns the milliseconds since the clock's time zero.
func (s *System) Now() Time { return Time(time.Since(s.start) / time.Millisecond) }

// Manual is a Clock that moves only when told to. The zero value is ready to use
// and safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// Now returns the time last set.
func (m *Manual) Now() Time { return Time(m.now.Load()) }

// Advance moves the clock forward by s and returns the new time.
func (m *Manual) Advance(s Span) Time { return Time(m.now.Add(int64(s))) }

// Sleep waits for s and reports whether the whole time passed before ctx ended.
func Sleep(ctx context.Context, s Span) bool {
	timer := time.NewTimer(s.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
