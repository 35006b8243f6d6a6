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
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/route"
)

// Fixes the seed of the property tests unless the command line sets one.
func init() { _ = flag.Set("rapid.seed", "1") }

const service ident.Service = "assistant"

// fixedView is a View with fixed values. The entry's region is a; b and c are remote.
type fixedView struct {
	candidates map[ident.Region][]fleet.Candidate
	remote     map[ident.Region]news.Load
	waiting    int
	awayWeight float64
	noBudget   bool
}

func (s *fixedView) Region() ident.Region { return "a" }

func (s *fixedView) Candidates(_ ident.Service, r ident.Region) []fleet.Candidate {
	return s.candidates[r]
}

func (s *fixedView) Remote(_ ident.Service, r ident.Region) (news.Load, bool) {
	l, ok := s.remote[r]
	return l, ok
}
func (s *fixedView) Link(ident.Region, ident.Bytes) bool { return !s.noBudget }
func (s *fixedView) Weights() bundle.Weights             { return bundle.Weights{Away: s.awayWeight} }
func (s *fixedView) Waiting(ident.Service) int           { return s.waiting }
func (s *fixedView) Share(c ident.Class) float64 {
	if c == "long" {
		return 0.75
	}
	return 1
}

// regionWithLoads returns candidates with 4 slots each and the given loads.
func regionWithLoads(r ident.Region, loads ...float64) []fleet.Candidate {
	var found []fleet.Candidate
	for i, l := range loads {
		found = append(found, fleet.Candidate{
			Endpoint: ident.Endpoint(fmt.Sprint(r, i)), Region: r, Slots: 4, Load: l, Reported: l, Weight: 1, Duration: 1000,
		})
	}
	return found
}

func shortAsk() route.Ask {
	return route.Ask{Service: service, Class: "short", Size: 1000, Regions: []ident.Region{"a", "b", "c"}}
}

func longAsk() route.Ask {
	a := shortAsk()
	a.Class, a.Urgency, a.Long, a.Size = "long", 1, true, 10_000
	return a
}

func newPolicy(t require.TestingT, name string) route.Policy {
	p, err := route.New(name, 1)
	require.NoError(t, err)
	require.Equal(t, name, p.String())
	return p
}

var policyNames = []string{route.Random, route.Robin, route.Least, route.Single, route.Tanager}

// Guards against accepting a misspelt policy name.
func TestNew(t *testing.T) {
	_, err := route.New("best", 1)
	require.Equal(t, route.Unknown, fault.KindOf[route.Kind](err))
	for _, n := range policyNames {
		p := newPolicy(t, n)
		require.Equal(t, n == route.Single || n == route.Tanager, p.Queues())
		require.Equal(t, n != route.Single, p.Classes())
	}
}

// Guards against baseline policies that do not follow their rule.
func TestBaselines(t *testing.T) {
	v := &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 4, 4, 5), "b": regionWithLoads("b", 0)}}
	robin := newPolicy(t, route.Robin)
	for _, want := range []ident.Endpoint{"a0", "a1", "a2", "a0"} {
		c, ok := robin.Choose(1, shortAsk(), v)
		require.True(t, ok)
		require.Equal(t, route.Choice{Endpoint: want, Region: "a"}, c)
	}
	v.candidates["a"][1].Reported = 1
	c, _ := newPolicy(t, route.Least).Choose(1, shortAsk(), v)
	require.Equal(t, ident.Endpoint("a1"), c.Endpoint)
	_, ok := newPolicy(t, route.Single).Choose(1, shortAsk(), v)
	require.False(t, ok, "no slot is free in the region")
	v.candidates["a"] = nil
	for _, n := range policyNames {
		c, ok := newPolicy(t, n).Choose(1, shortAsk(), v)
		require.True(t, ok)
		require.Equal(t, route.Choice{Endpoint: "b0", Region: "b", Away: true}, c)
	}
}

// Guards against long work that takes slots reserved for short work, and against short
// work that waits although an engine may be overcommitted.
func TestClassShares(t *testing.T) {
	v := &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 3)}, awayWeight: 1}
	v.candidates["a"][0].Long = 3
	p := newPolicy(t, route.Tanager)
	_, ok := p.Choose(1, longAsk(), v)
	require.False(t, ok)
	_, ok = p.Choose(1, shortAsk(), v)
	require.True(t, ok)
	v.candidates["a"][0].Load = 4
	_, ok = p.Choose(1, shortAsk(), v)
	require.False(t, ok, "the wait is still short")
	late := shortAsk()
	late.Waited = 500
	_, ok = p.Choose(1, late, v)
	require.True(t, ok, "one request beyond the slots")
	v.candidates["a"][0].Load = 5
	_, ok = p.Choose(1, late, v)
	require.False(t, ok)
	v.candidates["a"][0].Load, v.candidates["a"][0].Long = 4, 0
	_, ok = p.Choose(1, late, v)
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
			p := newPolicy(t, route.Tanager)
			full := regionWithLoads("a", 4, 4, 4, 4)
			_, ok := p.Choose(1, longAsk(), &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": full}, awayWeight: 1})
			require.False(t, ok)
			found := regionWithLoads("a", 4, 4, 4, 2)
			for i := range found {
				found[i].Long = tt.long
			}
			_, ok = p.Choose(tt.at, longAsk(), &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": found}, awayWeight: 1})
			require.Equal(t, tt.want, ok)
		})
	}
}

