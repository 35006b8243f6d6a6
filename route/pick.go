package route

import (
	"math/rand/v2"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// reserve is how long an endpoint is kept free for a suspect after it was last asked
// for. An entry that still has the suspect asks again much sooner.
const reserve = 2 * clock.Second

// place names a service in a region.
type place struct {
	service ident.Service
	region  ident.Region
}

// hold keeps an endpoint free for a suspect.
type hold struct {
	endpoint ident.Endpoint
	until    clock.Time
}

// picker has what all policies need: which candidates are usable, and where
// suspects run.
type picker struct {
	random *rand.Rand
	holds  map[place]hold
	// usable and open are reused; they hold indices of candidates.
	usable []int
	open   []int
}

func newPicker(random *rand.Rand) *picker {
	return &picker{random: random, holds: map[place]hold{}}
}

// filter returns the indices of the candidates that work other than a suspect may
// use, valid until the next call.
func (p *picker) filter(now clock.Time, a *Ask, r ident.Region, found []fleet.Candidate, avoid bool) []int {
	h := p.holds[place{a.Service, r}]
	p.usable = p.usable[:0]
	for i := range found {
		c := &found[i]
		if c.Alone || avoid && slices.Contains(a.Avoid, c.Endpoint) {
			continue
		}
		if c.Endpoint == h.endpoint && now.Before(h.until) {
			continue
		}
		p.usable = append(p.usable, i)
	}
	return p.usable
}

// avoids reports whether some allowed region has an endpoint that was not tried yet.
func avoids(a *Ask, v View) bool {
	if len(a.Avoid) == 0 {
		return false
	}
	for _, r := range a.Regions {
		for _, c := range v.Candidates(a.Service, r) {
			if !slices.Contains(a.Avoid, c.Endpoint) {
				return true
			}
		}
	}
	return false
}

// regions calls fn for the allowed regions, the entry's own first, until it returns true.
func regions(a *Ask, v View, fn func(ident.Region) bool) {
	own := v.Region()
	if slices.Contains(a.Regions, own) && fn(own) {
		return
	}
	for _, r := range a.Regions {
		if r != own && fn(r) {
			return
		}
	}
}

// alone places a suspect on an endpoint that runs nothing. If no region has one, it
// keeps an endpoint of the first region free, so that the suspect's turn comes.
func (p *picker) alone(now clock.Time, a *Ask, v View) (Choice, bool) {
	avoid := avoids(a, v)
	var choice Choice
	ok := false
	regions(a, v, func(r ident.Region) bool {
		if r != v.Region() && !v.Link(r, a.Bytes) {
			return false
		}
		found := v.Candidates(a.Service, r)
		i := emptiest(a, found, avoid)
		if i < 0 || !empty(&found[i]) || tooManyAlone(found) {
			return false
		}
		delete(p.holds, place{a.Service, r})
		choice = Choice{Endpoint: found[i].Endpoint, Region: r, Away: r != v.Region()}
		ok = true
		return true
	})
	if !ok {
		p.reserve(now, a, v, avoid)
	}
	return choice, ok
}

// reserve keeps the least loaded endpoint free in the first region that has one, and
// goes on with the endpoint that it keeps there already.
func (p *picker) reserve(now clock.Time, a *Ask, v View, avoid bool) {
	regions(a, v, func(r ident.Region) bool {
		found := v.Candidates(a.Service, r)
		i := emptiest(a, found, avoid)
		if i < 0 {
			return false
		}
		if tooManyAlone(found) {
			return true
		}
		at := place{a.Service, r}
		h := p.holds[at]
		if !now.Before(h.until) || !contains(found, h.endpoint) {
			h.endpoint = found[i].Endpoint
		}
		h.until = now.Add(reserve)
		p.holds[at] = h
		return true
	})
}

// tooManyAlone reports whether as many suspects run in a region as may: at most on a third
// of the endpoints, and at least on one.
func tooManyAlone(found []fleet.Candidate) bool {
	running := 0
	for i := range found {
		if found[i].Alone {
			running++
		}
	}
	return running >= max(1, len(found)/3)
}

// emptiest returns the index of the candidate with the least load, or -1.
func emptiest(a *Ask, found []fleet.Candidate, avoid bool) int {
	best := -1
	for i := range found {
		c := &found[i]
		if c.Alone || avoid && slices.Contains(a.Avoid, c.Endpoint) {
			continue
		}
		if best < 0 || c.Load < found[best].Load {
			best = i
		}
	}
	return best
}

// empty reports whether neither this entry nor the last report has work on c.
func empty(c *fleet.Candidate) bool {
	return c.Mine == 0 && c.Load == 0 && c.Reported == 0 && !c.Alone
}

// contains reports whether endpoint e is among the candidates.
func contains(found []fleet.Candidate, e ident.Endpoint) bool {
	for i := range found {
		if found[i].Endpoint == e {
			return true
		}
	}
	return false
}
