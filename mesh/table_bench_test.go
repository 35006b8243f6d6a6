package mesh_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/codec"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/mesh"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

// BenchmarkRound measures the time and the bytes of one round of an instance's messages, by the
// size of the fleet. The number of endpoints grows with the fleet, the number of services does
// not.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{4, 34, 120, 390} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			fleet := newNetwork(n, 4)
			fleet.round(10)
			for i := range min(n, 64) {
				fleet.facts.Loads = append(fleet.facts.Loads, mesh.EndpointLoad{Endpoint: ident.Endpoint(fmt.Sprint("i-", i, "0123456")), Count: 3, PrefillBacklog: []ident.Tokens{300, 600}, MemoryTokens: 9000})
			}
			for i := range 26 {
				fleet.facts.Services = append(fleet.facts.Services, pool.Summary{Service: ident.Service(fmt.Sprint("service", i)), FreeSlots: 10, Slots: 100, Wait: 12, PrefillBacklog: []ident.Tokens{300, 600}})
			}
			table, bytes := fleet.tables["m2"], 0
			b.ReportAllocs()
			for b.Loop() {
				fleet.now = fleet.now.Add(200)
				for _, l := range table.NextRound(fleet.now, fleet.facts) {
					data, err := codec.Encode(l.Message)
					require.NoError(b, err)
					bytes += len(data)
				}
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "bytes/round")
		})
	}
}
