package pool

import (
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// defaultRate is how many prompt tokens an engine is taken to read in a ms until prompts
	// have been seen. A sample needs rateTokens, counts rateWeight, and may differ from the
	// estimate by rateBound times.
	defaultRate = 40.0
	rateTokens  = 2000
	rateWeight  = 0.03
	rateBound   = 2.0
	// readWeight weighs the reading of a prompt against waiting: it also holds up the other
	// requests of the endpoint, and what is read again displaces what others need.
	readWeight = 3.0
	// pressureSpan is the mean backlog of reading, in ms, at which reading weighs twice as
	// much, and maxPressure bounds that factor: the busier the engines, the less is read again.
	pressureSpan = 100.0
	maxPressure  = 4.0
	// companyCost is by how many ms each request on an engine slows a new one, for comparing endpoints.
	companyCost = 2.0
	// companyShare is the part of the time that the reading of a prompt takes which counts for
	// each other request on the engine: their streams pause meanwhile.
	companyShare = 0.2
	// backlogShare is the part of the time that the prompts ahead take to read which counts as
	// pauses of the new request's own stream.
	backlogShare = 0.3
	// homeShare and spareShare are the parts of the shared prompt that count as missing at the
	// endpoints that all instances prefer for it, first and second; nearShare is the part at
	// the one that is preferred in this region.
	homeShare  = 0.25
	spareShare = 0.6
	nearShare  = 0.8
	// memoryShare is how much of an engine's memory running requests may take before a new
	// one is expected to wait.
	memoryShare = 0.9
	// memoryPenalty is the least wait at an endpoint without memory, by the mean time that a
	// request takes.
	memoryPenalty = 0.25
	// connectionShare is the part of an endpoint's connections that is used; the rest are kept
	// ones and health checks.
	connectionShare = 0.8
	// coldShare is the part of the rate of a cold endpoint that its owner uses, so that two
	// instances that both take themselves for the owner stay below the bound.
	coldShare = 0.7
	// meanWeight is the weight of the newest request in the means of a service, firstBound by
	// how many times it may exceed the mean time to the first byte, and calmPace the pace of an
	// endpoint above which it doesn't count there.
	meanWeight = 0.02
	firstBound = 4
	calmPace   = 1.2
	// ejectSpan is how long a failing endpoint is left out at first, maxEject at most.
	ejectSpan = 1500 * clock.Millisecond
	maxEject  = 12 * clock.Second
	// ejectRatio is the failure ratio above which an endpoint is left out, and ejectFactor
	// by how much it must exceed the mean of its service.
	ejectRatio  = 0.35
	ejectFactor = 2.0
	// ejectResults is the least number of results before an endpoint is left out.
	ejectResults = 5
	// ejectPart is the largest part of a region's endpoints that is left out.
	ejectPart = 3
)

// Plan is what the placing of a request rests on at one time.
type Plan struct {
	Ask
	// Home is the region of the endpoint that is preferred for the prompt's shared parts among
	// all regions, or "" without such parts.
	Home  ident.Region
	homes [2]*endpoint
	// works is the work on the endpoints of this region, in their order.
	works []work
	// weight weighs reading against waiting.
	weight float64
}

// Plan prepares the placing of a request.
func (p *Pool) Plan(now clock.Time, a Ask) Plan {
	s := p.service(a.Service)
	l := Plan{Ask: a, homes: preferred(s.all, a), works: make([]work, len(s.local)), weight: readWeight}
	if best := l.homes[0]; best != nil && a.Engine {
		l.Home = best.Region
	}
	behind := ident.Tokens(0)
	for i, e := range s.local {
		l.works[i] = e.work(now)
		behind += l.works[i].reading.total()
	}
	if len(s.local) > 0 {
		ms := float64(behind) / s.rate / float64(len(s.local))
		l.weight = readWeight * min(maxPressure, 1+ms/pressureSpan)
	}
	return l
}

// Choose returns the endpoint of this region with the least expected delay. It returns
// false if there is none. The plan must be of the same moment.
func (p *Pool) Choose(now clock.Time, l Plan) (found Choice, ok bool) {
	s := p.service(l.Service)
	near := preferred(s.local, l.Ask)[0]
	lowest := 0.0
	p.turn++
	for n := range s.local {
		i := (n + int(p.turn%uint64(len(s.local)))) % len(s.local)
		e := s.local[i]
		if !p.eligible(now, e, l.Ask) {
			continue
		}
		c, cost := s.judge(now, e, l.works[i], l, l.share(e, near))
		if !ok || cost < lowest {
			found, ok, lowest = c, true, cost
		}
	}
	return found, ok
}