// Guards against sending work away needlessly, to a region that is full or unknown, or
// over a link without budget, and against sending too much on the basis of one summary.
func TestSendingAway(t *testing.T) {
	fresh := news.Load{Region: "b", Service: service, Slots: 16, Free: 10, Age: 500}
	tests := map[string]struct {
		ask      func() route.Ask
		waited   clock.Span
		waiting  int
		weight   float64
		load     news.Load
		noBudget bool
		want     int // of 20 equal requests
	}{
		"short wait":             {ask: longAsk, load: fresh, weight: 1},
		"long wait":              {ask: longAsk, waited: 8500, load: fresh, weight: 1, want: 6},
		"many behind":            {ask: longAsk, waiting: 30, load: fresh, weight: 1},
		"many long ahead":        {ask: shortAsk, waited: 800, waiting: 300, load: fresh, weight: 1},
		"weight of the share":    {ask: longAsk, waited: 8500, load: fresh, weight: 2},
		"sooner":                 {ask: longAsk, waited: 7200, load: fresh, weight: 0.5, want: 6},
		"short within target":    {ask: shortAsk, waited: 800, load: fresh, weight: 1},
		"short beyond target":    {ask: shortAsk, waited: 2200, load: fresh, weight: 1},
		"short far beyond":       {ask: shortAsk, waited: 3400, load: fresh, weight: 1, want: 10},
		"stale summary":          {ask: longAsk, waited: 9500, load: news.Load{Slots: 16, Free: 10, Age: 5001}, weight: 1},
		"full":                   {ask: longAsk, waited: 9500, load: news.Load{Slots: 16, Free: 4, Age: 5}, weight: 1},
		"link without budget":    {ask: longAsk, waited: 9500, load: fresh, weight: 1, noBudget: true},
		"remote wait is as long": {ask: longAsk, waited: 8500, load: news.Load{Slots: 16, Free: 10, Wait: 9000}, weight: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := &fixedView{
				candidates: map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 9, 9), "b": regionWithLoads("b", 1, 1, 1, 1)},
				remote:     map[ident.Region]news.Load{"b": tt.load},
				waiting:    tt.waiting, awayWeight: tt.weight, noBudget: tt.noBudget,
			}
			p := newPolicy(t, route.Tanager)
			sent := 0
			for range 20 {
				a := tt.ask()
				a.Waited = tt.waited
				if c, ok := p.Choose(1000, a, v); ok {
					require.Equal(t, ident.Region("b"), c.Region)
					require.True(t, c.Away)
					sent++
				}
			}
			require.Equal(t, tt.want, sent)
		})
	}
}

// Guards against a flow that starts and stops with every request.
func TestHysteresis(t *testing.T) {
	v := &fixedView{
		candidates: map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 9, 9), "b": regionWithLoads("b", 0, 0, 0, 0)},
		remote:     map[ident.Region]news.Load{"b": {Slots: 16, Free: 16}}, awayWeight: 1,
	}
	p := newPolicy(t, route.Tanager)
	for _, s := range []struct {
		waited clock.Span
		want   bool
	}{{6700, false}, {8500, true}, {6700, true}, {10, false}, {6700, false}} {
		a := longAsk()
		a.Waited = s.waited
		_, ok := p.Choose(1000, a, v)
		require.Equal(t, s.want, ok, s.waited)
	}
}

// Guards against losing the cache of repeated prompts, and against a popular prefix that
// overloads its endpoint.
func TestPrefixAffinity(t *testing.T) {
	v := &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 1, 1, 1, 1)}, awayWeight: 1}
	p := newPolicy(t, route.Tanager)
	a := shortAsk()
	a.Prefix = 77
	first, _ := p.Choose(1, a, v)
	for range 20 {
		c, _ := p.Choose(1, a, v)
		require.Equal(t, first, c)
	}
	for i := range v.candidates["a"] {
		if v.candidates["a"][i].Endpoint == first.Endpoint {
			v.candidates["a"][i].Load = 3
		}
	}
	c, _ := p.Choose(1, a, v)
	require.NotEqual(t, first, c)
}

