package route

import (
	"math"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
)

const (
	// roundTrip is the round trip between two regions of the deployments.
	roundTrip = 110 * clock.Millisecond
	// linkSpeed is the speed in bytes/ms of the thinnest link, 100 Mbit/s.
	linkSpeed = 12500
	// maxHintAge is the age from which a summary of another region is not relied on.
	maxHintAge = 5 * clock.Second
	// minWeight and maxWeight bound the weight of the share sent away.
	minWeight = 0.25
	maxWeight = 4.0
	// stopRatio is the stop threshold relative to the start threshold.
	stopRatio = 0.8
	// longStart is the part of its target for which long work waits at least before it
	// is sent away, to which a quarter of the weight of the share sent away is added.
	longStart = 0.75
	// defaultDuration is the duration of a request as long as none is known.
	defaultDuration = clock.Second
	// sampleWeight is the weight of a new sample in the means of sizes and kinds.
	sampleWeight = 0.05
)

// flow is the work of one service that is or is not long.
type flow struct {
	service ident.Service
	long    bool
}

// away decides when work goes to another region.
type away struct {
	// sending has the flows that are above their stop threshold since they were above
	// their start threshold.
	sending map[flow]bool
	// sends has the times of what was sent to a place within the age of a summary.
	sends map[place][]clock.Time
	// urgent has the part of the work placed that is urgent.
	urgent map[ident.Service]float64
}

func newAway() *away {
	return &away{
		sending: map[flow]bool{},
		sends:   map[place][]clock.Time{},
		urgent:  map[ident.Service]float64{},
	}
}

// placed takes in a request that was placed.
func (w *away) placed(a *Ask) {
	u := 1.0
	if a.Long {
		u = 0
	}
	if _, ok := w.urgent[a.Service]; !ok {
		w.urgent[a.Service] = 1
	}
	w.urgent[a.Service] += (u - w.urgent[a.Service]) * sampleWeight
}

// mixed reports whether at least about 2 in 100 of a service's requests are long.
func (w *away) mixed(s ident.Service) bool {
	u, ok := w.urgent[s]
	return ok && u < 0.98
}

// sent records a request sent to another region.
func (w *away) sent(now clock.Time, p place) {
	kept := w.sends[p][:0]
	for _, t := range w.sends[p] {
		if now.Sub(t) < maxHintAge+roundTrip {
			kept = append(kept, t)
		}
	}
	w.sends[p] = append(kept, now)
}

// expect returns how long a will have waited when a slot of the region is free for
// it. A request is asked for from the head of its class's line, so that what waits
// behind it, or in a less urgent class, doesn't delay it.
func (w *away) expect(a *Ask, m room, found []fleet.Candidate) clock.Span {
	slots := 0.0
	for i := range found {
		slots += effectiveSlots(&found[i])
	}
	turnover := w.duration(a, found) / max(0.1, slots*m.share)
	return a.Waited + clock.Span(math.Ceil(turnover))
}

// duration returns the mean time in ms for which work holds a slot.
func (w *away) duration(a *Ask, found []fleet.Candidate) float64 {
	if len(found) > 0 && found[0].Duration > 0 {
		return float64(found[0].Duration)
	}
	if a.Size > 0 {
		return float64(a.Size)
	}
	return float64(defaultDuration)
}

// passes reports whether a wait is long enough to send a away at a cost, and keeps
// the hysteresis of its flow. The flow stops once a newcomer's wait is below the
// stop threshold.
func (w *away) passes(a *Ask, weight float64, wait, cost clock.Span) bool {
	begin, end := thresholds(a, weight, cost)
	f := flow{a.Service, a.Long}
	switch {
	case wait > begin:
		w.sending[f] = true
	case wait <= end && a.Waited <= end/2:
		w.sending[f] = false
	}
	return wait > begin || w.sending[f] && wait > end
}

