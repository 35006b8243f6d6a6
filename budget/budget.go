// Package budget limits retries and the traffic between regions. None of its types is
// safe for concurrent use.
package budget

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// roundingTolerance absorbs rounding errors, so that ten first sends at a share of 0.1
// allow one retry.
const roundingTolerance = 1e-9

// Retry is a token bucket for retries and hedges that first sends refill.
type Retry struct {
	share  float64
	burst  float64
	tokens float64
}

// NewRetry returns a full Retry. Each first send adds share tokens, up to burst.
func NewRetry(share, burst float64) *Retry {
	return &Retry{share: share, burst: burst, tokens: burst}
}

// RecordFirst records a first send.
func (r *Retry) RecordFirst() { r.tokens = min(r.burst, r.tokens+r.share) }

// Take consumes one retry. It returns false if none is available.
func (r *Retry) Take() bool {
	if r.tokens < 1-roundingTolerance {
		return false
	}
	r.tokens = max(0, r.tokens-1)
	return true
}

// Link is a token bucket for one direction of a link between regions.
type Link struct {
	rate       float64 // bytes per ms
	burst      float64
	tokens     float64
	refilledAt clock.Time
}

// NewLink returns a full Link with a rate in bytes/s. burst is the number of bytes that
// may pass at once.
func NewLink(rate, burst ident.Bytes) *Link {
	return &Link{
		rate:   float64(rate) / float64(clock.Second),
		burst:  float64(burst),
		tokens: float64(burst),
	}
}

// Take consumes size bytes if Allows permits them, and reports whether it did.
func (l *Link) Take(now clock.Time, size ident.Bytes) bool {
	if !l.Allows(now, size) {
		return false
	}
	l.Record(now, size)
	return true
}

// Allows reports whether size bytes may pass now. A message larger than the burst may pass
// when the bucket is full and leaves a debt; otherwise it could never pass.
func (l *Link) Allows(now clock.Time, size ident.Bytes) bool {
	l.refill(now)
	return l.tokens >= min(float64(size), l.burst)-roundingTolerance
}

// Record records size bytes that have passed, such as those of a response. It may leave a
// debt, which later traffic has to wait for.
func (l *Link) Record(now clock.Time, size ident.Bytes) {
	l.refill(now)
	l.tokens -= float64(size)
}

// refill adds the tokens accrued since the last call.
func (l *Link) refill(now clock.Time) {
	if !now.After(l.refilledAt) {
		return
	}
	l.tokens = min(l.burst, l.tokens+float64(now.Sub(l.refilledAt))*l.rate)
	l.refilledAt = now
}
