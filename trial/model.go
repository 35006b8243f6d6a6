package trial

import (
	"math"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

const (
	// timeCompression divides the times of the model; it is the same in both deployments.
	timeCompression = 5
	// totalSlots is the number of slots of all engines together. With 72 slots and the
	// tokenInterval below, a steady run generates about 5,900 tokens per second and a peak run
	// 7,500, which one machine sustains without delaying the timers of the fakes.
	totalSlots = 72
	// tokenInterval is an engine's time per answer token and prefillPerWord that per prompt
	// word, both before compression.
	tokenInterval  = 40 * time.Millisecond
	prefillPerWord = 250 * time.Microsecond
	// meanLoad is the mean share of a region's slots in use. A cosine with amplitude
	// meanLoad*loadAmplitude brings a region to 1.07 of its capacity at its daily peak.
	meanLoad      = 0.65
	loadAmplitude = 0.65
	// peakLoad is the load of peakRegion in the middle half of CasePeak, as a share of
	// its capacity; offPeakLoad is the load of the other regions and at other times.
	peakLoad    = 1.5
	offPeakLoad = 0.5
	// shortShare is the share of the engines' slot time that questions use.
	shortShare = 0.4
	// plainRate is the rate of orders, and of stock lookups, per second and region.
	plainRate = 2.0
	// homeShare is the share of requests that are bound to a home.
	homeShare = 0.27
	// stragglerShare is the share of completions that are stragglerFactor times as long.
	stragglerShare     = 0.02
	stragglerFactor    = 20
	customersPerRegion = 6
	// sharedPromptWords is the length of the prompt that the drafts of a customer share, a
	// multiple of the block size of the engines' prefix caches. Its prefill takes 77 ms
	// after compression by 5, about 3% of a draft.
	sharedPromptWords = 1536
	// ownDraftWords is the length of the unshared part of a draft's prompt.
	ownDraftWords = 120
	// questionTokenLimit is the answer limit of questions, equal to that of their class.
	questionTokenLimit ident.Tokens = 256
	maxWarmup                       = 3 * time.Second
	// slowFactor multiplies the times of the slowed engines in CaseSlowed.
	slowFactor = 5
)

// Answer lengths of questions and drafts in tokens; stragglers are longer.
var (
	questionTokens = tokenRange{20, 80}
	draftTokens    = tokenRange{200, 400}
)

// tokenRange is a uniform distribution of token counts, both bounds included.
type tokenRange struct{ minimum, maximum int }

func (r tokenRange) mean() float64 { return float64(r.minimum+r.maximum) / 2 }

// model is the load of one trial: the demand of each region over time and the capacity of
// the endpoints. Times are after compression and relative to the start of the
// measurement.
type model struct {
	scenario Case
	regions  int
	length   time.Duration
	// regionSlots and regionEngines are the numbers of slots and engines per region.
	regionSlots                   float64
	regionEngines                 int
	tokenInterval, prefillPerWord time.Duration
	// maxWait is the longest acceptable wait of long requests.
	maxWait time.Duration
}

// newModel returns the model of a case for a deployment; engines is the total number of
// engines.
func newModel(scenario Case, regions, engines int, length time.Duration) *model {
	return &model{
		scenario: scenario, regions: regions, length: length,
		regionSlots: totalSlots / float64(regions), regionEngines: engines / regions,
		tokenInterval: tokenInterval / timeCompression, prefillPerWord: prefillPerWord / timeCompression,
		maxWait: 8 * time.Second / timeCompression, // target of class long for the first token
	}
}

func (m *model) warmup() time.Duration { return min(maxWarmup, m.length/4) }

// Indices of the regions that a case affects.
const (
	peakRegion     = 1
	crashRegion    = 1 // its daily peak is in the middle of the loss
	isolatedRegion = 2 // the platform is in region 0
)

// slowedRegions have one slowed engine each.
var slowedRegions = [...]int{0, 1}

// demandShare returns the demand of a region's callers as a share of its capacity.
func (m *model) demandShare(region int, at time.Duration) float64 {
	if m.scenario == CasePeak {
		if region == peakRegion && m.between(at, 0.25, 0.75) {
			return peakLoad
		}
		return offPeakLoad
	}
	fraction := max(0, float64(at)/float64(m.length))
	hour := (float64(region) + 0.5) / float64(m.regions)
	return meanLoad * (1 + loadAmplitude*math.Cos(2*math.Pi*(fraction-hour)))
}

// maxDemandShare returns an upper bound of demandShare.
func (m *model) maxDemandShare() float64 {
	if m.scenario == CasePeak {
		return peakLoad
	}
	return meanLoad * (1 + loadAmplitude)
}

// between reports whether a time is in the half-open range of two fractions of the run.
func (m *model) between(at time.Duration, from, to float64) bool {
	fraction := float64(at) / float64(m.length)
	return fraction >= from && fraction < to
}

// usableSlots returns the slots of a region in units of slots at normal speed; a slowed
// slot counts as 1/slowFactor.
func (m *model) usableSlots(region int, at time.Duration) float64 {
	engine := m.regionSlots / float64(m.regionEngines)
	switch {
	case m.scenario == CaseLost && region == crashRegion && m.between(at, 1.0/3, 2.0/3):
		return m.regionSlots - engine*float64(m.crashedEngines())
	case m.scenario == CaseSlowed && m.between(at, 0.25, math.Inf(1)) && (region == slowedRegions[0] || region == slowedRegions[1]):
		return m.regionSlots - engine*(1-1.0/slowFactor)
	}
	return m.regionSlots
}

// crashedEngines returns the number of engines that CaseLost crashes.
func (m *model) crashedEngines() int { return max(1, m.regionEngines/3) }

// isolated reports whether a region is cut off and can't use other regions.
func (m *model) isolated(region int, at time.Duration) bool {
	return m.scenario == CaseCutoff && region == isolatedRegion && m.between(at, 1.0/3, 2.0/3)
}

// maxDraftTokens returns the maximum length of a straggling draft that arrives at a time:
// it may take the rest of the run or a quarter of the run, whichever is longer.
func (m *model) maxDraftTokens(at time.Duration) int {
	return int(max(m.length-max(0, at), m.length/4) / m.tokenInterval)
}

// requestRates returns the rates, per second, that together make a load of 1 in a region.
func (m *model) requestRates() (questions, drafts float64) {
	short := m.slotTime(m.meanTokens(questionTokens, func(time.Duration) int { return int(questionTokenLimit) }), questionWords)
	long := m.slotTime(m.meanTokens(draftTokens, m.maxDraftTokens), ownDraftWords)
	return m.regionSlots * shortShare / short.Seconds(), m.regionSlots * (1 - shortShare) / long.Seconds()
}

// meanTokens returns the mean answer length over the whole run, including stragglers.
func (m *model) meanTokens(lengths tokenRange, limit func(time.Duration) int) float64 {
	const steps = 100
	straggler := 0.0
	for i := range steps {
		at := m.length * time.Duration(i) / steps
		straggler += min(stragglerFactor*lengths.mean(), float64(limit(at))) / steps
	}
	return (1-stragglerShare)*lengths.mean() + stragglerShare*straggler
}

// slotTime returns the time that an engine needs for an answer, with words as the
// uncached part of the prompt.
func (m *model) slotTime(tokens float64, words int) time.Duration {
	return time.Duration(tokens*float64(m.tokenInterval)) + time.Duration(words)*m.prefillPerWord
}

// stageConfig returns the configuration of a deployment that matches the model.
func stageConfig(cfg *Config, engines int) stage.Config {
	return stage.Config{
		Deployment: cfg.Deployment, Policy: cfg.Policy, Seed: cfg.Seed, Speedup: timeCompression,
		Slots: totalSlots / engines, TokenInterval: tokenInterval, PrefillPerToken: prefillPerWord, ReportLag: reportLag(cfg.Case), Log: cfg.Log,
	}
}
