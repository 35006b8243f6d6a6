package crash_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
)

// Guards against a suspect that is never run because its lease is not returned.
func TestLeaseOfLostEntryExpires(t *testing.T) {
	leases := crash.NewLeases()
	first, other := crash.Holder{Entry: "e1", Request: "a"}, crash.Holder{Entry: "e2", Request: "b"}
	require.True(t, leases.Grant(1000, 7, first))
	require.False(t, leases.Grant(1001, 7, other))
	require.True(t, leases.Grant(3000, 7, first), "renewal")
	require.False(t, leases.Grant(3000+clock.Time(crash.LeaseTerm)-1, 7, other))
	require.True(t, leases.Grant(3000+clock.Time(crash.LeaseTerm), 7, other))
	leases.Return(7, first) // arrives late
	require.False(t, leases.Grant(3001+clock.Time(crash.LeaseTerm), 7, first))
	leases.Return(7, other)
	require.True(t, leases.Grant(3001+clock.Time(crash.LeaseTerm), 7, first))
}
