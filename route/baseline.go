package route

import (
	"math/rand/v2"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// pickFunc returns the index of the candidate to use, which is one of usable.
type pickFunc func(key serviceRegion, candidates []fleet.Candidate, usable []int) int

// immediate sends each request at once to the entry's region, or to another allowed region
// if that has no endpoint.
type immediate struct {
	name   string
	pick   pickFunc
	picker *picker
}

// String returns the policy's name.
func (p *immediate) String() string { return p.name }

// QueuesAtEntry returns false: requests wait at the endpoint.
func (p *immediate) QueuesAtEntry() bool { return false }

// UsesClasses returns true: the engine receives the urgency of the request.
func (p *immediate) UsesClasses() bool { return true }

// Choose returns where to send the request.
func (p *immediate) Choose(now clock.Time, request Request, view View) (Choice, bool) {
	if request.Exclusive {
		return p.picker.placeExclusive(now, &request, view)
	}
	return p.picker.firstRegion(now, &request, view, func(r ident.Region, candidates []fleet.Candidate, usable []int) int {
		return p.pick(serviceRegion{request.Service, r}, candidates, usable)
	})
}

// pickRandom selects among the candidates with equal probability.
func pickRandom(random *rand.Rand) pickFunc {
	return func(_ serviceRegion, _ []fleet.Candidate, usable []int) int {
		return usable[random.IntN(len(usable))]
	}
}

// pickRoundRobin selects the candidate that follows the last one by name, so the rotation
// continues when endpoints appear or disappear.
func pickRoundRobin() pickFunc {
	last := map[serviceRegion]ident.Endpoint{}
	return func(key serviceRegion, candidates []fleet.Candidate, usable []int) int {
		next := usable[0]
		for _, i := range usable {
			if candidates[i].Endpoint > last[key] {
				next = i
				break
			}
		}
		last[key] = candidates[next].Endpoint
		return next
	}
}

// pickLeastLoaded selects the candidate with the least reported load per slot, or the first by
// name among equals.
func pickLeastLoaded(_ serviceRegion, candidates []fleet.Candidate, usable []int) int {
	best := usable[0]
	for _, i := range usable[1:] {
		if reportedLoadPerSlot(&candidates[i]) < reportedLoadPerSlot(&candidates[best]) {
			best = i
		}
	}
	return best
}

// reportedLoadPerSlot returns the load in the last report divided by the slots.
func reportedLoadPerSlot(candidate *fleet.Candidate) float64 {
	return candidate.ReportedLoad / float64(candidate.Slots)
}

// singleQueue sends requests in order of arrival to any free slot in the entry's region, or
// in another allowed region if that has no endpoint.
type singleQueue struct {
	picker *picker
}

// String returns the policy's name.
func (s *singleQueue) String() string { return SingleQueue }

// QueuesAtEntry returns true.
func (s *singleQueue) QueuesAtEntry() bool { return true }

// UsesClasses returns false: there is one queue.
func (s *singleQueue) UsesClasses() bool { return false }

// Choose returns a free slot for the request, or false if it has to wait.
func (s *singleQueue) Choose(now clock.Time, request Request, view View) (Choice, bool) {
	if request.Exclusive {
		return s.picker.placeExclusive(now, &request, view)
	}
	return s.picker.firstRegion(now, &request, view, func(_ ident.Region, candidates []fleet.Candidate, usable []int) int {
		free := s.picker.withFreeSlot(candidates, usable)
		if len(free) == 0 {
			return -1
		}
		return free[s.picker.random.IntN(len(free))]
	})
}

// firstRegion calls pick for the first region with a usable candidate. pick returns an
// index, or -1 if the request has to wait there.
func (p *picker) firstRegion(
	now clock.Time, request *Request, view View, pick func(region ident.Region, candidates []fleet.Candidate, usable []int) int,
) (Choice, bool) {
	skipTried := avoidTried(request, view)
	var choice Choice
	ok := false
	eachRegion(request, view, func(r ident.Region) bool {
		candidates := view.Candidates(request.Service, r)
		usable := p.filter(now, request, r, candidates, skipTried)
		if len(usable) == 0 {
			return false
		}
		if index := pick(r, candidates, usable); index >= 0 {
			choice = Choice{Endpoint: candidates[index].Endpoint, Region: r, Remote: r != view.Region()}
			ok = true
		}
		return true
	})
	return choice, ok
}

// withFreeSlot returns the indices of the candidates with a free slot. The slice is valid
// until the next call.
func (p *picker) withFreeSlot(candidates []fleet.Candidate, usable []int) []int {
	p.free = p.free[:0]
	for _, i := range usable {
		if candidates[i].Load+1 <= float64(candidates[i].Slots) {
			p.free = append(p.free, i)
		}
	}
	return p.free
}
