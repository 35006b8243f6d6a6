package pool

import (
	"maps"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// overdueFactor times the expected delay of a send plus overdueBase is the time without a first byte after which
	// the link to the endpoint is checked.
	overdueFactor = 2
	overdueBase   = 400 * clock.Millisecond
	// linkCheckInterval is the minimum interval between two such checks of an endpoint, and maxLinkChecks bounds those
	// that begin at the same time.
	linkCheckInterval = 1 * clock.Second
	maxLinkChecks     = 4
	// sweepFailures is the number of endpoints that must have failed in a row, without an answer of any other one,
	// before several endpoints of each zone are checked at once. Connections refused by sweepRefusals endpoints within
	// refusalTerm count the same, whatever is answered on open connections meanwhile. So do overdue sends to
	// overdueEndpoints endpoints if nothing has been answered for silenceTime.
	sweepFailures    = 3
	sweepRefusals    = 2
	refusalTerm      = 2 * clock.Second
	overdueEndpoints = 2
	silenceTime      = 300 * clock.Millisecond
	// sweepPerZone is the number of endpoints of each zone that are checked in a sweep, and sweepInterval the
	// minimum interval between two sweeps.
	sweepPerZone  = 3
	sweepInterval = 2 * clock.Second
	// sweepTimeout bounds a sweep of which results are missing.
	sweepTimeout = 2 * clock.Second
	// recheckInterval is the interval in which rechecks unreached endpoints are checked. Each success allows
	// recheckGain more at once.
	recheckInterval = 500 * clock.Millisecond
	rechecks        = 4
	recheckGain     = 3
	// minTrialOutage is the time for which an endpoint must have been unreached to get only trial sends at first.
	minTrialOutage = 1 * clock.Second
	// FullReach is the reach of an instance that reaches all endpoints of a service, in percent.
	FullReach = 100
	// PassOnPercent is the reach below which an instance passes requests on for the endpoints that it does not reach.
	PassOnPercent = 67
)

// reach is what this instance knows about its links to the endpoints of the region as a whole.
type reach struct {
	// failed holds the endpoints that have failed since any endpoint was last reached, which was at reachedAt.
	failed    map[ident.Endpoint]struct{}
	reachedAt clock.Time
	// refused holds when it was found that no connection to an endpoint could be made, for refusalTerm.
	refused map[ident.Endpoint]clock.Time
	// sweep is the sweep in progress, and sweptAt when the last one began.
	sweep   *sweep
	sweptAt clock.Time
	// lost is set while endpoints may be unreached.
	lost bool
	// credit is the number of checks of unreached endpoints that may begin, and creditAt when it was last renewed.
	credit   int
	creditAt clock.Time
}

// sweep is a check of several endpoints of each zone at the same time.
type sweep struct {
	began   clock.Time
	waiting map[ident.Endpoint]ident.Zone
	// reached and unreached count the results by zone.
	reached, unreached map[ident.Zone]int
}

// unreached reports whether this instance could not connect to the endpoint, and has not reached it since.
func (e *endpoint) unreached() bool { return e.unreachedSince > 0 }

// overdue reports whether an endpoint has not answered a send in time, nor anything else since.
func (s *Send) overdue(now clock.Time) bool {
	return !s.answered && s.endpoint.reachedAt < s.started && now.Sub(s.started) > overdueFactor*s.choice.Delay+overdueBase
}

// OnUnreached lets fn be called once when the send is overdue at an endpoint that turns out to be unreached. fn must
// not call the Pool.
func (s *Send) OnUnreached(fn func()) { s.onUnreached = fn }

// recordReached records that an endpoint has answered something that was sent to it at a time.
func (p *Pool) recordReached(now clock.Time, from *endpoint, sent clock.Time) {
	from.reachedAt = now
	p.reach.reachedAt = now
	clear(p.reach.failed)
	if !from.unreached() || sent < from.unreachedSince {
		return
	}
	if now.Sub(from.unreachedSince) >= minTrialOutage {
		from.trialLimit = 1
	}
	from.unreachedSince = 0
	p.reach.credit += recheckGain
}

// AnsweredSince reports whether an endpoint has answered a request or a health check since a time. One that is only reached
// may have been replaced by another process.
func (p *Pool) AnsweredSince(id ident.Endpoint, since clock.Time) bool {
	known := p.endpoints[id]
	return known != nil && known.answeredAt > 0 && !known.answeredAt.Before(since)
}

// OthersAnsweredSince reports whether any other endpoint has.
func (p *Pool) OthersAnsweredSince(id ident.Endpoint, since clock.Time) bool {
	for other := range p.endpoints {
		if other != id && p.AnsweredSince(other, since) {
			return true
		}
	}
	return false
}

