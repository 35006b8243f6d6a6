package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	service ident.Service = "assistant"
	region  ident.Region  = "dk-east"
)

func instance(number int) watch.Instance {
	return watch.Instance{
		Name: fmt.Sprint("e", number), Role: watch.RoleEndpoint, Region: region, State: watch.StateLive,
		Address: fmt.Sprint("127.0.0.1:", 1000+number), Service: service, Slots: 8,
	}
}

func listed(count int) []watch.Instance {
	var rows []watch.Instance
	for i := range count {
		rows = append(rows, instance(i))
	}
	return rows
}

func newFleet(count int) *fleet.Fleet {
	endpoints := fleet.New(fleet.Config{Region: region, Seed: 1})
	endpoints.Sync(1, listed(count))
	return endpoints
}

func candidateNames(endpoints *fleet.Fleet, now clock.Time) []string {
	found := []string{}
	for _, c := range endpoints.Candidates(now, service, region) {
		found = append(found, string(c.Endpoint))
	}
	return found
}

func begin(endpoints *fleet.Fleet, now clock.Time, request string, index int, long bool) {
	endpoints.Begin(now, fleet.Attempt{
		Request: ident.Request(request), Number: 1, Endpoint: ident.Endpoint(fmt.Sprint("e", index)),
		Service: service, Long: long, ExpectedDuration: 1000,
	})
}

var ready = fleet.Report{State: fleet.ConditionReady}

// Guards against counting own attempts twice: locally and in the report.
func TestLoadCorrectsLaggedReport(t *testing.T) {
	endpoints := newFleet(1)
	begin(endpoints, 1000, "a", 0, false)
	begin(endpoints, 1000, "b", 0, true)
	begin(endpoints, 1900, "c", 0, true)
	endpoints.Report(2000, "e0", fleet.Report{Age: 500, State: fleet.ConditionReady, Running: 4, Waiting: 1})
	candidate := endpoints.Candidates(2000, service, region)[0]
	require.InDelta(t, 6.0, candidate.Load, 1e-9, "3 own and 3 from other entries")
	require.InDelta(t, 5.0, candidate.ReportedLoad, 1e-9)
	require.InDelta(t, 4.0, candidate.LongLoad, 1e-9, "2 own and two thirds of the 3 from others")
	endpoints.End(2100, "a", 1, fleet.Complete, 10)
	require.InDelta(t, 5.0, endpoints.Candidates(2100, service, region)[0].Load, 1e-9)
}

// Guards against sending work to endpoints that cannot take it, for each source of that
// information.
func TestStates(t *testing.T) {
	tests := map[string]struct {
		act  func(endpoints *fleet.Fleet)
		want fleet.State
	}{
		"refusal":        {func(f *fleet.Fleet) { f.MarkLeaving(100, "e0") }, fleet.Leaving},
		"report leaving": {func(f *fleet.Fleet) { f.Report(100, "e0", fleet.Report{State: fleet.ConditionLeaving}) }, fleet.Leaving},
		"loading":        {func(f *fleet.Fleet) { f.Report(100, "e0", fleet.Report{State: fleet.ConditionLoading}) }, fleet.Loading},
		"departures":     {func(f *fleet.Fleet) { f.ApplyDepartures(100, []gossip.Departure{{Endpoint: "e0", Age: 5}}) }, fleet.Leaving},
		"list": {func(f *fleet.Fleet) {
			row := instance(0)
			row.State = watch.StateLeaving
			f.Sync(100, []watch.Instance{row})
		}, fleet.Leaving},
		"stays leaving": {func(f *fleet.Fleet) {
			f.MarkLeaving(100, "e0")
			f.Report(200, "e0", ready)
			f.Sync(300, listed(1))
		}, fleet.Leaving},
		"missed twice": {func(f *fleet.Fleet) { f.RecordMissedReport(100, "e0"); f.RecordMissedReport(200, "e0") }, fleet.Live},
		"missed": {func(f *fleet.Fleet) {
			f.RecordMissedReport(100, "e0")
			f.RecordMissedReport(200, "e0")
			f.RecordMissedReport(300, "e0")
		}, fleet.Down},
		"unreachable": {func(f *fleet.Fleet) {
			begin(f, 100, "a", 0, false)
			f.End(110, "a", 1, fleet.Unreachable, 0)
		}, fleet.Down},
		"back": {func(f *fleet.Fleet) { f.RecordCrash(100, "e0"); f.Report(300, "e0", ready) }, fleet.Live},
		"report from before crash": {func(f *fleet.Fleet) {
			f.RecordCrash(100, "e0")
			f.Report(300, "e0", fleet.Report{Age: 250, State: fleet.ConditionReady})
		}, fleet.Down},
		"new instance of that name": {func(f *fleet.Fleet) {
			f.MarkLeaving(100, "e0")
			row := instance(0)
			row.Address = "127.0.0.1:9"
			f.Sync(200, []watch.Instance{row})
		}, fleet.Live},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			endpoints := newFleet(1)
			tt.act(endpoints)
			require.Equal(t, tt.want, endpoints.State("e0"))
			require.Equal(t, tt.want == fleet.Live, len(candidateNames(endpoints, 400)) == 1)
		})
	}
}

