package trial

import (
	"bytes"
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

// Guards against requests missing from the figures, checks that do not run, and changed
// names of result fields.
func TestShortRun(t *testing.T) {
	for _, cfg := range []Config{
		{Deployment: stage.Kgosi, Case: CaseCrasher, Policy: "tanager", Seed: 3},
		{Deployment: stage.Skovbro, Case: CasePaused, Policy: "tanager", Seed: 5},
		{Deployment: stage.Skovbro, Case: CaseLost, Policy: "robin", Seed: 4},
	} {
		t.Run(cfg.Deployment+" "+string(cfg.Case), func(t *testing.T) {
			t.Parallel()
			cfg.Duration = 2 * time.Second
			cfg.OnViolation = func(text string) { t.Log(text) }
			x, err := execute(t.Context(), cfg)
			require.NoError(t, err)
			result := x.result()
			sent, plain := 0, 0
			for i := range x.plan.arrivals {
				if x.plan.arrivals[i].measured() {
					sent++
				}
			}
			for _, o := range x.measuredOutcomes() {
				if o.state == completed && !o.isCompletion() {
					plain++
				}
			}
			require.Equal(t, sent, plain+result.Classes[stage.ClassShort].Count+result.Classes[stage.ClassLong].Count+result.Refused+result.Unknown)
			require.Positive(t, result.Classes[stage.ClassShort].FirstToken.P99)
			require.Zero(t, result.Violations.sum())
			for _, g := range []int{1, 2, 4, 6, 9} {
				require.Positive(t, x.checks.checked[g], "G%d", g)
			}
			if cfg.Case == CaseCrasher {
				require.Positive(t, result.Crashed)
			}
			require.Greater(t, result.MeanCost, 0.9*result.MinCost)
			requireFields(t, &result)
		})
	}
}

func requireFields(t *testing.T, result *Result) {
	t.Helper()
	encoded, err := json.Marshal(result)
	require.NoError(t, err)
	var fields map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(encoded, &fields))
	var names []string
	for name := range fields {
		names = append(names, name)
	}
	require.ElementsMatch(t, []string{
		"deployment", "case", "policy", "seed", "classes", "away", "least", "cost", "floor",
		"retries", "refused", "unknown", "crashed", "links", "violations",
	}, names)
	require.Len(t, result.Links, 6)
	require.Len(t, result.Violations, guarantees)
	var class map[string]json.RawMessage
	var classes map[string]json.RawMessage
	require.NoError(t, json.Unmarshal(fields["classes"], &classes))
	require.NoError(t, json.Unmarshal(classes["short"], &class))
	require.Len(t, class, 4)
}

// smallPlan returns a plan with one region of 2 slots and a maximum wait of 1 s.
func smallPlan(scenario Case, arrivals ...arrival) *plan {
	return &plan{
		model: &model{
			scenario: scenario, regions: 1, length: 12 * time.Second, regionSlots: 2, regionEngines: 1,
			tokenInterval: 10 * time.Millisecond, prefillPerWord: time.Millisecond, maxWait: time.Second,
		},
		regions: []ident.Region{"r"}, arrivals: arrivals,
	}
}

// Guards against a lower bound that is above what a policy can reach, or far below it.
func TestMinRemoteShare(t *testing.T) {
	long := arrival{kind: draft, answerTokens: 500}                        // 5 s of a slot
	short := arrival{kind: question, answerTokens: 100}                    // 1 s of a slot
	early := arrival{kind: draft, answerTokens: 500, offset: -time.Second} // 4 s of it are in the measurement
	for name, c := range map[string]struct {
		arrivals []arrival
		want     float64
	}{
		"nothing":           {nil, 0},
		"as much as fits":   {[]arrival{long, long}, 0},
		"waits in time":     {[]arrival{short, short, short, short}, 0},
		"too much":          {[]arrival{long, long, long, long}, 8.0 / 5 / 4}, // demand of 4 slots for 5 s; 2 s of slot time can wait
		"others count too":  {[]arrival{long, long, long, long, {kind: stock}, {kind: order}, short, short}, 10.0 / 5 / 8},
		"during the warmup": {[]arrival{early, early, long, long}, 6.0 / 5 / 2},
	} {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, c.want, smallPlan(CaseSteady, c.arrivals...).minRemoteShare(), 1e-9)
		})
	}
	duringLoss := long
	duringLoss.offset = 4 * time.Second
	small := smallPlan(CaseLost, duringLoss, duringLoss)
	small.model.regions, small.model.regionEngines = 2, 2
	small.regions = []ident.Region{"q", "r"}
	for i := range small.arrivals {
		small.arrivals[i].region = crashRegion
	}
	// From 4 s to 8 s there is one slot for a demand of two; 1 s of slot time can wait.
	require.InDelta(t, 3.0/5/2, small.minRemoteShare(), 1e-9)
}

