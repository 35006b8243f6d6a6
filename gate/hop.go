package gate

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/mesh"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

const (
	// hopDelay is the time that a request and the beginning of its answer take between regions.
	hopDelay = 115 * clock.Millisecond
	// hopMargin is by how much another region must be better: bytes between regions cost.
	hopMargin = 60 * clock.Millisecond
	// hopLife is how long a hop counts as not yet seen in what the region tells of itself.
	hopLife = 400 * clock.Millisecond
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
}

// bestHop returns the other region that is expected to answer first. It returns false if
// none may serve the request or can be reached.
func (s *state) bestHop(now clock.Time, regions []mesh.Region, r *bundle.Route, a pool.Ask, avoid []string, pick uint64) (best hop, found bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range regions {
		if len(r.Homes) > 0 && !slices.Contains(r.Homes, g.Region) {
			continue
		}
		hops := slices.DeleteFunc(slices.Clone(g.Hops), func(h string) bool { return slices.Contains(avoid, h) })
		i := slices.IndexFunc(g.Services, func(v pool.Summary) bool { return v.Service == a.Service })
		if len(hops) == 0 || i < 0 {
			continue
		}
		wait := g.Services[i].Wait
		if over := s.hops.recent(now, hopKey{g.Region, a.Service}) - g.Services[i].Free; over > 0 {
			wait += clock.Span(over) * a.Target / clock.Span(4*g.Services[i].Slots)
		}
		h := hop{region: g.Region, address: hops[pick%uint64(len(hops))], wait: wait, delay: wait + hopDelay}
		if !found || h.delay < best.delay {
			best, found = h, true
		}
	}
	return best, found
}

// hopped records that a request is passed to a region.
func (s *state) hopped(now clock.Time, region ident.Region, service ident.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hops.add(now, hopKey{region, service})
}
