package member

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/news"
)

// Each member is probed by a bounded set of monitors: the cost per node stays level as
// the fleet grows, and the loss of one zone still leaves monitors in all others.
const (
	nearMonitors = 8
	farMonitors  = 2
)

// Monitors reports whom this process probes, by name.
func (t *Table) Monitors() []Member {
	t.retarget()
	members := make([]Member, 0, len(t.targets))
	for _, r := range t.targets {
		members = append(members, Member{Member: r.Member, Listed: r.listed})
	}
	return members
}

// retarget chooses the targets again after the set of members has changed.
func (t *Table) retarget() {
	if !t.dirty {
		return
	}
	t.dirty = false
	zone := t.neighbours()
	self := xxhash.Sum64String(string(t.self.Entry))
	t.targets = nil
	for _, r := range t.order {
		if !r.addressed || r.State == news.Left {
			continue
		}
		// Every process probes an absent member, to learn itself whether it answers.
		if r.absent > 0 || t.watches(self, r, zone) {
			t.targets = append(t.targets, r)
		}
	}
	t.reorder()
	t.probes = slices.DeleteFunc(t.probes, func(p *probe) bool { return !slices.Contains(t.targets, p.target) })
}

func (t *Table) neighbours() []*record {
	var zone []*record
	for _, r := range t.order {
		if r.listed && r.State != news.Left && t.near(r) {
			zone = append(zone, r)
		}
	}
	return zone
}

func (t *Table) near(r *record) bool { return r.Region == t.self.Region && r.Zone == t.self.Zone }

// watches reports whether this process is among the monitors of r by rendezvous hashing.
func (t *Table) watches(self uint64, r *record, zone []*record) bool {
	limit := farMonitors
	if t.near(r) {
		limit = nearMonitors
	}
	own := weight(r.hash, self)
	ahead := 0
	for _, m := range zone {
		if m != r && weight(r.hash, m.hash) > own {
			ahead++
		}
	}
	return ahead < limit
}

// weight mixes two hashes with the finaliser of splitmix64.
func weight(target, monitor uint64) uint64 {
	x := target ^ bits.RotateLeft64(monitor, 32)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// reorder keeps the turns of targets that stay, so that frequent changes don't starve
// any of them, and inserts new ones at random places among the turns to come.
func (t *Table) reorder() {
	wanted := make(map[*record]bool, len(t.targets))
	for _, r := range t.targets {
		wanted[r] = true
	}
	ring := make([]*record, 0, len(t.targets))
	place := 0
	for i, r := range t.ring {
		if !wanted[r] {
			continue
		}
		delete(wanted, r)
		ring = append(ring, r)
		if i < t.place {
			place++
		}
	}
	for _, r := range t.targets {
		if wanted[r] {
			at := place + t.random.IntN(len(ring)-place+1)
			ring = slices.Insert(ring, at, r)
		}
	}
	t.ring, t.place = ring, place
}
