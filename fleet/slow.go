package fleet

import (
	"math"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// sampleWeight is the weight of a new sample in a mean. With 0.25, three consecutive
	// samples that are 5 times too long mark an endpoint as slow.
	sampleWeight = 0.25
	// recoverySampleWeight is the weight for slow endpoints, which get samples only from probes.
	recoverySampleWeight = 0.5
	// minSamples is the number of samples required to compare an endpoint with its peers.
	minSamples = 3
	// minSample is the lower bound of a sample, so that its logarithm exists.
	minSample = 0.01
	// minTokens or maxSampleTime must be reached for a sample of the time between tokens.
	minTokens     ident.Tokens = 8
	maxSampleTime              = 2 * clock.Second
	// minProbeInterval is the minimum time between two probes of a slow endpoint.
	minProbeInterval = 4 * clock.Second
	// maxProbeInterval is the time after which a probe is due regardless of traffic.
	maxProbeInterval = 60 * clock.Second
	// probeAttempts is the number of attempts that the group starts between two probes.
	// With 100, the probes of a single slow endpoint made up the slowest hundredth of a
	// region's requests.
	probeAttempts = 200
)

// Ratios to the median of the peers, as natural logarithms except for stragglerRatio.
// Logarithms keep a single outlier from marking an endpoint as slow.
var (
	// slowLogRatio marks an endpoint as slow; below recoveredLogRatio it has recovered.
	slowLogRatio      = math.Log(2.2)
	recoveredLogRatio = math.Log(1.5)
	// overdueLogRatio is the ratio from which an attempt waiting for its first token counts.
	overdueLogRatio = math.Log(1.5)
	// maxLogRatio and minLogRatio bound a sample.
	maxLogRatio = math.Log(6)
	minLogRatio = -math.Log(4)
	// stragglerRatio is the ratio of the time since the first token to the median time
	// after the first token, from which an attempt counts as a straggler.
	stragglerRatio = 3.0
)

// gauge is an exponentially weighted mean of logarithms.
type gauge struct {
	mean  float64
	count int
	// median is the median of the peers at the last comparison; hasMedian is set if there
	// was one.
	median    float64
	hasMedian bool
}

// add adds a sample with the given weight.
func (g *gauge) add(sample, weight float64) {
	logarithm := math.Log(max(sample, minSample))
	if g.hasMedian {
		logarithm = g.median + g.logRatio(sample)
	}
	g.count++
	if g.count == 1 && !g.hasMedian {
		g.mean = logarithm
		return
	}
	if g.count == 1 {
		g.mean = g.median
	}
	g.mean += (logarithm - g.mean) * weight
}

// logRatio returns the logarithm of the ratio of sample to the median, clamped to the bounds.
func (g *gauge) logRatio(sample float64) float64 {
	return min(max(math.Log(max(sample, minSample))-g.median, minLogRatio), maxLogRatio)
}

// meanLogRatio returns the logarithm of the ratio of the mean to the median.
func (g *gauge) meanLogRatio() float64 {
	if !g.hasMedian || g.count == 0 {
		return 0
	}
	return g.mean - g.median
}

// speedStats holds the speed measurements of an endpoint and its probe schedule.
type speedStats struct {
	// firstToken has the times to the first token of urgent and of other work.
	firstToken [2]gauge
	// firstTokenRatio is the mean log ratio of these times to the median of the peers for
	// the same kind of work, over firstTokenSamples samples. It covers both kinds, so that
	// a probe of one kind can clear an endpoint that was slow with the other.
	firstTokenRatio   float64
	firstTokenSamples int
	// betweenTokens has the times between tokens.
	betweenTokens gauge
	// afterFirstToken has the ratios of the time after the first token to the expected duration.
	afterFirstToken gauge
	// slow is set while the endpoint is slow; ratio is the log ratio of the last comparison.
	slow   bool
	ratio  float64
	weight float64
	// probeAfter is when the next probe is due once the group has started probeAtCount
	// attempts, and at probeBy regardless of that count.
	probeAfter   clock.Time
	probeAtCount int
	probeBy      clock.Time
}

func newSpeedStats() speedStats { return speedStats{weight: 1} }

// gaugeIndex returns the index in speedStats.firstToken for the attempt.
func (a *attempt) gaugeIndex() int {
	if a.Long {
		return 1
	}
	return 0
}

// firstTokenScale returns the divisor that normalises the time to the first token. ExpectedDuration
// covers the prompt and the answer, and only the prompt delays the first token, so the
// time is assumed to grow with the square root of ExpectedDuration.
func (a *attempt) firstTokenScale() float64 {
	if a.ExpectedDuration <= 0 {
		return 1
	}
	return math.Sqrt(float64(a.ExpectedDuration))
}

// nextSampleWeight returns the weight of the next sample.
func (s *speedStats) nextSampleWeight() float64 {
	if s.slow {
		return recoverySampleWeight
	}
	return sampleWeight
}

// attemptStarted records a dispatch; count is the number of attempts that the group has
// started.
func (s *speedStats) attemptStarted(now clock.Time, count int, jitter float64) {
	if s.slow {
		s.delayProbe(now, count, jitter)
	}
}

// delayProbe postpones the next probe.
func (s *speedStats) delayProbe(now clock.Time, count int, jitter float64) {
	s.probeAfter = now.Add(minProbeInterval + clock.Span(jitter*float64(minProbeInterval)))
	s.probeBy = now.Add(maxProbeInterval)
	s.probeAtCount = count + probeAttempts
}

