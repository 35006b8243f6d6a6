package burn_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/burn"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Fixes the seed of the property tests unless the command line sets one.
func init() { _ = flag.Set("rapid.seed", "1") }

var update = flag.Bool("update", false, "rewrite the golden files")

var classes = []bundle.Class{{Name: "short", FirstTokenTarget: 1600, BetweenTokensTarget: 54}, {Name: "long", FirstTokenTarget: 8000, BetweenTokensTarget: 54}}

func newMeter(name ident.Entry) *burn.Meter {
	return burn.New(burn.Config{Entry: name, Classes: classes})
}

func sample(first, between clock.Span) burn.Sample {
	return burn.Sample{
		Service: "assistant", Class: "short", Region: "dk-east",
		First: first, Between: between, Wait: first / 2, Complete: true, Ran: "yes",
	}
}

func failed(ran string) burn.Sample {
	result := sample(0, 0)
	result.Complete, result.Ran = false, ran
	return result
}

func burnOf(t *testing.T, report burn.Report, objective burn.Objective) burn.ObjectiveBurn {
	t.Helper()
	for _, b := range report.Series[0].Burns {
		if b.Objective == objective {
			return b
		}
	}
	t.Fatal("the report has no objective " + objective)
	return burn.ObjectiveBurn{}
}

// Guards against counting requests under the wrong objective, and against counting unknown
// outcomes as failures.
func TestObjectives(t *testing.T) {
	meter := newMeter("e1")
	now := clock.Time(clock.Minute)
	meter.Record(now, sample(1600, 54))
	meter.Record(now, sample(1601, 54))
	meter.Record(now, sample(100, 55))
	meter.Record(now, sample(100, 0)) // one token: no time between tokens
	meter.Record(now, failed("no"))
	meter.Record(now, failed("yes"))
	meter.Record(now, failed("unknown"))
	disconnected := failed("yes")
	disconnected.CallerDisconnected = true
	meter.Record(now, disconnected)
	report := meter.Report(now)
	require.Equal(t, burn.Tally{Good: 3, Bad: 1}, burnOf(t, report, burn.FirstToken).Long)
	require.Equal(t, burn.Tally{Good: 2, Bad: 1}, burnOf(t, report, burn.BetweenTokens).Long)
	require.Equal(t, burn.Tally{Good: 4, Bad: 2}, burnOf(t, report, burn.Availability).Long)
	require.Equal(t, int64(1), report.Series[0].UnknownOutcomes)
	require.Equal(t, int64(1), report.Series[0].CallerDisconnected)
	require.Equal(t, int64(4), report.Series[0].First.Count())
}

// Guards against windows that drop values too early or never.
func TestWindows(t *testing.T) {
	meter := newMeter("e1")
	start := clock.Time(10 * clock.Minute)
	for range 95 {
		meter.Record(start, sample(100, 20))
	}
	for range 5 {
		meter.Record(start, sample(2000, 20))
	}
	status := burnOf(t, meter.Report(start), burn.FirstToken)
	require.InDelta(t, 1, status.ShortRate, 1e-9)
	require.InDelta(t, 0, status.BudgetLeft, 1e-9)
	status = burnOf(t, meter.Report(start.Add(5*clock.Minute)), burn.FirstToken)
	require.Zero(t, status.Short)
	require.Equal(t, burn.Tally{Good: 95, Bad: 5}, status.Long)
	report := meter.Report(start.Add(59 * clock.Minute))
	require.Equal(t, int64(5), burnOf(t, report, burn.FirstToken).Long.Bad)
	report = meter.Report(start.Add(60 * clock.Minute))
	require.Zero(t, burnOf(t, report, burn.FirstToken).Long)
	require.Zero(t, report.Series[0].First.Count())
}

// Guards against a forecast that does not follow from the burn rate.
func TestExhaustion(t *testing.T) {
	meter := newMeter("e1")
	early, now := clock.Time(10*clock.Minute), clock.Time(40*clock.Minute)
	for range 900 {
		meter.Record(early, sample(100, 20))
	}
	require.Equal(t, burn.Never, burnOf(t, meter.Report(now), burn.FirstToken).Exhaustion)
	for i := range 100 {
		meter.Record(now, sample(clock.Span(100+2000*(i%10/9)), 20))
	}
	status := burnOf(t, meter.Report(now), burn.FirstToken)
	require.InDelta(t, 2, status.ShortRate, 1e-9)    // 10 of 100, allowed 5
	require.InDelta(t, 0.8, status.BudgetLeft, 1e-9) // 10 of 1000, allowed 50
	require.InDelta(t, float64(24*clock.Minute), float64(status.Exhaustion), 1)
}

// Guards against a merged report that differs from what a single meter would have counted,
// as merged percentiles would.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		meters := []*burn.Meter{newMeter("a"), newMeter("b"), newMeter("all")}
		now := clock.Time(clock.Minute)
		for _, first := range rapid.SliceOfN(rapid.Int64Range(0, 1_000_000), 0, 50).Draw(t, "first") {
			now = now.Add(clock.Span(rapid.Int64Range(0, 100_000).Draw(t, "step")))
			result := sample(clock.Span(first), clock.Span(first%100))
			result.Complete = first%7 > 0
			result.Service = ident.Service([]string{"x", "y"}[first%2])
			meters[rapid.IntRange(0, 1).Draw(t, "entry")].Record(now, result)
			meters[2].Record(now, result)
		}
		first, second, all := meters[0].Report(now), meters[1].Report(now), meters[2].Report(now)
		merged := burn.Merge([]burn.Report{first, second, first})
		require.Equal(t, []ident.Entry{"a", "b"}, merged.Entries)
		require.Equal(t, all.Series, merged.Series)
	})
}

// Guards against unintended changes of the table or the JSON, and against a missing entry
// that is not shown.
func TestGolden(t *testing.T) {
	first, second := newMeter("e1"), newMeter("e2")
	now := clock.Time(clock.Minute)
	for i := range clock.Span(100) {
		first.Record(now, sample(20*i, 20+i/2))
		second.Record(now, sample(10*i, 30))
	}
	second.Record(now, failed("no"))
	second.Record(now, failed("unknown"))
	report := burn.Merge([]burn.Report{
		second.Report(now), first.Report(now),
		{Missing: []burn.Missing{{Entry: "127.0.0.1:8081", Cause: "connection refused"}}},
	})
	var table bytes.Buffer
	require.NoError(t, report.WriteTable(&table))
	requireGolden(t, "table.txt", table.Bytes())
	text, err := json.MarshalIndent(report, "", " ")
	require.NoError(t, err)
	requireGolden(t, "report.json", append(text, '\n'))
}

func requireGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := "testdata/" + name
	if *update {
		require.NoError(t, os.WriteFile(path, got, 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got))
}
