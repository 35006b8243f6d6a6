package route

import (
	"math"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
)

const (
	// riseTime and fallTime are the time constants of the mean demand of urgent work. Slots
	// given to long work come back only after seconds, so that a rise has to be followed
	// sooner than a fall.
	riseTime = clock.Second / 2
	fallTime = 2 * clock.Second
	// longFloor is the share of a region's slots that long work may hold whatever the
	// demand of urgent work is.
	longFloor = 0.25
)

// room is the part of a region's slots that an ask may use.
type room struct {
	share float64
	// slots and long are the sums over the region's candidates.
	slots float64
	long  float64
	// load is the sum of loads.
	load float64
	// kept is how many of the slots the class leaves to urgent work beyond its share.
	kept float64
}

// measure sums up a region's candidates.
func measure(found []fleet.Candidate, share float64) room {
	m := room{share: share}
	for i := range found {
		m.slots += float64(found[i].Slots)
		m.long += found[i].Long
		m.load += found[i].Load
	}
	return m
}

// quota returns how many of n slots a class may hold. Where its share makes less
// than one slot, it may hold one, and the region's total keeps the others free.
func quota(share, n float64) float64 { return max(1, math.Floor(share*n+1e-9)) }

// limit returns how many of the region's slots the class may hold.
func (m *room) limit() float64 {
	most := quota(m.share, m.slots)
	if m.kept == 0 {
		return most
	}
	return max(min(most, math.Floor(m.slots-m.kept)), quota(longFloor, m.slots))
}

// fits reports whether c has a slot for work of the class that m was made for.
func (m *room) fits(c *fleet.Candidate) bool {
	if c.Load+1 > float64(c.Slots) {
		return false
	}
	if m.share >= 1 {
		return true
	}
	return c.Long+1 <= quota(m.share, float64(c.Slots)) && m.long+1 <= m.limit()
}

// demand is the mean number of slots that urgent work holds in a region.
type demand struct {
	mean float64
	at   clock.Time
}

// demands holds the demand of urgent work at each place.
type demands map[place]*demand

// note takes in the region's state at the time now.
func (d demands) note(now clock.Time, p place, m *room) {
	x := min(max(0, m.load-m.long), m.slots)
	e := d[p]
	if e == nil {
		d[p] = &demand{mean: x, at: now}
		return
	}
	constant := float64(fallTime)
	if x > e.mean {
		constant = float64(riseTime)
	}
	passed := max(0, float64(now.Sub(e.at)))
	e.mean += (x - e.mean) * (1 - math.Exp(-passed/constant))
	e.at = now
}

// kept returns how many slots are kept free for urgent work.
func (d demands) kept(p place) float64 {
	if e := d[p]; e != nil {
		return e.mean
	}
	return 0
}