// probeDue reports whether a slow endpoint should receive a probe. If the region is near
// its capacity, a probe is due after a short time whatever the number of attempts: the
// endpoint may be the missing capacity.
func (s *speedStats) probeDue(now clock.Time, count int, nearCapacity bool) bool {
	if !s.slow || s.weight >= 1 || now.Before(s.probeAfter) {
		return false
	}
	return nearCapacity && !now.Before(s.probeAfter.Add(2*minProbeInterval)) || count >= s.probeAtCount || !now.Before(s.probeBy)
}

// recordFirstToken adds the time to the first token of an attempt.
func (s *speedStats) recordFirstToken(attempt *attempt, took clock.Span) {
	gauge := &s.firstToken[attempt.gaugeIndex()]
	sample := float64(took) / attempt.firstTokenScale()
	if attempt.delayExpected && gauge.hasMedian && gauge.logRatio(sample) > overdueLogRatio {
		return
	}
	s.addFirstToken(gauge, sample)
	s.probeSoon(gauge, sample)
}

// probeSoon makes the next probe due at once if a sample of a slow endpoint was not slow,
// which shortens the recovery.
func (s *speedStats) probeSoon(gauge *gauge, sample float64) {
	if s.slow && gauge.hasMedian && gauge.logRatio(sample) < slowLogRatio {
		s.probeAfter = 0
		s.probeAtCount = 0
	}
}

// addFirstToken adds a time to the first token, already scaled, to gauge.
func (s *speedStats) addFirstToken(gauge *gauge, sample float64) {
	gauge.add(sample, s.nextSampleWeight())
	if !gauge.hasMedian {
		return
	}
	s.firstTokenRatio += (gauge.logRatio(sample) - s.firstTokenRatio) * s.nextSampleWeight()
	s.firstTokenSamples++
}

// recordCompletion adds the samples of a completed attempt.
func (s *speedStats) recordCompletion(attempt *attempt, now clock.Time, tokens ident.Tokens) {
	if attempt.firstTokenAt == 0 {
		s.recordFirstToken(attempt, now.Sub(attempt.startedAt))
		return
	}
	if count := tokens - attempt.tokens; count >= minTokens {
		sample := float64(now.Sub(attempt.progressAt)) / float64(count)
		s.betweenTokens.add(sample, s.nextSampleWeight())
		s.probeSoon(&s.betweenTokens, sample)
	}
	if attempt.ExpectedDuration > 0 && tokens > 1 {
		s.afterFirstToken.add(float64(now.Sub(attempt.firstTokenAt))/float64(attempt.ExpectedDuration), s.nextSampleWeight())
	}
}

// recordCancellation handles a cancelled attempt. If it had waited unusually long for its
// first token, the wait is added as a sample: it understates the delay, but is better
// than none.
func (s *speedStats) recordCancellation(attempt *attempt, now clock.Time) {
	if attempt.firstTokenAt != 0 || attempt.delayExpected {
		return
	}
	gauge := &s.firstToken[attempt.gaugeIndex()]
	sample := float64(now.Sub(attempt.startedAt)) / attempt.firstTokenScale()
	if gauge.hasMedian && gauge.logRatio(sample) > max(s.firstTokenRatio, overdueLogRatio) {
		s.addFirstToken(gauge, sample)
	}
}

// updateSlow compares the endpoint with its peers and updates slow. The medians in the
// gauges must be up to date.
func (e *endpoint) updateSlow(now clock.Time) {
	stats := &e.speed
	stats.ratio = e.firstTokenLogRatio(now)
	if stats.betweenTokens.count >= minSamples {
		stats.ratio = max(stats.ratio, stats.betweenTokens.meanLogRatio())
	}
	stats.ratio = max(stats.ratio, e.stragglerLogRatio(now))
	switch {
	case !stats.slow && stats.ratio >= slowLogRatio:
		stats.slow = true
		stats.delayProbe(now, e.group.attemptsStarted, 0)
	case stats.slow && stats.ratio < recoveredLogRatio:
		stats.slow = false
	}
}

// firstTokenLogRatio returns the mean log ratio of times to the first token. Overdue
// attempts count with their current age.
func (e *endpoint) firstTokenLogRatio(now clock.Time) float64 {
	ratio := e.speed.firstTokenRatio
	count := e.speed.firstTokenSamples
	for _, r := range e.attempts {
		gauge := &e.speed.firstToken[r.gaugeIndex()]
		if r.firstTokenAt != 0 || r.delayExpected || !gauge.hasMedian {
			continue
		}
		age := gauge.logRatio(float64(now.Sub(r.startedAt)) / r.firstTokenScale())
		if age > max(ratio, overdueLogRatio) {
			ratio += (age - ratio) * sampleWeight
			count++
		}
	}
	if count < minSamples {
		return 0
	}
	return ratio
}

// stragglerLogRatio returns the smallest log ratio by which stragglers exceed the median
// time after the first token, or 0 unless most attempts that receive tokens are
// stragglers; a few do not count.
func (e *endpoint) stragglerLogRatio(now clock.Time) float64 {
	gauge := &e.speed.afterFirstToken
	if !gauge.hasMedian {
		return 0
	}
	median := math.Exp(gauge.median)
	open, stragglers := 0, 0
	smallest := math.Inf(1)
	for _, r := range e.attempts {
		if r.firstTokenAt == 0 || r.ExpectedDuration <= 0 || r.tokens > 1 {
			continue
		}
		open++
		if ratio := float64(now.Sub(r.firstTokenAt)) / float64(r.ExpectedDuration) / median; ratio > stragglerRatio {
			stragglers++
			smallest = min(smallest, ratio)
		}
	}
	if stragglers < minSamples || 2*stragglers <= open {
		return 0
	}
	return min(math.Log(smallest), maxLogRatio)
}
