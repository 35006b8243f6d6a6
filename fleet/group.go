package fleet

import (
	"math"
	"slices"
	"sort"
	"strings"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// compareInterval is how often endpoints are compared with their peers.
	compareInterval = 100 * clock.Millisecond
	// minPeers is the number of endpoints with samples from which a group has its own median.
	minPeers = 3
	// maxRemovedShare is the largest share of a region's slots that weights may take out
	// of use; weights also affect at most a third of its endpoints.
	maxRemovedShare = 1.0 / 3
	// probeWeight is the weight at which a slow endpoint receives only probes.
	probeWeight = 0.02
	// slowExponent is the exponent by which the weight of a slow endpoint falls with its
	// slowness ratio. With 1, an idle endpoint that is 5 times slower would be preferred
	// to peers that are more than half full.
	slowExponent = 3
	// minColdShare is the minimum share of their slots that cold endpoints get while they
	// hold more than a third of a region's slots, as after the loss of a zone.
	minColdShare = 0.5
	// busyShare is the share of slots in use from which a region is near its capacity.
	busyShare = 0.9
	// durationSampleWeight is the weight of a new sample in the mean attempt duration.
	durationSampleWeight = 0.05
)

// Candidate is an endpoint that may receive work.
type Candidate struct {
	Endpoint ident.Endpoint
	Address  string
	Region   ident.Region
	// Slots is the number of requests that the endpoint may run concurrently. It is
	// reduced while its cache is cold.
	Slots int
	// Load is the estimated number of requests running or waiting there.
	Load float64
	// ReportedLoad is the number of such requests in the last report.
	ReportedLoad float64
	// LongLoad is the part of Load that is not urgent. The load of other entries is assumed
	// to have the same mix as this entry's attempts for the service.
	LongLoad float64
	// Weight, above 0 and up to 1, is the relative share of work for the endpoint,
	// derived from its speed and the state of its cache.
	Weight float64
	// OwnAttempts is the number of this entry's attempts in flight there.
	OwnAttempts int
	// Cold is set while the endpoint warms up after becoming live with a cold cache.
	Cold bool
	// Exclusive is set if a suspect request of this entry runs there, which excludes others.
	Exclusive bool
	// Probe is set if the endpoint is slow and is due one request that tests whether it
	// has recovered.
	Probe bool
	// Duration is the mean duration of attempts for the service in the region; 0 if
	// unknown.
	Duration clock.Span

	prefixes map[ident.Prefix]bool
}

// HasPrefix reports whether the endpoint has reported prefix as cached.
func (c *Candidate) HasPrefix(prefix ident.Prefix) bool { return c.prefixes[prefix] }

// group holds the endpoints of one service in one region.
type group struct {
	service ident.Service
	region  ident.Region
	// model is the model that the endpoints must have loaded; "" if there is none.
	model string
	// endpoints is sorted by name.
	endpoints []*endpoint
	// attemptsStarted counts the attempts that this entry has started.
	attemptsStarted int
	// meanDuration is the mean duration of completed attempts in ms; 0 if there are none.
	meanDuration float64
	// weightedAt is when weights were last computed; 0 forces a new computation.
	weightedAt clock.Time
	// builtAt is when candidates was built; dirty marks it as out of date.
	builtAt clock.Time
	dirty   bool
	// candidates, slowEndpoints and gaugeMeans are buffers that are reused.
	candidates    []Candidate
	slowEndpoints []*endpoint
	gaugeMeans    []float64
}

// add inserts an endpoint, keeping endpoints sorted by name.
func (g *group) add(endpoint *endpoint) {
	position := sort.Search(len(g.endpoints), func(i int) bool { return g.endpoints[i].name >= endpoint.name })
	g.endpoints = slices.Insert(g.endpoints, position, endpoint)
	g.weightedAt = 0
	g.dirty = true
}

func (g *group) remove(endpoint *endpoint) {
	if position := slices.Index(g.endpoints, endpoint); position >= 0 {
		g.endpoints = slices.Delete(g.endpoints, position, position+1)
	}
	g.weightedAt = 0
	g.dirty = true
}

// recordDuration adds the duration of a completed attempt to the mean.
func (g *group) recordDuration(span clock.Span) {
	if g.meanDuration == 0 {
		g.meanDuration = float64(span)
		return
	}
	g.meanDuration += (float64(span) - g.meanDuration) * durationSampleWeight
}

