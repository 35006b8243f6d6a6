package gate

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

// Guards against requests that end with an internal error because another instance tells an odd number of slots.
func TestOddSlotsOfARegion(t *testing.T) {
	for _, slots := range []int{0, -1, math.MinInt, math.MaxInt, 1 << 62} {
		require.NotPanics(t, func() { require.GreaterOrEqual(t, excessWait(3, clock.Second, slots), clock.Span(0)) })
	}
	require.Equal(t, 375*clock.Millisecond, excessWait(3, clock.Second, 2))
}