// markUnreached records that an endpoint can't be reached, and abandons what is overdue there.
func (p *Pool) markUnreached(now clock.Time, target *endpoint) {
	p.reach.lost = true
	if !target.unreached() {
		target.unreachedSince = now
	}
	for send := range target.sends {
		if send.onUnreached != nil && send.overdue(now) {
			send.onUnreached()
			send.onUnreached = nil
		}
	}
}

// recordLinkResult records what the end of a send says about the link to the endpoint.
func (p *Pool) recordLinkResult(now clock.Time, send *Send, outcome Outcome) {
	target := send.endpoint
	switch outcome {
	case Complete, Failed, Refused, Moved, Malformed:
		p.recordReached(now, target, send.started)
	case Unreachable:
		p.reach.failed[target.ID], p.reach.refused[target.ID] = struct{}{}, now
		p.markUnreached(now, target)
	case Broken, TimedOut:
		if !send.answered && target.reachedAt < send.started {
			p.reach.failed[target.ID] = struct{}{}
		}
	case Cancelled:
	}
}

// recordLinkCheck records what a health check says about the link to the endpoint.
func (p *Pool) recordLinkCheck(now clock.Time, checked *endpoint, connected bool) {
	switch {
	case connected:
		delete(p.reach.refused, checked.ID)
		p.recordReached(now, checked, now)
	case !checked.unreached():
		p.reach.refused[checked.ID] = now
		p.markUnreached(now, checked)
	default:
		p.markUnreached(now, checked)
	}
	p.recordSwept(now, checked, connected)
}

// RecordConnected records that a connection to an endpoint could be made.
func (p *Pool) RecordConnected(now clock.Time, id ident.Endpoint) {
	if known := p.endpoints[id]; known != nil {
		p.recordLinkCheck(now, known, true)
		p.zone(known.Zone).clear()
	}
}

// recordSwept records a result of the sweep in progress.
func (p *Pool) recordSwept(now clock.Time, checked *endpoint, connected bool) {
	current := p.reach.sweep
	if current == nil {
		return
	}
	zone, swept := current.waiting[checked.ID]
	if !swept {
		return
	}
	delete(current.waiting, checked.ID)
	if connected {
		current.reached[zone]++
	} else {
		current.unreached[zone]++
	}
	if len(current.waiting) == 0 {
		p.endSweep(now)
	}
}

// endSweep evaluates a sweep. A zone without any answer is not reached. One of which some endpoints have not answered
// is checked as a whole.
func (p *Pool) endSweep(now clock.Time) {
	ended := p.reach.sweep
	p.reach.sweep = nil
	clear(p.reach.failed)
	clear(p.reach.refused)
	for zone := range ended.unreached {
		if ended.reached[zone] == 0 {
			p.zone(zone).suspect(now)
		}
	}
	for _, s := range p.services {
		for _, e := range s.regional {
			switch {
			case e.reachedAt >= ended.began || ended.unreached[e.Zone] == 0:
			case ended.reached[e.Zone] == 0:
				p.markUnreached(now, e)
			default:
				e.wantsCheck = true
			}
		}
	}
}

// dueSweep returns the endpoints that are to be checked at once because this instance may have lost its links.
func (p *Pool) dueSweep(now clock.Time) (due []Info) {
	if current := p.reach.sweep; current != nil {
		if now.Sub(current.began) > sweepTimeout {
			p.endSweep(now)
		}
		return nil
	}
	overdue := len(p.overdueTargets(now))
	silent := overdue >= overdueEndpoints && now.Sub(p.reach.reachedAt) > silenceTime
	maps.DeleteFunc(p.reach.refused, func(_ ident.Endpoint, at clock.Time) bool { return now.Sub(at) > refusalTerm })
	suspected := silent || len(p.reach.failed) >= sweepFailures || len(p.reach.refused) >= sweepRefusals
	if !suspected || p.reach.sweptAt > 0 && now.Sub(p.reach.sweptAt) < sweepInterval {
		return nil
	}
	return p.beginSweep(now)
}

func (p *Pool) beginSweep(now clock.Time) (due []Info) {
	p.reach.sweptAt = now
	begun := &sweep{
		began: now, waiting: make(map[ident.Endpoint]ident.Zone),
		reached: make(map[ident.Zone]int), unreached: make(map[ident.Zone]int),
	}
	avoided := p.avoidedZones(now)
	for zone := range p.zones {
		if p.evacuated[zone] {
			continue
		}
		if avoided[zone] {
			begun.unreached[zone]++ // its endpoints have just failed
			continue
		}
		candidates := slices.DeleteFunc(p.endpointsIn(now, zone), (*endpoint).limited)
		p.rotation++
		for i := range min(sweepPerZone, len(candidates)) {
			e := candidates[(i+int(p.rotation%uint64(len(candidates))))%len(candidates)]
			begun.waiting[e.ID] = zone
			e.lastChecked = now
			due = append(due, e.Info)
		}
	}
	if len(due) > 0 {
		p.reach.sweep = begun
	}
	return due
}