// Guards against a minimum cost that counts failed or unmeasured work, or counts the
// prefill of a cached prefix again.
func TestMinCost(t *testing.T) {
	base := arrival{kind: draft, answerTokens: 100, promptWords: 300, sharedWords: 200} // 1 s, 0.1 s of prefill, 0.2 s for the prefix
	other := base
	other.customer = 1
	small := smallPlan(CaseSteady, base, base, other)
	outcomes := func(states ...outcomeState) []*outcome {
		var out []*outcome
		for i := range states {
			out = append(out, &outcome{arrival: &small.arrivals[i], state: states[i]})
		}
		return out
	}
	require.InDelta(t, 1.3, small.minCost(outcomes(completed)), 1e-9)
	require.InDelta(t, (1.3+1.1+1.3)/3, small.minCost(outcomes(completed, completed, completed)), 1e-9)
	require.InDelta(t, 1.1, small.minCost(outcomes(refused, completed)), 1e-9)
	require.Zero(t, small.minCost(outcomes(unknown)))
	small.arrivals[0].offset = -time.Second
	require.InDelta(t, 1.1, small.minCost(outcomes(completed, completed)), 1e-9)
}

// Guards against arrivals that differ between runs with the same seed, which would make
// policies incomparable, and against a load that overloads the deployment.
func TestPlan(t *testing.T) {
	regions := []ident.Region{"a", "b", "c"}
	homes := []bundle.Home{{Name: "a", Regions: regions[:1]}, {Name: "ab", Regions: regions[:2]}}
	for _, c := range []Case{CaseSteady, CasePeak} {
		m := newModel(c, 3, 18, 20*time.Second)
		first, again := newPlan(m, 7, regions, homes), newPlan(m, 7, regions, homes)
		require.Equal(t, first.arrivals, again.arrivals)
		require.NotEqual(t, first.arrivals, newPlan(m, 8, regions, homes).arrivals)
		used := 0.0
		for seed := range uint64(10) {
			p := newPlan(m, seed, regions, homes)
			require.Less(t, float64(len(p.arrivals)), 150*(m.length+m.warmup()).Seconds())
			for i := range p.arrivals {
				a := &p.arrivals[i]
				require.True(t, slices.Contains(p.allowedRegions(a), regions[a.region]))
				if a.measured() && a.isCompletion() {
					used += m.idealSlotTime(a, false).Seconds() / totalSlots / m.length.Seconds() / 10
				}
			}
		}
		want := map[Case]float64{CaseSteady: 0.65, CasePeak: (0.5 + 0.5 + 1) / 3}[c]
		require.InDelta(t, want, used, 0.06, c)
	}
}

// Guards against an invalid setting that is detected only after other trials have run,
// or whose error does not name the flag.
func TestInvalidSettings(t *testing.T) {
	_, err := ParseCases("steady,storm")
	require.ErrorContains(t, err, "--case")
	_, err = ParsePolicies("best")
	require.ErrorContains(t, err, "--policy")
	all, err := ParseCases("all")
	require.NoError(t, err)
	require.Equal(t, Cases(), all)
	for flag, s := range map[string]Series{
		"--deployment": {Deployment: "x", Cases: all, Policies: Policies(), Duration: time.Second},
		"--for":        {Deployment: stage.Kgosi, Cases: all, Policies: Policies()},
	} {
		s.Out, s.Warnings = &bytes.Buffer{}, &bytes.Buffer{}
		require.ErrorContains(t, s.Run(t.Context()), flag)
	}
}

// Guards against a target that is reported as met without a figure to compare with, or
// as missed although it is met.
func TestTargets(t *testing.T) {
	class := func(ms float64) Classes {
		percentiles := Percentiles{P99: ms}
		return Classes{stage.ClassShort: {FirstToken: percentiles, SlotWait: percentiles}, stage.ClassLong: {FirstToken: percentiles, SlotWait: percentiles}}
	}
	all := []Result{
		{Case: CaseSteady, Policy: "tanager", Classes: class(10), MeanCost: 1.04, MinCost: 1},
		{Case: CaseSteady, Policy: "single", Classes: class(50)},
		{Case: CaseSlowed, Policy: "tanager", Classes: class(14), MeanCost: 1.2, MinCost: 1},
		{Case: CaseSlowed, Policy: "robin", Classes: class(28)},
	}
	met := map[string]bool{}
	for _, x := range targets(all) {
		met[x.name] = x.met()
	}
	require.Equal(t, map[string]bool{
		"steady: p99 wait of short requests against a single queue":        true,
		"steady: cost against the lower bound":                             true,
		"slowed: cost against the lower bound":                             false,
		"slowed: p99 time to first token of short requests against steady": false,
		"slowed: p99 time to first token of long requests against steady":  false,
		"slowed: p99 time to first token of short requests against robin":  true,
		"slowed: p99 time to first token of long requests against robin":   true,
	}, met)
	var out bytes.Buffer
	printTargets(&out, all)
	require.Contains(t, out.String(), "missed")
}
