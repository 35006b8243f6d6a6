package queue_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/queue"
)

// BenchmarkCallers measures the memory of one waiting item of each of many callers,
// and what is left of callers whose items were taken: idle callers must cost nothing.
func BenchmarkCallers(b *testing.B) {
	for _, callers := range []int{370, 3700, 37_000} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			items := make([]queue.Item, callers)
			for i := range items {
				items[i] = item(fmt.Sprint("r", i), fmt.Sprint("customer-", i), 0, clock.Time(100_000+i))
			}
			var waiting, idle float64
			for b.Loop() {
				q := queue.New(queue.Config{})
				before := held()
				for _, i := range items {
					_, _ = q.Push(1, i)
				}
				waiting = held() - before
				q.Walk(1, items[0].Service, func(queue.Item) bool { return true })
				idle = held() - before
				runtime.KeepAlive(q)
			}
			b.ReportMetric(waiting/float64(callers), "held-B/waiting")
			b.ReportMetric(idle/float64(callers), "held-B/idle")
		})
	}
}

func held() float64 {
	runtime.GC()
	runtime.GC() // the second run also frees what pools kept
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
