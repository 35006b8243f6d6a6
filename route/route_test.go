package route_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/route"
)

// Fixes the seed of the property tests unless the command line sets one.
func init() { _ = flag.Set("rapid.seed", "1") }

const service ident.Service = "assistant"

// fixedView is a View with fixed values. The entry's region is a; b and c are remote.
type fixedView struct {
	candidates  map[ident.Region][]fleet.Candidate
	remote      map[ident.Region]gossip.Load
	queueLength int
	awayWeight  float64
	noBudget    bool
}

func (v *fixedView) Region() ident.Region { return "a" }

func (v *fixedView) Candidates(_ ident.Service, region ident.Region) []fleet.Candidate {
	return v.candidates[region]
}

func (v *fixedView) RemoteLoad(_ ident.Service, region ident.Region) (gossip.Load, bool) {
	summary, ok := v.remote[region]
	return summary, ok
}
func (v *fixedView) LinkAllows(ident.Region, ident.Bytes) bool { return !v.noBudget }
func (v *fixedView) Weights() bundle.Weights                   { return bundle.Weights{Away: v.awayWeight} }
func (v *fixedView) QueueLength(ident.Service) int             { return v.queueLength }
func (v *fixedView) ClassShare(class ident.Class) float64 {
	if class == "long" {
		return 0.75
	}
	return 1
}

// regionWithLoads returns candidates with 4 slots each and the given loads.
func regionWithLoads(region ident.Region, loads ...float64) []fleet.Candidate {
	var found []fleet.Candidate
	for i, l := range loads {
		found = append(found, fleet.Candidate{
			Endpoint: ident.Endpoint(fmt.Sprint(region, i)), Region: region, Slots: 4, Load: l, ReportedLoad: l, Weight: 1, Duration: 1000,
		})
	}
	return found
}

func shortRequest() route.Request {
	return route.Request{Service: service, Class: "short", ExpectedDuration: 1000, Regions: []ident.Region{"a", "b", "c"}}
}

func longRequest() route.Request {
	request := shortRequest()
	request.Class, request.Urgency, request.Long, request.ExpectedDuration = "long", 1, true, 10_000
	return request
}

func newPolicy(t require.TestingT, name string) route.Policy {
	policy, err := route.New(name, 1)
	require.NoError(t, err)
	require.Equal(t, name, policy.String())
	return policy
}

var policyNames = []string{route.Random, route.RoundRobin, route.LeastLoaded, route.SingleQueue, route.Tanager}

// Guards against accepting a misspelt policy name.
func TestNew(t *testing.T) {
	_, err := route.New("best", 1)
	require.Equal(t, route.KindUnknown, fault.KindOf[route.Kind](err))
	for _, n := range policyNames {
		policy := newPolicy(t, n)
		require.Equal(t, n == route.SingleQueue || n == route.Tanager, policy.QueuesAtEntry())
		require.Equal(t, n != route.SingleQueue, policy.UsesClasses())
	}
}

// Guards against baseline policies that do not follow their rule.
func TestBaselines(t *testing.T) {
	view := &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 4, 4, 5), "b": regionWithLoads("b", 0)}}
	roundRobin := newPolicy(t, route.RoundRobin)
	for _, want := range []ident.Endpoint{"a0", "a1", "a2", "a0"} {
		choice, ok := roundRobin.Choose(1, shortRequest(), view)
		require.True(t, ok)
		require.Equal(t, route.Choice{Endpoint: want, Region: "a"}, choice)
	}
	view.candidates["a"][1].ReportedLoad = 1
	choice, _ := newPolicy(t, route.LeastLoaded).Choose(1, shortRequest(), view)
	require.Equal(t, ident.Endpoint("a1"), choice.Endpoint)
	_, ok := newPolicy(t, route.SingleQueue).Choose(1, shortRequest(), view)
	require.False(t, ok, "no slot is free in the region")
	view.candidates["a"] = nil
	for _, n := range policyNames {
		choice, ok := newPolicy(t, n).Choose(1, shortRequest(), view)
		require.True(t, ok)
		require.Equal(t, route.Choice{Endpoint: "b0", Region: "b", Remote: true}, choice)
	}
}

