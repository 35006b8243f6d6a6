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
func TestMixOfOtherRegions(t *testing.T) {
	f := fleet.New(fleet.Config{Region: region, Seed: 1})
	remote := instance(9)
	remote.Region = "se-south"
	f.Sync(1, []watch.Instance{instance(0), remote})
	for i := range 4 {
		begin(f, 10, fmt.Sprint("own", i), 0, i == 0)
	}
	begin(f, 10, "sent", 9, true)
	f.Report(20, "e9", fleet.Report{State: fleet.ConditionReady, Running: 5})
	c := f.Candidates(30, service, "se-south")[0]
	require.InDelta(t, 5.0, c.Load, 1e-9)
	require.InDelta(t, 2.0, c.Long, 1e-9, "1 sent and a quarter of the 4 from others")
}
