package budget_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/budget"
	"github.com/tanagerbridge/tanagerbridge/clock"
)

// Fixes the seed of the property tests unless the command line sets one.
func init() { _ = flag.Set("rapid.seed", "1") }

// Guards against losing a retry to rounding, and against saving up more than the burst.
func TestRetry(t *testing.T) {
	limiter := budget.NewRetry(0.1, 2)
	require.True(t, limiter.Take())
	require.True(t, limiter.Take())
	require.False(t, limiter.Take())
	for range 10 {
		limiter.RecordFirst()
	}
	require.True(t, limiter.Take())
	require.False(t, limiter.Take())
}

// Guards against more retries than the share of first sends plus the burst.
func TestRetryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter := budget.NewRetry(0.1, 3)
		firsts, retries := 0, 0
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "first") {
				limiter.RecordFirst()
				firsts++
			} else if limiter.Take() {
				retries++
			}
		}
		require.LessOrEqual(t, float64(retries), 3+0.1*float64(firsts)+1e-6)
	})
}

// Guards against a link that exceeds its rate, never passes a large message, or does not
// account for responses.
func TestLink(t *testing.T) {
	link := budget.NewLink(1000, 500)
	require.True(t, link.Take(1, 500))
	require.False(t, link.Take(1, 1))
	require.True(t, link.Take(101, 100))
	require.True(t, link.Allows(10_000, 5000), "a full bucket lets a large message pass")
	link.Record(10_000, 1500)
	require.False(t, link.Allows(10_000+clock.Time(clock.Second), 1))
	require.True(t, link.Allows(10_000+2*clock.Time(clock.Second), 500))
}
