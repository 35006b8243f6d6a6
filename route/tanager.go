package route

import (
	"math/rand/v2"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// slowWeight is the weight below which an endpoint that is not cold receives only
	// probes as long as others have capacity.
	slowWeight = 0.5
	// slowWaitFactor is how many times its size a request must have waited before it is
	// sent to a slow endpoint. An endpoint that is 5 times slower costs it that much.
	slowWaitFactor = 4
	// longTurnover is the assumed rate at which slots of long work become free, relative to
	// those of urgent work.
	longTurnover = 0.2
	// affinityBound is the largest ratio of an endpoint's load to the average of its peers
	// at which prefix affinity applies.
	affinityBound = 1.25
	// affinityRanks is the number of endpoints, by rendezvous hash, that share a prefix.
	affinityRanks = 2
	// shortFirstTokenTarget and longFirstTokenTarget are the defaults of Request.FirstTokenTarget.
	shortFirstTokenTarget = 1600 * clock.Millisecond
	longFirstTokenTarget  = 8 * clock.Second
)

// tanager places work in the entry's region as long as that has slots, reserves slots for
// urgent work, and sends requests that would wait too long to other regions.
type tanager struct {
	*picker
	offload *offload
	demands urgentDemands
}

func newTanager(random *rand.Rand) *tanager {
	return &tanager{picker: newPicker(random), offload: newOffload(), demands: urgentDemands{}}
}

// String returns the policy's name.
func (t *tanager) String() string { return Tanager }

// QueuesAtEntry returns true.
func (t *tanager) QueuesAtEntry() bool { return true }

// UsesClasses returns true.
func (t *tanager) UsesClasses() bool { return true }

// Choose returns where to send the request now, or false if it has to wait.
func (t *tanager) Choose(now clock.Time, request Request, view View) (Choice, bool) {
	if request.FirstTokenTarget <= 0 {
		request.FirstTokenTarget = defaultTarget(&request)
	}
	choice, ok := t.choose(now, &request, view)
	if !ok {
		return Choice{}, false
	}
	t.offload.recordPlaced(&request)
	if choice.Remote {
		t.offload.recordSent(now, serviceRegion{request.Service, choice.Region})
	}
	return choice, true
}

// defaultTarget returns the default target for the time to the first token.
func defaultTarget(request *Request) clock.Span {
	if request.Long {
		return longFirstTokenTarget
	}
	return shortFirstTokenTarget
}

// choose implements Choose without recording the choice.
func (t *tanager) choose(now clock.Time, request *Request, view View) (Choice, bool) {
	if request.Exclusive {
		return t.placeExclusive(now, request, view)
	}
	skipTried := avoidTried(request, view)
	own := view.Region()
	candidates := t.localCandidates(request, view)
	if !hasUntried(request, candidates, skipTried) {
		return t.placeRemote(now, request, view, skipTried)
	}
	usable := t.filter(now, request, own, candidates, skipTried)
	capacity := t.localCapacity(now, request, view, candidates)
	if index := t.probeTarget(request, capacity, candidates, usable); index >= 0 {
		return localChoice(candidates, index, own), true
	}
	if index := t.pickFree(request, capacity, candidates, usable); index >= 0 {
		return localChoice(candidates, index, own), true
	}
	wait := t.offload.expectedWait(request, capacity, candidates)
	if choice, ok := t.sendRemote(now, request, view, skipTried, wait); ok {
		return choice, true
	}
	// sendRemote overwrites the reused slice with candidates of other regions.
	usable = t.filter(now, request, own, candidates, skipTried)
	if index := t.fallback(request, capacity, candidates, usable); index >= 0 {
		return localChoice(candidates, index, own), true
	}
	return Choice{}, false
}

// homeCapacity sums up the candidates of the entry's region and updates the demand of
// urgent work there.
func (t *tanager) localCapacity(now clock.Time, request *Request, view View, candidates []fleet.Candidate) regionCapacity {
	capacity := sumCapacity(candidates, share(request, view))
	key := serviceRegion{request.Service, view.Region()}
	t.demands.update(now, key, &capacity)
	capacity.reserved = t.demands.reserved(key)
	return capacity
}

// homeChoice returns the choice of a candidate in the entry's region.
func localChoice(candidates []fleet.Candidate, index int, own ident.Region) Choice {
	return Choice{Endpoint: candidates[index].Endpoint, Region: own}
}

// homeCandidates returns the candidates in the entry's region, or nil if the request may
// not run there.
func (t *tanager) localCandidates(request *Request, view View) []fleet.Candidate {
	if !slices.Contains(request.Regions, view.Region()) {
		return nil
	}
	return view.Candidates(request.Service, view.Region())
}

// hasUntried reports whether there is a candidate that need not be avoided.
func hasUntried(request *Request, candidates []fleet.Candidate, skipTried bool) bool {
	if !skipTried {
		return len(candidates) > 0
	}
	for i := range candidates {
		if !slices.Contains(request.Tried, candidates[i].Endpoint) {
			return true
		}
	}
	return false
}

