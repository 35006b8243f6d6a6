package trial

import (
	"math"
	"slices"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

// Result has the measurements of one trial. Times are in ms after compression; they are
// comparable only with runs on the same machine.
type Result struct {
	Deployment string `json:"deployment"`
	Case       Case   `json:"case"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// Classes has the figures of completions by class.
	Classes Classes `json:"classes"`
	// RemoteShare is the share of completed requests that were served in another region
	// than their caller's, and MinRemoteShare its lower bound given the capacity.
	RemoteShare    float64 `json:"away"`
	MinRemoteShare float64 `json:"least"`
	// MeanCost is the engines' slot time in seconds per completed completion, and MinCost
	// its lower bound.
	MeanCost float64 `json:"cost"`
	MinCost  float64 `json:"floor"`
	// Retries counts sends and dispatches after the first of each request, including hedges.
	Retries int `json:"retries"`
	// Refused counts requests that were reported as not run, Unknown those that ended in
	// any other way without a complete answer.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// Crashed counts the endpoint crashes that the crashing request caused.
	Crashed int `json:"crashed"`
	// Links has the bytes sent between regions during the measurement.
	Links Links `json:"links"`
	// Violations has the number of violations of each guarantee.
	Violations Violations `json:"violations"`
}

// Classes has the figures by class.
type Classes map[ident.Class]Class

// Links has byte counts keyed by ordered pair of regions, as "FROM>TO".
type Links map[string]ident.Bytes

// Violations has counts keyed by guarantee, G1 to G9.
type Violations map[string]int

// Class has the figures of one class.
type Class struct {
	// FirstToken is the caller's time to the first token.
	FirstToken Percentiles `json:"first"`
	// SlotWait is the time from the caller's send to the start in an engine's slot.
	SlotWait Percentiles `json:"wait"`
	// TokenInterval is the time between two tokens at the caller.
	TokenInterval Percentiles `json:"between"`
	// Count is the number of completed completions.
	Count int `json:"count"`
}

// Percentiles has percentiles in ms; they are 0 if there are no values.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// percentilesOf returns percentiles of the values, which it sorts in place.
func percentilesOf(values []time.Duration) Percentiles {
	slices.Sort(values)
	return Percentiles{percentile(values, 0.5), percentile(values, 0.95), percentile(values, 0.99)}
}

// percentile returns the smallest value, in ms, that at least the given share of the
// sorted values does not exceed.
func percentile(sorted []time.Duration, share float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := max(1, int(math.Ceil(share*float64(len(sorted)))))
	return round(float64(sorted[rank-1])/float64(time.Millisecond), 2)
}

// round rounds to a number of decimal places.
func round(value float64, places int) float64 {
	scale := math.Pow10(places)
	return math.Round(value*scale) / scale
}

// result computes the figures of a run.
func (x *run) result() Result {
	all := x.measuredOutcomes()
	result := Result{
		Deployment: x.cfg.Deployment, Case: x.cfg.Case, Policy: x.cfg.Policy, Seed: x.cfg.Seed,
		Classes: Classes{}, MinRemoteShare: round(x.plan.minRemoteShare(), 4), Links: Links{},
		Violations: x.checks.violations(), Crashed: x.enginesCrashed(),
		Retries: int(x.final.retries - x.baseline.retries),
	}
	for _, c := range []ident.Class{stage.ClassShort, stage.ClassLong} {
		result.Classes[c] = x.classFigures(all, c)
	}
	for _, o := range all {
		result.Retries += max(0, int(o.attempts)-1)
		switch o.state {
		case refused:
			result.Refused++
		case unknown:
			result.Unknown++
		}
	}
	result.RemoteShare = round(x.remoteShare(all), 4)
	result.MeanCost, result.MinCost = round(x.meanCost(all), 4), round(x.plan.minCost(all), 4)
	for k, v := range x.final.links {
		result.Links[k] = v - x.baseline.links[k]
	}
	return result
}

// measuredOutcomes returns the outcomes of the requests sent after the warm-up. Requests
// that were still in progress at the time limit have ended as unknown.
func (x *run) measuredOutcomes() []*outcome {
	return slices.DeleteFunc(x.generator.outcomes(), func(o *outcome) bool { return !o.measured() })
}

func (x *run) classFigures(all []*outcome, class ident.Class) Class {
	var firstTokens, slotWaits, tokenIntervals []time.Duration
	starts := x.slotStarts()
	count := 0
	for _, o := range all {
		if !o.isCompletion() || o.class() != class || o.state != completed {
			continue
		}
		count++
		firstTokens = append(firstTokens, o.firstToken)
		tokenIntervals = append(tokenIntervals, o.tokenIntervals...)
		if at, ok := starts[o.requestID]; ok {
			slotWaits = append(slotWaits, max(0, at.Sub(o.sentAt)).Duration())
		}
	}
	return Class{FirstToken: percentilesOf(firstTokens), SlotWait: percentilesOf(slotWaits), TokenInterval: percentilesOf(tokenIntervals), Count: count}
}

// slotStarts returns, for each request, the start in the slot that produced its first
// token. A request may have records at several engines because of hedges, retries and
// resumed streams.
func (x *run) slotStarts() map[ident.Request]clock.Time {
	firstTokens := map[ident.Request]clock.Time{}
	out := map[ident.Request]clock.Time{}
	for _, r := range x.engineRecords {
		if r.FirstToken == 0 {
			continue
		}
		if earliest, ok := firstTokens[r.Request]; !ok || r.FirstToken.Before(earliest) {
			firstTokens[r.Request], out[r.Request] = r.FirstToken, r.Started
		}
	}
	return out
}

// remoteShare returns the share of completed requests served in another region.
func (x *run) remoteShare(all []*outcome) float64 {
	served := map[ident.Request]ident.Region{}
	for _, r := range x.engineRecords {
		if r.Outcome == fakes.Complete {
			served[r.Request] = r.Region
		}
	}
	for _, c := range x.serviceCalls {
		served[c.Request] = c.Region
	}
	done, remote := 0, 0
	for _, o := range all {
		if o.state != completed {
			continue
		}
		done++
		if region, ok := served[o.requestID]; ok && region != x.plan.regions[o.region] {
			remote++
		}
	}
	if done == 0 {
		return 0
	}
	return float64(remote) / float64(done)
}

// meanCost returns the slot time in seconds per completed completion: all time that
// engines spent on measured requests, including wasted work and crashing requests.
func (x *run) meanCost(all []*outcome) float64 {
	prompts := map[uint64]bool{}
	done := 0
	for _, o := range append(all, x.crashOutcomes...) {
		if !o.isCompletion() {
			continue
		}
		prompts[o.promptHash] = true
		if o.state == completed {
			done++
		}
	}
	var slotTime time.Duration
	for _, r := range x.engineRecords {
		if prompts[r.PromptHash] {
			slotTime += r.SlotTime
		}
	}
	if done == 0 {
		return 0
	}
	return slotTime.Seconds() / float64(done)
}

// enginesCrashed counts the crashes of engines while they ran the crashing request.
func (x *run) enginesCrashed() int {
	hash := x.crashArrival().promptHash
	crashes := 0
	for _, r := range x.engineRecords {
		if r.PromptHash == hash && r.Started > 0 && r.Outcome == fakes.Lost {
			crashes++
		}
	}
	return crashes
}
