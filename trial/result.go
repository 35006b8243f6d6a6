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

// Result is what one trial measured. Times are in ms of the run, after compression;
// they can be compared with other runs on the same machine only.
type Result struct {
	Deployment string `json:"deployment"`
	Case       Case   `json:"case"`
	Policy     string `json:"policy"`
	Seed       uint64 `json:"seed"`
	// Classes has the completions by class.
	Classes Classes `json:"classes"`
	// Away is the share of completed requests that were served in another region
	// than their caller's, and Least the least share that capacity forces.
	Away  float64 `json:"away"`
	Least float64 `json:"least"`
	// Cost is the engines' slot time in seconds per completed completion, and Floor
	// the least possible.
	Cost  float64 `json:"cost"`
	Floor float64 `json:"floor"`
	// Retries counts sends and dispatches beyond a request's first, hedges included.
	Retries int `json:"retries"`
	// Refused counts requests whose caller was told that they were not run, Unknown
	// those that ended in any other way without a whole answer.
	Refused int `json:"refused"`
	Unknown int `json:"unknown"`
	// Crashed counts the endpoints lost to requests that crash them.
	Crashed int `json:"crashed"`
	// Links has the bytes sent between regions.
	Links Links `json:"links"`
	// Violations counts what was seen against each guarantee.
	Violations Violations `json:"violations"`
}

// Classes has the figures by class.
type Classes map[ident.Class]Class

// Links has bytes by ordered pair of regions; the key is "FROM>TO".
type Links map[string]ident.Bytes

// Violations has counts by guarantee; the keys are G1 to G9.
type Violations map[string]int

// Class has the figures of one class.
type Class struct {
	// First is the caller's time to the first token.
	First Spread `json:"first"`
	// Wait is the time from the caller's send to the start in an engine's slot.
	Wait Spread `json:"wait"`
	// Between is the time between two tokens at the caller.
	Between Spread `json:"between"`
	// Count is the number of complete answers.
	Count int `json:"count"`
}

// Spread has percentiles in ms; 0 without values.
type Spread struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// spreadOf sorts the values.
func spreadOf(values []time.Duration) Spread {
	slices.Sort(values)
	return Spread{percentile(values, 0.5), percentile(values, 0.95), percentile(values, 0.99)}
}

// percentile returns the value, in ms, which the share p of all sorted values
// doesn't exceed.
func percentile(sorted []time.Duration, p float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	rank := max(1, int(math.Ceil(p*float64(len(sorted)))))
	return round(float64(sorted[rank-1])/float64(time.Millisecond), 2)
}

// round rounds to a number of decimal places.
func round(x float64, places int) float64 {
	scale := math.Pow10(places)
	return math.Round(x*scale) / scale
}

// result puts the figures of a run together.
func (x *run) result() Result {
	all := x.measured()
	r := Result{
		Deployment: x.cfg.Deployment, Case: x.cfg.Case, Policy: x.cfg.Policy, Seed: x.cfg.Seed,
		Classes: Classes{}, Least: round(x.plan.least(), 4), Links: Links{},
		Violations: x.checks.violations(), Crashed: x.crashed(),
		Retries: int(x.ended.retries - x.begun.retries),
	}
	for _, c := range []ident.Class{stage.Short, stage.Long} {
		r.Classes[c] = x.class(all, c)
	}
	for _, o := range all {
		r.Retries += max(0, int(o.attempts)-1)
		switch o.end {
		case refused:
			r.Refused++
		case unknown:
			r.Unknown++
		}
	}
	r.Away = round(x.away(all), 4)
	r.Cost, r.Floor = round(x.cost(all), 4), round(x.plan.floor(all), 4)
	for k, v := range x.ended.links {
		r.Links[k] = v - x.begun.links[k]
	}
	return r
}

// measured returns the outcomes of the requests sent after the warm-up. What was
// still in progress at the limit has ended as unknown by then.
func (x *run) measured() []*outcome {
	return slices.DeleteFunc(x.load.outcomes(), func(o *outcome) bool { return !o.measured() })
}

func (x *run) class(all []*outcome, c ident.Class) Class {
	var first, wait, between []time.Duration
	starts := x.starts()
	count := 0
	for _, o := range all {
		if !o.completion() || o.class() != c || o.end != completed {
			continue
		}
		count++
		first = append(first, o.first)
		between = append(between, o.gaps...)
		if at, ok := starts[o.request]; ok {
			wait = append(wait, max(0, at.Sub(o.sent)).Duration())
		}
	}
	return Class{First: spreadOf(first), Wait: spreadOf(wait), Between: spreadOf(between), Count: count}
}

// starts returns when each request entered the slot that gave its first token. A
// request may have records at several engines: of hedges, of tries elsewhere, and of
// the engine that continued it.
func (x *run) starts() map[ident.Request]clock.Time {
	first := map[ident.Request]clock.Time{}
	out := map[ident.Request]clock.Time{}
	for _, r := range x.records {
		if r.First == 0 {
			continue
		}
		if t, ok := first[r.Request]; !ok || r.First.Before(t) {
			first[r.Request], out[r.Request] = r.First, r.Started
		}
	}
	return out
}

// away returns the share of completed requests served in another region.
func (x *run) away(all []*outcome) float64 {
	served := map[ident.Request]ident.Region{}
	for _, r := range x.records {
		if r.Outcome == fakes.Complete {
			served[r.Request] = r.Region
		}
	}
	for _, c := range x.calls {
		served[c.Request] = c.Region
	}
	done, away := 0, 0
	for _, o := range all {
		if o.end != completed {
			continue
		}
		done++
		if r, ok := served[o.request]; ok && r != x.plan.regions[o.region] {
			away++
		}
	}
	if done == 0 {
		return 0
	}
	return float64(away) / float64(done)
}

// cost returns the slot time in seconds per completed completion: all that engines
// spent on measured requests, wasted work and crashing requests included.
func (x *run) cost(all []*outcome) float64 {
	ours := map[uint64]bool{}
	done := 0
	for _, o := range append(all, x.crashing...) {
		if !o.completion() {
			continue
		}
		ours[o.hash] = true
		if o.end == completed {
			done++
		}
	}
	var spent time.Duration
	for _, r := range x.records {
		if ours[r.Prompt] {
			spent += r.Spent
		}
	}
	if done == 0 {
		return 0
	}
	return spent.Seconds() / float64(done)
}

// crashed counts the engines that crashed while they ran the crashing request.
func (x *run) crashed() int {
	hash := x.crashArrival().hash
	n := 0
	for _, r := range x.records {
		if r.Prompt == hash && r.Started > 0 && r.Outcome == fakes.Lost {
			n++
		}
	}
	return n
}