// DueLinkChecks returns endpoints with overdue sends. A new connection shows whether they are reached: a health check
// may have to wait behind other requests.
func (p *Pool) DueLinkChecks(now clock.Time) (due []Info) {
	for _, e := range p.overdueTargets(now) {
		if now.Sub(e.lastChecked) >= linkCheckInterval && len(due) < maxLinkChecks {
			e.lastChecked = now
			due = append(due, e.Info)
		}
	}
	return due
}

// overdueTargets returns the endpoints of the region with overdue sends that count as reached.
func (p *Pool) overdueTargets(now clock.Time) (targets []*endpoint) {
	for _, e := range p.active {
		if !e.unreached() && !e.leaving() && !e.paused(now) && e.hasOverdue(now) {
			targets = append(targets, e)
		}
	}
	return targets
}

func (e *endpoint) hasOverdue(now clock.Time) bool {
	for send := range e.sends {
		if send.overdue(now) {
			return true
		}
	}
	return false
}

// dueRechecks returns those of the unreached endpoints that are due for a check, which is how the end of a cut is
// noticed. Their number is bounded, whatever the number of endpoints.
func (p *Pool) dueRechecks(now clock.Time, unreached []*endpoint) (due []Info) {
	if now.Sub(p.reach.creditAt) >= recheckInterval {
		p.reach.creditAt, p.reach.credit = now, rechecks
	}
	slices.SortFunc(unreached, func(a, b *endpoint) int { return int(a.lastChecked - b.lastChecked) })
	for _, e := range unreached {
		if p.reach.credit <= 0 {
			break
		}
		p.reach.credit--
		e.lastChecked = now
		due = append(due, e.Info)
	}
	return due
}

// cutOff reports whether this instance reaches none of the region's endpoints that it knows.
func (p *Pool) cutOff() bool {
	if !p.reach.lost {
		return false
	}
	known := false
	for _, e := range p.endpoints {
		if e.Region == p.config.Region && !e.delisted {
			if !e.unreached() {
				return false
			}
			known = true
		}
	}
	return known
}

// Reach returns how many of the region's endpoints of a service this instance reaches, and how many are listed.
func (p *Pool) Reach(name ident.Service) (reached, listed int) {
	service := p.services[name]
	if service == nil {
		return 0, 0
	}
	for _, e := range service.regional {
		if e.leaving() || p.evacuated[e.Zone] {
			continue
		}
		listed++
		if !e.unreached() {
			reached++
		}
	}
	return reached, listed
}

// ReachPercent returns the part of the region's endpoints of a service that this instance reaches.
func (p *Pool) ReachPercent(name ident.Service) int {
	reached, listed := p.Reach(name)
	if listed == 0 {
		return FullReach
	}
	return FullReach * reached / listed
}

// ChooseUnreached returns the endpoint with the lowest estimated cost among those that this instance does not reach,
// for a request that another instance of the region sends there. It returns false if this instance reaches enough
// endpoints itself. Zones that this instance avoids count too: it avoids those whose links it has lost.
func (p *Pool) ChooseUnreached(now clock.Time, plan Plan) (best Choice, ok bool) {
	if !p.reach.lost || p.ReachPercent(plan.Service) >= PassOnPercent {
		return best, false
	}
	service := p.service(plan.Service)
	regionalBest := topByAffinity(service.regional, plan.prefixes, plan.Request)[0]
	lowestCost := 0.0
	for i, candidate := range service.regional {
		if !candidate.unreached() || !p.eligibleElsewhere(now, candidate, plan.Request) {
			continue
		}
		choice, cost := service.estimate(now, candidate, plan.loads[i], plan, plan.missFraction(candidate, regionalBest))
		if !ok || cost < lowestCost {
			best, ok, lowestCost = choice, true, cost
		}
	}
	return best, ok
}

// eligibleElsewhere reports whether another instance of the region may send a request to an endpoint.
func (p *Pool) eligibleElsewhere(now clock.Time, candidate *endpoint, request Request) bool {
	return request.takes(candidate) && !candidate.delisted && !candidate.leaving() && !candidate.paused(now) &&
		!p.evacuated[candidate.Zone] && (!candidate.isCold(now) || request.ColdRate <= 0)
}
