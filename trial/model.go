package trial

import (
	"math"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

const (
	// speed divides the times of the model, with the same factor at both deployments.
	speed = 5
	// slots is the number of slots of all engines together. With 72 slots and the
	// gap below, a steady run generates about 5,900 tokens a second and a peak 7,500,
	// which the machine carries without delaying the timers of the stand-ins.
	slots = 72
	// gap and prefill are the engine's times per token before compression.
	gap     = 40 * time.Millisecond
	prefill = 250 * time.Microsecond
	// average is the mean share of a region's slots in use. A cosine of that height
	// times amplitude brings a region to 1.07 of its capacity at its daily peak.
	average   = 0.65
	amplitude = 0.65
	// hot is the load of the region at its peak in case Peak, in shares of its
	// capacity; calm is that of the others, and its own before and after.
	hot  = 1.5
	calm = 0.5
	// shortShare is the part of the engines' slot time that goes to questions.
	shortShare = 0.4
	// plainRate is the number of orders a second of one region, and that of lookups.
	plainRate = 2.0
	// boundShare is the share of requests bound to a home.
	boundShare = 0.27
	// stragglerShare of the completions are stragglerFactor times as long.
	stragglerShare  = 0.02
	stragglerFactor = 20
	// customers is the number of customers of one region.
	customers = 6
	// prefixWords is the length of the text that the drafts of a customer share, in
	// whole blocks of the engines' caches. It makes 77 ms of prefill after compression
	// by 5, about 3 in 100 of a draft.
	prefixWords = 1536
	// draftWords is the part of a draft's prompt that is its own.
	draftWords = 120
	// shortLimit is the answer limit that questions carry, that of their class.
	shortLimit ident.Tokens = 256
	// maxWarm is the longest warm-up.
	maxWarm = 3 * time.Second
	// slowFactor slows the engines of case Slowed.
	slowFactor = 5
)

// Answer lengths in tokens of questions and drafts; stragglers are longer.
var (
	questionTokens = span{20, 80}
	draftTokens    = span{200, 400}
)

// span is a range of whole numbers with equal probability.
type span struct{ least, most int }

func (s span) mean() float64 { return float64(s.least+s.most) / 2 }

// model is the load of one trial: who sends how much when, and what the endpoints
// can take. Times are those of the run, after compression, from its measured start.
type model struct {
	kind    Case
	regions int
	length  time.Duration
	// capacity is the number of slots of one region.
	capacity float64
	// engines is the number of engines of one region.
	engines      int
	gap, prefill time.Duration
	// patience is how long long work may wait.
	patience time.Duration
}

// newModel returns the model of a case at a deployment with the given number of
// engines in all.
func newModel(c Case, regions, engines int, length time.Duration) *model {
	return &model{
		kind: c, regions: regions, length: length,
		capacity: slots / float64(regions), engines: engines / regions,
		gap: gap / speed, prefill: prefill / speed,
		patience: 8 * time.Second / speed, // the class's target for the first token
	}
}

func (m *model) warm() time.Duration { return min(maxWarm, m.length/4) }

// Regions with a part in a case, by their index.
const (
	hotRegion  = 1
	lostRegion = 1 // its daily peak falls in the middle of the loss
	cutRegion  = 2 // the platform lies in region 0
)

// slowedRegions have one slowed engine each.
var slowedRegions = [...]int{0, 1}

// load returns the demand of a region's callers in shares of its capacity.
func (m *model) load(region int, at time.Duration) float64 {
	if m.kind == Peak {
		if region == hotRegion && m.within(at, 0.25, 0.75) {
			return hot
		}
		return calm
	}
	part := max(0, float64(at)/float64(m.length))
	hour := (float64(region) + 0.5) / float64(m.regions)
	return average * (1 + amplitude*math.Cos(2*math.Pi*(part-hour)))
}

// highest is a bound of load.
func (m *model) highest() float64 {
	if m.kind == Peak {
		return hot
	}
	return average * (1 + amplitude)
}

// within reports whether a time lies between two parts of the run.
func (m *model) within(at time.Duration, from, to float64) bool {
	part := float64(at) / float64(m.length)
	return part >= from && part < to
}

// slotsAt returns the slots of a region that work at normal speed; a slowed one
// counts as a part of one.
func (m *model) slotsAt(region int, at time.Duration) float64 {
	engine := m.capacity / float64(m.engines)
	switch {
	case m.kind == Lost && region == lostRegion && m.within(at, 1.0/3, 2.0/3):
		return m.capacity - engine*float64(m.lost())
	case m.kind == Slowed && m.within(at, 0.25, math.Inf(1)) && (region == slowedRegions[0] || region == slowedRegions[1]):
		return m.capacity - engine*(1-1.0/slowFactor)
	}
	return m.capacity
}

// lost is the number of engines that case Lost crashes.
func (m *model) lost() int { return max(1, m.engines/3) }

// cut reports whether a region can't send work away.
func (m *model) cut(region int, at time.Duration) bool {
	return m.kind == Cutoff && region == cutRegion && m.within(at, 1.0/3, 2.0/3)
}

// longestDraft returns the most tokens of a straggler that arrives at a time: it
// may run to the end of the run or for a quarter of it, whatever is more.
func (m *model) longestDraft(at time.Duration) int {
	return int(max(m.length-max(0, at), m.length/4) / m.gap)
}

// rates returns how many questions and drafts a second make a load of 1 in a region.
func (m *model) rates() (questions, drafts float64) {
	short := m.slotTime(m.meanTokens(questionTokens, func(time.Duration) int { return int(shortLimit) }), questionWords)
	long := m.slotTime(m.meanTokens(draftTokens, m.longestDraft), draftWords)
	return m.capacity * shortShare / short.Seconds(), m.capacity * (1 - shortShare) / long.Seconds()
}

// meanTokens returns the mean answer length with stragglers over the whole run.
func (m *model) meanTokens(s span, limit func(time.Duration) int) float64 {
	const steps = 100
	straggler := 0.0
	for i := range steps {
		at := m.length * time.Duration(i) / steps
		straggler += min(stragglerFactor*s.mean(), float64(limit(at))) / steps
	}
	return (1-stragglerShare)*s.mean() + stragglerShare*straggler
}

// slotTime returns how long an engine needs for an answer after words of prompt
// that are not in its cache.
func (m *model) slotTime(tokens float64, words int) time.Duration {
	return time.Duration(tokens*float64(m.gap)) + time.Duration(words)*m.prefill
}

// stageConfig returns the deployment that carries out the model.
func stageConfig(cfg *Config, engines int) stage.Config {
	return stage.Config{
		Deployment: cfg.Deployment, Policy: cfg.Policy, Seed: cfg.Seed, Speed: speed,
		Slots: slots / engines, Gap: gap, Prefill: prefill, Lag: lag(cfg.Case), Log: cfg.Log,
	}
}
