package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// Guards against counting other entries' load in another region as long. This entry sends
// mostly long work there, so the region would appear to have no room for more of it.
func TestLongShareOfOtherRegions(t *testing.T) {
	endpoints := fleet.New(fleet.Config{Region: region, Seed: 1})
	remote := instance(9)
	remote.Region = "se-south"
	endpoints.Sync(1, []watch.Instance{instance(0), remote})
	for i := range 4 {
		begin(endpoints, 10, fmt.Sprint("own", i), 0, i == 0)
	}
	begin(endpoints, 10, "sent", 9, true)
	endpoints.Report(20, "e9", fleet.Report{State: fleet.ConditionReady, Running: 5})
	candidate := endpoints.Candidates(30, service, "se-south")[0]
	require.InDelta(t, 5.0, candidate.Load, 1e-9)
	require.InDelta(t, 2.0, candidate.LongLoad, 1e-9, "1 sent and a quarter of the 4 from others")
}
