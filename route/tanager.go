package route

import (
	"math/rand/v2"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// slowWeight is the weight below which an endpoint that is not cold gets only probes
	// while others have capacity.
	slowWeight = 0.5
	// slowWaitFactor is how many times its size a request must have waited before it goes to
	// a slow endpoint. That is what it loses there if the endpoint is 5 times slower.
	slowWaitFactor = 4
	// longTurnover is the assumed rate at which slots of long work become free, relative to
	// those of urgent work.
	longTurnover = 0.2
	// affinityBound is by how much an endpoint's load may exceed the average of its peers for
	// prefix affinity to hold.
	affinityBound = 1.25
	// affinityRanks is how many endpoints, by rendezvous hash, share one prefix.
	affinityRanks = 2
	// shortFirst and longFirst are the defaults of Ask.First.
	shortFirst = 1600 * clock.Millisecond
	longFirst  = 8 * clock.Second
)

// tanager places work in the entry's region as long as that has slots, keeps slots
// free for urgent work, and sends to other regions what would wait too long.
type tanager struct {
	*picker
	away    *away
	demands demands
}

func newTanager(random *rand.Rand) *tanager {
	return &tanager{picker: newPicker(random), away: newAway(), demands: demands{}}
}

// String returns the policy's name.
func (t *tanager) String() string { return Tanager }

// Queues returns true.
func (t *tanager) Queues() bool { return true }

// Classes returns true.
func (t *tanager) Classes() bool { return true }

// Choose returns where to send the request now, or false if it has to wait.
func (t *tanager) Choose(now clock.Time, a Ask, v View) (Choice, bool) {
	if a.First <= 0 {
		a.First = target(&a)
	}
	c, ok := t.choose(now, &a, v)
	if !ok {
		return Choice{}, false
	}
	t.away.placed(&a)
	if c.Away {
		t.away.sent(now, place{a.Service, c.Region})
	}
	return c, true
}

// target returns the default target for the time to the first token.
func target(a *Ask) clock.Span {
	if a.Long {
		return longFirst
	}
	return shortFirst
}

// choose is Choose without the bookkeeping.
func (t *tanager) choose(now clock.Time, a *Ask, v View) (Choice, bool) {
	if a.Alone {
		return t.alone(now, a, v)
	}
	avoid := avoids(a, v)
	own := v.Region()
	found := t.home(a, v)
	if !untried(a, found, avoid) {
		return t.elsewhere(now, a, v, avoid)
	}
	usable := t.filter(now, a, own, found, avoid)
	m := t.measure(now, a, v, found)
	if i := t.probe(a, m, found, usable); i >= 0 {
		return at(found, i, own), true
	}
	if i := t.pick(a, m, found, usable); i >= 0 {
		return at(found, i, own), true
	}
	wait := t.away.expect(a, m, found)
	if c, ok := t.send(now, a, v, avoid, wait); ok {
		return c, true
	}
	// send filters the candidates of other regions.
	usable = t.filter(now, a, own, found, avoid)
	if i := t.fallback(a, m, found, usable); i >= 0 {
		return at(found, i, own), true
	}
	return Choice{}, false
}

// measure sums up the candidates of the entry's region and takes in what urgent work
// holds there.
func (t *tanager) measure(now clock.Time, a *Ask, v View, found []fleet.Candidate) room {
	m := measure(found, share(a, v))
	p := place{a.Service, v.Region()}
	t.demands.note(now, p, &m)
	m.kept = t.demands.kept(p)
	return m
}

// at returns the choice of candidate i in the entry's region.
func at(found []fleet.Candidate, i int, own ident.Region) Choice {
	return Choice{Endpoint: found[i].Endpoint, Region: own}
}

// home returns the candidates in the entry's region if it is allowed.
func (t *tanager) home(a *Ask, v View) []fleet.Candidate {
	if !slices.Contains(a.Regions, v.Region()) {
		return nil
	}
	return v.Candidates(a.Service, v.Region())
}

// untried reports whether there is a candidate that need not be avoided.
func untried(a *Ask, found []fleet.Candidate, avoid bool) bool {
	if !avoid {
		return len(found) > 0
	}
	for i := range found {
		if !slices.Contains(a.Avoid, found[i].Endpoint) {
			return true
		}
	}
	return false
}

