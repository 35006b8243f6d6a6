package pool

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// reportTTL is how long a load report of another instance shows what that one has in progress.
	reportTTL = peerLoadTTL
	// othersInterval is the interval at which the loads of the other instances are added up. It is short against
	// the interval of their reports.
	othersInterval = 20 * clock.Millisecond
	// lingerTerm is how long a run counts that may go on at the endpoint after its send has ended.
	lingerTerm = 500 * clock.Millisecond
)

// room is what is known of the slots of a brittle endpoint.
type room struct {
	// own is how many requests this instance may have in progress there, held how many it has.
	own, held int
	// total is how many requests all instances have in progress there, as far as known.
	total int
}

// roomAt returns what is known of the room at a brittle endpoint. Requests of others beyond their shares, such as
// those sent before the shares changed or with a permit, take away the last slots, for all instances alike.
func (p *Pool) roomAt(now clock.Time, e *endpoint) room {
	p.updateShares(now, p.service(e.Service))
	slots := sharedSlots(e.Slots)
	held := len(e.sends) + e.checks + e.lingering(now)
	position, member := slices.BinarySearch(p.members, p.config.Self)
	if !member {
		return room{held: held, total: held}
	}
	others := p.othersAt(now, e, position, slots)
	own := min(shareOf(position, e.share.first, len(p.members), max(0, slots-others.excess)), e.share.limit(now))
	if !p.settled {
		own = min(own, 1) // there may be more members than are known
	}
	return room{own: own, held: held, total: held + others.total}
}

// othersLoad is what the other instances have in progress at a brittle endpoint, and how much of that is beyond
// their shares.
type othersLoad struct {
	updated       clock.Time
	total, excess int
}

// othersAt returns the load of the other instances, which is computed at most each othersInterval.
func (p *Pool) othersAt(now clock.Time, e *endpoint, position, slots int) othersLoad {
	if e.others.updated > 0 && now.Sub(e.others.updated) < othersInterval {
		return e.others
	}
	others := othersLoad{updated: now}
	for i, name := range p.members {
		if i == position {
			continue
		}
		part := shareOf(i, e.share.first, len(p.members), slots)
		count := p.heldBy(now, e, name, part)
		others.total += count
		others.excess += max(0, count-part)
	}
	for name, load := range e.peerLoads {
		if _, found := slices.BinarySearch(p.members, name); !found && now.Sub(load.Received) <= reportTTL {
			others.total += load.Count
			others.excess += load.Count
		}
	}
	e.others = others
	return others
}

// heldBy returns how many requests another instance has in progress at an endpoint. One whose reports do not arrive
// may have as many as its share.
func (p *Pool) heldBy(now clock.Time, e *endpoint, name ident.Entry, part int) int {
	if load, found := e.peerLoads[name]; found && now.Sub(load.Received) <= reportTTL {
		return load.Count
	}
	if reported, found := p.reportTimes[name]; found && now.Sub(reported) <= reportTTL {
		return 0
	}
	return part
}

// lingering returns how many runs may go on although their sends have ended.
func (e *endpoint) lingering(now clock.Time) int {
	e.lingers = slices.DeleteFunc(e.lingers, func(until clock.Time) bool { return !now.Before(until) })
	return len(e.lingers)
}

// hasRoom reports whether a brittle endpoint has room for one more request of this instance for sure.
func (r room) hasRoom() bool { return r.held < r.own }

// returns is the number of slots that refused callers of this instance may find free when they come back.
func (r room) returns(slots int) int {
	if r.total <= slots/2 {
		return slots - r.total
	}
	return r.own
}
