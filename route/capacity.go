package route

import (
	"math"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
)

const (
	// riseTime and fallTime are the time constants of the mean demand of urgent work. Slots
	// given to long work return only after seconds, so the mean follows a rise faster than
	// a fall.
	riseTime = clock.Second / 2
	fallTime = 2 * clock.Second
	// minLongShare is the share of a region's slots that long work may always hold,
	// regardless of the demand of urgent work.
	minLongShare = 0.25
)

// regionCapacity is the load and the slots of a region as far as one class may use them.
type regionCapacity struct {
	share float64
	// slots and longLoad are sums over the region's candidates.
	slots    float64
	longLoad float64
	// load is the sum of the candidates' loads.
	load float64
	// reserved is the number of slots reserved for urgent work beyond the class's share.
	reserved float64
}

// sumCapacity sums up the candidates of a region.
func sumCapacity(candidates []fleet.Candidate, share float64) regionCapacity {
	capacity := regionCapacity{share: share}
	for i := range candidates {
		capacity.slots += float64(candidates[i].Slots)
		capacity.longLoad += candidates[i].LongLoad
		capacity.load += candidates[i].Load
	}
	return capacity
}

// quota returns how many of the slots a class may hold. A class whose share is less than one
// slot may hold one; the limit for the whole region keeps the others free.
func quota(share, slots float64) float64 { return max(1, math.Floor(share*slots+1e-9)) }

// classLimit returns how many of the region's slots the class may hold.
func (c *regionCapacity) classLimit() float64 {
	limit := quota(c.share, c.slots)
	if c.reserved == 0 {
		return limit
	}
	return max(min(limit, math.Floor(c.slots-c.reserved)), quota(minLongShare, c.slots))
}

// fits reports whether the candidate has a free slot for the class.
func (c *regionCapacity) fits(candidate *fleet.Candidate) bool {
	if candidate.Load+1 > float64(candidate.Slots) {
		return false
	}
	if c.share >= 1 {
		return true
	}
	return candidate.LongLoad+1 <= quota(c.share, float64(candidate.Slots)) && c.longLoad+1 <= c.classLimit()
}

// urgentDemand is the mean number of slots that urgent work holds in a region.
type urgentDemand struct {
	mean      float64
	updatedAt clock.Time
}

// urgentDemands holds the demand of urgent work by service and region.
type urgentDemands map[serviceRegion]*urgentDemand

// update adds the current load of the region to the mean.
func (d urgentDemands) update(now clock.Time, key serviceRegion, capacity *regionCapacity) {
	held := min(max(0, capacity.load-capacity.longLoad), capacity.slots)
	demand := d[key]
	if demand == nil {
		d[key] = &urgentDemand{mean: held, updatedAt: now}
		return
	}
	timeConstant := float64(fallTime)
	if held > demand.mean {
		timeConstant = float64(riseTime)
	}
	passed := max(0, float64(now.Sub(demand.updatedAt)))
	demand.mean += (held - demand.mean) * (1 - math.Exp(-passed/timeConstant))
	demand.updatedAt = now
}

// reserved returns the number of slots to reserve for urgent work.
func (d urgentDemands) reserved(key serviceRegion) float64 {
	if demand := d[key]; demand != nil {
		return demand.mean
	}
	return 0
}
