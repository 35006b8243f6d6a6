package crash_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Fixes the seed of the property tests unless -rapid.seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }

const term = 10 * clock.Minute

// inFlightRequests returns requests that were in flight at a crash.
func inFlightRequests(id ident.Crash, all ...ident.Fingerprint) []crash.InFlightRequest {
	var requests []crash.InFlightRequest
	for _, f := range all {
		requests = append(requests, crash.InFlightRequest{Fingerprint: f, Crash: id})
	}
	return requests
}

// Guards against a crashing request that runs a third time, and against other requests
// on the crashed endpoints that are refused.
func TestCrasherAndHarmlessRequests(t *testing.T) {
	suspects := crash.New(crash.Config{Term: term})
	reports := suspects.RecordEndpointCrash(1, inFlightRequests(1, 7, 8, 9, 9))
	require.Len(t, reports, 3)
	require.InDelta(t, 1.0/3, suspects.CrashProbability(1, 7), 1e-9)
	require.Equal(t, crash.VerdictExclusive, suspects.Verdict(1, 8))
	require.True(t, suspects.Reserve(2, 7))
	require.False(t, suspects.Reserve(2, 7), "two copies must not run at once")
	suspects.RecordCompletion(2, 8)
	require.Equal(t, crash.VerdictClear, suspects.Verdict(3, 8))
	reports = suspects.RecordEndpointCrash(3, []crash.InFlightRequest{{Fingerprint: 7, Exclusive: true, Crash: 2}, {Fingerprint: 5, Crash: 2}})
	require.Equal(t, []gossip.CrashReport{{Fingerprint: 7, Refused: true, Remaining: term, Crash: 2}}, reports)
	require.Equal(t, crash.VerdictClear, suspects.Verdict(3, 5))
	require.Equal(t, crash.VerdictRefused, suspects.Verdict(3, 7))
	require.Equal(t, crash.VerdictClear, suspects.Verdict(clock.Time(3).Add(term), 7))
}

// Guards against a cleared request that becomes a suspect again because another entry
// still forwards the old crash report.
func TestForwardedReportAfterCompletion(t *testing.T) {
	entryA, entryB := crash.New(crash.Config{}), crash.New(crash.Config{})
	require.True(t, entryB.MergeCrashReports(60, entryA.RecordEndpointCrash(10, inFlightRequests(1, 1, 2))))
	require.Equal(t, crash.VerdictExclusive, entryB.Verdict(60, 1))
	entryA.RecordCompletion(100, 1)
	require.False(t, entryA.MergeCrashReports(2000, entryB.CrashReports(1950)))
	require.Equal(t, crash.VerdictClear, entryA.Verdict(2000, 1))
	entryA.RecordEndpointCrash(300_000, inFlightRequests(2, 1, 3))
	entryA.MergeCrashReports(301_000, entryB.CrashReports(300_950))
	require.Equal(t, crash.VerdictExclusive, entryA.Verdict(301_000, 1), "an old report must not count as a second crash")
}

// Guards against two entries that each observed one crash of the same request and each
// allow another run.
func TestCrashesSeenByTwoEntries(t *testing.T) {
	entryA, entryB := crash.New(crash.Config{}), crash.New(crash.Config{})
	first := entryA.RecordEndpointCrash(1000, inFlightRequests(1, 1))
	entryB.RecordEndpointCrash(3000, inFlightRequests(2, 1, 2))
	require.True(t, entryB.MergeCrashReports(3050, []gossip.CrashReport{{Fingerprint: 1, Remaining: first[0].Remaining - 2050, Crash: 1}}))
	require.Equal(t, crash.VerdictRefused, entryB.Verdict(3050, 1))
	require.True(t, entryA.MergeCrashReports(3100, entryB.CrashReports(3050)))
	require.Equal(t, crash.VerdictRefused, entryA.Verdict(3100, 1))
}

// Guards against two crashes that count as one because two entries see them at the same time, or because
// an entry only hears of them.
func TestCrashesAtTheSameTimeAreTwo(t *testing.T) {
	entryA, entryB, entryC := crash.New(crash.Config{}), crash.New(crash.Config{}), crash.New(crash.Config{})
	first := entryA.RecordEndpointCrash(1000, inFlightRequests(1, 1))
	second := entryB.RecordEndpointCrash(1040, inFlightRequests(2, 1))
	for _, reports := range [][]gossip.CrashReport{first, second, first} {
		entryA.MergeCrashReports(1050, reports)
		entryB.MergeCrashReports(1050, reports)
		entryC.MergeCrashReports(1050, reports)
	}
	for name, entry := range map[string]*crash.Suspects{"first": entryA, "second": entryB, "neither": entryC} {
		require.Equal(t, crash.VerdictRefused, entry.Verdict(1100, 1), name)
	}
}

// Guards against one crash that counts as two because two entries see it at different times.
func TestCrashWithoutIncarnationIsKnownByTime(t *testing.T) {
	entryA, entryB := crash.New(crash.Config{SameCrash: 5 * clock.Second}), crash.New(crash.Config{SameCrash: 5 * clock.Second})
	entryA.RecordEndpointCrash(1000, inFlightRequests(1, 1))
	entryB.RecordEndpointCrash(1900, inFlightRequests(1, 1))
	entryB.MergeCrashReports(2000, entryA.CrashReports(1950))
	require.Equal(t, crash.VerdictExclusive, entryB.Verdict(2000, 1))
	entryB.RecordEndpointCrash(9000, inFlightRequests(1, 1))
	require.Equal(t, crash.VerdictRefused, entryB.Verdict(9000, 1))
}

