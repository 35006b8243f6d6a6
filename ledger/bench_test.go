package ledger_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
)

// BenchmarkRecord measures the time and the memory that one ticket takes from its
// issue to its outcome, and the memory of its record without an answer and with one
// of 1 KB.
func BenchmarkRecord(b *testing.B) {
	for _, size := range []int{0, 1024} {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			l := ledger.New(ledger.Config{Entry: "e1", Incarnation: 1, Margin: clock.Minute, Answers: 1 << 30})
			b.ReportAllocs()
			for b.Loop() {
				settle(l, "r", size)
			}
			const records = 20_000
			l = ledger.New(ledger.Config{Entry: "e1", Incarnation: 1, Margin: clock.Minute, Answers: 1 << 30})
			before := held()
			for i := range records {
				settle(l, ident.Request(fmt.Sprintf("request-%d", i)), size)
			}
			b.ReportMetric((held()-before)/records, "held-B/record")
			l.Expire(10 * clock.Time(clock.Minute))
			b.ReportMetric((held()-before)/records, "held-B/expired")
			runtime.KeepAlive(l)
		})
	}
}

func settle(l *ledger.Ledger, id ident.Request, size int) {
	t := l.Issue(1, "orders", "", clock.Minute)
	l.Begin(1, t, id)
	o := ledger.Outcome{State: ledger.Done}
	if size > 0 {
		o.Answer = ledger.Answer{Status: 201, Body: []byte(strings.Repeat("x", size))}
	}
	l.Finish(1, t.Sequence, o)
}

func held() float64 {
	runtime.GC()
	runtime.GC() // the second run also frees what pools kept
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