// Guards against long work that takes slots reserved for short work, and against short
// work that waits although an engine may be overcommitted.
func TestClassShares(t *testing.T) {
	view := &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 3)}, awayWeight: 1}
	view.candidates["a"][0].LongLoad = 3
	policy := newPolicy(t, route.Tanager)
	_, ok := policy.Choose(1, longRequest(), view)
	require.False(t, ok)
	_, ok = policy.Choose(1, shortRequest(), view)
	require.True(t, ok)
	view.candidates["a"][0].Load = 4
	_, ok = policy.Choose(1, shortRequest(), view)
	require.False(t, ok, "the wait is still short")
	late := shortRequest()
	late.Waited = 500
	_, ok = policy.Choose(1, late, view)
	require.True(t, ok, "one request beyond the slots")
	view.candidates["a"][0].Load = 5
	_, ok = policy.Choose(1, late, view)
	require.False(t, ok)
	view.candidates["a"][0].Load, view.candidates["a"][0].LongLoad = 4, 0
	_, ok = policy.Choose(1, late, view)
	require.False(t, ok, "no long work there to yield")
}

// Guards against long work that takes slots which urgent work needed recently, and against
// starving long work when urgent work could use every slot.
func TestDemand(t *testing.T) {
	for name, tt := range map[string]struct {
		at   clock.Time
		long float64
		want bool
	}{
		"just after the demand": {at: 10, long: 1.5},
		"long after the demand": {at: 20_000, long: 1.5, want: true},
		"minimum share":         {at: 10, long: 0.75, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			policy := newPolicy(t, route.Tanager)
			full := regionWithLoads("a", 4, 4, 4, 4)
			_, ok := policy.Choose(1, longRequest(), &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": full}, awayWeight: 1})
			require.False(t, ok)
			found := regionWithLoads("a", 4, 4, 4, 2)
			for i := range found {
				found[i].LongLoad = tt.long
			}
			_, ok = policy.Choose(tt.at, longRequest(), &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": found}, awayWeight: 1})
			require.Equal(t, tt.want, ok)
		})
	}
}

// Guards against sending work away needlessly, to a region that is full or unknown, or
// over a link without budget, and against sending too much on the basis of one summary.
func TestSendingAway(t *testing.T) {
	fresh := gossip.Load{Region: "b", Service: service, Slots: 16, Free: 10, Age: 500}
	tests := map[string]struct {
		request     func() route.Request
		waited      clock.Span
		queueLength int
		weight      float64
		load        gossip.Load
		noBudget    bool
		want        int // of 20 equal requests
	}{
		"short wait":             {request: longRequest, load: fresh, weight: 1},
		"long wait":              {request: longRequest, waited: 8500, load: fresh, weight: 1, want: 6},
		"many behind":            {request: longRequest, queueLength: 30, load: fresh, weight: 1},
		"many long ahead":        {request: shortRequest, waited: 800, queueLength: 300, load: fresh, weight: 1},
		"weight of the share":    {request: longRequest, waited: 8500, load: fresh, weight: 2},
		"sooner":                 {request: longRequest, waited: 7200, load: fresh, weight: 0.5, want: 6},
		"short within target":    {request: shortRequest, waited: 800, load: fresh, weight: 1},
		"short beyond target":    {request: shortRequest, waited: 2200, load: fresh, weight: 1},
		"short far beyond":       {request: shortRequest, waited: 3400, load: fresh, weight: 1, want: 10},
		"stale summary":          {request: longRequest, waited: 9500, load: gossip.Load{Slots: 16, Free: 10, Age: 5001}, weight: 1},
		"full":                   {request: longRequest, waited: 9500, load: gossip.Load{Slots: 16, Free: 4, Age: 5}, weight: 1},
		"link without budget":    {request: longRequest, waited: 9500, load: fresh, weight: 1, noBudget: true},
		"remote wait is as long": {request: longRequest, waited: 8500, load: gossip.Load{Slots: 16, Free: 10, ExpectedWait: 9000}, weight: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			view := &fixedView{
				candidates:  map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 9, 9), "b": regionWithLoads("b", 1, 1, 1, 1)},
				remote:      map[ident.Region]gossip.Load{"b": tt.load},
				queueLength: tt.queueLength, awayWeight: tt.weight, noBudget: tt.noBudget,
			}
			policy := newPolicy(t, route.Tanager)
			sent := 0
			for range 20 {
				request := tt.request()
				request.Waited = tt.waited
				if choice, ok := policy.Choose(1000, request, view); ok {
					require.Equal(t, ident.Region("b"), choice.Region)
					require.True(t, choice.Remote)
					sent++
				}
			}
			require.Equal(t, tt.want, sent)
		})
	}
}

