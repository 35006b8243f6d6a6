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

// stub is a View of fixed figures in the regions a, which is the entry's own, b and c.
type stub struct {
	found   map[ident.Region][]fleet.Candidate
	remote  map[ident.Region]news.Load
	waiting int
	away    float64
	cut     bool
}

func (s *stub) Region() ident.Region { return "a" }

func (s *stub) Candidates(_ ident.Service, r ident.Region) []fleet.Candidate { return s.found[r] }

func (s *stub) Remote(_ ident.Service, r ident.Region) (news.Load, bool) {
	l, ok := s.remote[r]
	return l, ok
}
func (s *stub) Link(ident.Region, ident.Bytes) bool { return !s.cut }
func (s *stub) Weights() bundle.Weights             { return bundle.Weights{Away: s.away} }
func (s *stub) Waiting(ident.Service) int           { return s.waiting }
func (s *stub) Share(c ident.Class) float64 {
	if c == "long" {
		return 0.75
	}
	return 1
}

// region returns candidates with 4 slots each and the given loads.
func region(r ident.Region, loads ...float64) []fleet.Candidate {
	var found []fleet.Candidate
	for i, l := range loads {
		found = append(found, fleet.Candidate{
			Endpoint: ident.Endpoint(fmt.Sprint(r, i)), Region: r, Slots: 4, Load: l, Reported: l, Weight: 1, Duration: 1000,
		})
	}
	return found
}

func short() route.Ask {
	return route.Ask{Service: service, Class: "short", Size: 1000, Regions: []ident.Region{"a", "b", "c"}}
}

func long() route.Ask {
	a := short()
	a.Class, a.Urgency, a.Long, a.Size = "long", 1, true, 10_000
	return a
}

func policy(t require.TestingT, name string) route.Policy {
	p, err := route.New(name, 1)
	require.NoError(t, err)
	require.Equal(t, name, p.String())
	return p
}

var names = []string{route.Random, route.Robin, route.Least, route.Single, route.Tanager}

// Guards against a misspelt policy that is taken for another.
func TestNew(t *testing.T) {
	_, err := route.New("best", 1)
	require.Equal(t, route.Unknown, fault.KindOf[route.Kind](err))
	for _, n := range names {
		p := policy(t, n)
		require.Equal(t, n == route.Single || n == route.Tanager, p.Queues())
		require.Equal(t, n != route.Single, p.Classes())
	}
}

// Guards against baselines that choose by something else than their rule.
func TestBaselines(t *testing.T) {
	v := &stub{found: map[ident.Region][]fleet.Candidate{"a": region("a", 4, 4, 5), "b": region("b", 0)}}
	robin := policy(t, route.Robin)
	for _, want := range []ident.Endpoint{"a0", "a1", "a2", "a0"} {
		c, ok := robin.Choose(1, short(), v)
		require.True(t, ok)
		require.Equal(t, route.Choice{Endpoint: want, Region: "a"}, c)
	}
	v.found["a"][1].Reported = 1
	c, _ := policy(t, route.Least).Choose(1, short(), v)
	require.Equal(t, ident.Endpoint("a1"), c.Endpoint)
	_, ok := policy(t, route.Single).Choose(1, short(), v)
	require.False(t, ok, "no slot is free in the region")
	v.found["a"] = nil
	for _, n := range names {
		c, ok := policy(t, n).Choose(1, short(), v)
		require.True(t, ok)
		require.Equal(t, route.Choice{Endpoint: "b0", Region: "b", Away: true}, c)
	}
}

// Guards against long work that takes the slots kept for short work, and short work
// that waits although an engine may be overcommitted.
func TestClassShares(t *testing.T) {
	v := &stub{found: map[ident.Region][]fleet.Candidate{"a": region("a", 3)}, away: 1}
	v.found["a"][0].Long = 3
	p := policy(t, route.Tanager)
	_, ok := p.Choose(1, long(), v)
	require.False(t, ok)
	_, ok = p.Choose(1, short(), v)
	require.True(t, ok)
	v.found["a"][0].Load = 4
	_, ok = p.Choose(1, short(), v)
	require.False(t, ok, "the wait is short")
	late := short()
	late.Waited = 500
	_, ok = p.Choose(1, late, v)
	require.True(t, ok, "one beyond the slots")
	v.found["a"][0].Load = 5
	_, ok = p.Choose(1, late, v)
	require.False(t, ok)
	v.found["a"][0].Load, v.found["a"][0].Long = 4, 0
	_, ok = p.Choose(1, late, v)
	require.False(t, ok, "nothing there gives way")
}

