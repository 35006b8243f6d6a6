// Package budget bounds retries and the traffic between regions with token
// buckets. None of its types is safe for concurrent use.
package budget

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// slack absorbs rounding, so that ten first tries at a share of 0.1 make one retry.
const slack = 1e-9

// Retry is a budget of retries and hedges that is fed by first tries.
type Retry struct {
	share  float64
	burst  float64
	tokens float64
}

// NewRetry returns a full Retry. Each first try adds share retries, up to burst.
func NewRetry(share, burst float64) *Retry {
	return &Retry{share: share, burst: burst, tokens: burst}
}

// First records a first try.
func (r *Retry) First() { r.tokens = min(r.burst, r.tokens+r.share) }

// Take uses up one retry, or returns false if there is none.
func (r *Retry) Take() bool {
	if r.tokens < 1-slack {
		return false
	}
	r.tokens = max(0, r.tokens-1)
	return true
}

// Link is the budget of one direction of a link between regions.
type Link struct {
	rate   float64 // bytes per ms
	burst  float64
	tokens float64
	at     clock.Time
}

// NewLink returns a full Link with a rate in bytes/s. burst is the number of
// bytes that may pass at once.
func NewLink(rate, burst ident.Bytes) *Link {
	return &Link{
		rate:   float64(rate) / float64(clock.Second),
		burst:  float64(burst),
		tokens: float64(burst),
	}
}

// Take uses up n bytes if Allows does.
func (l *Link) Take(now clock.Time, n ident.Bytes) bool {
	if !l.Allows(now, n) {
		return false
	}
	l.Spent(now, n)
	return true
}

// Allows reports whether n bytes may pass now. More than the burst may pass when
// the bucket is full, and leaves a debt; otherwise it could never pass.
func (l *Link) Allows(now clock.Time, n ident.Bytes) bool {
	l.fill(now)
	return l.tokens >= min(float64(n), l.burst)-slack
}

// Spent records n bytes that have passed, such as those of an answer. It may
// leave a debt that later traffic waits for.
func (l *Link) Spent(now clock.Time, n ident.Bytes) {
	l.fill(now)
	l.tokens -= float64(n)
}

// fill adds what has accrued since the last call.
func (l *Link) fill(now clock.Time) {
	if !now.After(l.at) {
		return
	}
	l.tokens = min(l.burst, l.tokens+float64(now.Sub(l.at))*l.rate)
	l.at = now
}
