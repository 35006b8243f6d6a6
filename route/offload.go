package route

import (
	"math"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// regionRoundTrip is the round-trip time between two regions of the deployments.
	regionRoundTrip = 110 * clock.Millisecond
	// linkBytesPerMS is the speed of the slowest link, 100 Mbit/s.
	linkBytesPerMS = 12500
	// maxSummaryAge is the maximum age of a usable summary of another region.
	maxSummaryAge = 5 * clock.Second
	// minWeight and maxWeight bound the configured Weights.Away.
	minWeight = 0.25
	maxWeight = 4.0
	// stopRatio is the ratio of the stop threshold to the start threshold.
	stopRatio = 0.8
	// longStartShare is the minimum share of its target for which long work waits before it
	// is sent away; a quarter of the bounded Weights.Away is added to it.
	longStartShare = 0.75
	// defaultDuration is the assumed request duration while none is known.
	defaultDuration = clock.Second
	// sampleWeight is the weight of a new sample in the share of urgent work.
	sampleWeight = 0.05
)

// flow is the long or the urgent work of one service.
type flow struct {
	service ident.Service
	long    bool
}

// offload decides when work is sent to another region.
type offload struct {
	// active has the flows that exceeded their start threshold and have not yet fallen below
	// their stop threshold.
	active map[flow]bool
	// recentSends has the times of recent requests to other regions, which the summary of the
	// region may not include yet.
	recentSends map[serviceRegion][]clock.Time
	// urgentShare has the moving average of the share of placed work that is urgent.
	urgentShare map[ident.Service]float64
}

func newOffload() *offload {
	return &offload{
		active:      map[flow]bool{},
		recentSends: map[serviceRegion][]clock.Time{},
		urgentShare: map[ident.Service]float64{},
	}
}

// recordPlaced updates the share of urgent work with a request that was placed.
func (o *offload) recordPlaced(request *Request) {
	sample := 1.0
	if request.Long {
		sample = 0
	}
	if _, ok := o.urgentShare[request.Service]; !ok {
		o.urgentShare[request.Service] = 1
	}
	o.urgentShare[request.Service] += (sample - o.urgentShare[request.Service]) * sampleWeight
}

// hasLongWork reports whether at least about 2 % of a service's requests are long.
func (o *offload) hasLongWork(service ident.Service) bool {
	share, ok := o.urgentShare[service]
	return ok && share < 0.98
}

// recordSent records a request sent to another region.
func (o *offload) recordSent(now clock.Time, key serviceRegion) {
	kept := o.recentSends[key][:0]
	for _, t := range o.recentSends[key] {
		if now.Sub(t) < maxSummaryAge+regionRoundTrip {
			kept = append(kept, t)
		}
	}
	o.recentSends[key] = append(kept, now)
}

// expectedWait returns the total time that the request will have waited when a slot in the
// region becomes free. The request is at the head of its class's queue, so requests behind
// it or in a less urgent class do not delay it.
func (o *offload) expectedWait(request *Request, capacity regionCapacity, candidates []fleet.Candidate) clock.Span {
	slots := 0.0
	for i := range candidates {
		slots += effectiveSlots(&candidates[i])
	}
	turnover := o.meanDuration(request, candidates) / max(0.1, slots*capacity.share)
	return request.Waited + clock.Span(math.Ceil(turnover))
}

// meanDuration returns the mean time in ms for which a request holds a slot.
func (o *offload) meanDuration(request *Request, candidates []fleet.Candidate) float64 {
	if len(candidates) > 0 && candidates[0].Duration > 0 {
		return float64(candidates[0].Duration)
	}
	if request.ExpectedDuration > 0 {
		return float64(request.ExpectedDuration)
	}
	return float64(defaultDuration)
}

// shouldSend reports whether the wait is long enough to send the request away at the given
// cost. Each flow has a hysteresis: it stops once the wait of a newly arrived request is
// below the stop threshold.
func (o *offload) shouldSend(request *Request, weight float64, wait, cost clock.Span) bool {
	start, stop := thresholds(request, weight, cost)
	key := flow{request.Service, request.Long}
	switch {
	case wait > start:
		o.active[key] = true
	case wait <= stop && request.Waited <= stop/2:
		o.active[key] = false
	}
	return wait > start || o.active[key] && wait > stop
}

