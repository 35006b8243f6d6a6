package gate

import (
	"maps"
	"net/http"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

const (
	// defaultRoundTrip is the assumed round-trip time between regions until it has been measured,
	// and hopOverhead the processing time of both instances.
	defaultRoundTrip = 100 * clock.Millisecond
	hopOverhead      = 5 * clock.Millisecond
	// minHopGain is by how much another region must be better, since traffic between regions costs
	// money.
	minHopGain = 60 * clock.Millisecond
	// hopReportLag is the time until a request passed to a region is reflected in that region's
	// reports.
	hopReportLag = 400 * clock.Millisecond
	// requestsPerSlot is the assumed number of requests that a slot serves within one target time.
	requestsPerSlot = 4
	// maxRemoteSlots bounds the slots of a region that are counted with.
	maxRemoteSlots = 1 << 24
	// hopBackoff is how long an instance gets no requests after a failed connection attempt.
	hopBackoff = 500 * clock.Millisecond
	// headerHop marks a request that another instance passes on, and holds the id of the send. Such a request is only
	// sent to an endpoint of this region, so that it cannot loop.
	headerHop = "Tanager-Hop"
	// headerUnframed marks a response to such a request that its endpoint ends with the connection.
	headerUnframed = "Tanager-Unframed"
)

// addHopHeader adds to the response to a request of another instance what that can't see itself.
func (f *inflight) addHopHeader(header http.Header) {
	if !f.hopped() {
		return
	}
	if f.placement.Build != "" {
		header[headerBuild] = []string{string(f.placement.Build)}
	}
	if f.unframed {
		header[headerUnframed] = []string{"1"}
	}
}

// recentHops holds the times at which requests were passed to a region, by service.
type recentHops map[hopKey][]clock.Time

type hopKey struct {
	region  ident.Region
	service ident.Service
}

func (h recentHops) add(now clock.Time, key hopKey) { h[key] = append(h[key], now) }

func (h recentHops) count(now clock.Time, key hopKey) int {
	h[key] = slices.DeleteFunc(h[key], func(t clock.Time) bool { return now.Sub(t) > hopReportLag })
	return len(h[key])
}

// hop is another region as the destination of a request.
type hop struct {
	region  ident.Region
	address string
	delay   clock.Span
	wait    clock.Span
	// cost is delay plus the slowdown of other requests in that region.
	cost clock.Span
	// roundTrip is the expected time to the instance and back.
	roundTrip clock.Span
}

// excessWait returns how long requests beyond the free slots of a region wait. The number of slots is what
// another instance says.
func excessWait(excess int, target clock.Span, slots int) clock.Span {
	return clock.Span(excess) * target / clock.Span(requestsPerSlot*min(max(1, slots), maxRemoteSlots))
}

// bestHop returns the other region with the lowest expected cost for a request, or false if no
// region may serve it and can be reached.
func (s *state) bestHop(now clock.Time, request *inflight, plan pool.Plan) (best hop, found bool) {
	regions := request.server.node.Regions()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, g := range regions {
		if !request.route.Allows(g.Region) || !s.pool.ServesBuild(request.placement, func(r ident.Region) bool { return r == g.Region }) {
			continue
		}
		hops := slices.DeleteFunc(slices.Clone(g.HopsFor(request.placement.Service)), func(candidate string) bool {
			return slices.Contains(request.excludedHops, candidate) || now.Before(s.hopsDownUntil[candidate])
		})
		index := slices.IndexFunc(g.Services, func(summary pool.Summary) bool { return summary.Service == request.placement.Service })
		if len(hops) == 0 || index < 0 {
			continue
		}
		remote := g.Services[index]
		if excess := s.recentHops.count(now, hopKey{g.Region, request.placement.Service}) - remote.FreeSlots; excess > 0 {
			remote.Wait += excessWait(excess, request.placement.Target, remote.Slots)
		}
		wait, delay, cost := s.pool.EstimateRegion(plan, g.Region, remote)
		roundTrip := g.RoundTrip
		if roundTrip == 0 {
			roundTrip = defaultRoundTrip
		}
		roundTrip += hopOverhead
		offer := hop{
			region: g.Region, address: hops[request.server.randomUint64()%uint64(len(hops))],
			wait: wait, delay: delay + roundTrip, cost: cost + roundTrip, roundTrip: roundTrip,
		}
		if !found || offer.cost < best.cost {
			best, found = offer, true
		}
	}
	return best, found
}

// markHopDown records a failed connection attempt to an instance.
func (s *state) markHopDown(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	maps.DeleteFunc(s.hopsDownUntil, func(_ string, until clock.Time) bool { return now.After(until) })
	s.hopsDownUntil[address] = now.Add(hopBackoff)
}

// recordHop records that a request is passed to a region.
func (s *state) recordHop(now clock.Time, region ident.Region, service ident.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recentHops.add(now, hopKey{region, service})
}
