package gate

import (
	"maps"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

const (
	// defaultTrip is the time that a request and the beginning of its answer are taken to need
	// between regions until it has been measured, and hopWork what both instances add.
	defaultTrip = 100 * clock.Millisecond
	hopWork     = 5 * clock.Millisecond
	// hopMargin is by how much another region must be better: bytes between regions cost.
	hopMargin = 60 * clock.Millisecond
	// hopLife is how long a hop counts as not yet seen in what the region tells of itself.
	hopLife = 400 * clock.Millisecond
	// turnover is how many requests a slot is taken to serve within a target.
	turnover = 4
	// hopPause is how long an instance that could not be connected to gets no requests.
	hopPause = 500 * clock.Millisecond
	// headerHop marks a request that another instance passes on. Such a request goes to an
	// endpoint of this region or nowhere, so that it can't travel in a loop.
	headerHop = "Tanager-Hop"
)

// hopLoad counts the requests that were lately passed to a region, by service.
type hopLoad map[hopKey][]clock.Time

type hopKey struct {
	region  ident.Region
	service ident.Service
}

func (h hopLoad) add(now clock.Time, k hopKey) { h[k] = append(h[k], now) }

func (h hopLoad) recent(now clock.Time, k hopKey) int {
	h[k] = slices.DeleteFunc(h[k], func(t clock.Time) bool { return now.Sub(t) > hopLife })
	return len(h[k])
}

// hop is another region as a place for a request.
type hop struct {
	region  ident.Region
	address string
	delay   clock.Span
	wait    clock.Span
	// cost is delay and what the request takes from others there.
	cost clock.Span
}

// bestHop returns the other region that is expected to serve a request best. It returns
// false if none may serve it or can be reached.
func (s *state) bestHop(now clock.Time, f *flight, plan pool.Plan) (best hop, found bool) {
	regions := f.s.node.Regions()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range regions {
		if !f.route.Allows(g.Region) {
			continue
		}
		hops := slices.DeleteFunc(slices.Clone(g.Hops), func(h string) bool {
			return slices.Contains(f.avoid, h) || now.Before(s.hopsDown[h])
		})
		i := slices.IndexFunc(g.Services, func(v pool.Summary) bool { return v.Service == f.ask.Service })
		if len(hops) == 0 || i < 0 {
			continue
		}
		v := g.Services[i]
		if over := s.hops.recent(now, hopKey{g.Region, f.ask.Service}) - v.Free; over > 0 {
			v.Wait += clock.Span(over) * f.ask.Target / clock.Span(turnover*v.Slots)
		}
		wait, delay, cost := s.pool.Elsewhere(plan, g.Region, v)
		trip := g.Trip
		if trip == 0 {
			trip = defaultTrip
		}
		trip += hopWork
		h := hop{
			region: g.Region, address: hops[f.s.random()%uint64(len(hops))],
			wait: wait, delay: delay + trip, cost: cost + trip,
		}
		if !found || h.cost < best.cost {
			best, found = h, true
		}
	}
	return best, found
}

// hopDown records that an instance could not be connected to.
func (s *state) hopDown(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	maps.DeleteFunc(s.hopsDown, func(_ string, until clock.Time) bool { return now.After(until) })
	s.hopsDown[address] = now.Add(hopPause)
}

// hopped records that a request is passed to a region.
func (s *state) hopped(now clock.Time, region ident.Region, service ident.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hops.add(now, hopKey{region, service})
}
