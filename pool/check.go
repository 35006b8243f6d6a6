package pool

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Check is the result of a health check.
type Check struct {
	Healthy bool
	// SameEndpoint reports whether the endpoint that answered is the one that was addressed.
	SameEndpoint  bool
	ColdRemaining clock.Span
	// Connected reports whether a connection could be made and was not broken off.
	Connected bool
}

// RecordCheck records the result of a health check. An endpoint that needed a check gets requests
// again if it is healthy and still the same one.
func (p *Pool) RecordCheck(now clock.Time, id ident.Endpoint, check Check) {
	known := p.endpoints[id]
	if known == nil {
		return
	}
	if check.ColdRemaining > 0 {
		known.coldUntil = now.Add(check.ColdRemaining)
	}
	connected := check.Connected || check.Healthy || check.SameEndpoint
	p.recordLinkCheck(now, known, connected)
	if known.wantsCheck {
		known.wantsCheck, known.needsCheck = false, known.needsCheck || !check.SameEndpoint
	}
	if check.Healthy && check.SameEndpoint {
		known.needsCheck = false
	}
	switch zone := p.zone(known.Zone); {
	case connected:
		zone.clear()
	case zone.suspected(now):
		zone.suspect(now)
	}
}

// DueChecks returns the endpoints of this region that need a health check now, and marks them as
// checked.
func (p *Pool) DueChecks(now clock.Time) (due []Info) {
	var unreached []*endpoint
	p.reach.lost = false
	for _, s := range p.services {
		for _, e := range s.regional {
			p.reach.lost = p.reach.lost || e.unreached()
			switch {
			case !p.checkDue(now, e) || now.Sub(e.lastChecked) < healthCheckInterval:
			case !e.unreached():
				e.lastChecked = now
				due = append(due, e.Info)
			case !p.zone(e.Zone).suspected(now): // others are checked with their zone
				unreached = append(unreached, e)
			}
		}
	}
	due = append(due, p.dueRechecks(now, unreached)...)
	due = append(due, p.dueSweep(now)...)
	return append(due, p.dueZoneChecks(now)...)
}

// checkDue reports whether an endpoint should get a health check and has not asked to be left alone.
func (p *Pool) checkDue(now clock.Time, e *endpoint) bool {
	switch {
	case e.leaving() || e.paused(now):
		return false
	case e.unreached():
		return true // the connection alone shows the link; without a permit or room nothing is sent on it
	case e.limited():
		wanted := e.needsCheck || e.selfReport().limit.rate < minRequestLimit
		return wanted && p.permitReady(now, e)
	}
	return (e.needsCheck || e.wantsCheck) && p.hasPlace(now, e, 0)
}

// RequestCheck asks for a health check of an endpoint, which gets requests meanwhile. An endpoint with a rate limit
// is not checked for that, since a check takes one of the permits for requests.
func (p *Pool) RequestCheck(id ident.Endpoint) {
	if known := p.endpoints[id]; known != nil {
		known.wantsCheck = true
	}
}
