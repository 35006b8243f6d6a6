package queue_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/queue"
)

// BenchmarkCallers measures the memory per caller with one waiting item each, and the
// memory that remains after all items were taken: idle callers must take none.
func BenchmarkCallers(b *testing.B) {
	for _, callers := range []int{370, 3700, 37_000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			items := make([]queue.Item, callers)
			for i := range items {
				items[i] = newItem(fmt.Sprint("r", i), fmt.Sprint("customer-", i), 0, clock.Time(100_000+i))
			}
			var waiting, idle float64
			for b.Loop() {
				pending := queue.New(queue.Config{})
				before := heapBytes()
				for _, i := range items {
					_, _ = pending.Push(1, i)
				}
				waiting = heapBytes() - before
				pending.Walk(1, items[0].Service, func(queue.Item) bool { return true })
				idle = heapBytes() - before
				runtime.KeepAlive(pending)
			}
			b.ReportMetric(waiting/float64(callers), "held-B/waiting")
			b.ReportMetric(idle/float64(callers), "held-B/idle")
		})
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // the second run also empties the sync.Pool victim caches
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
