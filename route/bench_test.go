package route_test

import (
	"fmt"
	"testing"

	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/route"
)

// BenchmarkChoose places one request among the endpoints of one region, with the
// candidates from a fleet. Half of the slots are taken, and the clock moves by 1 ms
// for each request, so that the fleet makes its candidates anew. With "full" no slot
// is free and the clock stands still, as for the items of one walk.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{18, 600} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("endpoints=%d/full=%t", n, full), func(b *testing.B) {
				s := newSim(n, 0, 1)
				load(s, n, full)
				a := short()
				a.Prefix = 7
				b.ReportAllocs()
				for b.Loop() {
					a.Prefix++
					if !full {
						s.now++
					}
					s.policy.Choose(s.now, a, s)
				}
			})
		}
	}
}

// load starts attempts on half or on all of the slots.
func load(s *sim, n int, full bool) {
	each := 2
	if full {
		each = 4
	}
	for i := range n * each {
		s.fleet.Begin(s.now, fleet.Attempt{
			Request: ident.Request(fmt.Sprint(i)), Try: 1, Endpoint: ident.Endpoint(fmt.Sprint("a", i%n)), Service: service,
		})
	}
}

var _ route.View = (*sim)(nil)
