package crash_test

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
)

// Fixes the seed of the property tests unless -rapid.seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }

const term = 10 * clock.Minute

func marks(all ...ident.Fingerprint) []crash.Mark {
	var marked []crash.Mark
	for _, f := range all {
		marked = append(marked, crash.Mark{Fingerprint: f})
	}
	return marked
}

// Guards against a crashing request that runs a third time, and against other requests
// on the crashed endpoints that are refused.
func TestCulpritAndInnocents(t *testing.T) {
	suspects := crash.New(crash.Config{Term: term})
	accusations := suspects.Crashed(1, marks(7, 8, 9, 9))
	require.Len(t, accusations, 3)
	require.InDelta(t, 1.0/3, suspects.Share(1, 7), 1e-9)
	require.Equal(t, crash.Alone, suspects.Verdict(1, 8))
	require.True(t, suspects.Start(2, 7))
	require.False(t, suspects.Start(2, 7), "two copies must not run at once")
	suspects.Cleared(2, 8)
	require.Equal(t, crash.Clear, suspects.Verdict(3, 8))
	accusations = suspects.Crashed(3, []crash.Mark{{Fingerprint: 7, Alone: true}, {Fingerprint: 5}})
	require.Equal(t, []news.Accusation{{Fingerprint: 7, Refused: true, Rest: term}}, accusations)
	require.Equal(t, crash.Clear, suspects.Verdict(3, 5))
	require.Equal(t, crash.Refused, suspects.Verdict(3, 7))
	require.Equal(t, crash.Clear, suspects.Verdict(clock.Time(3).Add(term), 7))
}

// Guards against a cleared request that becomes a suspect again because another entry
// still forwards the old accusation.
func TestEchoAfterCleared(t *testing.T) {
	entryA, entryB := crash.New(crash.Config{}), crash.New(crash.Config{})
	require.True(t, entryB.Hear(60, entryA.Crashed(10, marks(1, 2))))
	require.Equal(t, crash.Alone, entryB.Verdict(60, 1))
	entryA.Cleared(100, 1)
	require.False(t, entryA.Hear(2000, entryB.Accusations(1950)))
	require.Equal(t, crash.Clear, entryA.Verdict(2000, 1))
	entryA.Crashed(300_000, marks(1, 3))
	entryA.Hear(301_000, entryB.Accusations(300_950))
	require.Equal(t, crash.Alone, entryA.Verdict(301_000, 1), "old news must not count as a second crash")
}

// Guards against two entries that each observed one crash of the same request and each
// allow another run.
func TestTwoWitnesses(t *testing.T) {
	entryA, entryB := crash.New(crash.Config{}), crash.New(crash.Config{})
	first := entryA.Crashed(1000, marks(1))
	entryB.Crashed(3000, marks(1, 2))
	require.True(t, entryB.Hear(3050, []news.Accusation{{Fingerprint: 1, Rest: first[0].Rest - 2050}}))
	require.Equal(t, crash.Refused, entryB.Verdict(3050, 1))
	require.True(t, entryA.Hear(3100, entryB.Accusations(3050)))
	require.Equal(t, crash.Refused, entryA.Verdict(3100, 1))
}

// Guards against unbounded memory and unbounded messages when many requests crash
// endpoints.
func TestBound(t *testing.T) {
	suspects := crash.New(crash.Config{})
	for f := range ident.Fingerprint(5000) {
		suspects.Crashed(1, marks(f))
	}
	require.Len(t, suspects.Accusations(1), 64)
	kept := 0
	for f := range ident.Fingerprint(5000) {
		if suspects.Verdict(1, f) == crash.Alone {
			kept++
		}
	}
	require.Equal(t, 4096, kept)
	require.Equal(t, crash.Clear, suspects.Verdict(1, 0))
}

// Guards against a request that crashes more than two endpoints although every entry
// learns of each crash before the caller resends.
func TestAtMostTwoEndpoints(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := []*crash.Suspects{crash.New(crash.Config{}), crash.New(crash.Config{}), crash.New(crash.Config{})}
		const culprit ident.Fingerprint = 1
		now := clock.Time(1000)
		crashes := 0
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.IntRange(1, 9000).Draw(t, "passed")))
			suspects := entries[rapid.IntRange(0, 2).Draw(t, "entry")]
			switch verdict := suspects.Verdict(now, culprit); verdict {
			case crash.Refused:
				continue
			default:
				crashes++
				inFlight := []crash.Mark{{Fingerprint: culprit, Alone: verdict == crash.Alone}}
				if verdict == crash.Clear {
					inFlight = append(inFlight, marks(ident.Fingerprint(rapid.IntRange(2, 9).Draw(t, "other")))...)
				}
				suspects.Crashed(now, inFlight)
			}
			for _, from := range entries {
				for _, to := range entries {
					to.Hear(now, from.Accusations(now))
				}
			}
		}
		require.LessOrEqual(t, crashes, 2)
	})
}
