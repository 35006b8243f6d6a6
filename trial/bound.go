package trial

import (
	"time"
)

// demandStep is the interval at which demand and capacity are compared. A longer one
// would average out demand peaks within it.
const demandStep = 100 * time.Millisecond

// minRemoteShare returns the minimum share of the measured requests that must be served
// in another region than their caller's if no request may wait longer than the model's
// maxWait.
//
// Each request occupies one slot for its slot time, starting at its arrival. In each
// region and step, demand above the capacity is queued; work that would wait longer
// than maxWait has to move to another region. The number of moved requests is lowest if
// they are of the class with the longest mean slot time. An isolated region can't move
// any work.
func (p *plan) minRemoteShare() float64 {
	measured := 0
	for i := range p.arrivals {
		if p.arrivals[i].measured() {
			measured++
		}
	}
	mean := p.longestMeanSlotTime()
	if measured == 0 || mean == 0 {
		return 0
	}
	forced := time.Duration(0)
	for r := range p.regions {
		forced += p.forcedSlotTime(r)
	}
	return forced.Seconds() / mean.Seconds() / float64(measured)
}

// forcedSlotTime returns the slot time that a region has to move to other regions.
func (p *plan) forcedSlotTime(region int) time.Duration {
	const step = demandStep
	demand := p.slotDemand(region, step)
	var backlog, forced float64
	for i, d := range demand {
		at := time.Duration(i) * step
		capacity := p.model.usableSlots(region, at)
		backlog = max(0, backlog+d.Seconds()-capacity*step.Seconds())
		maxBacklog := capacity * p.model.maxWait.Seconds()
		if backlog <= maxBacklog {
			continue
		}
		if !p.model.isolated(region, at) {
			forced += backlog - maxBacklog
		}
		backlog = maxBacklog
	}
	return time.Duration(forced * float64(time.Second))
}

// slotDemand returns the slot time that the callers of a region request in each step of
// the measurement. Requests sent during the warm-up count for the part that falls into
// the measurement.
func (p *plan) slotDemand(region int, step time.Duration) []time.Duration {
	out := make([]time.Duration, (p.model.length+step-1)/step)
	for i := range p.arrivals {
		a := &p.arrivals[i]
		if a.region != region || !a.isCompletion() {
			continue
		}
		from, to := a.offset, a.offset+p.model.idealSlotTime(a, false)
		for s := max(0, from/step); s < time.Duration(len(out)); s++ {
			begin := max(from, s*step)
			finish := min(to, (s+1)*step)
			if finish <= begin && begin > 0 {
				break
			}
			out[s] += max(0, finish-begin)
		}
	}
	return out
}

// longestMeanSlotTime returns the mean slot time of the class for which it is longest.
func (p *plan) longestMeanSlotTime() time.Duration {
	var longest time.Duration
	for _, k := range []requestKind{question, draft} {
		var sum time.Duration
		count := 0
		for i := range p.arrivals {
			if a := &p.arrivals[i]; a.kind == k && a.measured() {
				sum += p.model.idealSlotTime(a, false)
				count++
			}
		}
		if count > 0 {
			longest = max(longest, sum/time.Duration(count))
		}
	}
	return longest
}

// idealSlotTime returns the slot time of a request that runs once at normal speed. Its
// shared prefix counts as cached unless first is set.
func (m *model) idealSlotTime(request *arrival, first bool) time.Duration {
	words := request.promptWords
	if !first {
		words -= request.sharedWords
	}
	return m.slotTime(float64(request.answerTokens), words)
}

// minCost returns the minimum slot time in seconds per completed completion. A prefix
// counts as cached in a region once a request with it was sent from there, including
// during the warm-up.
func (p *plan) minCost(completions []*outcome) float64 {
	measured := map[*arrival]bool{}
	for _, o := range completions {
		if o.isCompletion() && o.state == completed && o.measured() {
			measured[o.arrival] = true
		}
	}
	type prefix struct{ region, customer int }
	cached := map[prefix]bool{}
	var sum time.Duration
	for i := range p.arrivals {
		a := &p.arrivals[i]
		key := prefix{a.region, a.customer}
		first := a.sharedWords > 0 && !cached[key]
		if a.sharedWords > 0 {
			cached[key] = true
		}
		if measured[a] {
			sum += p.model.idealSlotTime(a, first)
		}
	}
	if len(measured) == 0 {
		return 0
	}
	return sum.Seconds() / float64(len(measured))
}