// thresholds returns the waits above which sending a away starts and stops. Long
// work goes once it would miss its target here. Urgent work, of which a request
// frees little capacity, goes only far beyond its target, when long work that was
// sent away did not help.
func thresholds(a *Ask, weight float64, cost clock.Span) (begin, end clock.Span) {
	factor := min(max(weight, minWeight), maxWeight)
	limit := factor * float64(cost)
	if a.Long {
		limit = max(limit, float64(a.First)*(longStart+factor/4))
		return clock.Span(limit), clock.Span(limit * stopRatio)
	}
	limit = max(limit, float64(a.First)*(1+factor))
	return clock.Span(limit), clock.Span(limit * stopRatio)
}

// spare returns how many requests of a's class a region can take beyond what this
// entry has sent there since the summary was made.
func (w *away) spare(now clock.Time, a *Ask, share float64, l news.Load) int {
	made := now.Add(-l.Age)
	free := l.Free
	for _, t := range w.sends[place{a.Service, l.Region}] {
		if t.Add(roundTrip / 2).After(made) {
			free--
		}
	}
	if share < 1 {
		free -= l.Slots - int(quota(share, float64(l.Slots)))
	}
	return free
}

// send places a in the allowed region with the least cost, if its wait here exceeds that.
func (t *tanager) send(now clock.Time, a *Ask, v View, avoid bool, wait clock.Span) (Choice, bool) {
	best := ident.Region("")
	lowest := clock.Span(math.MaxInt64)
	for _, r := range a.Regions {
		l, ok := t.offer(now, a, v, r)
		if !ok {
			continue
		}
		if c := cost(a, l.Wait); c < lowest {
			best, lowest = r, c
		}
	}
	if best == "" || !t.away.passes(a, v.Weights().Away, wait, lowest) {
		return Choice{}, false
	}
	return t.remote(now, a, v, best, avoid)
}

// offer returns the summary of region r if it is fresh and has room, and the link
// has too.
func (t *tanager) offer(now clock.Time, a *Ask, v View, r ident.Region) (news.Load, bool) {
	if r == v.Region() || !v.Link(r, a.Bytes) {
		return news.Load{}, false
	}
	l, ok := v.Remote(a.Service, r)
	if !ok || l.Age > maxHintAge {
		return news.Load{}, false
	}
	l.Region = r
	return l, t.away.spare(now, a, share(a, v), l) > 0
}

// cost returns the time that the way to another region and the wait there take.
func cost(a *Ask, wait clock.Span) clock.Span {
	return wait + roundTrip + clock.Span(a.Bytes/linkSpeed)
}

// remote picks an endpoint in region r.
func (t *tanager) remote(now clock.Time, a *Ask, v View, r ident.Region, avoid bool) (Choice, bool) {
	found := v.Candidates(a.Service, r)
	usable := t.filter(now, a, r, found, avoid)
	i := t.pick(a, measure(found, share(a, v)), found, usable)
	if i < 0 {
		return Choice{}, false
	}
	return Choice{Endpoint: found[i].Endpoint, Region: r, Away: true}, true
}

// elsewhere places a request for which the entry's region has no endpoint: first in
// regions whose summary shows room, then in those of which nothing is known, or in any
// if the request is late, with a slot by this entry's own count.
func (t *tanager) elsewhere(now clock.Time, a *Ask, v View, avoid bool) (Choice, bool) {
	for _, r := range a.Regions {
		if _, ok := t.offer(now, a, v, r); !ok {
			continue
		}
		if c, ok := t.remote(now, a, v, r, avoid); ok {
			return c, true
		}
	}
	for _, r := range a.Regions {
		if r == v.Region() || !v.Link(r, a.Bytes) || t.full(a, v, r) {
			continue
		}
		if c, ok := t.remote(now, a, v, r, avoid); ok {
			return c, true
		}
	}
	return Choice{}, false
}

// full reports whether a request that has to go to region r should wait for room
// there: the region has told lately that there was none, and the request is not late.
func (t *tanager) full(a *Ask, v View, r ident.Region) bool {
	l, ok := v.Remote(a.Service, r)
	return ok && l.Age <= maxHintAge && a.Waited < a.First/2
}
