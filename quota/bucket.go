package quota

import (
	"math"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
)

// bucket holds what an instance may admit of a customer now. Its level is negative after a request that is larger.
type bucket struct {
	level   float64
	updated clock.Time
	limit   bundle.Limit
}

// setLimit applies the limit of the current table. Levels in requests and in tokens are not comparable.
func (b *bucket) setLimit(limit bundle.Limit, share Share) {
	if limit.Tokens != b.limit.Tokens {
		b.level = 0
	}
	b.limit = limit
	b.level = min(b.level, b.size(share))
}

// size returns how much the bucket holds with a share.
func (b *bucket) size(share Share) float64 { return float64(share) * b.limit.Burst }

// fill refills the bucket from the last update to a time. share applies until then, and next from then on: a smaller
// share reduces the level and a larger one does not raise it.
func (b *bucket) fill(to clock.Time, share, next Share) {
	if to.After(b.updated) {
		b.level += float64(share) * b.limit.Rate * seconds(to.Sub(b.updated))
		b.updated = to
	}
	b.level = min(b.level, b.size(min(share, next)))
}

// needed returns the level from which a request is admitted. If the demand for the limit is above it, the level must cover
// the request, or the bucket be full if the request is larger than that. Otherwise the request may leave this instance's
// part of the debt that is allowed in advance, and one that is larger than the bucket needs no more than no debt.
func (b *bucket) needed(cost float64, share, base Share, scarce bool) float64 {
	size := b.size(share)
	if scarce {
		return min(cost, size)
	}
	needed := cost - calmDebt*float64(base)*(b.limit.Burst+b.limit.Rate*seconds(debtWindow))
	if cost > size {
		return min(needed, 0)
	}
	return needed
}

// wait returns the time until the level is reached with a share.
func (b *bucket) wait(level float64, share Share) clock.Span {
	rate := float64(share) * b.limit.Rate
	if rate <= 0 {
		return maxRetryAfter
	}
	return max(1, clock.Span(math.Ceil(min((level-b.level)/rate*float64(clock.Second), float64(maxRetryAfter)))))
}

func seconds(s clock.Span) float64 { return float64(s) / float64(clock.Second) }

// demand estimates a rate that is offered: over slowDemandTime, but over demandTime if that differs by more than requests
// that arrive at random explain.
type demand struct {
	fast, slow float64
	// cost is the mean cost of a request.
	cost float64
	// last is the time of the latest request.
	last, updated clock.Time
}

func (d *demand) add(now clock.Time, cost float64) {
	d.decay(now)
	d.last = now
	if d.cost == 0 {
		d.cost = cost
	}
	d.fast += cost / seconds(demandTime)
	d.slow += cost / seconds(slowDemandTime)
	d.cost += (cost - d.cost) / costSamples
}

func (d *demand) decay(now clock.Time) {
	age := float64(max(0, now.Sub(d.updated)))
	d.fast *= math.Exp(-age / float64(demandTime))
	d.slow *= math.Exp(-age / float64(slowDemandTime))
	d.updated = now
}

// at returns the estimate. The variance of a rate that decays with a time is rate x cost / (2 x time). After a silence
// of at least minSilence in which silentRequests requests would have arrived the demand counts as gone.
func (d *demand) at(now clock.Time) float64 {
	current := *d
	current.decay(now)
	noise := math.Sqrt(current.slow * current.cost / (2 * seconds(demandTime)))
	rate := current.slow
	if math.Abs(current.fast-current.slow) > demandDeviations*noise {
		rate = current.fast
	}
	if silence := now.Sub(d.last); silence >= minSilence && rate*seconds(silence) > silentRequests*d.cost {
		return 0
	}
	return rate
}
