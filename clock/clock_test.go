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
