package clock_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

func ExampleManual() {
	var m clock.Manual
	start := m.Now()
	m.Advance(1500 * clock.Millisecond)
	fmt.Println(m.Now().Sub(start))
	// Output: 1500ms
}

// Guards against a system clock that starts at 0, which represents "never".
func TestSystemStartsAboveZero(t *testing.T) {
	require.Positive(t, clock.NewSystem().Now())
}

// Guards against wrong units in the conversion between Span and time.Duration.
func TestFromDuration(t *testing.T) {
	require.Equal(t, clock.Span(1), clock.FromDuration(1999*time.Microsecond))
	require.Equal(t, 2*time.Second, (2 * clock.Second).Duration())
}

// Guards against a backoff that skips or exceeds its bounds, and one that a success does not end.
func TestBackoff(t *testing.T) {
	backoff := clock.Backoff{First: 30, Last: 500}
	for _, want := range []clock.Span{30, 60, 120, 240, 480, 500, 500} {
		require.Equal(t, want, backoff.Next())
	}
	backoff.Reset()
	require.Equal(t, clock.Span(30), backoff.Next())
}

// Guards against an overflow after many failures.
func TestDoubledManyTimes(t *testing.T) {
	require.Equal(t, clock.Minute, clock.Doubled(250, clock.Minute, 1000))
}

// Guards against waits outside the range of the jitter.
func TestJitterRange(t *testing.T) {
	require.Equal(t, clock.Span(75), clock.Jitter(100, func(int64) int64 { return 0 }))
	require.Equal(t, clock.Span(125), clock.Jitter(100, func(n int64) int64 { return n - 1 }))
}
