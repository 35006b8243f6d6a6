package trial

import (
	"time"
)

// window is the step in which demand and capacity are compared. A wider one would
// average over demand that comes and goes within it.
const window = 100 * time.Millisecond

// least returns the least share of the measured requests that must be served in
// another region than their caller's, if nobody may wait longer than the model's
// patience.
//
// Each request demands one slot for its slot time from its arrival on. In each
// region and window the demand above the capacity is put off; what would wait longer
// than the patience has to go elsewhere. The fewest requests carry it if they are of
// the class with the longest mean. A region that is cut off can't send anything away.
func (p *plan) least() float64 {
	measured := 0
	for i := range p.arrivals {
		if p.arrivals[i].measured() {
			measured++
		}
	}
	mean := p.longestMean()
	if measured == 0 || mean == 0 {
		return 0
	}
	forced := time.Duration(0)
	for r := range p.regions {
		forced += p.forced(r)
	}
	return forced.Seconds() / mean.Seconds() / float64(measured)
}

// forced returns the slot time that a region can't serve in time.
func (p *plan) forced(region int) time.Duration {
	const step = window
	demand := p.demand(region, step)
	var backlog, forced float64
	for i, d := range demand {
		at := time.Duration(i) * step
		capacity := p.model.slotsAt(region, at)
		backlog = max(0, backlog+d.Seconds()-capacity*step.Seconds())
		most := capacity * p.model.patience.Seconds()
		if backlog <= most {
			continue
		}
		if !p.model.cut(region, at) {
			forced += backlog - most
		}
		backlog = most
	}
	return time.Duration(forced * float64(time.Second))
}

// demand returns the slot time that the callers of a region ask for in each step of
// the measured time; what was sent during the warm-up counts as far as it still runs.
func (p *plan) demand(region int, step time.Duration) []time.Duration {
	out := make([]time.Duration, (p.model.length+step-1)/step)
	for i := range p.arrivals {
		a := &p.arrivals[i]
		if a.region != region || !a.completion() {
			continue
		}
		from, to := a.at, a.at+p.model.ideal(a, false)
		for w := max(0, from/step); w < time.Duration(len(out)); w++ {
			begin := max(from, w*step)
			finish := min(to, (w+1)*step)
			if finish <= begin && begin > 0 {
				break
			}
			out[w] += max(0, finish-begin)
		}
	}
	return out
}

// longestMean returns the mean slot time of the class that has the longest.
func (p *plan) longestMean() time.Duration {
	var best time.Duration
	for _, w := range []work{question, draft} {
		var sum time.Duration
		n := 0
		for i := range p.arrivals {
			if a := &p.arrivals[i]; a.work == w && a.measured() {
				sum += p.model.ideal(a, false)
				n++
			}
		}
		if n > 0 {
			best = max(best, sum/time.Duration(n))
		}
	}
	return best
}

// ideal returns the slot time of a request that runs once at normal speed, with its
// shared prefix in the cache unless it is the first one with it.
func (m *model) ideal(a *arrival, first bool) time.Duration {
	words := a.words
	if !first {
		words -= a.shared
	}
	return m.slotTime(float64(a.tokens), words)
}

// floor returns the least slot time in seconds per completed request. A prefix is
// in a region's caches once a request with it was sent there, the warm-up included.
func (p *plan) floor(completions []*outcome) float64 {
	done := map[*arrival]bool{}
	for _, o := range completions {
		if o.completion() && o.end == completed && o.measured() {
			done[o.arrival] = true
		}
	}
	type prefix struct{ region, customer int }
	known := map[prefix]bool{}
	var sum time.Duration
	for i := range p.arrivals {
		a := &p.arrivals[i]
		k := prefix{a.region, a.customer}
		first := a.shared > 0 && !known[k]
		if a.shared > 0 {
			known[k] = true
		}
		if done[a] {
			sum += p.model.ideal(a, first)
		}
	}
	if len(done) == 0 {
		return 0
	}
	return sum.Seconds() / float64(len(done))
}
