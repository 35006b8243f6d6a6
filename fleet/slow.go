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
	// recoveryGain is the same for samples of a slow endpoint, which has only probes.
	recoveryGain = 0.5
	// minSamples is how many samples make a judgement.
	minSamples = 3
	// minSample is the least sample, so that it has a logarithm.
	minSample = 0.01
	// minTokens is how many tokens, or how much time, make a sample between tokens.
	minTokens     ident.Tokens = 8
	maxSampleTime              = 2 * clock.Second
	// minProbeInterval is the shortest time between two probes of a slow endpoint.
	minProbeInterval = 4 * clock.Second
	// maxProbeInterval is the time after which a probe is sent whatever the traffic.
	maxProbeInterval = 60 * clock.Second
	// probeAttempts is how many attempts the group starts from one probe to the next. With
	// 100, the probes of one slow endpoint alone were the slowest hundredth of a
	// region's work.
	probeAttempts = 200
)

// Ratios to the median of the peers, as logarithms. Logarithms keep one straggler
// from making an endpoint look slow.
var (
	// slowRatio is the ratio at which an endpoint becomes slow, recoveredRatio that at which it recovers.
	slowRatio      = math.Log(2.2)
	recoveredRatio = math.Log(1.5)
	// overdue is the ratio from which an attempt that waits for a token counts.
	overdue = math.Log(1.5)
	// highest and lowest bound a sample.
	highest = math.Log(6)
	lowest  = -math.Log(4)
	// overdueRatio is the ratio of the time since the first token to the usual whole time.
	overdueRatio = 3.0
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
	v := math.Log(max(x, minSample))
	if g.known {
		v = g.median + g.compare(x)
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

// compare returns the logarithm, within bounds, of the ratio of x to the median.
func (g *gauge) compare(x float64) float64 {
	return min(max(math.Log(max(x, minSample))-g.median, lowest), highest)
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
	// lag is the mean ratio of these times to the peers' median for work of the same
	// kind, over lags samples. It covers both kinds, so that a probe of one kind can
	// clear an endpoint that was slow with the other.
	lag  float64
	lags int
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
		return recoveryGain
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
	s.next = now.Add(minProbeInterval + clock.Span(jitter*float64(minProbeInterval)))
	s.late = now.Add(maxProbeInterval)
	s.turn = count + probeAttempts
}

// due reports whether a slow endpoint should get a probe. If the region is short of
// slots, the time alone decides: the endpoint may be the capacity that is missing.
func (s *slowness) due(now clock.Time, count int, short bool) bool {
	if !s.slowed || s.weight >= 1 || now.Before(s.next) {
		return false
	}
	return short && !now.Before(s.next.Add(2*minProbeInterval)) || count >= s.turn || !now.Before(s.late)
}

// opened takes in the time to the first token of r.
func (s *slowness) opened(r *attempt, took clock.Span) {
	g := &s.first[r.kind()]
	x := float64(took) / r.scale()
	if r.excused && g.known && g.compare(x) > overdue {
		return
	}
	s.sample(g, x)
	s.hurry(g, x)
}

// hurry makes the next probe due at once if the sample x of a slow endpoint was not
// slow, so that recovery takes little time.
func (s *slowness) hurry(g *gauge, x float64) {
	if s.slowed && g.known && g.compare(x) < slowRatio {
		s.next = 0
		s.turn = 0
	}
}

// sample takes in a time to the first token for gauge g.
func (s *slowness) sample(g *gauge, x float64) {
	g.add(x, s.rate())
	if !g.known {
		return
	}
	s.lag += (g.compare(x) - s.lag) * s.rate()
	s.lags++
}

// closed takes in a completed attempt.
func (s *slowness) closed(r *attempt, now clock.Time, tokens ident.Tokens) {
	if r.first == 0 {
		s.opened(r, now.Sub(r.began))
		return
	}
	if n := tokens - r.tokens; n >= minTokens {
		x := float64(now.Sub(r.moved)) / float64(n)
		s.between.add(x, s.rate())
		s.hurry(&s.between, x)
	}
	if r.Size > 0 && tokens > 1 {
		s.whole.add(float64(now.Sub(r.first))/float64(r.Size), s.rate())
	}
}

// given takes in an attempt that was given up: if it waited longer than usual for
// its first token, the wait is a sample that is too low, but better than none.
func (s *slowness) given(r *attempt, now clock.Time) {
	if r.first != 0 || r.excused {
		return
	}
	g := &s.first[r.kind()]
	x := float64(now.Sub(r.began)) / r.scale()
	if g.known && g.compare(x) > max(s.lag, overdue) {
		s.sample(g, x)
	}
}

// judge compares the endpoint with its peers and updates slowed. The medians in the
// gauges must be up to date.
func (e *endpoint) judge(now clock.Time) {
	s := &e.slow
	s.ratio = e.waiting(now)
	if s.between.count >= minSamples {
		s.ratio = max(s.ratio, s.between.ratio())
	}
	s.ratio = max(s.ratio, e.straggling(now))
	switch {
	case !s.slowed && s.ratio >= slowRatio:
		s.slowed = true
		s.wait(now, e.group.began, 0)
	case s.slowed && s.ratio < recoveredRatio:
		s.slowed = false
	}
}

// waiting returns the ratio of times to the first token, in which the attempts that
// are overdue count with their age.
func (e *endpoint) waiting(now clock.Time) float64 {
	v := e.slow.lag
	count := e.slow.lags
	for _, r := range e.attempts {
		g := &e.slow.first[r.kind()]
		if r.first != 0 || r.excused || !g.known {
			continue
		}
		age := g.compare(float64(now.Sub(r.began)) / r.scale())
		if age > max(v, overdue) {
			v += (age - v) * gain
			count++
		}
	}
	if count < minSamples {
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
		if x := float64(now.Sub(r.first)) / float64(r.Size) / usual; x > overdueRatio {
			late++
			least = min(least, x)
		}
	}
	if late < minSamples || 2*late <= open {
		return 0
	}
	return min(math.Log(least), highest)
}
