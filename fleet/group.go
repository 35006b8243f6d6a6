package fleet

import (
	"math"
	"slices"
	"sort"
	"strings"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
)

const (
	// refresh is how often endpoints are compared with their peers.
	refresh = 100 * clock.Millisecond
	// peers is how many endpoints with samples make a median of their own.
	peers = 3
	// maxRemoved is the largest share of a region's slots, and of its endpoints, that
	// weights may remove.
	maxRemoved = 1.0 / 3
	// probeWeight is the weight of a slow endpoint at which it gets no work but probes.
	probeWeight = 0.02
	// slowExponent is the power of the ratio with which the weight of a slow endpoint falls.
	// With 1, an idle endpoint that is 5 times slower would be preferred to peers
	// that are more than half full.
	slowExponent = 3
	// minColdShare is the least share of their slots that cold endpoints get while they hold
	// more than a third of a region's slots, as after the loss of a zone.
	minColdShare = 0.5
	// busy is the part of the slots in use from which a region is short of them.
	busy = 0.9
	// recent is the weight of a new sample in the mean duration of attempts.
	recent = 0.05
)

// Candidate is an endpoint that may get work.
type Candidate struct {
	Endpoint ident.Endpoint
	Address  string
	Region   ident.Region
	// Slots is how many requests the endpoint may run at once; while its cache is
	// cold, that is fewer than it has.
	Slots int
	// Load is the estimated number of requests that run or wait there.
	Load float64
	// Reported is that number by the last report alone.
	Reported float64
	// Long is the part of Load that is not urgent. What others have there is taken
	// to be divided like what this entry has in the region.
	Long float64
	// Weight, above 0 and up to 1, is the share of work that the endpoint deserves
	// by its speed and the state of its cache.
	Weight float64
	// Mine is the number of this entry's attempts in flight there.
	Mine int
	// Cold says that the endpoint has become live within the last seconds.
	Cold bool
	// Warm says that the endpoint has reported prompt prefixes in its cache.
	Warm bool
	// Alone says that a suspect of this entry runs there and nothing else may.
	Alone bool
	// Probe says that the endpoint is slow and should get one request, to see
	// whether it has recovered.
	Probe bool
	// Duration is the usual duration of an attempt of the service in the region; 0
	// if unknown.
	Duration clock.Span

	prefixes map[ident.Prefix]bool
}

// Holds reports whether the endpoint has reported that its cache holds prefix p.
func (c *Candidate) Holds(p ident.Prefix) bool { return c.prefixes[p] }

// group holds the endpoints of one service in one region.
type group struct {
	service ident.Service
	region  ident.Region
	// model is what the endpoints must have loaded; "" if they need none.
	model string
	// endpoints is in order of name.
	endpoints []*endpoint
	// began counts the attempts that this entry has started.
	began int
	// duration is the mean duration of completed attempts in ms; 0 if there are none.
	duration float64
	// judged is when weights were last computed; 0 if they must be computed anew.
	judged clock.Time
	// built is when candidates was made, and changed says that it is out of date.
	built   clock.Time
	changed bool
	// candidates, slow and values are reused.
	candidates []Candidate
	slow       []*endpoint
	values     []float64
}

// add inserts e in order of name.
func (g *group) add(e *endpoint) {
	at := sort.Search(len(g.endpoints), func(i int) bool { return g.endpoints[i].name >= e.name })
	g.endpoints = slices.Insert(g.endpoints, at, e)
	g.judged = 0
	g.changed = true
}

// remove takes e out.
func (g *group) remove(e *endpoint) {
	if at := slices.Index(g.endpoints, e); at >= 0 {
		g.endpoints = slices.Delete(g.endpoints, at, at+1)
	}
	g.judged = 0
	g.changed = true
}

// lasted takes in the duration of a completed attempt.
func (g *group) lasted(s clock.Span) {
	if g.duration == 0 {
		g.duration = float64(s)
		return
	}
	g.duration += (float64(s) - g.duration) * recent
}

// Candidates returns the endpoints of a service in a region that may get work, in
// order of name. The slice is valid until the next call for the same service and
// region.
func (f *Fleet) Candidates(now clock.Time, s ident.Service, r ident.Region) []Candidate {
	g := f.find(s, r)
	if g == nil {
		return nil
	}
	if g.judged == 0 || now.Sub(g.judged) >= refresh {
		f.compare(now, g)
	}
	if g.changed || g.built != now {
		g.build(now, f.mix(g))
	}
	return g.candidates
}

// mix returns the part of others' work in g that is taken to be long: that of this
// entry's own attempts in its own region. What it sends to other regions is mostly
// long and says nothing about the work there.
func (f *Fleet) mix(g *group) float64 {
	if g.region != f.config.Region {
		if own := f.find(g.service, f.config.Region); own != nil {
			return own.share()
		}
	}
	return g.share()
}

// build makes the list of candidates anew; share is the part of others' work that is
// taken to be long.
func (g *group) build(now clock.Time, share float64) {
	g.built = now
	g.changed = false
	floor := g.floor(now)
	short := g.short()
	g.candidates = g.candidates[:0]
	for _, e := range g.endpoints {
		if e.state != Live || e.over(now) {
			continue
		}
		g.candidates = append(g.candidates, e.candidate(now, floor, share, short))
	}
}

