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

// BenchmarkRecord measures the time and allocations of one ticket from issue to outcome,
// and the memory of its record without an answer and with a 1 KB answer.
func BenchmarkRecord(b *testing.B) {
	for _, size := range []int{0, 1024} {
		b.Run(fmt.Sprintf("answer=%d", size), func(b *testing.B) {
			issuer := ledger.New(ledger.Config{Entry: "e1", Incarnation: 1, Margin: clock.Minute, AnswerLimit: 1 << 30})
			b.ReportAllocs()
			for b.Loop() {
				issueAndFinish(issuer, "r", size)
			}
			const records = 20_000
			issuer = ledger.New(ledger.Config{Entry: "e1", Incarnation: 1, Margin: clock.Minute, AnswerLimit: 1 << 30})
			before := heapBytes()
			for i := range records {
				issueAndFinish(issuer, ident.Request(fmt.Sprintf("request-%d", i)), size)
			}
			b.ReportMetric((heapBytes()-before)/records, "held-B/record")
			issuer.Expire(10 * clock.Time(clock.Minute))
			b.ReportMetric((heapBytes()-before)/records, "held-B/expired")
			runtime.KeepAlive(issuer)
		})
	}
}

func issueAndFinish(issuer *ledger.Ledger, id ident.Request, size int) {
	ticket := issuer.Issue(1, "orders", "", clock.Minute)
	issuer.Begin(1, ticket, id)
	outcome := ledger.Outcome{State: ledger.Done}
	if size > 0 {
		outcome.Answer = ledger.Answer{Status: 201, Body: []byte(strings.Repeat("x", size))}
	}
	issuer.Finish(1, ticket.Sequence, outcome)
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // the second run also empties the sync.Pool victim caches
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
