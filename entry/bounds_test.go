package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
)

// Guards against messages that grow with the number of services, and against a
// service that is never told of.
func TestLoadsOfAMessage(t *testing.T) {
	for _, services := range []int{0, 2, maxLoads, 16, 26} {
		told := make(map[ident.Service]bool)
		for range 1000 {
			var loads []news.Load
			for i := range services {
				loads = append(loads, news.Load{Service: ident.Service(fmt.Sprint(i))})
			}
			some := someLoads(loads)
			require.Len(t, some, min(services, maxLoads))
			for _, l := range some {
				told[l.Service] = true
			}
		}
		require.Len(t, told, services)
	}
}

// Guards against urgent news that every one of many entries pushes on, and against
// news that are not pushed on in a small deployment.
func TestRelayers(t *testing.T) {
	for _, live := range []int{0, 3, relayers, 40, 389} {
		count := 0
		const tries = 20_000
		for range tries {
			if relays(live) {
				count++
			}
		}
		if live <= relayers {
			require.Equal(t, tries, count)
			continue
		}
		require.InEpsilon(t, float64(relayers)/float64(live), float64(count)/tries, 0.2)
	}
}

// Guards against an answer of locate that grows with the fleet, that leaves out all
// other regions, or that is cut for a small deployment.
func TestPlacesAreBounded(t *testing.T) {
	var all []core.Place
	for i := range 390 {
		region := ident.Region("r0")
		if i >= 100 {
			region = ident.Region(fmt.Sprintf("r%d", i%4))
		}
		all = append(all, core.Place{Entry: ident.Entry(fmt.Sprint(i)), Region: region})
	}
	require.Empty(t, entriesOf(nil))
	require.Len(t, entriesOf(all[:4]), 4)
	found := entriesOf(all)
	require.Len(t, found, nearPlaces+farPlaces)
	require.Equal(t, all[0].Entry, found[0].Name)
	for _, e := range found[nearPlaces:] {
		require.NotEqual(t, all[0].Region, e.Region)
	}
}

// Guards against reads of the list whose bytes grow with the fleet.
func TestListSpan(t *testing.T) {
	require.Equal(t, listPeriod, listSpan(25))
	require.Equal(t, 990*90*clock.Millisecond, listSpan(990))
}