// Candidates returns the endpoints of a service in a region that may receive work, sorted
// by name. The slice is valid until the next call for the same service and region.
func (f *Fleet) Candidates(now clock.Time, service ident.Service, region ident.Region) []Candidate {
	group := f.findGroup(service, region)
	if group == nil {
		return nil
	}
	if group.weightedAt == 0 || now.Sub(group.weightedAt) >= compareInterval {
		f.updateWeights(now, group)
	}
	if group.dirty || group.builtAt != now {
		group.rebuildCandidates(now, f.othersLongShare(group))
	}
	return group.candidates
}

// othersLongShare returns the share of other entries' load in group that is assumed to be
// long. It is the share among this entry's own attempts in its own region: what it sends
// to other regions is mostly long and not representative of the work there.
func (f *Fleet) othersLongShare(group *group) float64 {
	if group.region != f.config.Region {
		if own := f.findGroup(group.service, f.config.Region); own != nil {
			return own.longShare()
		}
	}
	return group.longShare()
}

// rebuildCandidates rebuilds the candidates. longShare is the share of other entries'
// load that is assumed to be long.
func (g *group) rebuildCandidates(now clock.Time, longShare float64) {
	g.builtAt = now
	g.dirty = false
	floor := g.coldShareFloor(now)
	nearCapacity := g.nearCapacity()
	g.candidates = g.candidates[:0]
	for _, e := range g.endpoints {
		if e.state != Live || e.expired(now) {
			continue
		}
		g.candidates = append(g.candidates, e.candidate(now, floor, longShare, nearCapacity))
	}
}

// candidate returns e as a Candidate. floor is the minimum share of slots while cold and
// longShare the share of other entries' load that is assumed to be long.
func (e *endpoint) candidate(now clock.Time, floor, longShare float64, nearCapacity bool) Candidate {
	cold := max(floor, e.warmupShare(now))
	return Candidate{
		Endpoint:     e.name,
		Address:      e.address,
		Region:       e.region,
		Slots:        e.capacity(now, floor),
		Load:         e.estimatedLoad(),
		ReportedLoad: e.reportedLoad,
		LongLoad:     float64(e.longAttempts) + e.othersLoad*longShare,
		Weight:       e.speed.weight * cold,
		OwnAttempts:  len(e.attempts),
		Cold:         e.warmingSince != 0,
		Exclusive:    e.exclusiveAttempts > 0,
		Probe:        e.speed.probeDue(now, e.group.attemptsStarted, nearCapacity),
		Duration:     clock.Span(e.group.meanDuration),
		prefixes:     e.prefixes,
	}
}

// nearCapacity reports whether the endpoints that are not slow have hardly any free slots.
func (g *group) nearCapacity() bool {
	load, slots := 0.0, 0.0
	for _, e := range g.endpoints {
		if e.state == Live && !e.speed.slow {
			load += e.estimatedLoad()
			slots += float64(e.slots)
		}
	}
	return load >= busyShare*slots
}

// longShare returns the share of this entry's attempts in the group that are long.
func (g *group) longShare() float64 {
	long, all := 0, 0
	for _, e := range g.endpoints {
		long += e.longAttempts
		all += len(e.attempts)
	}
	if all == 0 {
		return 0
	}
	return float64(long) / float64(all)
}

// coldShareFloor returns the minimum share of its slots that a cold endpoint may use.
func (g *group) coldShareFloor(now clock.Time) float64 {
	cold, all := 0, 0
	for _, e := range g.endpoints {
		if e.state != Live {
			continue
		}
		all += e.slots
		if e.warmupShare(now) < 1 {
			cold += e.slots
		}
	}
	if float64(cold) > maxRemovedShare*float64(all) {
		return minColdShare
	}
	return coldStartShare
}

// updateWeights compares the endpoints of group with their peers and updates their weights.
func (f *Fleet) updateWeights(now clock.Time, group *group) {
	group.weightedAt = now
	group.dirty = true
	f.updateMedians(group, func(s *speedStats) *gauge { return &s.firstToken[0] })
	f.updateMedians(group, func(s *speedStats) *gauge { return &s.firstToken[1] })
	f.updateMedians(group, func(s *speedStats) *gauge { return &s.betweenTokens })
	f.updateMedians(group, func(s *speedStats) *gauge { return &s.afterFirstToken })
	group.slowEndpoints = group.slowEndpoints[:0]
	for _, e := range group.endpoints {
		e.speed.weight = 1
		if e.state != Live {
			continue
		}
		e.updateSlow(now)
		if e.speed.slow {
			group.slowEndpoints = append(group.slowEndpoints, e)
		}
	}
	group.lowerWeights(now)
}

