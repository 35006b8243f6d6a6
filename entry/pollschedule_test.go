package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

func benchTargets(own, remote int, used ...ident.Service) []fleet.Target {
	var all []fleet.Target
	for i := range own + remote {
		t := fleet.Target{
			Endpoint: ident.Endpoint(fmt.Sprintf("runner-%d", i)), Region: benchRegion,
			Service: ident.Service(fmt.Sprintf("model-%d", i%26)),
		}
		if i >= own {
			t.Region = "kzn"
		}
		for _, s := range used {
			t.InUse = t.InUse || s == t.Service
		}
		all = append(all, t)
	}
	return all
}

// Guards against a small deployment whose endpoints are polled less often than every
// second, or every two seconds in other regions.
func TestFewEndpointsAreAllPolled(t *testing.T) {
	p := newPollSchedule("e1", benchRegion)
	targets := benchTargets(9, 12)
	for round := range 10 {
		wanted := 9
		if round%remotePollRounds == 0 {
			wanted = 21
		}
		require.Len(t, p.next(round, targets), wanted)
	}
	require.Len(t, p.next(10, targets[:3]), 3)
	require.Len(t, p.states, 3, "removed endpoints are dropped from the schedule")
}

// Guards against a number of polls that grows with the fleet, against endpoints that are
// never polled, and against endpoints in use that are polled no more often than others.
func TestPollsAreBounded(t *testing.T) {
	p := newPollSchedule("e1", benchRegion)
	targets := benchTargets(200, 400, "model-3")
	polls := make(map[ident.Endpoint]int)
	const rounds = 200
	for round := range rounds {
		due := p.next(round, targets)
		require.Len(t, due, pollBudget)
		for _, d := range due {
			polls[d.target.Endpoint]++
		}
	}
	used, others := 0, 0
	for _, e := range targets {
		require.Positive(t, polls[e.Endpoint], e.Endpoint)
		if e.Region == benchRegion && e.InUse {
			used = max(used, polls[e.Endpoint])
		} else if e.Region == benchRegion {
			others = max(others, polls[e.Endpoint])
		}
	}
	require.Greater(t, used, 4*others)
}

// Guards against entries that all poll the same endpoints first.
func TestEntriesPollDifferentEndpoints(t *testing.T) {
	targets := benchTargets(300, 300)
	first := make(map[ident.Endpoint]bool)
	for i := range 10 {
		p := newPollSchedule(ident.Entry(fmt.Sprint("e", i)), benchRegion)
		for _, d := range p.next(0, targets) {
			first[d.target.Endpoint] = true
		}
	}
	require.Greater(t, len(first), 8*pollBudget)
}

// Guards against an unresponsive endpoint that counts as down only after three full cycles.
func TestFailedPollIsRepeated(t *testing.T) {
	p := newPollSchedule("e1", benchRegion)
	targets := benchTargets(300, 300)
	hanging := p.next(0, targets)[0]
	for round := 1; round <= maxRepolls; round++ {
		hanging.failures++
		require.Contains(t, p.next(round, targets), hanging)
	}
	hanging.failures++
	require.NotContains(t, p.next(maxRepolls+1, targets), hanging)
}

// Guards against a link failure that is detected only after three failed polling rounds,
// and against a region that counts as unreachable because of one slow endpoint.
func TestSilentRegions(t *testing.T) {
	turn := func(region ident.Region, failed int) *pollState {
		return &pollState{target: fleet.Target{Region: region}, failures: failed}
	}
	due := []*pollState{
		turn("own", 1), turn("own", 1),
		turn("cut", 1), turn("cut", 1),
		turn("slow", 1), turn("slow", 0),
		turn("small", 1),
	}
	require.Equal(t, []ident.Region{"cut"}, silentRegions("own", due))
}