// candidate returns e as a Candidate; floor is the least share of slots while cold
// and share the part of others' work that is taken to be long.
func (e *endpoint) candidate(now clock.Time, floor, share float64, short bool) Candidate {
	cold := max(floor, e.cold(now))
	return Candidate{
		Endpoint: e.name,
		Address:  e.address,
		Region:   e.region,
		Slots:    e.capacity(now, floor),
		Load:     e.estimate(),
		Reported: e.load,
		Long:     float64(e.long) + e.others*share,
		Weight:   e.slow.weight * cold,
		Mine:     len(e.attempts),
		Cold:     e.warming != 0,
		Warm:     len(e.prefixes) > 0,
		Alone:    e.alone > 0,
		Probe:    e.slow.due(now, e.group.began, short),
		Duration: clock.Span(e.group.duration),
		prefixes: e.prefixes,
	}
}

// short reports whether the endpoints that are not slow have hardly a free slot.
func (g *group) short() bool {
	load, slots := 0.0, 0.0
	for _, e := range g.endpoints {
		if e.state == Live && !e.slow.slowed {
			load += e.estimate()
			slots += float64(e.slots)
		}
	}
	return load >= busy*slots
}

// share returns the part of this entry's attempts in the group that is long.
func (g *group) share() float64 {
	long, all := 0, 0
	for _, e := range g.endpoints {
		long += e.long
		all += len(e.attempts)
	}
	if all == 0 {
		return 0
	}
	return float64(long) / float64(all)
}

// floor returns the least share of its slots that a cold endpoint may use.
func (g *group) floor(now clock.Time) float64 {
	cold, all := 0, 0
	for _, e := range g.endpoints {
		if e.state != Live {
			continue
		}
		all += e.slots
		if e.cold(now) < 1 {
			cold += e.slots
		}
	}
	if float64(cold) > maxRemoved*float64(all) {
		return minColdShare
	}
	return start
}

// compare updates the weights of g.
func (f *Fleet) compare(now clock.Time, g *group) {
	g.judged = now
	g.changed = true
	f.medians(g, func(s *slowness) *gauge { return &s.first[0] })
	f.medians(g, func(s *slowness) *gauge { return &s.first[1] })
	f.medians(g, func(s *slowness) *gauge { return &s.between })
	f.medians(g, func(s *slowness) *gauge { return &s.whole })
	g.slow = g.slow[:0]
	for _, e := range g.endpoints {
		e.slow.weight = 1
		if e.state != Live {
			continue
		}
		e.judge(now)
		if e.slow.slowed {
			g.slow = append(g.slow, e)
		}
	}
	g.weigh(now)
}

// medians sets the median of one gauge at the endpoints of g: that of the group or,
// with too few samples there, that of the service in all regions.
func (f *Fleet) medians(g *group, pick func(*slowness) *gauge) {
	g.values = g.values[:0]
	g.collect(g, pick)
	if len(g.values) < peers {
		g.values = g.values[:0]
		for _, o := range f.groups {
			if o.service == g.service {
				g.collect(o, pick)
			}
		}
	}
	known := len(g.values) >= peers
	median := 0.0
	if known {
		slices.Sort(g.values)
		median = g.values[(len(g.values)-1)/2]
	}
	for _, e := range g.endpoints {
		m := pick(&e.slow)
		m.known = known
		m.median = median
	}
}

// collect adds the means of the live endpoints of o to the values.
func (g *group) collect(o *group, pick func(*slowness) *gauge) {
	for _, e := range o.endpoints {
		if m := pick(&e.slow); m.count > 0 && e.state == Live {
			g.values = append(g.values, m.mean)
		}
	}
}

// weigh lowers the weights of slow endpoints, the slowest first, as far as the third
// of the region's capacity that weights may remove goes.
func (g *group) weigh(now clock.Time) {
	slices.SortFunc(g.slow, func(a, b *endpoint) int {
		if a.slow.ratio != b.slow.ratio {
			return int(math.Copysign(1, b.slow.ratio-a.slow.ratio))
		}
		return strings.Compare(string(a.name), string(b.name))
	})
	count, slots := g.removable(now)
	for _, e := range g.slow {
		if count <= 0 || slots <= 0 {
			return
		}
		size := float64(e.slots)
		want := size * (1 - max(probeWeight, math.Exp(-slowExponent*e.slow.ratio)))
		taken := min(want, slots)
		e.slow.weight = 1 - taken/size
		slots -= taken
		count--
	}
}

// removable returns how many endpoints and how many slots weights may remove. What
// cold caches hold back counts against it.
func (g *group) removable(now clock.Time) (count int, slots float64) {
	live, held := 0, 0
	missing := 0.0
	for _, e := range g.endpoints {
		if e.state != Live {
			continue
		}
		live++
		slots += float64(e.slots)
		if c := e.cold(now); c < 1 {
			held++
			missing += (1 - c) * float64(e.slots)
		}
	}
	return live/3 - held, slots*maxRemoved - missing
}

// Loads returns a summary of each service in the entry's region, in order of
// service. Waiting is left to the owner of the queue.
func (f *Fleet) Loads(now clock.Time) []news.Load {
	var loads []news.Load
	for _, g := range f.groups {
		if g.region != f.config.Region || len(g.endpoints) == 0 {
			continue
		}
		loads = append(loads, f.load(now, g))
	}
	return loads
}

// load returns the summary of one group.
func (f *Fleet) load(now clock.Time, g *group) news.Load {
	l := news.Load{Region: g.region, Service: g.service}
	free, excess := 0.0, 0.0
	for _, c := range f.Candidates(now, g.service, g.region) {
		l.Slots += c.Slots
		excess += max(0, c.Load-float64(c.Slots))
		if c.Weight >= minColdShare && !c.Alone {
			free += max(0, float64(c.Slots)-c.Load)
		}
	}
	l.Free = int(free)
	if l.Free == 0 && l.Slots > 0 {
		l.Wait = clock.Span(g.duration * (excess + 1) / float64(l.Slots))
	}
	return l
}