// updateMedians sets the median of one gauge for the endpoints of group. With fewer than
// minPeers samples in the group, it is the median over the service in all regions.
func (f *Fleet) updateMedians(group *group, pick func(*speedStats) *gauge) {
	group.gaugeMeans = group.gaugeMeans[:0]
	group.collectMeans(group, pick)
	if len(group.gaugeMeans) < minPeers {
		group.gaugeMeans = group.gaugeMeans[:0]
		for _, o := range f.groups {
			if o.service == group.service {
				group.collectMeans(o, pick)
			}
		}
	}
	hasMedian := len(group.gaugeMeans) >= minPeers
	median := 0.0
	if hasMedian {
		slices.Sort(group.gaugeMeans)
		median = group.gaugeMeans[(len(group.gaugeMeans)-1)/2]
	}
	for _, e := range group.endpoints {
		gauge := pick(&e.speed)
		gauge.hasMedian = hasMedian
		gauge.median = median
	}
}

// collectMeans appends the gauge means of the live endpoints of source to gaugeMeans.
func (g *group) collectMeans(source *group, pick func(*speedStats) *gauge) {
	for _, e := range source.endpoints {
		if gauge := pick(&e.speed); gauge.count > 0 && e.state == Live {
			g.gaugeMeans = append(g.gaugeMeans, gauge.mean)
		}
	}
}

// lowerWeights lowers the weights of slow endpoints, the slowest first, within the limits
// that removable returns.
func (g *group) lowerWeights(now clock.Time) {
	slices.SortFunc(g.slowEndpoints, func(a, b *endpoint) int {
		if a.speed.ratio != b.speed.ratio {
			return int(math.Copysign(1, b.speed.ratio-a.speed.ratio))
		}
		return strings.Compare(string(a.name), string(b.name))
	})
	count, slots := g.removable(now)
	for _, e := range g.slowEndpoints {
		if count <= 0 || slots <= 0 {
			return
		}
		size := float64(e.slots)
		want := size * (1 - max(probeWeight, math.Exp(-slowExponent*e.speed.ratio)))
		taken := min(want, slots)
		e.speed.weight = 1 - taken/size
		slots -= taken
		count--
	}
}

// removable returns how many endpoints and how many slots weights may take out of use.
// Slots withheld from cold endpoints count towards the limits.
func (g *group) removable(now clock.Time) (count int, slots float64) {
	live, cold := 0, 0
	withheld := 0.0
	for _, e := range g.endpoints {
		if e.state != Live {
			continue
		}
		live++
		slots += float64(e.slots)
		if share := e.warmupShare(now); share < 1 {
			cold++
			withheld += (1 - share) * float64(e.slots)
		}
	}
	return live/3 - cold, slots*maxRemovedShare - withheld
}

// Loads returns a summary of each service in the entry's region, sorted by service. The
// owner of the queue fills in Waiting.
func (f *Fleet) Loads(now clock.Time) []gossip.Load {
	var loads []gossip.Load
	for _, g := range f.groups {
		if g.region != f.config.Region || len(g.endpoints) == 0 {
			continue
		}
		loads = append(loads, f.loadSummary(now, g))
	}
	return loads
}

func (f *Fleet) loadSummary(now clock.Time, group *group) gossip.Load {
	summary := gossip.Load{Region: group.region, Service: group.service}
	free, excess := 0.0, 0.0
	for _, c := range f.Candidates(now, group.service, group.region) {
		summary.Slots += c.Slots
		excess += max(0, c.Load-float64(c.Slots))
		if c.Weight >= minColdShare && !c.Exclusive {
			free += max(0, float64(c.Slots)-c.Load)
		}
	}
	summary.Free = int(free)
	if summary.Free == 0 && summary.Slots > 0 {
		summary.ExpectedWait = clock.Span(group.meanDuration * (excess + 1) / float64(summary.Slots))
	}
	return summary
}