// Guards against dropping an endpoint that still answers when a stale list omits it, and
// against keeping one that is gone.
func TestMissingFromList(t *testing.T) {
	endpoints := newFleet(2)
	begin(endpoints, 10, "a", 0, false)
	for now := clock.Time(1000); now <= 60_000; now += 1000 {
		endpoints.Report(now, "e0", ready)
		endpoints.Sync(now, listed(0))
	}
	require.Equal(t, []string{"e0"}, candidateNames(endpoints, 60_500), "e1 never answered")
	endpoints.Sync(62_000, nil)
	require.Empty(t, candidateNames(endpoints, 62_000))
	endpoints.Sync(63_000, listed(1))
	require.Equal(t, 1, endpoints.Candidates(63_000, service, region)[0].OwnAttempts, "the attempt is still accounted for")
}

// Guards against applying a departure to the successor of an instance with the same name,
// and against losing a departure that arrives before the endpoint is listed.
func TestApplyDepartures(t *testing.T) {
	endpoints := newFleet(1)
	row := instance(0)
	row.Address = "127.0.0.1:9"
	endpoints.Sync(1000, []watch.Instance{row})
	require.False(t, endpoints.ApplyDepartures(1100, []gossip.Departure{{Endpoint: "e0", Age: 500}}))
	require.True(t, endpoints.ApplyDepartures(1100, []gossip.Departure{{Endpoint: "e1", Age: 500}}))
	require.False(t, endpoints.ApplyDepartures(1200, []gossip.Departure{{Endpoint: "e1", Age: 600}}))
	endpoints.Sync(2000, listed(2))
	require.Equal(t, fleet.Leaving, endpoints.State("e1"))
	require.Equal(t, []gossip.Departure{{Endpoint: "e1", Age: 1400}}, endpoints.Departures(2000)[:1])
}

// Guards against full load on cold caches, and against returning lost attempts twice.
func TestCrashAndSlowStart(t *testing.T) {
	endpoints := newFleet(4)
	begin(endpoints, 100, "a", 1, false)
	begin(endpoints, 200, "b", 1, true)
	lost := endpoints.RecordCrash(300, "e1")
	require.Len(t, lost, 2)
	require.Equal(t, ident.Request("a"), lost[0].Request)
	require.Empty(t, endpoints.RecordCrash(301, "e1"))
	endpoints.Report(1000, "e1", ready)
	steps := []struct {
		now    clock.Time
		slots  int
		weight float64
		cold   bool
	}{{1000, 1, 0.1, true}, {6000, 5, 0.55, true}, {11_000, 8, 1, false}}
	for _, s := range steps {
		candidate := endpoints.Candidates(s.now, service, region)[1]
		require.Equal(t, s.slots, candidate.Slots)
		require.InDelta(t, s.weight, candidate.Weight, 1e-9)
		require.Equal(t, s.cold, candidate.Cold)
	}
}

// answerRounds has each endpoint answer requests one after the other, with the given time
// to the first token, and returns the time after the last round.
func answerRounds(endpoints *fleet.Fleet, now clock.Time, rounds int, firstToken func(index int) clock.Span, count int) clock.Time {
	for r := range rounds {
		for e := range count {
			name := fmt.Sprint(now, "-", r, "-", e)
			begin(endpoints, now, name, e, false)
			endpoints.RecordFirstToken(now.Add(firstToken(e)), ident.Request(name), 1)
			endpoints.End(now.Add(10*firstToken(e)), ident.Request(name), 1, fleet.Complete, 50)
		}
		now = now.Add(1000)
	}
	return now
}

