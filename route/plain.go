package route

import (
	"math/rand/v2"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// pick returns the index, out of those in usable, of the candidate to take.
type pick func(at place, found []fleet.Candidate, usable []int) int

// plain sends each request at once to the entry's region, or to another allowed
// region if that has no endpoint.
type plain struct {
	name   string
	pick   pick
	picker *picker
}

// String returns the policy's name.
func (p *plain) String() string { return p.name }

// Queues returns false: work waits at the endpoint.
func (p *plain) Queues() bool { return false }

// Classes returns true: the engine gets the request's urgency.
func (p *plain) Classes() bool { return true }

// Choose returns where to send the request.
func (p *plain) Choose(now clock.Time, a Ask, v View) (Choice, bool) {
	if a.Alone {
		return p.picker.alone(now, &a, v)
	}
	return p.picker.firstRegion(now, &a, v, func(r ident.Region, found []fleet.Candidate, usable []int) int {
		return p.pick(place{a.Service, r}, found, usable)
	})
}

// pickRandom picks any candidate with equal probability.
func pickRandom(random *rand.Rand) pick {
	return func(_ place, _ []fleet.Candidate, usable []int) int {
		return usable[random.IntN(len(usable))]
	}
}

// pickRobin picks the candidate that follows the last one in order of name, so that
// the turns go on when endpoints come and go.
func pickRobin() pick {
	last := map[place]ident.Endpoint{}
	return func(at place, found []fleet.Candidate, usable []int) int {
		next := usable[0]
		for _, i := range usable {
			if found[i].Endpoint > last[at] {
				next = i
				break
			}
		}
		last[at] = found[next].Endpoint
		return next
	}
}

// pickLeast picks the candidate with the least reported load in relation to its
// slots, the first by name if several have it.
func pickLeast(_ place, found []fleet.Candidate, usable []int) int {
	best := usable[0]
	for _, i := range usable[1:] {
		if relative(&found[i]) < relative(&found[best]) {
			best = i
		}
	}
	return best
}

// relative returns the reported load per slot.
func relative(c *fleet.Candidate) float64 { return c.Reported / float64(c.Slots) }

// single sends requests in order of arrival to any free slot in the entry's region,
// or in an allowed region if that has no endpoint.
type single struct {
	picker *picker
}

// String returns the policy's name.
func (s *single) String() string { return Single }

// Queues returns true.
func (s *single) Queues() bool { return true }

// Classes returns false: there is one queue.
func (s *single) Classes() bool { return false }

// Choose returns a free slot for the request.
func (s *single) Choose(now clock.Time, a Ask, v View) (Choice, bool) {
	if a.Alone {
		return s.picker.alone(now, &a, v)
	}
	return s.picker.firstRegion(now, &a, v, func(_ ident.Region, found []fleet.Candidate, usable []int) int {
		open := s.picker.free(found, usable)
		if len(open) == 0 {
			return -1
		}
		return open[s.picker.random.IntN(len(open))]
	})
}

// firstRegion lets pick take a candidate in the first region that has a usable one.
// pick returns an index, or -1 if the request has to wait there.
func (p *picker) firstRegion(
	now clock.Time, a *Ask, v View, pick func(r ident.Region, found []fleet.Candidate, usable []int) int,
) (Choice, bool) {
	avoid := avoids(a, v)
	var choice Choice
	ok := false
	regions(a, v, func(r ident.Region) bool {
		found := v.Candidates(a.Service, r)
		usable := p.filter(now, a, r, found, avoid)
		if len(usable) == 0 {
			return false
		}
		if i := pick(r, found, usable); i >= 0 {
			choice = Choice{Endpoint: found[i].Endpoint, Region: r, Away: r != v.Region()}
			ok = true
		}
		return true
	})
	return choice, ok
}

// free returns the indices of the candidates with a free slot, valid until the next call.
func (p *picker) free(found []fleet.Candidate, usable []int) []int {
	p.open = p.open[:0]
	for _, i := range usable {
		if found[i].Load+1 <= float64(found[i].Slots) {
			p.open = append(p.open, i)
		}
	}
	return p.open
}
