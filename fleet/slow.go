package fleet

import (
	"math"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// gain is the weight of a new sample in a mean. With it the third of three
	// samples that are 5 times too long makes an endpoint slow.
	gain = 0.25
	// regain is the same for samples of a slow endpoint, which has only probes.
	regain = 0.5
	// enough is how many samples make a judgement.
	enough = 3
	// measurable is how many tokens, or how much time, make a sample between tokens.
	measurable ident.Tokens = 8
	stalled                 = 2 * clock.Second
	// probing is the shortest time between two probes of a slow endpoint.
	probing = 2 * clock.Second
	// patience is the time after which a probe is sent whatever the traffic.
	patience = 30 * clock.Second
	// sparing is how many attempts the group starts from one probe to the next.
	sparing = 100
)

// Ratios to the median of the peers, as logarithms. Logarithms keep one straggler
// from making an endpoint look slow.
var (
	// enter is the ratio at which an endpoint becomes slow, leave that at which it recovers.
	enter = math.Log(2.2)
	leave = math.Log(1.5)
	// overdue is the ratio from which an attempt that waits for a token counts.
	overdue = math.Log(1.5)
	// highest and lowest bound a sample.
	highest = math.Log(6)
	lowest  = -math.Log(4)
	// behind is the ratio of the time since the first token to the usual whole time.
	behind = 3.0
)

// gauge is an exponentially weighted mean of logarithms.
type gauge struct {
	mean  float64
	count int
	// median is that of the peers when last compared; known says that there is one.
	median float64
	known  bool
}

// add takes in a sample.
func (g *gauge) add(x, rate float64) {
	v := math.Log(max(x, 0.01))
	if g.known {
		v = min(max(v, g.median+lowest), g.median+highest)
	}
	g.count++
	if g.count == 1 && !g.known {
		g.mean = v
		return
	}
	if g.count == 1 {
		g.mean = g.median
	}
	g.mean += (v - g.mean) * rate
}

// ratio returns the logarithm of the ratio to the median.
func (g *gauge) ratio() float64 {
	if !g.known || g.count == 0 {
		return 0
	}
	return g.mean - g.median
}

// slowness is what is known of an endpoint's speed.
type slowness struct {
	// first has the times to the first token of urgent and of other work.
	first [2]gauge
	// between has the times between tokens.
	between gauge
	// whole has the ratios of the time after the first token to the expected size.
	whole gauge
	// slowed says that the endpoint is slow; ratio is the last comparison.
	slowed bool
	ratio  float64
	weight float64
	// next and turn are the time and the number of attempts of the group from which
	// the next probe is due; late is when it is due whatever that number.
	next clock.Time
	turn int
	late clock.Time
}

func newSlowness() slowness { return slowness{weight: 1} }

// kind returns the gauge index of an attempt's times to the first token.
func (r *attempt) kind() int {
	if r.Long {
		return 1
	}
	return 0
}

// scale returns what an attempt's time to the first token is divided by. Size
// covers the prompt and the answer, and only the prompt delays the first token, so
// the time is taken to grow with the root of it.
func (r *attempt) scale() float64 {
	if r.Size <= 0 {
		return 1
	}
	return math.Sqrt(float64(r.Size))
}

// rate returns the weight of the next sample.
func (s *slowness) rate() float64 {
	if s.slowed {
		return regain
	}
	return gain
}

// began records a dispatch when the group has started count attempts.
func (s *slowness) began(now clock.Time, count int, jitter float64) {
	if s.slowed {
		s.wait(now, count, jitter)
	}
}

// wait puts off the next probe.
func (s *slowness) wait(now clock.Time, count int, jitter float64) {
	s.next = now.Add(probing + clock.Span(jitter*float64(probing)))
	s.late = now.Add(patience)
	s.turn = count + sparing
}

// due reports whether a slow endpoint should get a probe.
func (s *slowness) due(now clock.Time, count int) bool {
	if !s.slowed || s.weight >= 1 || now.Before(s.next) {
		return false
	}
	return count >= s.turn || !now.Before(s.late)
}

// opened takes in the time to the first token of r. A probe that was quick lets
// the next one follow at once, so that recovery takes few of them.
func (s *slowness) opened(r *attempt, took clock.Span) {
	g := &s.first[r.kind()]
	x := float64(took) / r.scale()
	g.add(x, s.rate())
	if s.slowed && g.known && math.Log(max(x, 0.01))-g.median < leave {
		s.next = 0
		s.turn = 0
	}
}

// closed takes in a completed attempt.
func (s *slowness) closed(r *attempt, now clock.Time, tokens ident.Tokens) {
	if r.first == 0 {
		s.opened(r, now.Sub(r.began))
		return
	}
	if n := tokens - r.tokens; n >= measurable {
		s.between.add(float64(now.Sub(r.moved))/float64(n), s.rate())
	}
	if r.Size > 0 && tokens > 1 {
		s.whole.add(float64(now.Sub(r.first))/float64(r.Size), s.rate())
	}
}

// given takes in an attempt that was given up: if it waited longer than usual for
// its first token, the wait is a sample that is too low, but better than none.
func (s *slowness) given(r *attempt, now clock.Time) {
	if r.first != 0 {
		return
	}
	g := &s.first[r.kind()]
	x := float64(now.Sub(r.began)) / r.scale()
	if g.known && math.Log(max(x, 0.01)) > max(g.mean, g.median+overdue) {
		g.add(x, s.rate())
	}
}

// judge compares the endpoint with its peers and updates slowed. The medians in the
// gauges must be up to date.
func (e *endpoint) judge(now clock.Time) {
	s := &e.slow
	s.ratio = max(e.waiting(now, 0), e.waiting(now, 1))
	if s.between.count >= enough {
		s.ratio = max(s.ratio, s.between.ratio())
	}
	s.ratio = max(s.ratio, e.straggling(now))
	switch {
	case !s.slowed && s.ratio >= enter:
		s.slowed = true
		s.wait(now, e.group.began, 0)
	case s.slowed && s.ratio < leave:
		s.slowed = false
	}
}

// waiting returns the ratio of times to the first token of one kind, in which the
// attempts that are overdue count with their age.
func (e *endpoint) waiting(now clock.Time, kind int) float64 {
	g := &e.slow.first[kind]
	if !g.known {
		return 0
	}
	v := g.ratio()
	count := g.count
	for _, r := range e.attempts {
		if r.first != 0 || r.kind() != kind {
			continue
		}
		age := math.Log(max(float64(now.Sub(r.began))/r.scale(), 0.01)) - g.median
		if age > max(v, overdue) {
			v += (min(age, highest) - v) * gain
			count++
		}
	}
	if count < enough {
		return 0
	}
	return v
}

// straggling returns the median ratio by which the attempts that receive tokens have
// outlasted the usual time, if most of them have; a few stragglers don't count.
func (e *endpoint) straggling(now clock.Time) float64 {
	g := &e.slow.whole
	if !g.known {
		return 0
	}
	usual := math.Exp(g.median)
	open, late := 0, 0
	least := math.Inf(1)
	for _, r := range e.attempts {
		if r.first == 0 || r.Size <= 0 || r.tokens > 1 {
			continue
		}
		open++
		if x := float64(now.Sub(r.first)) / float64(r.Size) / usual; x > behind {
			late++
			least = min(least, x)
		}
	}
	if late < enough || 2*late <= open {
		return 0
	}
	return min(math.Log(least), highest)
}