// Guards against slow endpoints that keep their share of work, against reducing the weight
// of too many endpoints, and of the wrong ones.
func TestSlowWeights(t *testing.T) {
	tests := map[string]struct {
		n, slow, removed int
		factor           clock.Span
	}{
		"one of three":        {3, 1, 1, 5},
		"two of six":          {6, 2, 2, 5},
		"two of four":         {4, 2, 1, 5},
		"one of two":          {2, 1, 0, 5},
		"a little slower":     {6, 1, 0, 1},
		"a third at the most": {9, 4, 3, 5},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			endpoints := newFleet(tt.n)
			now := answerRounds(endpoints, 1000, 8, func(e int) clock.Span {
				if e < tt.slow {
					return 100 * tt.factor
				}
				return 100
			}, tt.n)
			removed := 0
			for i, c := range endpoints.Candidates(now, service, region) {
				if c.Weight < 1 {
					removed++
					require.Less(t, i, tt.slow)
					require.LessOrEqual(t, c.Weight, 0.05)
				}
			}
			require.Equal(t, tt.removed, removed)
		})
	}
}

// Guards against detecting a slow endpoint only when its attempts end.
func TestOverdueAttemptsCount(t *testing.T) {
	endpoints := newFleet(3)
	now := answerRounds(endpoints, 1000, 5, func(int) clock.Span { return 100 }, 3)
	for i := range 3 {
		begin(endpoints, now, fmt.Sprint("late", i), 1, false)
	}
	require.InDelta(t, 1.0, endpoints.Candidates(now, service, region)[1].Weight, 1e-9)
	require.Less(t, endpoints.Candidates(now+600, service, region)[1].Weight, 0.1)
}

// Guards against marking an endpoint slow because of a single straggler.
func TestStragglerDoesNotCount(t *testing.T) {
	endpoints := newFleet(3)
	now := answerRounds(endpoints, 1000, 5, func(int) clock.Span { return 100 }, 3)
	begin(endpoints, now, "straggler", 1, false)
	endpoints.RecordFirstToken(now+100, "straggler", 1)
	require.InDelta(t, 1.0, endpoints.Candidates(now+60_000, service, region)[1].Weight, 1e-9)
}

// Guards against detecting a slow token rate only at the end of an attempt, and against
// slow endpoints that never recover.
func TestProgressAndRecovery(t *testing.T) {
	endpoints := newFleet(3)
	now := answerRounds(endpoints, 1000, 5, func(int) clock.Span { return 100 }, 3)
	begin(endpoints, now, "slow", 1, false)
	endpoints.RecordFirstToken(now+100, "slow", 1)
	for i := range 6 {
		endpoints.Progress(now+100+clock.Time(i+1)*1000, "slow", 1, ident.Tokens(1+(i+1)*8))
	}
	now += 7000
	require.False(t, endpoints.Candidates(now, service, region)[1].Probe)
	require.Less(t, endpoints.Candidates(now, service, region)[1].Weight, 0.5)
	endpoints.End(now, "slow", 1, fleet.Cancelled, 49)
	probes := 0
	for range 100 {
		now += 1000
		candidate := endpoints.Candidates(now, service, region)[1]
		if candidate.Weight == 1 {
			break
		}
		if candidate.Probe {
			probes++
			answerRounds(endpoints, now, 1, func(int) clock.Span { return 100 }, 3)
		}
	}
	require.InDelta(t, 1.0, endpoints.Candidates(now, service, region)[1].Weight, 1e-9)
	require.LessOrEqual(t, probes, 5)
}

// Guards against reporting free slots of endpoints that cannot take work.
func TestLoads(t *testing.T) {
	endpoints := newFleet(3)
	endpoints.MarkLeaving(10, "e2")
	begin(endpoints, 10, "a", 0, false)
	require.Equal(t, []gossip.Load{{Region: region, Service: service, Slots: 16, Free: 15}}, endpoints.Loads(20))
}
