package mesh_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/codec"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/mesh"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

// addFacts adds the loads of endpoints and the capacity of 26 services to what instances report.
func addFacts(fleet *network, loads int) {
	for i := range loads {
		fleet.facts.Loads = append(fleet.facts.Loads, mesh.EndpointLoad{Endpoint: ident.Endpoint(fmt.Sprint("i-", i, "0123456")), Count: 3, PrefillBacklog: []ident.Tokens{300, 600}, MemoryTokens: 9000})
	}
	for i := range 26 {
		fleet.facts.Services = append(fleet.facts.Services, pool.Summary{Service: ident.Service(fmt.Sprint("service", i)), FreeSlots: 10, Slots: 100, Wait: 12, PrefillBacklog: []ident.Tokens{300, 600}})
	}
}

// BenchmarkRound measures the time of one round of an instance's messages, by the size of the fleet.
// The number of endpoints grows with the fleet, the number of services does not.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{4, 34, 120, 390} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			fleet := newNetwork(n, 4)
			fleet.round(10)
			addFacts(fleet, min(n, 64))
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

// BenchmarkTraffic reports the bytes that an instance sends in a second once all have settled, by kind
// of message, with 16 endpoints under load and 26 services.
func BenchmarkTraffic(b *testing.B) {
	const seconds = 10
	for _, n := range []int{4, 30, 100, 300, 390} {
		b.Run(fmt.Sprint("instances=", n), func(b *testing.B) {
			address := func(i int) string { return fmt.Sprintf("10.1.%d.%d:7946", i/200, 10+i%200) }
			for b.Loop() {
				fleet := newAddressedNetwork(n, 3, 1, address)
				fleet.round(30)
				addFacts(fleet, 16)
				sent := make(map[string]int)
				fleet.observe = func(from string, message mesh.Message) {
					if from != address(2) {
						return
					}
					data, err := codec.Encode(message)
					require.NoError(b, err)
					sent[kindOf(message)] += len(data)
				}
				fleet.round(seconds * int(clock.Second/roundInterval))
				for _, kind := range []string{"heartbeats", "region", "other-regions", "rest"} {
					b.ReportMetric(float64(sent[kind])/seconds, kind+"-B/s")
				}
			}
		})
	}
}

// kindOf names the mechanism that a message belongs to.
func kindOf(m mesh.Message) string {
	switch {
	case m.Heartbeat:
		return "heartbeats"
	case m.Services != nil:
		return "other-regions"
	case m.Loads != nil:
		return "region"
	}
	return "rest"
}
