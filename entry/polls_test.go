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
			t.Used = t.Used || s == t.Service
		}
		all = append(all, t)
	}
	return all
}

// Guards against a small deployment whose endpoints are polled less often than each
// second, or each other second in another region.
func TestFewEndpointsAreAllPolled(t *testing.T) {
	p := newPollPlan("e1", benchRegion)
	targets := benchTargets(9, 12)
	for round := range 10 {
		wanted := 9
		if round%remotePolls == 0 {
			wanted = 21
		}
		require.Len(t, p.next(round, targets), wanted)
	}
	require.Len(t, p.next(10, targets[:3]), 3)
	require.Len(t, p.turns, 3, "endpoints that are gone are forgotten")
}

// Guards against polls that grow with the fleet, against endpoints that are never
// polled, and against ones in use that wait as long as the others.
func TestPollsAreBounded(t *testing.T) {
	p := newPollPlan("e1", benchRegion)
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
		if e.Region == benchRegion && e.Used {
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
		p := newPollPlan(ident.Entry(fmt.Sprint("e", i)), benchRegion)
		for _, d := range p.next(0, targets) {
			first[d.target.Endpoint] = true
		}
	}
	require.Greater(t, len(first), 8*pollBudget)
}

// Guards against an endpoint that hangs and is only found down after three full turns.
func TestFailedPollIsRepeated(t *testing.T) {
	p := newPollPlan("e1", benchRegion)
	targets := benchTargets(300, 300)
	hangs := p.next(0, targets)[0]
	for round := 1; round <= repolls; round++ {
		hangs.failed++
		require.Contains(t, p.next(round, targets), hangs)
	}
	hangs.failed++
	require.NotContains(t, p.next(repolls+1, targets), hangs)
}

// Guards against a link that is cut and not noticed until three rounds of polls have
// failed, and against a region that is given up for one slow endpoint.
func TestSilentRegions(t *testing.T) {
	turn := func(region ident.Region, failed int) *pollTurn {
		return &pollTurn{target: fleet.Target{Region: region}, failed: failed}
	}
	turns := []*pollTurn{
		turn("own", 1), turn("own", 1),
		turn("cut", 1), turn("cut", 1),
		turn("slow", 1), turn("slow", 0),
		turn("small", 1),
	}
	require.Equal(t, []ident.Region{"cut"}, silentRegions("own", turns))
}
