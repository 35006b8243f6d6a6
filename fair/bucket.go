package fair

import (
	"math"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

const (
	// burstTerm times the fair level is the cost that a customer may have admitted at once. Requests of a customer
	// slightly below the level come in bursts that exceed it for about this long.
	burstTerm = 1 * clock.Second
	// debtTerm times the fair level bounds the debt that a request above the burst leaves. The level may have risen
	// long before a larger debt is paid.
	debtTerm = 10 * clock.Second
	// maxRetry bounds the time to retry.
	maxRetry = 1 * clock.Minute
)

// bucket is a token bucket that refills at the fair level.
type bucket struct {
	tokens float64
	at     clock.Time
}

// newBucket returns a bucket that is full at any level.
func newBucket(now clock.Time) bucket { return bucket{tokens: math.Inf(1), at: now} }

// take takes a cost and returns 0, or returns the time until the bucket allows it. A cost above the burst needs a full
// bucket and leaves a debt. An entitled cost is always allowed, and neither leaves nor increases a debt.
func (b *bucket) take(now clock.Time, level, cost float64, entitled bool) clock.Span {
	burst := level * burstTerm.Duration().Seconds()
	if now.After(b.at) {
		b.tokens += level * now.Sub(b.at).Duration().Seconds()
		b.at = now
	}
	b.tokens = min(b.tokens, burst)
	switch missing := min(cost, burst) - b.tokens; {
	case missing <= 0:
		b.tokens = max(b.tokens-cost, -level*debtTerm.Duration().Seconds())
	case entitled:
		b.tokens = max(b.tokens-cost, min(b.tokens, 0))
	default:
		return clock.Span(math.Ceil(min(missing/level*float64(clock.Second), float64(maxRetry))))
	}
	return 0
}