// share is the part of the shared prompt that counts as missing at an endpoint if this
// instance does not know it to be there.
func (l *Plan) share(e, near *endpoint) float64 {
	switch e {
	case l.homes[0]:
		return homeShare
	case l.homes[1]:
		return spareShare
	case near:
		return nearShare
	}
	return 1
}

func (p *Pool) eligible(now clock.Time, e *endpoint, a Ask) bool {
	if !e.usable(now) || p.evacuated[e.Zone] || now.Before(e.fullUntil) || slices.Contains(a.Avoid, e.ID) {
		return false
	}
	if a.Connections > 0 && len(e.sends) >= p.connections(a) {
		return false
	}
	if !e.cold(now) || a.ColdRate <= 0 {
		return true
	}
	return p.owns(e) && !now.Before(e.coldNext)
}

// connections is this instance's part of the connections that an endpoint takes. The
// endpoint resets those beyond, with the requests on them.
func (p *Pool) connections(a Ask) int {
	return max(1, int(connectionShare*float64(a.Connections))/max(1, len(p.members)))
}

// owns reports whether this instance alone may send to a cold endpoint. The others can't
// know how much it sends.
func (p *Pool) owns(e *endpoint) bool {
	if !p.settled {
		return false
	}
	owner := watch.Watchers(string(e.ID), p.members, 1)
	return len(owner) == 1 && owner[0] == p.c.Self
}

// preferred returns the two endpoints that all instances prefer for a prompt's shared
// parts, so that these are read once.
func preferred(among []*endpoint, a Ask) (best [2]*endpoint) {
	key := shared(a.Parts)
	if key == 0 {
		return best
	}
	text := strconv.FormatUint(key, 16)
	var highest [2]uint64
	for _, e := range among {
		if e.Leaving || e.gone || len(a.Homes) > 0 && !slices.Contains(a.Homes, e.Region) {
			continue
		}
		h := xxhash.Sum64String(text + string(e.ID))
		switch {
		case best[0] == nil || h > highest[0]:
			best[0], best[1] = e, best[0]
			highest[0], highest[1] = h, highest[0]
		case best[1] == nil || h > highest[1]:
			best[1], highest[1] = e, h
		}
	}
	return best
}

// Elsewhere estimates the wait, the delay and the cost of a request in another region by
// what that tells of itself. The delay and the cost contain the wait.
func (p *Pool) Elsewhere(l Plan, region ident.Region, sum Summary) (wait, delay, cost clock.Span) {
	s := p.service(l.Service)
	if !l.Engine {
		return sum.Wait, sum.Wait + clock.Span(s.first), sum.Wait + clock.Span(s.first)
	}
	ahead, stretch := Expand(sum.Reading).delay(rank(l.Priority), s.rate)
	wait = sum.Wait + clock.Span(ahead)
	missing := float64(l.Prompt)
	if region == l.Home {
		missing -= float64(sharedTokens(l.Parts)) * (1 - homeShare)
	}
	read := missing / s.rate
	return wait, wait + clock.Span(s.first+read*stretch), wait + clock.Span(s.first+read*l.weight)
}

// judge estimates what a request would meet at an endpoint. The cost also counts what the
// request does to others there. share is the part of the shared prompt that counts as
// missing if this instance does not know it to be there.
func (s *service) judge(now clock.Time, e *endpoint, w work, a Plan, share float64) (Choice, float64) {
	c := Choice{Endpoint: e.ID, Address: e.Address}
	pace := e.paceNow(now)
	wait := s.wait(now, e, w)
	if !a.Engine {
		delay := wait + s.first*pace
		c.Wait, c.Delay, c.Cost = clock.Span(wait), clock.Span(delay), clock.Span(delay)
		return c, delay
	}
	c.Missing = max(0, a.Prompt-e.cache.has(a.Parts))
	missing := float64(c.Missing) - (1-share)*min(float64(c.Missing), float64(sharedTokens(a.Parts)))
	need := w.holding + c.Missing + a.Output
	if limit := float64(a.Memory) * memoryShare; limit > 0 && float64(need) > limit {
		wait += s.hold * (float64(need)/limit - 1 + memoryPenalty)
	}
	ahead, stretch := w.reading.delay(rank(a.Priority), s.rate)
	delay := wait + (ahead+missing/s.rate*stretch+s.first)*pace
	behind := float64(w.reading.total()) / s.rate * backlogShare
	company := float64(w.count) * (companyCost + missing/s.rate*companyShare)
	cost := wait + (ahead+s.first+behind+missing/s.rate*a.weight)*pace + company
	c.Wait, c.Delay, c.Cost = clock.Span(wait+ahead*pace), clock.Span(delay), clock.Span(cost)
	return c, cost
}