// thresholds returns the waits above which sending the request away starts and stops. Long
// work is sent once it would miss its target here. Urgent work, which frees little capacity
// per request, is sent only far beyond its target, when sending long work away did not help.
func thresholds(request *Request, weight float64, cost clock.Span) (start, stop clock.Span) {
	factor := min(max(weight, minWeight), maxWeight)
	limit := factor * float64(cost)
	if request.Long {
		limit = max(limit, float64(request.FirstTokenTarget)*(longStartShare+factor/4))
		return clock.Span(limit), clock.Span(limit * stopRatio)
	}
	limit = max(limit, float64(request.FirstTokenTarget)*(1+factor))
	return clock.Span(limit), clock.Span(limit * stopRatio)
}

// freeSlots returns how many requests of the class a region can take, after subtracting
// those that this entry has sent there since the summary was made.
func (o *offload) freeSlots(now clock.Time, request *Request, share float64, summary gossip.Load) int {
	measuredAt := now.Add(-summary.Age)
	free := summary.Free
	for _, t := range o.recentSends[serviceRegion{request.Service, summary.Region}] {
		if t.Add(regionRoundTrip / 2).After(measuredAt) {
			free--
		}
	}
	if share < 1 {
		free -= summary.Slots - int(quota(share, float64(summary.Slots)))
	}
	return free
}

// sendRemote places the request in the allowed region with the least cost if its wait here
// exceeds that cost.
func (t *tanager) sendRemote(now clock.Time, request *Request, view View, skipTried bool, wait clock.Span) (Choice, bool) {
	best := ident.Region("")
	lowest := clock.Span(math.MaxInt64)
	for _, r := range request.Regions {
		summary, ok := t.usableSummary(now, request, view, r)
		if !ok {
			continue
		}
		if regionCost := remoteCost(request, summary.ExpectedWait); regionCost < lowest {
			best, lowest = r, regionCost
		}
	}
	if best == "" || !t.offload.shouldSend(request, view.Weights().Away, wait, lowest) {
		return Choice{}, false
	}
	return t.pickRemote(now, request, view, best, skipTried)
}

// usableSummary returns the summary of a region if it is recent and shows free slots, and
// the link to the region has budget.
func (t *tanager) usableSummary(now clock.Time, request *Request, view View, region ident.Region) (gossip.Load, bool) {
	if region == view.Region() || !view.LinkAllows(region, request.Bytes) {
		return gossip.Load{}, false
	}
	summary, ok := view.RemoteLoad(request.Service, region)
	if !ok || summary.Age > maxSummaryAge {
		return gossip.Load{}, false
	}
	summary.Region = region
	return summary, t.offload.freeSlots(now, request, share(request, view), summary) > 0
}

// remoteCost returns the time for the transfer to another region plus the wait there.
func remoteCost(request *Request, wait clock.Span) clock.Span {
	return wait + regionRoundTrip + clock.Span(request.Bytes/linkBytesPerMS)
}

// pickRemote selects an endpoint in another region.
func (t *tanager) pickRemote(now clock.Time, request *Request, view View, region ident.Region, skipTried bool) (Choice, bool) {
	candidates := view.Candidates(request.Service, region)
	usable := t.filter(now, request, region, candidates, skipTried)
	index := t.pickFree(request, sumCapacity(candidates, share(request, view)), candidates, usable)
	if index < 0 {
		return Choice{}, false
	}
	return Choice{Endpoint: candidates[index].Endpoint, Region: region, Remote: true}, true
}

// placeRemote places a request for which the entry's region has no endpoint. It tries the
// regions whose summary shows free slots, then those without a recent summary, or all
// regions if the request is late, going by this entry's own load estimate.
func (t *tanager) placeRemote(now clock.Time, request *Request, view View, skipTried bool) (Choice, bool) {
	for _, r := range request.Regions {
		if _, ok := t.usableSummary(now, request, view, r); !ok {
			continue
		}
		if choice, ok := t.pickRemote(now, request, view, r, skipTried); ok {
			return choice, true
		}
	}
	for _, r := range request.Regions {
		if r == view.Region() || !view.LinkAllows(r, request.Bytes) || t.shouldWait(request, view, r) {
			continue
		}
		if choice, ok := t.pickRemote(now, request, view, r, skipTried); ok {
			return choice, true
		}
	}
	return Choice{}, false
}

// shouldWait reports whether a request that has to go to another region should wait for a
// free slot there: the region's recent summary shows none, and the request is not late.
func (t *tanager) shouldWait(request *Request, view View, region ident.Region) bool {
	summary, ok := view.RemoteLoad(request.Service, region)
	return ok && summary.Age <= maxSummaryAge && request.Waited < request.FirstTokenTarget/2
}
