package core

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// remoteLoads holds the latest load summary of each service in each other region. The
// summaries come from other entries and may be out of date; the policy checks their age.
type remoteLoads struct {
	loads []remoteLoad
}

type remoteLoad struct {
	load       gossip.Load
	measuredAt clock.Time
}

func (r *remoteLoads) update(now clock.Time, load gossip.Load) {
	measured := now - clock.Time(load.Age)
	for i := range r.loads {
		row := &r.loads[i]
		if row.load.Service != load.Service || row.load.Region != load.Region {
			continue
		}
		if measured.After(row.measuredAt) {
			row.load, row.measuredAt = load, measured
		}
		return
	}
	r.loads = append(r.loads, remoteLoad{load: load, measuredAt: measured})
}

func (r *remoteLoads) get(now clock.Time, service ident.Service, region ident.Region) (gossip.Load, bool) {
	for _, row := range r.loads {
		if row.load.Service == service && row.load.Region == region {
			load := row.load
			load.Age = now.Sub(row.measuredAt)
			return load, true
		}
	}
	return gossip.Load{}, false
}

func (v view) RemoteLoad(service ident.Service, region ident.Region) (gossip.Load, bool) {
	return v.core.remoteLoads.get(v.now, service, region)
}

// Gossip returns this entry's gossip for its peers; the shell adds the members.
func (c *Core) Gossip(now clock.Time) gossip.Payload {
	return gossip.Payload{
		From:         c.entry,
		Incarnation:  c.incarnation,
		Region:       c.region,
		Bundle:       c.bundles.Identity(),
		Departures:   c.fleet.Departures(now),
		CrashReports: c.suspects.CrashReports(now),
		Loads:        c.loads(now),
	}
}

func (c *Core) loads(now clock.Time) []gossip.Load {
	loads := c.fleet.Loads(now)
	for i := range loads {
		load := &loads[i]
		load.Waiting = c.queue.Waiting(load.Service)
		if load.Slots > 0 {
			load.ExpectedWait = clock.Span(load.Waiting) * c.estimates.meanSlotTime(load.Service) / clock.Span(load.Slots)
		}
	}
	return loads
}

func (c *Core) handleGossip(now clock.Time, received gossip.Payload) {
	if c.fleet.ApplyDepartures(now, received.Departures) {
		c.emit(PushGossip{})
	}
	if c.suspects.MergeCrashReports(now, received.CrashReports) {
		c.dispatchAllWaiting(now)
	}
	for _, l := range received.Loads {
		if l.Region != c.region {
			c.remoteLoads.update(now, l)
		}
	}
}