// share returns the class's share of slots, from 0 to 1.
func share(request *Request, view View) float64 {
	share := view.ClassShare(request.Class)
	if share <= 0 || share > 1 {
		return 1
	}
	return share
}

// isSlow reports whether the candidate should receive only probes.
func isSlow(candidate *fleet.Candidate) bool { return candidate.Weight < slowWeight && !candidate.Cold }

// probeTarget returns the index of a slow endpoint that is due a probe, or -1. Retries and
// requests that have waited long are not used as probes. Urgent work is not used either
// if the service has other work: its times to the first token differ so little that a few
// probes raise their tail.
func (t *tanager) probeTarget(request *Request, capacity regionCapacity, candidates []fleet.Candidate, usable []int) int {
	if len(request.Tried) > 0 || request.Waited > request.FirstTokenTarget/2 {
		return -1
	}
	if !request.Long && t.offload.hasLongWork(request.Service) {
		return -1
	}
	for _, i := range usable {
		if candidates[i].Probe && capacity.fits(&candidates[i]) {
			return i
		}
	}
	return -1
}

// pickFree returns the index of the endpoint to use among those that have a free slot and
// are not slow, or -1.
func (t *tanager) pickFree(request *Request, capacity regionCapacity, candidates []fleet.Candidate, usable []int) int {
	t.free = t.free[:0]
	for _, i := range usable {
		if !isSlow(&candidates[i]) && capacity.fits(&candidates[i]) {
			t.free = append(t.free, i)
		}
	}
	if len(t.free) == 0 {
		return -1
	}
	if request.Prefix != 0 {
		if index := affinityTarget(request.Prefix, capacity, candidates, usable, t.free); index >= 0 {
			return index
		}
	}
	return t.pickOfTwo(candidates, t.free)
}

// pickOfTwo draws two candidates by weight and returns the less loaded one.
func (t *tanager) pickOfTwo(candidates []fleet.Candidate, free []int) int {
	total := 0.0
	for _, i := range free {
		total += effectiveSlots(&candidates[i])
	}
	first := weightedDraw(candidates, free, t.random.Float64()*total)
	second := weightedDraw(candidates, free, t.random.Float64()*total)
	if relativeLoad(&candidates[second]) < relativeLoad(&candidates[first]) {
		return second
	}
	return first
}

// weightedDraw returns the candidate at the given point of the cumulative weights.
func weightedDraw(candidates []fleet.Candidate, free []int, point float64) int {
	for _, i := range free {
		point -= effectiveSlots(&candidates[i])
		if point < 0 {
			return i
		}
	}
	return free[len(free)-1]
}

// effectiveSlots returns the slots of the candidate scaled by its weight.
func effectiveSlots(candidate *fleet.Candidate) float64 {
	return float64(candidate.Slots) * candidate.Weight
}

// relativeLoad returns the load per effective slot after one more request.
func relativeLoad(candidate *fleet.Candidate) float64 {
	return (candidate.Load + 1) / effectiveSlots(candidate)
}

// fallback returns the index of an endpoint for a request that neither finds a slot in the
// region nor is sent away, or -1. It is either an engine that runs long work and takes
// one request more than its slots, since long work yields to urgent work, or a slow
// endpoint.
func (t *tanager) fallback(request *Request, capacity regionCapacity, candidates []fleet.Candidate, usable []int) int {
	if index := overcommit(request, capacity, candidates, usable); index >= 0 {
		return index
	}
	if request.Waited < slowWaitFactor*max(request.ExpectedDuration, clock.Second/slowWaitFactor) {
		return -1
	}
	best := -1
	for _, i := range usable {
		if capacity.fits(&candidates[i]) && (best < 0 || relativeLoad(&candidates[i]) < relativeLoad(&candidates[best])) {
			best = i
		}
	}
	return best
}

// overcommit returns the index of an endpoint that takes urgent work beyond its slots, or
// -1. Of several it returns the one where a slot is likely to become free first.
func overcommit(request *Request, capacity regionCapacity, candidates []fleet.Candidate, usable []int) int {
	if capacity.share < 1 || request.Long || request.Urgency > 0 || request.Waited < request.FirstTokenTarget/8 {
		return -1
	}
	best := -1
	for _, i := range usable {
		candidate := &candidates[i]
		if candidate.Load > float64(candidate.Slots) || candidate.LongLoad < 1 || candidate.Cold || isSlow(candidate) {
			continue
		}
		if best < 0 || turnoverRate(candidate) > turnoverRate(&candidates[best]) {
			best = i
		}
	}
	return best
}

// turnoverRate estimates how soon work beyond the slots starts: sooner the more urgent
// work runs there, since that holds its slots only briefly.
func turnoverRate(candidate *fleet.Candidate) float64 {
	beyond := max(1, candidate.Load+1-float64(candidate.Slots))
	return (candidate.Load - candidate.LongLoad + longTurnover*candidate.LongLoad) / beyond
}
