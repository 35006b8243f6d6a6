package fair

import (
	"math"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

// minAge is the least age at which a rate is extrapolated.
const minAge = 50 * clock.Millisecond

// rate is an exponentially decaying average of cost per second.
type rate struct {
	value float64
	at    clock.Time
}

// decayed returns the rate at a time.
func (r rate) decayed(now clock.Time, term clock.Span) float64 {
	if !now.After(r.at) {
		return r.value
	}
	return r.value * math.Exp(-float64(now.Sub(r.at))/float64(term))
}

// add adds a cost. A negative cost takes back one that was added a short time before.
func (r *rate) add(now clock.Time, term clock.Span, cost float64) {
	r.value = max(0, r.decayed(now, term)+cost*float64(clock.Second)/float64(term))
	r.at = max(r.at, now)
}

// coldFactor returns the factor by which rates of traffic that began at an age ago are too low.
func coldFactor(term, age clock.Span) float64 {
	return 1 / -math.Expm1(-float64(max(age, minAge))/float64(term))
}
