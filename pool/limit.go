package pool

import (
	"math"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

const (
	// permitLifetime is how long an unused permit is kept. It bounds the burst after a quiet time: all
	// instances together hold no more permits than the limit allows in this time.
	permitLifetime = clock.Second
	// freshPermitCostMs is added to the cost of an endpoint whose permit has just become available. It
	// decreases to 0 over freshPermitTerm, so that those come first who gain most. A long cached prefix
	// saves about as much.
	freshPermitCostMs = 1000.0
	freshPermitTerm   = permitLifetime / 2
	// minRequestLimit is the limit below which an endpoint gets health checks instead of requests, at
	// this rate from all instances together, so that the end of the limit is noticed.
	minRequestLimit Rate = 0.2
	// unmetTerm is how long a request that found no permit keeps less urgent ones from taking one. It
	// covers the interval at which waiting requests look for an endpoint.
	unmetTerm = 50 * clock.Millisecond
	// openPermitDivisor makes one in so many permits available to requests of any urgency.
	openPermitDivisor = 4
	// maxReturnQueue bounds the time for which callers are asked to come back in turns.
	maxReturnQueue = 10 * clock.Second
)

// permits divides the requests that an endpoint with a rate limit takes among the instances of the
// region: each has one permit per interval. The intervals of the instances are shifted against each
// other. Permits that expire unused do not change when the next ones become available.
type permits struct {
	intervalMs float64
	// nextMs is when the next permit becomes or became available, in ms on the clock.
	nextMs float64
	taken  uint64
}

// refresh adapts the permits to the current interval and discards those that are too old. shift is the
// part of the interval after which the first permit becomes available.
func (s *permits) refresh(now clock.Time, intervalMs, shift float64) {
	nowMs := float64(now)
	switch {
	case s.intervalMs == 0:
		s.nextMs = nowMs + intervalMs*shift
	case s.intervalMs != intervalMs && s.nextMs > nowMs:
		s.nextMs = nowMs + (s.nextMs-nowMs)*intervalMs/s.intervalMs
	}
	s.intervalMs = intervalMs
	if expired := nowMs - float64(permitLifetime) - s.nextMs; expired > 0 {
		s.nextMs += math.Ceil(expired/intervalMs) * intervalMs
	}
}

// wait returns the time until a permit is available.
func (s *permits) wait(now clock.Time) clock.Span {
	return clock.Span(math.Ceil(max(0, min(s.nextMs-float64(now), float64(maxPause)))))
}

func (s *permits) take() {
	s.nextMs += s.intervalMs
	s.taken++
}

// limited reports whether the endpoint limits the rate of requests.
func (e *endpoint) limited() bool { return e.selfReport().limit.stated }

// refreshPermits brings the permits of an endpoint with a rate limit up to date and reports whether
// this instance has a part of them.
func (p *Pool) refreshPermits(now clock.Time, limited *endpoint) bool {
	return p.refreshShared(now, limited, &limited.permits, max(limited.selfReport().limit.rate, minRequestLimit))
}

// refreshShared brings permits up to date of which all instances of the region together get rate per second, and
// reports whether this instance has a part of them.
func (p *Pool) refreshShared(now clock.Time, at *endpoint, shared *permits, rate Rate) bool {
	sharers := len(p.members)
	if _, member := slices.BinarySearch(p.members, p.config.Self); !member {
		return false
	}
	if !p.settled {
		sharers++ // there may be more than are known
	}
	turn, turns := p.turn(at)
	shared.refresh(now, float64(sharers)/float64(rate)*float64(clock.Second), float64(turn+1)/float64(turns))
	return true
}

// permitWait returns the time until this instance may send a request to an endpoint with a rate limit.
// It returns false if that is not known.
func (p *Pool) permitWait(now clock.Time, limited *endpoint) (clock.Span, bool) {
	if limited.selfReport().limit.rate < minRequestLimit || !p.refreshPermits(now, limited) {
		return 0, false
	}
	return limited.permits.wait(now), true
}

// takePermit takes a permit for one request or health check and reports whether there was one.
func (p *Pool) takePermit(now clock.Time, limited *endpoint) bool {
	if !p.permitReady(now, limited) {
		return false
	}
	limited.permits.take()
	return true
}

// permitReady reports whether this instance has a permit for a request or a health check now.
func (p *Pool) permitReady(now clock.Time, limited *endpoint) bool {
	return p.refreshPermits(now, limited) && limited.permits.wait(now) == 0
}

// hasPermit reports whether a request of the given priority may be sent to an endpoint as far as its
// rate limit is concerned.
func (p *Pool) hasPermit(now clock.Time, candidate *endpoint, priority int) bool {
	if !candidate.limited() {
		return true
	}
	wait, known := p.permitWait(now, candidate)
	return known && wait == 0 && !p.yields(now, candidate, priority)
}

// yields reports whether a request leaves the next permit to more urgent ones that are waiting.
func (p *Pool) yields(now clock.Time, candidate *endpoint, priority int) bool {
	if candidate.permits.taken%openPermitDivisor == 0 {
		return false
	}
	return p.service(candidate.Service).hasMoreUrgent(now, priority)
}

// hasMoreUrgent reports whether more urgent requests have found no endpoint just now.
func (s *serviceState) hasMoreUrgent(now clock.Time, priority int) bool {
	for _, unmet := range s.unmet[:clampPriority(priority)] {
		if unmet > 0 && now.Sub(unmet) <= unmetTerm {
			return true
		}
	}
	return false
}

// permitCost returns the cost in ms of the next permit of an endpoint.
func permitCost(now clock.Time, candidate *endpoint) float64 {
	if !candidate.limited() {
		return 0
	}
	age := (float64(now) - candidate.permits.nextMs) / float64(freshPermitTerm)
	return freshPermitCostMs * (1 - min(max(age, 0), 1))
}

// usableSlots returns how many requests an endpoint can run at the same time, given what it says it bears.
func (e *endpoint) usableSlots(meanServiceMs float64) int {
	slots := e.Slots
	if e.selfReport().brittle.stated {
		slots = sharedSlots(slots)
	}
	if !e.limited() {
		return slots
	}
	running := float64(e.selfReport().limit.rate) * meanServiceMs / float64(clock.Second)
	return int(math.Ceil(min(running, float64(slots))))
}

// ReserveReturn returns after what time a caller should come back that found no permit. Callers are
// asked to come back in turns, at the rate at which permits become available.
func (p *Pool) ReserveReturn(now clock.Time, request Request) clock.Span {
	service := p.service(request.Service)
	ratePerMs, first := 0.0, maxReturnQueue
	for _, e := range service.regional {
		if e.leaving() || e.paused(now) || p.evacuated[e.Zone] {
			continue
		}
		if _, brittle := p.brittle(e); brittle {
			if wait, shared := p.placeWait(now, e); shared {
				ratePerMs += float64(p.roomAt(now, e).returns(sharedSlots(e.Slots))) / service.meanServiceMs
				first = min(first, wait)
			}
			continue
		}
		if !e.limited() {
			continue
		}
		if wait, known := p.permitWait(now, e); known {
			ratePerMs += 1 / e.permits.intervalMs
			first = min(first, wait)
		}
	}
	if ratePerMs == 0 {
		return first
	}
	earliest := float64(now.Add(first))
	service.nextReturnMs = min(max(service.nextReturnMs, earliest), float64(now.Add(maxReturnQueue)))
	after := clock.Span(math.Ceil(service.nextReturnMs)) - clock.Span(now)
	service.nextReturnMs += 1 / ratePerMs
	return after
}
