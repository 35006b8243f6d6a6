package fleet_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// BenchmarkEndpoints measures the cost per endpoint: the time to apply a report and
// the heap held for it, with 16 cached prefixes reported.
func BenchmarkEndpoints(b *testing.B) {
	for _, n := range []int{12, 100, 600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			heapBefore := heapBytes()
			endpoints := fleet.New(fleet.Config{Region: "r0", Seed: 1})
			list := benchInstances(n)
			now := clock.Time(1000)
			endpoints.Sync(now, list)
			for i := range list {
				endpoints.Report(now, ident.Endpoint(list[i].Name), report(i))
			}
			memory := heapBytes() - heapBefore
			index := 0
			for b.Loop() {
				index++
				if index%n == 0 {
					now = now.Add(clock.Second)
				}
				endpoints.Report(now, ident.Endpoint(list[index%n].Name), report(index))
			}
			b.ReportMetric(memory/float64(n), "held-B/endpoint")
			runtime.KeepAlive(endpoints)
			runtime.KeepAlive(list)
		})
	}
}

// BenchmarkSync measures applying one instance list.
func BenchmarkSync(b *testing.B) {
	for _, n := range []int{12, 100, 600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			endpoints := fleet.New(fleet.Config{Region: "r0", Seed: 1})
			list := benchInstances(n)
			now := clock.Time(1000)
			for b.Loop() {
				now = now.Add(clock.Second)
				endpoints.Sync(now, list)
			}
		})
	}
}

// benchInstances returns count endpoints spread over 26 services and 4 regions.
func benchInstances(count int) []watch.Instance {
	list := make([]watch.Instance, count)
	for i := range list {
		list[i] = watch.Instance{
			Name: fmt.Sprintf("runner-%d", i), Role: watch.RoleEndpoint, State: watch.StateLive,
			Region: ident.Region(fmt.Sprintf("r%d", i%4)), Service: ident.Service(fmt.Sprintf("model-%d", i/4%26)),
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Slots: 32,
		}
	}
	return list
}

func report(index int) fleet.Report {
	result := fleet.Report{State: fleet.ConditionReady, Slots: 32, Running: index % 32, Age: 200}
	for p := range 16 {
		result.Prefixes = append(result.Prefixes, ident.Prefix(index*16+p))
	}
	return result
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // the second run also frees objects held by sync.Pool
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
