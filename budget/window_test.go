package budget_test

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/budget"
	"github.com/tanagerbridge/tanagerbridge/clock"
)

// Guards against retries beyond the share of first sends plus this instance's part of the
// slack.
func TestWindow(t *testing.T) {
	window := budget.NewWindow(budget.WindowConfig{Span: 10 * clock.Second, Ratio: 0.2, Slack: 20, UsableShare: 1})
	now := clock.Time(100_000)
	for range 50 {
		window.RecordFirst(now)
	}
	taken := 0
	for range 100 {
		if window.Take(now, 4) {
			taken++
		}
	}
	require.Equal(t, 15, taken) // 0.2 of 50 plus 20 shared by 4 instances
	require.False(t, window.Take(now.Add(5*clock.Second), 4))
	require.True(t, window.Take(now.Add(12*clock.Second), 4), "the window has passed")
}

// Guards against a restarted instance that uses its part of the slack a second time within
// one window.
func TestRestartedWindowHasNoSlack(t *testing.T) {
	startedAt := clock.Time(100_000)
	window := budget.NewWindow(budget.WindowConfig{Span: 10 * clock.Second, Ratio: 0.2, Slack: 20, UsableShare: 1, StartedAt: startedAt})
	require.False(t, window.Take(startedAt.Add(9*clock.Second), 1))
	for range 10 {
		window.RecordFirst(startedAt.Add(9 * clock.Second))
	}
	require.True(t, window.Take(startedAt.Add(9*clock.Second), 1), "the ratio applies from the start")
	require.True(t, window.Take(startedAt.Add(10*clock.Second), 1))
	for range 18 {
		require.True(t, window.Take(startedAt.Add(10*clock.Second), 1))
	}
}

// Guards against all instances together exceeding the bound in any window.
func TestWindowsOfAllInstancesStayBelowTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const instances, span, ratio, slack = 4, 10 * clock.Second, 0.2, 52.0
		var all [instances]*budget.Window
		for i := range all {
			all[i] = budget.NewWindow(budget.WindowConfig{Span: span, Ratio: ratio, Slack: slack, UsableShare: 0.8})
		}
		now := clock.Time(60_000)
		type recordedSend struct {
			time  clock.Time
			retry bool
		}
		var sends []recordedSend
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.IntRange(0, 300).Draw(t, "pause")))
			window := all[rapid.IntRange(0, instances-1).Draw(t, "instance")]
			if rapid.Bool().Draw(t, "first") {
				window.RecordFirst(now)
				sends = append(sends, recordedSend{now, false})
			} else if window.Take(now, instances) {
				sends = append(sends, recordedSend{now, true})
			}
		}
		for i := range sends {
			firsts, before, retries := 0.0, 0.0, 0.0
			for _, e := range sends {
				switch age := e.time.Sub(sends[i].time); {
				case age >= 0 && age < span && e.retry:
					retries++
				case age >= 0 && age < span:
					firsts++
				case age < 0 && age >= -span/2 && !e.retry:
					before++
				}
			}
			if limit := ratio*(firsts+before) + slack; retries > limit {
				t.Fatalf("%.0f retries in a window, want at most %.1f", retries, limit)
			}
		}
	})
}
