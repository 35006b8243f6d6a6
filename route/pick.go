package route

import (
	"math/rand/v2"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// reservationTime is how long an endpoint stays reserved for a suspect request after the
// last attempt to place it. An entry that still holds the suspect retries much sooner.
const reservationTime = 2 * clock.Second

// serviceRegion identifies a service in a region.
type serviceRegion struct {
	service ident.Service
	region  ident.Region
}

// reservation keeps an endpoint free for a suspect request.
type reservation struct {
	endpoint ident.Endpoint
	until    clock.Time
}

// picker is the part common to all policies: it filters usable candidates and places
// suspect requests.
type picker struct {
	random       *rand.Rand
	reservations map[serviceRegion]reservation
	// usable and free are reused buffers of candidate indices.
	usable []int
	free   []int
}

func newPicker(random *rand.Rand) *picker {
	return &picker{random: random, reservations: map[serviceRegion]reservation{}}
}

// filter returns the indices of the candidates that ordinary requests may use, without
// those already tried if skipTried is set. The slice is valid until the next call.
func (p *picker) filter(now clock.Time, request *Request, region ident.Region, candidates []fleet.Candidate, skipTried bool) []int {
	reserved := p.reservations[serviceRegion{request.Service, region}]
	p.usable = p.usable[:0]
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Exclusive || skipTried && slices.Contains(request.Tried, candidate.Endpoint) {
			continue
		}
		if candidate.Endpoint == reserved.endpoint && now.Before(reserved.until) {
			continue
		}
		p.usable = append(p.usable, i)
	}
	return p.usable
}

// avoidTried reports whether some allowed region has an endpoint that was not tried yet.
func avoidTried(request *Request, view View) bool {
	if len(request.Tried) == 0 {
		return false
	}
	for _, r := range request.Regions {
		for _, c := range view.Candidates(request.Service, r) {
			if !slices.Contains(request.Tried, c.Endpoint) {
				return true
			}
		}
	}
	return false
}

// eachRegion calls fn for the allowed regions, the entry's own first, until it returns true.
func eachRegion(request *Request, view View, fn func(ident.Region) bool) {
	own := view.Region()
	if slices.Contains(request.Regions, own) && fn(own) {
		return
	}
	for _, r := range request.Regions {
		if r != own && fn(r) {
			return
		}
	}
}

// placeExclusive places a suspect request on an endpoint that runs nothing else. If there is
// none in any region, it reserves an endpoint so that the suspect is not starved.
func (p *picker) placeExclusive(now clock.Time, request *Request, view View) (Choice, bool) {
	skipTried := avoidTried(request, view)
	var choice Choice
	ok := false
	eachRegion(request, view, func(r ident.Region) bool {
		if r != view.Region() && !view.LinkAllows(r, request.Bytes) {
			return false
		}
		candidates := view.Candidates(request.Service, r)
		index := leastLoaded(request, candidates, skipTried)
		if index < 0 || !isIdle(&candidates[index]) || suspectLimitReached(candidates) {
			return false
		}
		delete(p.reservations, serviceRegion{request.Service, r})
		choice = Choice{Endpoint: candidates[index].Endpoint, Region: r, Remote: r != view.Region()}
		ok = true
		return true
	})
	if !ok {
		p.reserve(now, request, view, skipTried)
	}
	return choice, ok
}

// reserve reserves the least loaded endpoint in the first region that has one. An existing
// reservation there is extended.
func (p *picker) reserve(now clock.Time, request *Request, view View, skipTried bool) {
	eachRegion(request, view, func(r ident.Region) bool {
		candidates := view.Candidates(request.Service, r)
		index := leastLoaded(request, candidates, skipTried)
		if index < 0 {
			return false
		}
		if suspectLimitReached(candidates) {
			return true
		}
		key := serviceRegion{request.Service, r}
		reserved := p.reservations[key]
		if !now.Before(reserved.until) || !contains(candidates, reserved.endpoint) {
			reserved.endpoint = candidates[index].Endpoint
		}
		reserved.until = now.Add(reservationTime)
		p.reservations[key] = reserved
		return true
	})
}

// suspectLimitReached reports whether the region runs the maximum number of suspect
// requests: one for every three endpoints, and at least one.
func suspectLimitReached(candidates []fleet.Candidate) bool {
	running := 0
	for i := range candidates {
		if candidates[i].Exclusive {
			running++
		}
	}
	return running >= max(1, len(candidates)/3)
}

// leastLoaded returns the index of the candidate with the least load, or -1.
func leastLoaded(request *Request, candidates []fleet.Candidate, skipTried bool) int {
	best := -1
	for i := range candidates {
		candidate := &candidates[i]
		if candidate.Exclusive || skipTried && slices.Contains(request.Tried, candidate.Endpoint) {
			continue
		}
		if best < 0 || candidate.Load < candidates[best].Load {
			best = i
		}
	}
	return best
}

// isIdle reports whether neither this entry nor the last report has work on the candidate.
func isIdle(candidate *fleet.Candidate) bool {
	return candidate.OwnAttempts == 0 && candidate.Load == 0 && candidate.ReportedLoad == 0 && !candidate.Exclusive
}

// contains reports whether the named endpoint is among the candidates.
func contains(candidates []fleet.Candidate, name ident.Endpoint) bool {
	for i := range candidates {
		if candidates[i].Endpoint == name {
			return true
		}
	}
	return false
}
