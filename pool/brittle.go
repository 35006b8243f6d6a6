package pool

import (
	"math"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// rejectionBackoff is how long a brittle endpoint that rejected a request gets no further ones: until the
	// load that filled it has been reported.
	rejectionBackoff = clock.Second
	// rejectionTerm is how long after a rejection the endpoint gets only requests for which there is room for sure.
	rejectionTerm = 5 * clock.Second
	// fullRiskFraction is the part of the rejections that an endpoint bears, less one for a request for which there
	// should have been room, which the instances divide. halfEmptyRiskFraction is the same for an endpoint that
	// is known to be half empty, where a rejection is unlikely.
	fullRiskFraction      = 0.2
	halfEmptyRiskFraction = 0.5
	// riskMarginDivisor is the part of the slots that must be known to be free for such a request.
	riskMarginDivisor = 4
	// riskCostMs is added to the cost of an endpoint where a request may be rejected.
	riskCostMs = 200.0
	// brittleTerm is the time without a statement of any endpoint of the service after which the next one begins a new
	// time, in which others that have said nothing since count as brittle too. An endpoint that has not answered this
	// instance for as long may have ended its statement.
	brittleTerm = 10 * clock.Second
	// minRiskRate is the rate at which all instances together send requests that might be rejected, to learn whether a
	// statement has ended. Those without a share of an endpoint hear nothing of it otherwise.
	minRiskRate Rate = 0.1
	// othersRoomWait is when a caller is asked to come back if an endpoint is half empty and only other instances may
	// send it more: one of them may then get the request.
	othersRoomWait = 200 * clock.Millisecond
	// waiterInterval is the interval in which the requests are counted that wait for room. It covers the interval
	// at which they look for an endpoint.
	waiterInterval = 20 * clock.Millisecond
)

// brittleService is what is known of the brittle endpoints of a service.
type brittleService struct {
	// since is when the first endpoint of the region said that it is brittle, last when any did so last, and
	// tolerance what that one bears.
	since, last clock.Time
	tolerance   Rate
	// shared is when the shares were last computed.
	shared clock.Time
	// ownSlots is the number of slots in the shares of this instance.
	ownSlots int
	// halfEmpty is when an endpoint was last known to be half empty.
	halfEmpty clock.Time
	waiters   waiterCount
}

// record records that an endpoint of the service is brittle.
func (b *brittleService) record(now clock.Time, tolerance Rate) {
	if b.last == 0 || now.Sub(b.last) > brittleTerm {
		b.since = now
	}
	b.last, b.tolerance = now, tolerance
}

// waiterCount estimates how many requests wait for room.
type waiterCount struct {
	from            clock.Time
	current, before int
}

// add counts a request that found no room and returns how many there are.
func (c *waiterCount) add(now clock.Time) int {
	if passed := now.Sub(c.from); passed >= waiterInterval {
		c.from, c.before, c.current = now, c.current, 0
		if passed >= 2*waiterInterval {
			c.before = 0
		}
	}
	c.current++
	return max(c.current, c.before)
}

// brittle reports whether an endpoint must not reject many requests, and how many per second it bears. One that has
// said nothing since others of its service became brittle, such as one that has just restarted, is taken for brittle too.
func (p *Pool) brittle(e *endpoint) (Rate, bool) {
	if !p.brittleSeen {
		return 0, false
	}
	report := e.selfReport()
	if report.brittle.stated {
		return report.brittle.rate, true
	}
	known := &p.service(e.Service).brittle
	if known.last == 0 || report.brittleAsked > known.since {
		return 0, false
	}
	return known.tolerance, true
}

// mayRisk reports whether a request may be sent to a brittle endpoint that might reject it.
func (p *Pool) mayRisk(now clock.Time, e *endpoint, tolerance Rate, known room) bool {
	if e.rejected > 0 && now.Sub(e.rejected) < rejectionTerm {
		return false
	}
	return p.refreshRisks(now, e, p.riskRate(now, e, tolerance, known)) && e.risks.wait(now) == 0
}

// riskRate returns the rate at which all instances together may send requests that an endpoint might reject.
func (p *Pool) riskRate(now clock.Time, e *endpoint, tolerance Rate, known room) Rate {
	slots := sharedSlots(e.Slots)
	switch {
	case known.total <= slots/2:
		return max(halfEmptyRiskFraction*tolerance, minRiskRate)
	case known.total < slots-slots/riskMarginDivisor:
		return fullRiskFraction * (tolerance - 1)
	case known.total < e.Slots && p.service(e.Service).brittle.ownSlots == 0:
		return fullRiskFraction * tolerance // else this instance would never get a turn
	case tolerance >= 1 && now.Sub(e.answeredAt) > brittleTerm:
		return minRiskRate
	}
	return 0
}

// refreshRisks brings the permits for possible rejections up to date and reports whether this instance has a part.
func (p *Pool) refreshRisks(now clock.Time, e *endpoint, rate Rate) bool {
	return rate > 0 && p.refreshShared(now, e, &e.risks, rate)
}