// Guards against a suspect request that runs beside other work or is starved.
func TestAlone(t *testing.T) {
	for _, n := range policyNames {
		v := &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 1, 2)}, awayWeight: 1}
		p := newPolicy(t, n)
		a := shortAsk()
		a.Alone = true
		_, ok := p.Choose(1, a, v)
		require.False(t, ok)
		for range 10 {
			c, ok := p.Choose(2, shortAsk(), v)
			require.True(t, ok)
			require.Equal(t, ident.Endpoint("a1"), c.Endpoint, "a0 is reserved for the suspect request")
		}
		v.candidates["a"] = regionWithLoads("a", 0, 2)
		c, ok := p.Choose(3, a, v)
		require.True(t, ok)
		require.Equal(t, ident.Endpoint("a0"), c.Endpoint)
		v.candidates["a"][0].Alone, v.candidates["a"][1].Load, v.candidates["a"][1].Reported = true, 0, 0
		_, ok = p.Choose(4, a, v)
		require.False(t, ok, "at most one of two endpoints runs a suspect")
		c, _ = p.Choose(5000, shortAsk(), v)
		require.Equal(t, ident.Endpoint("a1"), c.Endpoint)
	}
}

// Guards against using retries as probes, and against sending other work to slow endpoints
// while their peers have free slots.
func TestSlowEndpoints(t *testing.T) {
	v := &fixedView{candidates: map[ident.Region][]fleet.Candidate{"a": regionWithLoads("a", 0, 3)}, awayWeight: 1}
	v.candidates["a"][0].Weight = 0.02
	p := newPolicy(t, route.Tanager)
	for range 50 {
		c, _ := p.Choose(1, shortAsk(), v)
		require.Equal(t, ident.Endpoint("a1"), c.Endpoint)
	}
	v.candidates["a"][0].Probe = true
	c, _ := p.Choose(1, shortAsk(), v)
	require.Equal(t, ident.Endpoint("a0"), c.Endpoint)
	retry := shortAsk()
	retry.Avoid = []ident.Endpoint{"a9"}
	c, _ = p.Choose(1, retry, v)
	require.Equal(t, ident.Endpoint("a1"), c.Endpoint)
}

// Guards against choices outside the allowed regions, on endpoints reserved for a suspect
// request, above the class's share or beyond the slots, in any state.
func TestChoiceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &fixedView{candidates: map[ident.Region][]fleet.Candidate{}, remote: map[ident.Region]news.Load{}}
		v.awayWeight = rapid.SampledFrom([]float64{0, 0.5, 1, 2}).Draw(t, "away")
		v.waiting = rapid.IntRange(0, 30).Draw(t, "waiting")
		for _, r := range []ident.Region{"a", "b", "c"} {
			for i := range rapid.IntRange(0, 4).Draw(t, "endpoints") {
				c := fleet.Candidate{Endpoint: ident.Endpoint(fmt.Sprint(r, i)), Region: r, Slots: rapid.IntRange(1, 8).Draw(t, "slots")}
				c.Load = float64(rapid.IntRange(0, 9).Draw(t, "load"))
				c.Long = float64(rapid.IntRange(0, int(c.Load)).Draw(t, "long"))
				c.Weight = rapid.SampledFrom([]float64{0.02, 0.4, 1}).Draw(t, "weight")
				c.Alone = rapid.IntRange(0, 4).Draw(t, "alone") == 0
				c.Probe = c.Weight < 0.5 && rapid.Bool().Draw(t, "probe")
				v.candidates[r] = append(v.candidates[r], c)
			}
			v.remote[r] = news.Load{Slots: 16, Free: rapid.IntRange(0, 16).Draw(t, "free"), Age: clock.Span(rapid.IntRange(0, 9000).Draw(t, "age"))}
		}
		a := shortAsk()
		if rapid.Bool().Draw(t, "kind") {
			a = longAsk()
		}
		a.Prefix = ident.Prefix(rapid.IntRange(0, 3).Draw(t, "prefix"))
		a.Alone = rapid.IntRange(0, 3).Draw(t, "suspect") == 0
		a.Waited = clock.Span(rapid.IntRange(0, 50_000).Draw(t, "waited"))
		a.Regions = rapid.SampledFrom([][]ident.Region{{"a"}, {"b"}, {"a", "b"}, {"c", "b"}}).Draw(t, "regions")
		n := rapid.SampledFrom(policyNames).Draw(t, "policy")
		c, ok := newPolicy(t, n).Choose(1000, a, v)
		if !ok {
			return
		}
		require.Contains(t, a.Regions, c.Region)
		require.Equal(t, c.Region != "a", c.Away)
		for _, e := range v.candidates[c.Region] {
			if e.Endpoint != c.Endpoint {
				continue
			}
			require.False(t, e.Alone)
			if a.Alone {
				require.Zero(t, e.Load)
			}
			if n == route.Tanager && a.Long {
				require.LessOrEqual(t, e.Long+1, float64(max(1, e.Slots*3/4)))
			}
			if n == route.Tanager {
				require.LessOrEqual(t, e.Load, float64(e.Slots))
			}
			return
		}
		t.Fatalf("%s is not a candidate", c.Endpoint)
	})
}