// Guards against a flow that starts and stops with every request.
func TestHysteresis(t *testing.T) {
	view := &fixedView{
		candidates: map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 9, 9), "b": regionWithLoads("b", 0, 0, 0, 0)},
		remote:     map[ident.Region]gossip.Load{"b": {Slots: 16, Free: 16}}, awayWeight: 1,
	}
	policy := newPolicy(t, route.Tanager)
	for _, s := range []struct {
		waited clock.Span
		want   bool
	}{{6700, false}, {8500, true}, {6700, true}, {10, false}, {6700, false}} {
		request := longRequest()
		request.Waited = s.waited
		_, ok := policy.Choose(1000, request, view)
		require.Equal(t, s.want, ok, s.waited)
	}
}

// Guards against losing the cache of repeated prompts, and against a popular prefix that
// overloads its endpoint.
func TestPrefixAffinity(t *testing.T) {
	view := &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 1, 1, 1, 1)}, awayWeight: 1}
	policy := newPolicy(t, route.Tanager)
	request := shortRequest()
	request.Prefix = 77
	first, _ := policy.Choose(1, request, view)
	for range 20 {
		choice, _ := policy.Choose(1, request, view)
		require.Equal(t, first, choice)
	}
	for i := range view.candidates["a"] {
		if view.candidates["a"][i].Endpoint == first.Endpoint {
			view.candidates["a"][i].Load = 3
		}
	}
	choice, _ := policy.Choose(1, request, view)
	require.NotEqual(t, first, choice)
}

// Guards against a suspect request that runs beside other work or is starved.
func TestExclusive(t *testing.T) {
	for _, n := range policyNames {
		view := &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 1, 2)}, awayWeight: 1}
		policy := newPolicy(t, n)
		request := shortRequest()
		request.Exclusive = true
		_, ok := policy.Choose(1, request, view)
		require.False(t, ok)
		for range 10 {
			choice, ok := policy.Choose(2, shortRequest(), view)
			require.True(t, ok)
			require.Equal(t, ident.Endpoint("a1"), choice.Endpoint, "a0 is reserved for the suspect request")
		}
		view.candidates["a"] = regionWithLoads("a", 0, 2)
		choice, ok := policy.Choose(3, request, view)
		require.True(t, ok)
		require.Equal(t, ident.Endpoint("a0"), choice.Endpoint)
		view.candidates["a"][0].Exclusive, view.candidates["a"][1].Load, view.candidates["a"][1].ReportedLoad = true, 0, 0
		_, ok = policy.Choose(4, request, view)
		require.False(t, ok, "at most one of two endpoints runs a suspect")
		choice, _ = policy.Choose(5000, shortRequest(), view)
		require.Equal(t, ident.Endpoint("a1"), choice.Endpoint)
	}
}