// hasPlace reports whether an endpoint, if it is brittle, takes one more request of this instance.
func (p *Pool) hasPlace(now clock.Time, e *endpoint, priority int) bool {
	tolerance, brittle := p.brittle(e)
	if !brittle {
		return true
	}
	if now.Before(e.fullUntil) {
		return false
	}
	known := p.roomAt(now, e)
	return (known.hasRoom() || p.mayRisk(now, e, tolerance, known)) && !p.yieldsRoom(now, e, priority)
}

// yieldsRoom reports whether a request leaves the next place to more urgent ones that are waiting.
func (p *Pool) yieldsRoom(now clock.Time, e *endpoint, priority int) bool {
	service := p.service(e.Service)
	return service.hasMoreUrgent(now, priority) && len(e.sends)%openPermitDivisor != 0
}

// placeCost returns the cost in ms of a place at an endpoint beyond that of the work: what the permits for its
// requests and for possible rejections are worth.
func (p *Pool) placeCost(now clock.Time, e *endpoint) float64 {
	cost := permitCost(now, e)
	if _, brittle := p.brittle(e); brittle && !p.roomAt(now, e).hasRoom() {
		cost += riskCostMs
	}
	return cost
}

// takePlace takes room, or a permit for a possible rejection, for a send that has begun. It reports whether there
// was either.
func (p *Pool) takePlace(now clock.Time, send *Send) bool {
	e := send.endpoint
	tolerance, brittle := p.brittle(e)
	switch {
	case !brittle:
		return true
	case now.Before(e.fullUntil):
		return false
	case send.placed:
		return true
	}
	known := p.roomAt(now, e)
	known.held-- // the send itself
	known.total--
	send.placed = known.hasRoom()
	if !send.placed && p.mayRisk(now, e, tolerance, known) {
		e.risks.take()
		send.placed, send.risked = true, true
	}
	return send.placed
}

// endRisk gives back the permit of a send that has not been rejected, once it no longer takes room of others.
func (s *Send) endRisk() {
	if s.risked && s.process.Incarnation == s.endpoint.Incarnation {
		s.endpoint.risks.nextMs -= s.endpoint.risks.intervalMs
	}
	s.risked = false
}

// endPlace records what the end of a send says about the room at a brittle endpoint.
func (p *Pool) endPlace(now clock.Time, send *Send, outcome Outcome) {
	e := send.endpoint
	if send.process.Incarnation != e.Incarnation || !send.placed && outcome != Refused {
		return
	}
	switch outcome {
	case Complete, Failed:
		send.endRisk()
	case Refused: // also by the answer that brings the statement
		p.recordRejection(now, e)
	case Cancelled, TimedOut, Broken, Malformed:
		e.lingers = append(e.lingers, now.Add(lingerTerm))
	case Moved, Unreachable:
	}
}

// mayCheckBrittle reports whether a health check may be sent to an endpoint as far as its room is concerned. The
// check takes the room of a request until EndCheck.
func (p *Pool) mayCheckBrittle(now clock.Time, e *endpoint) bool {
	tolerance, brittle := p.brittle(e)
	if !brittle {
		return true
	}
	if now.Before(e.fullUntil) {
		return false
	}
	known := p.roomAt(now, e)
	if known.hasRoom() {
		return true
	}
	if !p.mayRisk(now, e, tolerance, known) {
		return false
	}
	e.risks.take()
	return true
}

// EndCheck records the end of a health check that MayCheck has let through, and frees its room. One without an answer
// may still wait at the endpoint. rejected reports whether the endpoint had no room for it.
func (p *Pool) EndCheck(now clock.Time, id ident.Endpoint, answered, rejected bool) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	e.checks = max(0, e.checks-1)
	switch {
	case rejected:
		p.recordRejection(now, e)
	case !answered:
		e.lingers = append(e.lingers, now.Add(lingerTerm))
	}
}

// recordRejection keeps requests and health checks away from a brittle endpoint that has rejected one.
func (p *Pool) recordRejection(now clock.Time, e *endpoint) {
	if _, brittle := p.brittle(e); !brittle {
		return
	}
	e.rejected = now
	e.fullUntil = max(e.fullUntil, now.Add(rejectionBackoff))
}

// placeWait returns after what time a place at a brittle endpoint may be free, if it has none now. It returns false
// if this instance has no share of it.
func (p *Pool) placeWait(now clock.Time, e *endpoint) (clock.Span, bool) {
	if now.Before(e.fullUntil) {
		return e.fullUntil.Sub(now), true
	}
	service := p.service(e.Service)
	known := p.roomAt(now, e)
	if known.total <= sharedSlots(e.Slots)/2 {
		service.brittle.halfEmpty = now
		return othersRoomWait, true
	}
	if known.own == 0 {
		return maxReturnQueue, false
	}
	return clock.Span(math.Ceil(service.meanServiceMs / float64(max(known.own, service.brittle.ownSlots)))), true
}

// waitForRoom counts a request that found no room at the brittle endpoints of a service and returns after what time
// the last of those that wait may get some. first is when the first place may be free.
func (s *serviceState) waitForRoom(now clock.Time, first clock.Span) clock.Span {
	waiting := s.brittle.waiters.add(now)
	if s.brittle.ownSlots == 0 || s.brittle.halfEmpty == now {
		return first
	}
	return max(first, clock.Span(s.meanServiceMs*float64(waiting)/float64(s.brittle.ownSlots)))
}
