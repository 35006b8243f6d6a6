// Package clock provides monotonic time types with millisecond resolution, and
// clocks for daemons and tests.
package clock

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"
)

// Time is a point on a process's monotonic clock, in milliseconds. Times of
// different processes are not comparable; messages carry a Span instead.
type Time int64

// Span is a duration in milliseconds.
type Span int64

// Common durations.
const (
	Millisecond Span = 1
	Second           = 1000 * Millisecond
	Minute           = 60 * Second
)

// Add returns t+s.
func (t Time) Add(s Span) Time { return t + Time(s) }

// Sub returns t-u.
func (t Time) Sub(u Time) Span { return Span(t - u) }

// Before reports whether t is before u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is after u.
func (t Time) After(u Time) bool { return t > u }

// Duration converts s to a time.Duration.
func (s Span) Duration() time.Duration { return time.Duration(s) * time.Millisecond }

// String formats s with its unit, such as "54ms".
func (s Span) String() string { return strconv.FormatInt(int64(s), 10) + "ms" }

// FromDuration converts a time.Duration, truncating it to whole milliseconds.
func FromDuration(d time.Duration) Span { return Span(d / time.Millisecond) }

// Clock returns the current time.
type Clock interface {
	Now() Time
}

// System is a Clock based on the monotonic clock of the machine. It keeps advancing
// while the process is stopped by a signal.
type System struct {
	start time.Time
}

// NewSystem returns a System whose zero time is one minute in the past, so that a
// Time of 0 can represent "never".
func NewSystem() *System { return &System{start: time.Now().Add(-time.Minute)} }

// Now returns the time since the clock's zero time.
func (s *System) Now() Time { return Time(time.Since(s.start) / time.Millisecond) }

// Manual is a Clock for tests that is advanced explicitly. The zero value is ready
// to use. It is safe for concurrent use.
type Manual struct {
	now atomic.Int64
}

// Now returns the current time of the clock.
func (m *Manual) Now() Time { return Time(m.now.Load()) }

// Advance advances the clock by s and returns the new time.
func (m *Manual) Advance(s Span) Time { return Time(m.now.Add(int64(s))) }

// Sleep waits for s. It returns false if ctx ends first.
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
