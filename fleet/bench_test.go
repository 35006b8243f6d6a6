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
			f := fleet.New(fleet.Config{Region: "r0", Seed: 1})
			list := benchInstances(n)
			now := clock.Time(1000)
			f.Sync(now, list)
			for i := range list {
				f.Report(now, ident.Endpoint(list[i].Name), report(i))
			}
			memory := heapBytes() - heapBefore
			i := 0
			for b.Loop() {
				i++
				if i%n == 0 {
					now = now.Add(clock.Second)
				}
				f.Report(now, ident.Endpoint(list[i%n].Name), report(i))
			}
			b.ReportMetric(memory/float64(n), "held-B/endpoint")
			runtime.KeepAlive(f)
			runtime.KeepAlive(list)
		})
	}
}

// BenchmarkSync measures applying one instance list.
func BenchmarkSync(b *testing.B) {
	for _, n := range []int{12, 100, 600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			f := fleet.New(fleet.Config{Region: "r0", Seed: 1})
			list := benchInstances(n)
			now := clock.Time(1000)
			for b.Loop() {
				now = now.Add(clock.Second)
				f.Sync(now, list)
			}
		})
	}
}

// benchInstances returns n endpoints spread over 26 services and 4 regions.
func benchInstances(n int) []watch.Instance {
	list := make([]watch.Instance, n)
	for i := range list {
		list[i] = watch.Instance{
			Name: fmt.Sprintf("runner-%d", i), Role: watch.RoleEndpoint, State: watch.StateLive,
			Region: ident.Region(fmt.Sprintf("r%d", i%4)), Service: ident.Service(fmt.Sprintf("model-%d", i/4%26)),
			Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Slots: 32,
		}
	}
	return list
}

func report(i int) fleet.Report {
	r := fleet.Report{State: fleet.ConditionReady, Slots: 32, Running: i % 32, Age: 200}
	for p := range 16 {
		r.Prefixes = append(r.Prefixes, ident.Prefix(i*16+p))
	}
	return r
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // the second run also frees objects held by sync.Pool
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
