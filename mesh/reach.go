package mesh

import (
	"cmp"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/codec"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

const (
	// limitedReach is the reach in percent below which an instance is taken for cut off: the capacity that it reports
	// counts only if there is no other report, and it gets no requests for the service while another one does.
	limitedReach = 50
	// maxReachServices bounds the services of a peer whose reach is kept.
	maxReachServices = 1024
)

// ServiceReach is the part of its region's endpoints of a service that an instance can connect to.
type ServiceReach struct {
	Service ident.Service
	Percent int
}

// reachReport is what a peer has last told of a service.
type reachReport struct {
	percent  int
	received clock.Time
}

// Neighbour is another instance of this region that accepts hops.
type Neighbour struct {
	Record
	// Percent is the part of the endpoints of the requested service that it reaches.
	Percent int
}

// recordReach stores what a peer reports of its reach.
func (p *peer) recordReach(now clock.Time, reach []ServiceReach) {
	for _, r := range reach {
		if p.reach == nil {
			p.reach = make(map[ident.Service]reachReport)
		}
		if _, known := p.reach[r.Service]; known || len(p.reach) < maxReachServices {
			p.reach[r.Service] = reachReport{min(max(0, r.Percent), pool.FullReach), now}
		}
	}
}

// reachOf returns the part of the endpoints of a service that a peer reaches, in percent. A report is used for as
// long as a peer counts as alive without a message.
func (t *Table) reachOf(now clock.Time, other *peer, service ident.Service) int {
	if told, ok := other.reach[service]; ok && now.Sub(told.received) < t.aliveTimeout(other) {
		return told.percent
	}
	return pool.FullReach
}

// limited reports whether a peer reaches few endpoints of some service.
func (t *Table) limited(now clock.Time, other *peer) bool {
	for service := range other.reach {
		if t.reachOf(now, other, service) < limitedReach {
			return true
		}
	}
	return false
}

// Neighbours returns the other instances of this region that accept hops, with their reach of a service, sorted by
// name.
func (t *Table) Neighbours(now clock.Time, service ident.Service) (neighbours []Neighbour) {
	for _, p := range t.peers {
		if p.Region == t.self.Region && p.State == Ready && t.acceptsHops(now, p) {
			neighbours = append(neighbours, Neighbour{p.Record, t.reachOf(now, p, service)})
		}
	}
	slices.SortFunc(neighbours, func(a, b Neighbour) int { return cmp.Compare(a.Name, b.Name) })
	return neighbours
}

// Limited returns the names of the instances that reach few endpoints of some service.
func (t *Table) Limited(now clock.Time) (names []ident.Entry) {
	for name, p := range t.peers {
		if t.limited(now, p) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// HopsFor returns the addresses in Hops whose instances reach endpoints of a service, or all if none does.
func (r *Region) HopsFor(service ident.Service) []string {
	if len(r.reach) == 0 {
		return r.Hops
	}
	reaching := slices.DeleteFunc(slices.Clone(r.Hops), func(hop string) bool {
		percent, told := r.reach[hop][service]
		return told && percent < limitedReach
	})
	if len(reaching) == 0 {
		return r.Hops
	}
	return reaching
}

// addReach adds what is known of the reach of an instance that accepts hops.
func (r *Region) addReach(t *Table, now clock.Time, other *peer) {
	for service := range other.reach {
		percent := t.reachOf(now, other, service)
		if percent == pool.FullReach {
			continue
		}
		if r.reach == nil {
			r.reach = make(map[string]map[ident.Service]int)
		}
		if r.reach[other.Hop] == nil {
			r.reach[other.Hop] = make(map[ident.Service]int)
		}
		r.reach[other.Hop][service] = percent
	}
}

// addReach adds the reports of reach, those of the least reached services first.
func (d *Datagrams) addReach(reports reportMessage, reach []ServiceReach) {
	sorted := slices.DeleteFunc(slices.Clone(reach), func(r ServiceReach) bool { return len(r.Service) > maxServiceBytes })
	d.Omitted += len(reach) - len(sorted)
	slices.SortFunc(sorted, func(a, b ServiceReach) int { return cmp.Compare(a.Percent, b.Percent) })
	d.add(len(sorted), func(first, end int) ([]byte, error) {
		reports.Reach = sorted[first:end]
		return codec.EncodeNamed(reports)
	})
}