// share returns the class's share of slots, from 0 to 1.
func share(a *Ask, v View) float64 {
	s := v.Share(a.Class)
	if s <= 0 || s > 1 {
		return 1
	}
	return s
}

// slow reports whether c is to get only probes.
func slow(c *fleet.Candidate) bool { return c.Weight < slowWeight && !c.Cold }

// probe returns the index of a slow endpoint that is due for a probe, or -1.
// Requests that were tried before or have waited for long are spared, and so is
// urgent work if the service has other work: a few probes are enough to raise the
// tail of urgent work, whose times to the first token differ little.
func (t *tanager) probe(a *Ask, m room, found []fleet.Candidate, usable []int) int {
	if len(a.Avoid) > 0 || a.Waited > a.First/2 {
		return -1
	}
	if !a.Long && t.away.mixed(a.Service) {
		return -1
	}
	for _, i := range usable {
		if found[i].Probe && m.fits(&found[i]) {
			return i
		}
	}
	return -1
}

// pick returns the index of the endpoint to take out of those that have a slot and
// are not slow, or -1.
func (t *tanager) pick(a *Ask, m room, found []fleet.Candidate, usable []int) int {
	t.open = t.open[:0]
	for _, i := range usable {
		if !slow(&found[i]) && m.fits(&found[i]) {
			t.open = append(t.open, i)
		}
	}
	if len(t.open) == 0 {
		return -1
	}
	if a.Prefix != 0 {
		if i := affine(a.Prefix, m, found, usable, t.open); i >= 0 {
			return i
		}
	}
	return t.better(found, t.open)
}

// better draws two candidates by weight and returns the less loaded one.
func (t *tanager) better(found []fleet.Candidate, open []int) int {
	total := 0.0
	for _, i := range open {
		total += effectiveSlots(&found[i])
	}
	one := draw(found, open, t.random.Float64()*total)
	two := draw(found, open, t.random.Float64()*total)
	if relativeLoad(&found[two]) < relativeLoad(&found[one]) {
		return two
	}
	return one
}

// draw returns the candidate at the point x of the summed weights.
func draw(found []fleet.Candidate, open []int, x float64) int {
	for _, i := range open {
		x -= effectiveSlots(&found[i])
		if x < 0 {
			return i
		}
	}
	return open[len(open)-1]
}

// effectiveSlots returns the slots of c as far as its weight lets it use them.
func effectiveSlots(c *fleet.Candidate) float64 { return float64(c.Slots) * c.Weight }

// relativeLoad returns the load that c would have for each such slot.
func relativeLoad(c *fleet.Candidate) float64 { return (c.Load + 1) / effectiveSlots(c) }

// fallback returns the index of the endpoint for a request that neither finds a slot
// here nor is sent away, or -1: one request more than its slots on an engine that
// runs long work, which gives way to urgent work, or a slow endpoint.
func (t *tanager) fallback(a *Ask, m room, found []fleet.Candidate, usable []int) int {
	if i := overcommit(a, m, found, usable); i >= 0 {
		return i
	}
	if a.Waited < slowWaitFactor*max(a.Size, clock.Second/slowWaitFactor) {
		return -1
	}
	best := -1
	for _, i := range usable {
		if m.fits(&found[i]) && (best < 0 || relativeLoad(&found[i]) < relativeLoad(&found[best])) {
			best = i
		}
	}
	return best
}

// overcommit returns the index of an endpoint that takes urgent work beyond its slots, or
// -1. Of several it takes the one where a slot is likely to become free first.
func overcommit(a *Ask, m room, found []fleet.Candidate, usable []int) int {
	if m.share < 1 || a.Long || a.Urgency > 0 || a.Waited < a.First/8 {
		return -1
	}
	best := -1
	for _, i := range usable {
		c := &found[i]
		if c.Load > float64(c.Slots) || c.Long < 1 || c.Cold || slow(c) {
			continue
		}
		if best < 0 || turnover(c) > turnover(&found[best]) {
			best = i
		}
	}
	return best
}

// turnover rates how soon work beyond the slots of c starts: the more urgent work runs
// there, which holds its slots for a short time, the sooner.
func turnover(c *fleet.Candidate) float64 {
	beyond := max(1, c.Load+1-float64(c.Slots))
	return (c.Load - c.Long + longTurnover*c.Long) / beyond
}
