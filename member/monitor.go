package member

import (
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/gossip"
)

// Each member is probed by zoneMonitors members of its own zone and remoteMonitors of each
// other zone: the cost per node is independent of the fleet size, and the loss of one zone
// leaves monitors in all others.
const (
	zoneMonitors   = 8
	remoteMonitors = 2
)

// Monitors returns the members that this process probes, sorted by name.
func (t *Table) Monitors() []Member {
	t.updateTargets()
	members := make([]Member, 0, len(t.targets))
	for _, r := range t.targets {
		members = append(members, Member{Member: r.Member, Listed: r.listed})
	}
	return members
}

// updateTargets recomputes the probe targets after the set of members has changed.
func (t *Table) updateTargets() {
	if !t.targetsStale {
		return
	}
	t.targetsStale = false
	zone := t.zoneMembers()
	selfHash := xxhash.Sum64String(string(t.self.Entry))
	t.targets = nil
	for _, r := range t.order {
		if !r.hasAddress || r.State == gossip.Left {
			continue
		}
		// Every process probes an unlisted member, since removal depends on whether the
		// member answers this process.
		if r.missedLists > 0 || t.isMonitor(selfHash, r, zone) {
			t.targets = append(t.targets, r)
		}
	}
	t.updateProbeOrder()
	t.probes = slices.DeleteFunc(t.probes, func(p *probe) bool { return !slices.Contains(t.targets, p.target) })
}

func (t *Table) zoneMembers() []*record {
	var zone []*record
	for _, r := range t.order {
		if r.listed && r.State != gossip.Left && t.sameZone(r) {
			zone = append(zone, r)
		}
	}
	return zone
}

func (t *Table) sameZone(other *record) bool {
	return other.Region == t.self.Region && other.Zone == t.self.Zone
}

// isMonitor reports whether rendezvous hashing over the members of the own zone selects
// this process as a monitor of the target.
func (t *Table) isMonitor(self uint64, target *record, zone []*record) bool {
	limit := remoteMonitors
	if t.sameZone(target) {
		limit = zoneMonitors
	}
	ownScore := rendezvousScore(target.hash, self)
	higher := 0
	for _, m := range zone {
		if m != target && rendezvousScore(target.hash, m.hash) > ownScore {
			higher++
		}
	}
	return higher < limit
}

// rendezvousScore combines two hashes with the splitmix64 finaliser.
func rendezvousScore(target, monitor uint64) uint64 {
	mixed := target ^ bits.RotateLeft64(monitor, 32)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// updateProbeOrder keeps the positions of remaining targets, so that frequent membership
// changes don't starve any, and inserts new targets at random among the upcoming ones.
func (t *Table) updateProbeOrder() {
	unplaced := make(map[*record]bool, len(t.targets))
	for _, r := range t.targets {
		unplaced[r] = true
	}
	order := make([]*record, 0, len(t.targets))
	index := 0
	for i, r := range t.probeOrder {
		if !unplaced[r] {
			continue
		}
		delete(unplaced, r)
		order = append(order, r)
		if i < t.probeIndex {
			index++
		}
	}
	for _, r := range t.targets {
		if unplaced[r] {
			position := index + t.random.IntN(len(order)-index+1)
			order = slices.Insert(order, position, r)
		}
	}
	t.probeOrder, t.probeIndex = order, index
}