// Guards against a request that crashes two endpoints more each time its refusal ends.
func TestRefusalEndsLaterEachTime(t *testing.T) {
	const refusal = 30 * clock.Second
	suspects := crash.New(crash.Config{Term: refusal})
	now, crashes := clock.Time(1000), 0
	for ; now < clock.Time(5*clock.Minute); now = now.Add(clock.Second) {
		if suspects.Verdict(now, 1) != crash.VerdictRefused {
			crashes++
			suspects.RecordEndpointCrash(now, inFlightRequests(ident.Crash(crashes), 1))
		}
	}
	require.Equal(t, 5, crashes, "two, and one after 30, 60 and 120 seconds")
	last := suspects.CrashReports(now)[0]
	require.True(t, last.Refused)
	suspects.RecordCompletion(now, 1)
	require.Equal(t, crash.VerdictRefused, suspects.Verdict(now, 1), "the end of an earlier run does not end the refusal")
	now = now.Add(4 * clock.Minute)
	require.Equal(t, crash.VerdictExclusive, suspects.Verdict(now, 1))
	suspects.RecordCompletion(now, 1)
	require.Equal(t, crash.VerdictClear, suspects.Verdict(now, 1))
}

// Guards against a refusal that the instances prolong by telling each other.
func TestForwardedRefusalEnds(t *testing.T) {
	entryA, entryB := crash.New(crash.Config{Term: clock.Second}), crash.New(crash.Config{Term: clock.Second})
	entryA.RecordEndpointCrash(1, inFlightRequests(1, 1))
	entryA.RecordEndpointCrash(2, inFlightRequests(2, 1))
	refusedUntil := clock.Time(0)
	for now := clock.Time(10); now < 10_000; now += 100 {
		entryB.MergeRefusals(now, entryA.Refusals(now))
		entryA.MergeRefusals(now, entryB.Refusals(now))
		if entryB.Verdict(now, 1) == crash.VerdictRefused {
			refusedUntil = now
		}
	}
	require.InDelta(t, 1000, float64(refusedUntil), 100)
}

// Guards against unbounded memory and unbounded messages when many requests are at crashes, and against bystanders
// that displace what crashes endpoints.
func TestBound(t *testing.T) {
	suspects := crash.New(crash.Config{})
	const crasher ident.Fingerprint = 1 << 40
	suspects.RecordEndpointCrash(1, inFlightRequests(1, crasher))
	suspects.RecordEndpointCrash(1, inFlightRequests(2, crasher))
	for f := range ident.Fingerprint(5000) {
		suspects.RecordEndpointCrash(1, inFlightRequests(3, f))
	}
	reports := suspects.CrashReports(1)
	require.Len(t, reports, 32)
	require.Equal(t, crasher, reports[0].Fingerprint)
	require.Len(t, suspects.Refusals(1), 1)
	kept := 0
	for f := range ident.Fingerprint(5000) {
		if suspects.Verdict(1, f) == crash.VerdictExclusive {
			kept++
		}
	}
	require.Equal(t, 4096, kept)
	require.Equal(t, crash.VerdictClear, suspects.Verdict(1, 0))
	require.Equal(t, crash.VerdictRefused, suspects.Verdict(1, crasher))
}

// Guards against a request that crashes more than two endpoints although every entry
// learns of each crash before the caller resends.
func TestAtMostTwoEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := []*crash.Suspects{crash.New(crash.Config{}), crash.New(crash.Config{}), crash.New(crash.Config{})}
		const crasher ident.Fingerprint = 1
		now := clock.Time(1000)
		crashes := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.IntRange(1, 9000).Draw(t, "passed")))
			suspects := entries[rapid.IntRange(0, 2).Draw(t, "entry")]
			switch verdict := suspects.Verdict(now, crasher); verdict {
			case crash.VerdictRefused:
				continue
			default:
				crashes++
				id := ident.Crash(crashes)
				inFlight := []crash.InFlightRequest{{Fingerprint: crasher, Exclusive: verdict == crash.VerdictExclusive, Crash: id}}
				if verdict == crash.VerdictClear {
					inFlight = append(inFlight, inFlightRequests(id, ident.Fingerprint(rapid.IntRange(2, 9).Draw(t, "other")))...)
				}
				suspects.RecordEndpointCrash(now, inFlight)
			}
			for _, from := range entries {
				for _, to := range entries {
					to.MergeCrashReports(now, from.CrashReports(now))
				}
			}
		}
		require.LessOrEqual(t, crashes, 2)
	})
}

// Guards against copies of a request that all run once its refusal has ended.
func TestTrialAfterRefusal(t *testing.T) {
	suspects := crash.New(crash.Config{Term: 30 * clock.Second})
	require.False(t, suspects.NeedsTrial(1000, 1))
	require.False(t, suspects.StartTrial(1000, 1))
	suspects.RecordEndpointCrash(1000, inFlightRequests(1, 1))
	require.False(t, suspects.NeedsTrial(1000, 1), "after one crash any instance may run it")
	suspects.RecordEndpointCrash(2000, inFlightRequests(2, 1))
	require.False(t, suspects.NeedsTrial(2000, 1))
	ended := clock.Time(2000 + 30*clock.Second)
	require.True(t, suspects.NeedsTrial(ended, 1))
	require.True(t, suspects.StartTrial(ended, 1))
	require.False(t, suspects.StartTrial(ended.Add(9*clock.Second), 1))
	require.True(t, suspects.StartTrial(ended.Add(10*clock.Second), 1))
	suspects.RecordEndpointCrash(ended.Add(11*clock.Second), inFlightRequests(3, 1))
	require.False(t, suspects.NeedsTrial(ended.Add(12*clock.Second), 1))
	suspects.RecordCompletion(ended.Add(2*clock.Minute), 1)
	require.False(t, suspects.NeedsTrial(ended.Add(2*clock.Minute), 1), "it has completed")
}