// Guards against long work that takes at once what urgent work needed lately, and
// against long work that starves while urgent work could use every slot.
func TestDemand(t *testing.T) {
	for name, tt := range map[string]struct {
		at   clock.Time
		long float64
		want bool
	}{
		"just after the demand": {at: 10, long: 1.5},
		"long after the demand": {at: 20_000, long: 1.5, want: true},
		"longFloor":             {at: 10, long: 0.75, want: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := policy(t, route.Tanager)
			full := region("a", 4, 4, 4, 4)
			_, ok := p.Choose(1, long(), &stub{found: map[ident.Region][]fleet.Candidate{"a": full}, away: 1})
			require.False(t, ok)
			found := region("a", 4, 4, 4, 2)
			for i := range found {
				found[i].Long = tt.long
			}
			_, ok = p.Choose(tt.at, long(), &stub{found: map[ident.Region][]fleet.Candidate{"a": found}, away: 1})
			require.Equal(t, tt.want, ok)
		})
	}
}

// Guards against work sent away without need, to a region that is full or unknown,
// or over a link without budget; and against a rush on one summary.
func TestSendingAway(t *testing.T) {
	fresh := news.Load{Region: "b", Service: service, Slots: 16, Free: 10, Age: 500}
	tests := map[string]struct {
		ask     func() route.Ask
		waited  clock.Span
		waiting int
		weight  float64
		load    news.Load
		cut     bool
		want    int // of 20 equal requests
	}{
		"short wait":             {ask: long, load: fresh, weight: 1},
		"long wait":              {ask: long, waited: 8500, load: fresh, weight: 1, want: 6},
		"many behind":            {ask: long, waiting: 30, load: fresh, weight: 1},
		"many long ahead":        {ask: short, waited: 800, waiting: 300, load: fresh, weight: 1},
		"weight of the share":    {ask: long, waited: 8500, load: fresh, weight: 2},
		"sooner":                 {ask: long, waited: 7200, load: fresh, weight: 0.5, want: 6},
		"short within target":    {ask: short, waited: 800, load: fresh, weight: 1},
		"short beyond target":    {ask: short, waited: 2200, load: fresh, weight: 1},
		"short far beyond":       {ask: short, waited: 3400, load: fresh, weight: 1, want: 10},
		"stale summary":          {ask: long, waited: 9500, load: news.Load{Slots: 16, Free: 10, Age: 5001}, weight: 1},
		"full":                   {ask: long, waited: 9500, load: news.Load{Slots: 16, Free: 4, Age: 5}, weight: 1},
		"no budget of the link":  {ask: long, waited: 9500, load: fresh, weight: 1, cut: true},
		"remote wait is as long": {ask: long, waited: 8500, load: news.Load{Slots: 16, Free: 10, Wait: 9000}, weight: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			v := &stub{
				found:   map[ident.Region][]fleet.Candidate{"a": region("a", 9, 9), "b": region("b", 1, 1, 1, 1)},
				remote:  map[ident.Region]news.Load{"b": tt.load},
				waiting: tt.waiting, away: tt.weight, cut: tt.cut,
			}
			p := policy(t, route.Tanager)
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
	v := &stub{
		found:  map[ident.Region][]fleet.Candidate{"a": region("a", 9, 9), "b": region("b", 0, 0, 0, 0)},
		remote: map[ident.Region]news.Load{"b": {Slots: 16, Free: 16}}, away: 1,
	}
	p := policy(t, route.Tanager)
	for _, s := range []struct {
		waited clock.Span
		want   bool
	}{{6700, false}, {8500, true}, {6700, true}, {10, false}, {6700, false}} {
		a := long()
		a.Waited = s.waited
		_, ok := p.Choose(1000, a, v)
		require.Equal(t, s.want, ok, s.waited)
	}
}

// Guards against prompts that lose their cache, and against a hot prefix that
// overloads its endpoint.
func TestPrefixAffinity(t *testing.T) {
	v := &stub{found: map[ident.Region][]fleet.Candidate{"a": region("a", 1, 1, 1, 1)}, away: 1}
	p := policy(t, route.Tanager)
	a := short()
	a.Prefix = 77
	first, _ := p.Choose(1, a, v)
	for range 20 {
		c, _ := p.Choose(1, a, v)
		require.Equal(t, first, c)
	}
	for i := range v.found["a"] {
		if v.found["a"][i].Endpoint == first.Endpoint {
			v.found["a"][i].Load = 3
		}
	}
	c, _ := p.Choose(1, a, v)
	require.NotEqual(t, first, c)
}

// Guards against a suspect that runs beside other work or never gets its turn.
func TestAlone(t *testing.T) {
	for _, n := range names {
		v := &stub{found: map[ident.Region][]fleet.Candidate{"a": region("a", 1, 2)}, away: 1}
		p := policy(t, n)
		a := short()
		a.Alone = true
		_, ok := p.Choose(1, a, v)
		require.False(t, ok)
		for range 10 {
			c, ok := p.Choose(2, short(), v)
			require.True(t, ok)
			require.Equal(t, ident.Endpoint("a1"), c.Endpoint, "a0 is kept free for the suspect")
		}
		v.found["a"] = region("a", 0, 2)
		c, ok := p.Choose(3, a, v)
		require.True(t, ok)
		require.Equal(t, ident.Endpoint("a0"), c.Endpoint)
		v.found["a"][0].Alone, v.found["a"][1].Load, v.found["a"][1].Reported = true, 0, 0
		_, ok = p.Choose(4, a, v)
		require.False(t, ok, "one of two endpoints at most")
		c, _ = p.Choose(5000, short(), v)
		require.Equal(t, ident.Endpoint("a1"), c.Endpoint)
	}
}

// Guards against probes for requests that can't afford them and against slow
// endpoints that get other work while peers have room.
func TestSlowEndpoints(t *testing.T) {
	v := &stub{found: map[ident.Region][]fleet.Candidate{"a": region("a", 0, 3)}, away: 1}
	v.found["a"][0].Weight = 0.02
	p := policy(t, route.Tanager)
	for range 50 {
		c, _ := p.Choose(1, short(), v)
		require.Equal(t, ident.Endpoint("a1"), c.Endpoint)
	}
	v.found["a"][0].Probe = true
	c, _ := p.Choose(1, short(), v)
	require.Equal(t, ident.Endpoint("a0"), c.Endpoint)
	retry := short()
	retry.Avoid = []ident.Endpoint{"a9"}
	c, _ = p.Choose(1, retry, v)
	require.Equal(t, ident.Endpoint("a1"), c.Endpoint)
}

// Guards against choices outside the allowed regions, on endpoints kept for a
// suspect, above the class's share or beyond the slots, whatever the state.
func TestChoiceProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := &stub{found: map[ident.Region][]fleet.Candidate{}, remote: map[ident.Region]news.Load{}}
		v.away = rapid.SampledFrom([]float64{0, 0.5, 1, 2}).Draw(t, "away")
		v.waiting = rapid.IntRange(0, 30).Draw(t, "waiting")
		for _, r := range []ident.Region{"a", "b", "c"} {
			for i := range rapid.IntRange(0, 4).Draw(t, "endpoints") {
				c := fleet.Candidate{Endpoint: ident.Endpoint(fmt.Sprint(r, i)), Region: r, Slots: rapid.IntRange(1, 8).Draw(t, "slots")}
				c.Load = float64(rapid.IntRange(0, 9).Draw(t, "load"))
				c.Long = float64(rapid.IntRange(0, int(c.Load)).Draw(t, "long"))
				c.Weight = rapid.SampledFrom([]float64{0.02, 0.4, 1}).Draw(t, "weight")
				c.Alone = rapid.IntRange(0, 4).Draw(t, "alone") == 0
				c.Probe = c.Weight < 0.5 && rapid.Bool().Draw(t, "probe")
				v.found[r] = append(v.found[r], c)
			}
			v.remote[r] = news.Load{Slots: 16, Free: rapid.IntRange(0, 16).Draw(t, "free"), Age: clock.Span(rapid.IntRange(0, 9000).Draw(t, "age"))}
		}
		a := short()
		if rapid.Bool().Draw(t, "kind") {
			a = long()
		}
		a.Prefix = ident.Prefix(rapid.IntRange(0, 3).Draw(t, "prefix"))
		a.Alone = rapid.IntRange(0, 3).Draw(t, "suspect") == 0
		a.Waited = clock.Span(rapid.IntRange(0, 50_000).Draw(t, "waited"))
		a.Regions = rapid.SampledFrom([][]ident.Region{{"a"}, {"b"}, {"a", "b"}, {"c", "b"}}).Draw(t, "regions")
		n := rapid.SampledFrom(names).Draw(t, "policy")
		c, ok := policy(t, n).Choose(1000, a, v)
		if !ok {
			return
		}
		require.Contains(t, a.Regions, c.Region)
		require.Equal(t, c.Region != "a", c.Away)
		for _, e := range v.found[c.Region] {
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
		t.Fatalf("%s is no candidate", c.Endpoint)
	})
}
