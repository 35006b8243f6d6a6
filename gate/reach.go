package gate

import (
	"cmp"
	"maps"
	"slices"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/mesh"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

const (
	// neighbourHopCost is the expected round trip and processing time of a hop inside the region.
	neighbourHopCost = 10 * clock.Millisecond
	// zoneHopDivisor is the part of a zone's instances, 1/zoneHopDivisor, that must reach the endpoints for requests to
	// stay in the zone. With fewer, those would get the requests of too many others.
	zoneHopDivisor = 3
	// namedDivisor is the part of a region's instances, 1/namedDivisor, that must reach endpoints for the directory to
	// leave out the others.
	namedDivisor = 4
	// unreachedRetryAfter is when callers are asked to come back if no instance reaches an endpoint for them.
	unreachedRetryAfter = 700 * clock.Millisecond
)

// reach returns the services in force of which this instance does not reach all endpoints of the region. The lock
// must be held.
func (s *state) reach() (reach []mesh.ServiceReach) {
	table := s.table.Load()
	if table == nil {
		return nil
	}
	for service := range table.Backends {
		percent := s.pool.ReachPercent(service)
		s.logReach(service, percent)
		if percent < pool.FullReach {
			reach = append(reach, mesh.ServiceReach{Service: service, Percent: percent})
		}
	}
	maps.DeleteFunc(s.limitedReach, func(service ident.Service, _ bool) bool { _, ok := table.Backends[service]; return !ok })
	slices.SortFunc(reach, func(a, b mesh.ServiceReach) int { return cmp.Compare(a.Service, b.Service) })
	return reach
}

// logReach logs when this instance begins or ceases to pass requests on because it reaches few endpoints.
func (s *state) logReach(service ident.Service, percent int) {
	limited := percent < pool.PassOnPercent
	if limited == s.limitedReach[service] {
		return
	}
	if !limited {
		delete(s.limitedReach, service)
		s.log.Info("endpoints reached again", zap.String("service", string(service)), zap.Int("percent", percent))
		return
	}
	s.limitedReach[service] = true
	s.log.Warn("links to endpoints lost", zap.String("service", string(service)), zap.Int("percent", percent))
}

// neighbourHop returns an instance of this region that reaches more endpoints of the service, as the destination of a
// request whose best endpoint this one does not reach. choice is that endpoint, with its estimates.
func (f *inflight) neighbourHop(choice *pool.Choice) (hop, bool) {
	if choice == nil || !f.route.Allows(f.server.settings.Region) {
		return hop{}, false
	}
	own := 0
	f.server.state.withPool(func(p *pool.Pool, _ clock.Time) { own = p.ReachPercent(f.placement.Service) })
	neighbours := f.server.node.Neighbours(f.placement.Service)
	reaching := f.server.state.selectReaching(neighbours, own, f.excludedHops)
	if len(reaching) == 0 {
		return hop{}, false
	}
	reaching = preferZone(neighbours, reaching, f.server.settings.Zone)
	target := reaching[f.server.randomUint64()%uint64(len(reaching))]
	return hop{
		region: f.server.settings.Region, address: target.Hop,
		wait: choice.Wait, delay: choice.Delay + neighbourHopCost, cost: choice.Cost + neighbourHopCost,
	}, true
}

// selectReaching returns the instances that reach a larger part of the endpoints than this one, and can be connected to.
func (s *state) selectReaching(neighbours []mesh.Neighbour, own int, excluded []string) (reaching []mesh.Neighbour) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, n := range neighbours {
		if n.Percent > own && !slices.Contains(excluded, n.Hop) && !now.Before(s.hopsDownUntil[n.Hop]) {
			reaching = append(reaching, n)
		}
	}
	return reaching
}

// preferZone returns those of the instances that are in a zone if enough of the zone's are.
func preferZone(all, reaching []mesh.Neighbour, zone ident.Zone) []mesh.Neighbour {
	elsewhere := func(n mesh.Neighbour) bool { return n.Zone != zone }
	inZone := slices.DeleteFunc(slices.Clone(reaching), elsewhere)
	others := slices.DeleteFunc(slices.Clone(all), elsewhere)
	if len(inZone) == 0 || len(inZone)*zoneHopDivisor < len(others)+1 {
		return reaching
	}
	return inZone
}

// unreached reports whether the request has no destination because this instance reaches no endpoint.
func (f *inflight) unreached() (none bool) {
	if !f.route.Allows(f.server.settings.Region) {
		return false
	}
	f.server.state.withPool(func(p *pool.Pool, _ clock.Time) {
		reached, listed := p.Reach(f.placement.Service)
		none = listed > 0 && reached == 0
	})
	return none
}

// reachingAddresses leaves out of the addresses in a region those of the instances that reach few endpoints, if enough
// others are left.
func (s *Server) reachingAddresses(alive []mesh.Record, fits func(mesh.Record) bool, addresses []string) []string {
	limited := s.node.Limited()
	selfLimited := s.state.reachLimited()
	if len(limited) == 0 && !selfLimited {
		return addresses
	}
	reaching := frontAddresses(alive, func(r mesh.Record) bool {
		if r.Name == "" || r.Name == s.settings.Name {
			return fits(r) && !selfLimited
		}
		return fits(r) && !slices.Contains(limited, r.Name)
	})
	if len(reaching) == 0 || len(reaching)*namedDivisor < len(addresses) {
		return addresses
	}
	return reaching
}

// reachLimited reports whether this instance reaches few endpoints of some service.
func (s *state) reachLimited() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.limitedReach) > 0
}
