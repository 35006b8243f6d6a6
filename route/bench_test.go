package route_test

import (
	"fmt"
	"testing"

	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/route"
)

// BenchmarkChoose places one request among the endpoints of one region, with candidates
// from a fleet. Half of the slots are taken, and the clock advances by 1 ms per request, so
// the fleet rebuilds its candidates each time. With "full", no slot is free and the clock
// stands still, as within one walk over the queue.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 600} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("endpoints=%d/full=%t", n, full), func(b *testing.B) {
				sim := newSimulation(n, 0, 1)
				fillSlots(sim, n, full)
				request := shortRequest()
				request.Prefix = 7
				b.ReportAllocs()
				for b.Loop() {
					request.Prefix++
					if !full {
						sim.now++
					}
					sim.policy.Choose(sim.now, request, sim)
				}
			})
		}
	}
}

// fillSlots starts attempts on half or on all of the slots.
func fillSlots(sim *simulation, count int, all bool) {
	perEndpoint := 2
	if all {
		perEndpoint = 4
	}
	for i := range count * perEndpoint {
		sim.fleet.Begin(sim.now, fleet.Attempt{
			Request: ident.Request(fmt.Sprint(i)), Number: 1, Endpoint: ident.Endpoint(fmt.Sprint("a", i%count)), Service: service,
		})
	}
}

var _ route.View = (*simulation)(nil)
