package pool

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// zoneFailures is the number of endpoints of a zone that must have failed in a row, without an
	// answer of any other one, before the whole zone is suspected to be lost.
	zoneFailures = 3
	// zoneSuspicion is how long a zone is suspected after the last sign that it is lost. It ends with
	// the first answer from the zone.
	zoneSuspicion = 3 * clock.Second
	// zoneCheckInterval is the interval at which one endpoint of a suspected zone is checked.
	zoneCheckInterval = 500 * clock.Millisecond
)

// zoneState is what is known about one zone of the region. If a zone is lost, each of its endpoints
// would otherwise cost a request before it is left out.
type zoneState struct {
	// endpoints is the number of listed endpoints in the zone.
	endpoints int
	// failed holds the endpoints that have failed since the last answer from the zone.
	failed         map[ident.Endpoint]struct{}
	suspectedUntil clock.Time
	nextCheck      clock.Time
}

func (z *zoneState) suspected(now clock.Time) bool { return now.Before(z.suspectedUntil) }

func (z *zoneState) suspect(now clock.Time) { z.suspectedUntil = now.Add(zoneSuspicion) }

func (z *zoneState) clear() {
	z.suspectedUntil = 0
	clear(z.failed)
}

func (p *Pool) zone(name ident.Zone) *zoneState {
	zone := p.zones[name]
	if zone == nil {
		zone = &zoneState{failed: make(map[ident.Endpoint]struct{})}
		p.zones[name] = zone
	}
	return zone
}

// SuspectZone records a sign that a zone of the region is lost, such as the loss of all instances
// there. Its endpoints get no requests until one of them answers a health check.
func (p *Pool) SuspectZone(now clock.Time, name ident.Zone) {
	p.zone(name).suspect(now)
}

// avoidedZones returns the zones whose endpoints are left out. If all zones of the region are
// suspected, this instance is more likely to be cut off itself, and none is left out.
func (p *Pool) avoidedZones(now clock.Time) map[ident.Zone]bool {
	var avoided map[ident.Zone]bool
	usable := false
	for name, zone := range p.zones {
		if !zone.suspected(now) {
			usable = usable || zone.endpoints > 0
			continue
		}
		if avoided == nil {
			avoided = make(map[ident.Zone]bool)
		}
		avoided[name] = true
	}
	if !usable {
		return nil
	}
	return avoided
}

// recordZoneAnswer records that an endpoint has answered.
func (p *Pool) recordZoneAnswer(from *endpoint) { p.zone(from.Zone).clear() }

// recordZoneFailure records that an endpoint could not be reached or did not answer.
func (p *Pool) recordZoneFailure(now clock.Time, failed *endpoint) {
	zone := p.zone(failed.Zone)
	zone.failed[failed.ID] = struct{}{}
	if len(zone.failed) >= zoneFailures {
		zone.suspect(now)
	}
}

// recordZoneResult records what the end of a send says about the zone of the endpoint.
func (p *Pool) recordZoneResult(now clock.Time, send *Send, outcome Outcome) {
	switch outcome {
	case Complete, Failed, Refused, Moved, Malformed:
		p.recordZoneAnswer(send.endpoint)
	case Unreachable, Broken, TimedOut:
		if !send.answered {
			p.recordZoneFailure(now, send.endpoint)
		}
	case Cancelled:
	}
}

// dueZoneChecks returns one endpoint of each suspected zone that is due for a check.
func (p *Pool) dueZoneChecks(now clock.Time) (due []Info) {
	for name, zone := range p.zones {
		if !zone.suspected(now) || now.Before(zone.nextCheck) {
			continue
		}
		zone.nextCheck = now.Add(zoneCheckInterval)
		p.rotation++
		candidates := slices.DeleteFunc(p.endpointsIn(now, name), func(e *endpoint) bool { return now.Sub(e.lastChecked) < healthCheckInterval })
		if len(candidates) > 0 {
			chosen := candidates[p.rotation%uint64(len(candidates))]
			chosen.lastChecked = now
			due = append(due, chosen.Info)
		}
	}
	return due
}

// endpointsIn returns the endpoints of a zone of the region that are neither leaving nor paused.
func (p *Pool) endpointsIn(now clock.Time, zone ident.Zone) (found []*endpoint) {
	for _, s := range p.services {
		for _, e := range s.regional {
			if e.Zone == zone && !e.leaving() && !e.paused(now) {
				found = append(found, e)
			}
		}
	}
	return found
}
