package entry

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Guards against messages that grow with the number of services, and against a service
// whose load is never sent.
func TestLoadsOfAMessage(t *testing.T) {
	for _, services := range []int{0, 2, maxLoads, 16, 26} {
		seen := make(map[ident.Service]bool)
		for range 1000 {
			var loads []gossip.Load
			for i := range services {
				loads = append(loads, gossip.Load{Service: ident.Service(fmt.Sprint(i))})
			}
			sample := sampleLoads(loads)
			require.Len(t, sample, min(services, maxLoads))
			for _, l := range sample {
				seen[l.Service] = true
			}
		}
		require.Len(t, seen, services)
	}
}

// Guards against pushes that every entry of a large fleet forwards, and against pushes
// that are not forwarded in a small deployment.
func TestRelayers(t *testing.T) {
	for _, live := range []int{0, 3, meanForwarders, 40, 389} {
		count := 0
		const trials = 20_000
		for range trials {
			if shouldForward(live) {
				count++
			}
		}
		if live <= meanForwarders {
			require.Equal(t, trials, count)
			continue
		}
		require.InEpsilon(t, float64(meanForwarders)/float64(live), float64(count)/trials, 0.2)
	}
}

// Guards against a locate response that grows with the fleet, omits all other regions, or
// is truncated for a small deployment.
func TestEntryAddressesAreBounded(t *testing.T) {
	var all []core.EntryAddress
	for i := range 390 {
		region := ident.Region("r0")
		if i >= 100 {
			region = ident.Region(fmt.Sprintf("r%d", i%4))
		}
		all = append(all, core.EntryAddress{Entry: ident.Entry(fmt.Sprint(i)), Region: region})
	}
	require.Empty(t, callerEntries(nil))
	require.Len(t, callerEntries(all[:4]), 4)
	found := callerEntries(all)
	require.Len(t, found, maxLocalEntries+maxRemoteEntries)
	require.Equal(t, all[0].Entry, found[0].Name)
	for _, e := range found[maxLocalEntries:] {
		require.NotEqual(t, all[0].Region, e.Region)
	}
}

// Guards against list traffic that grows with the fleet.
func TestListPeriod(t *testing.T) {
	require.Equal(t, listPeriod, listPeriodFor(25))
	require.Equal(t, 990*90*clock.Millisecond, listPeriodFor(990))
}