// wait is the expected time until a slot is free, in ms.
func (s *service) wait(now clock.Time, e *endpoint, w work) float64 {
	over := w.count + 1 - max(1, e.Slots)
	if over <= 0 {
		return 0
	}
	return float64(over) * s.hold * e.paceNow(now) / float64(max(1, e.Slots))
}

// Begin records that a request is sent to its choice.
func (p *Pool) Begin(now clock.Time, a Ask, c Choice) *Send {
	e := p.endpoints[c.Endpoint]
	if e == nil {
		e = newEndpoint(Info{ID: c.Endpoint, Service: a.Service})
		e.gone = true
	}
	s := &Send{endpoint: e, ask: a, choice: c, began: now}
	e.sends[s] = struct{}{}
	if a.Engine {
		e.reading[rank(a.Priority)] += c.Missing
		e.holding += c.Missing + a.Output
		e.cache.use(a.Parts, a.Memory)
	}
	if e.cold(now) && a.ColdRate > 0 {
		e.coldNext = now.Add(clock.Span(float64(clock.Second) / (a.ColdRate * coldShare)))
	}
	return s
}

// First records the first byte of the answer.
func (p *Pool) First(now clock.Time, s *Send) {
	if s.answered {
		return
	}
	s.answered = true
	e := s.endpoint
	if s.ask.Engine {
		e.reading[rank(s.ask.Priority)] -= s.choice.Missing
	}
	took := now.Sub(s.began)
	if s.choice.Wait == 0 && e.paceNow(now) <= calmPace {
		v := p.service(s.ask.Service)
		base := float64(took)
		if s.ask.Engine {
			v.learnRate(float64(s.choice.Missing), base)
			base -= float64(s.choice.Missing) / v.rate
		}
		v.first += meanWeight * (min(max(base, 1), firstBound*v.first) - v.first)
	}
}

// learnRate takes the time that the reading of a prompt took with nothing ahead of it.
func (s *service) learnRate(tokens, ms float64) {
	if tokens < rateTokens || ms <= s.first {
		return
	}
	sample := min(rateBound*s.rate, max(s.rate/rateBound, tokens/(ms-s.first)))
	s.rate += rateWeight * (sample - s.rate)
}

// End records how a send ended.
func (p *Pool) End(now clock.Time, s *Send, o Outcome) {
	e := s.endpoint
	if _, ok := e.sends[s]; !ok {
		return
	}
	delete(e.sends, s)
	if s.ask.Engine {
		if !s.answered {
			e.reading[rank(s.ask.Priority)] -= s.choice.Missing
		}
		e.holding -= s.choice.Missing + s.ask.Output
	}
	switch o {
	case Done:
		e.result(false)
		v := p.service(s.ask.Service)
		v.hold += meanWeight * (float64(now.Sub(s.began)-s.choice.Wait) - v.hold)
		v.hold = max(v.hold, 1)
	case Full:
		e.fullUntil = now.Add(fullPause)
	case Moved, Unreachable, Broken:
		e.suspect = true
		e.result(o != Moved)
	case Failed, Late:
		e.result(true)
	}
	p.judgeFailures(now, e)
}

// judgeFailures leaves an endpoint out that fails much more often than its peers.
func (p *Pool) judgeFailures(now clock.Time, e *endpoint) {
	if e.failures < ejectRatio || e.results < ejectResults {
		return
	}
	s := p.service(e.Service)
	sum, out := 0.0, 0
	for _, o := range s.local {
		if o != e {
			sum += o.failures
		}
		if now.Before(o.ejectedUntil) {
			out++
		}
	}
	others := len(s.local) - 1
	if others < 1 || out+1 > len(s.local)/ejectPart || e.failures < ejectFactor*sum/float64(others) {
		return
	}
	e.ejectedUntil = now.Add(min(maxEject, ejectSpan<<min(e.ejections, 4)))
	e.ejections++
	e.failures, e.results = 0, 0
}