// Guards against using retries as probes, and against sending other work to slow endpoints
// while their peers have free slots.
func TestSlowEndpoints(t *testing.T) {
	view := &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 0, 3)}, awayWeight: 1}
	view.candidates["a"][0].Weight = 0.02
	policy := newPolicy(t, route.Tanager)
	for range 50 {
		choice, _ := policy.Choose(1, shortRequest(), view)
		require.Equal(t, ident.Endpoint("a1"), choice.Endpoint)
	}
	view.candidates["a"][0].Probe = true
	choice, _ := policy.Choose(1, shortRequest(), view)
	require.Equal(t, ident.Endpoint("a0"), choice.Endpoint)
	retry := shortRequest()
	retry.Tried = []ident.Endpoint{"a9"}
	choice, _ = policy.Choose(1, retry, view)
	require.Equal(t, ident.Endpoint("a1"), choice.Endpoint)
}

// Guards against choices outside the allowed regions, on endpoints reserved for a suspect
// request, above the class's share or beyond the slots, in any state.
func TestChoiceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		view := &fixedView{candidates: map[ident.Region][]fleet.Candidate{}, remote: map[ident.Region]gossip.Load{}}
		view.awayWeight = rapid.SampledFrom([]float64{0, 0.5, 1, 2}).Draw(t, "away")
		view.queueLength = rapid.IntRange(0, 30).Draw(t, "waiting")
		for _, r := range []ident.Region{"a", "b", "c"} {
			for i := range rapid.IntRange(0, 4).Draw(t, "endpoints") {
				candidate := fleet.Candidate{Endpoint: ident.Endpoint(fmt.Sprint(r, i)), Region: r, Slots: rapid.IntRange(1, 8).Draw(t, "slots")}
				candidate.Load = float64(rapid.IntRange(0, 9).Draw(t, "load"))
				candidate.LongLoad = float64(rapid.IntRange(0, int(candidate.Load)).Draw(t, "long"))
				candidate.Weight = rapid.SampledFrom([]float64{0.02, 0.4, 1}).Draw(t, "weight")
				candidate.Exclusive = rapid.IntRange(0, 4).Draw(t, "alone") == 0
				candidate.Probe = candidate.Weight < 0.5 && rapid.Bool().Draw(t, "probe")
				view.candidates[r] = append(view.candidates[r], candidate)
			}
			view.remote[r] = gossip.Load{Slots: 16, Free: rapid.IntRange(0, 16).Draw(t, "free"), Age: clock.Span(rapid.IntRange(0, 9000).Draw(t, "age"))}
		}
		request := shortRequest()
		if rapid.Bool().Draw(t, "kind") {
			request = longRequest()
		}
		request.Prefix = ident.Prefix(rapid.IntRange(0, 3).Draw(t, "prefix"))
		request.Exclusive = rapid.IntRange(0, 3).Draw(t, "suspect") == 0
		request.Waited = clock.Span(rapid.IntRange(0, 50_000).Draw(t, "waited"))
		request.Regions = rapid.SampledFrom([][]ident.Region{{"a"}, {"b"}, {"a", "b"}, {"c", "b"}}).Draw(t, "regions")
		name := rapid.SampledFrom(policyNames).Draw(t, "policy")
		choice, ok := newPolicy(t, name).Choose(1000, request, view)
		if !ok {
			return
		}
		require.Contains(t, request.Regions, choice.Region)
		require.Equal(t, choice.Region != "a", choice.Remote)
		for _, e := range view.candidates[choice.Region] {
			if e.Endpoint != choice.Endpoint {
				continue
			}
			require.False(t, e.Exclusive)
			if request.Exclusive {
				require.Zero(t, e.Load)
			}
			if name == route.Tanager && request.Long {
				require.LessOrEqual(t, e.LongLoad+1, float64(max(1, e.Slots*3/4)))
			}
			if name == route.Tanager {
				require.LessOrEqual(t, e.Load, float64(e.Slots))
			}
			return
		}
		t.Fatalf("%s is not a candidate", choice.Endpoint)
	})
}
