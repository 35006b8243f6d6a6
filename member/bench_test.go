package member_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// message is encoded like a ping in its envelope, with the member updates only.
type message struct {
	Kind  string `msgpack:"kind"`
	Proto int    `msgpack:"proto"`
	ID    uint64 `msgpack:"id"`
	Body  struct {
		Seq    uint64         `msgpack:"seq"`
		Gossip gossip.Payload `msgpack:"news"`
	} `msgpack:"body"`
}

// warmUp exceeds the time for which a fleet of 390 that starts at once gossips about its
// members: 390 updates, sent 18 times each, 16 in each of 4 messages a second.
const warmUp = 3 * clock.Minute

// messageCost sums the number, size and encoding time of the messages of a run.
type messageCost struct {
	messages  int
	bytes     int
	codecTime time.Duration
}

func (c *messageCost) add(p packet) {
	start := time.Now()
	m := message{Kind: p.kind, Proto: 1, ID: p.seq}
	m.Body.Seq = p.seq
	m.Body.Gossip = gossip.Payload{From: p.from, Incarnation: 1, Region: "gauteng", Members: p.updates}
	data, err := msgpack.Marshal(m)
	if err != nil {
		panic(err)
	}
	var got message
	if err := msgpack.Unmarshal(data, &got); err != nil {
		panic(err)
	}
	c.codecTime += time.Since(start)
	c.messages++
	c.bytes += len(data)
}

// fleet returns a network of n tables: in 4 regions of 3 zones each for n above 4, or else
// in 3 regions of one zone.
func fleet(n int) *network {
	w := newNetwork(n, 3, 1)
	for i := range w.list {
		if n > 4 {
			w.list[i].Region = ident.Region(fmt.Sprintf("region-%d", i%4))
			w.list[i].Zone = ident.Zone(fmt.Sprintf("zone-%d", i/4%3))
		}
	}
	for i := range w.list {
		// Real incarnations are timestamps; these have the same encoded size.
		w.start(i, ident.Incarnation(1_780_000_000_000+i))
	}
	return w
}

func heap() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkTables runs a fleet of tables for one second of simulated time per operation
// and reports the cost per node and second.
func BenchmarkTables(b *testing.B) {
	for _, churn := range []bool{false, true} {
		for _, n := range []int{4, 16, 64, 128, 390} {
			kind := map[bool]string{false: "quiet", true: "restart-a-second"}[churn]
			b.Run(fmt.Sprintf("%s/nodes=%d", kind, n), func(b *testing.B) { benchmarkTables(b, n, churn) })
		}
	}
}

func benchmarkTables(b *testing.B, n int, churn bool) {
	b.Helper()
	before := heap()
	w := fleet(n)
	w.run(warmUp)
	memory := heap() - before
	c := &messageCost{}
	w.onSend = c.add
	w.tableTime = 0
	seconds := 0
	for b.Loop() {
		if churn {
			i := seconds % n
			w.start(i, ident.Incarnation(1_780_000_100_000+seconds))
		}
		w.run(clock.Second)
		seconds++
	}
	nodeSeconds := float64(seconds * n)
	b.ReportMetric(float64(w.tableTime.Microseconds())/nodeSeconds, "table-µs/node/s")
	b.ReportMetric(float64(c.codecTime.Microseconds())/nodeSeconds, "msgpack-µs/node/s")
	b.ReportMetric(float64(c.messages)/nodeSeconds, "messages/node/s")
	b.ReportMetric(float64(c.bytes)/nodeSeconds, "sent-B/node/s")
	b.ReportMetric(memory/float64(n), "heap-B/node")
	b.ReportMetric(float64(len(w.table(0).Monitors())), "targets")
	runtime.KeepAlive(w)
}

// until advances the simulation until the condition holds and returns the simulated
// milliseconds that took.
func (w *network) until(b *testing.B, condition func() bool) float64 {
	b.Helper()
	start := w.now
	for !condition() {
		if w.now.Sub(start) > 10*clock.Minute {
			b.Fatal("condition not met within 10 min of simulated time")
		}
		w.advance()
	}
	return float64(w.now.Sub(start))
}

// share returns the fraction of views of the given entries, except those of paused
// processes, that have the state.
func (w *network) share(s gossip.State, entries []int) float64 {
	views, matching := 0, 0
	for i, n := range w.names {
		for _, e := range entries {
			if i == e || w.processes[n].paused {
				continue
			}
			views++
			if w.state(i, e) == s {
				matching++
			}
		}
	}
	return float64(matching) / float64(views)
}

// BenchmarkDetection reports simulated times: from a crash until every other table has the
// entry as failed, and, after a region was partitioned off for a minute, until 99 % and then
// all of the tables' views of entries are correct again.
func BenchmarkDetection(b *testing.B) {
	for _, n := range []int{4, 64, 390} {
		b.Run(fmt.Sprintf("nodes=%d", n), func(b *testing.B) {
			var crash, healMost, healAll float64
			for b.Loop() {
				w := fleet(n)
				w.run(warmUp)
				w.processes[w.names[1]].paused = true
				crash = w.until(b, func() bool { return w.share(gossip.Failed, []int{1}) == 1 })
				w.processes[w.names[1]].paused = false
				w.processes[w.names[1]].inbox = nil
				w.run(clock.Minute)
				all := w.partitionRegion()
				healMost = w.until(b, func() bool { return w.share(gossip.Alive, all) >= 0.99 })
				healAll = healMost + w.until(b, func() bool { return w.share(gossip.Alive, all) == 1 })
			}
			b.ReportMetric(crash, "simulated-ms-to-failed-everywhere")
			b.ReportMetric(healMost, "simulated-ms-to-heal-99%")
			b.ReportMetric(healAll, "simulated-ms-to-heal-everywhere")
		})
	}
}

// partitionRegion isolates one region for a minute and returns the indices of all entries.
func (w *network) partitionRegion() []int {
	all := make([]int, len(w.names))
	for i, l := range w.list {
		all[i] = i
		for j, m := range w.list {
			if (l.Region == w.list[0].Region) != (m.Region == w.list[0].Region) {
				w.blocked[[2]ident.Entry{w.names[i], w.names[j]}] = true
			}
		}
	}
	w.run(clock.Minute)
	clear(w.blocked)
	return all
}
