package mesh_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/mesh"
)

// spreadBound is the time within which all instances must refuse a request that crashes endpoints.
const spreadBound = 5 * clock.Second

// Guards against reports of a request that crashes endpoints which wait behind those of bystanders at other crashes.
func TestCrashReportsReachAllInstancesInTime(t *testing.T) {
	const crasher ident.Fingerprint = 1
	for _, c := range []struct{ instances, bystanders int }{{4, 100}, {34, 20}, {117, 5}, {390, 2}} {
		t.Run(fmt.Sprint(c.instances), func(t *testing.T) {
			fleet := newNetwork(c.instances, 3)
			fleet.drop = func(_, _ string) bool { return fleet.rng.IntN(10) == 0 }
			fleet.round(50)
			suspects := make(map[string]*crash.Suspects)
			for address := range fleet.tables {
				suspects[address] = crash.New(crash.Config{Term: 30 * clock.Second})
			}
			fleet.factsOf = func(address string) mesh.Facts {
				facts := fleet.facts
				facts.CrashReports, facts.Refusals = suspects[address].CrashReports(fleet.now), suspects[address].Refusals(fleet.now)
				return facts
			}
			fleet.receive = func(to string, message mesh.Message) {
				suspects[to].MergeRefusals(fleet.now, message.Refusals)
				suspects[to].MergeCrashReports(fleet.now, message.CrashReports)
			}
			// Two instances of different regions each see one crash of the request, and then all see other crashes.
			for i := range 2 {
				suspects[shortAddress(i)].RecordEndpointCrash(fleet.now, []crash.InFlightRequest{{Fingerprint: crasher, Crash: ident.Crash(1 + i), Starting: true}})
			}
			for i := range c.instances {
				var inFlight []crash.InFlightRequest
				for n := range c.bystanders {
					inFlight = append(inFlight, crash.InFlightRequest{Fingerprint: ident.Fingerprint(1000*(i+1) + n), Crash: ident.Crash(100 + i), Starting: n%4 == 0})
				}
				suspects[shortAddress(i)].RecordEndpointCrash(fleet.now.Add(clock.Millisecond), inFlight)
			}
			began, remaining := fleet.now, c.instances
			for remaining > 0 && fleet.now.Sub(began) < spreadBound {
				fleet.round(1)
				remaining = 0
				for _, known := range suspects {
					if known.Verdict(fleet.now, crasher) != crash.VerdictRefused {
						remaining++
					}
				}
			}
			t.Logf("%d instances know after %v", c.instances-remaining, fleet.now.Sub(began))
			require.Zero(t, remaining, "instances that don't refuse the request")
		})
	}
}
