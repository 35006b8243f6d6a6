package core_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// large is a core in front of n endpoints of one service, half of them in its region.
func large(b *testing.B, n int) *bench {
	b.Helper()
	c := newBench(b, "e1", "r1", 1, 1000)
	var list []watch.Instance
	for i := range n {
		list = append(list, watch.Instance{
			Name: fmt.Sprintf("chat-%d", i), Role: watch.RoleEndpoint, Region: ident.Region(fmt.Sprintf("r%d", i%2+1)),
			State: watch.StateLive, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Service: "chat", Slots: 32,
		})
	}
	c.Apply(c.now, core.Listed{Instances: list})
	return c
}

// request runs one request from arrival to its end.
func (b *bench) request(t require.TestingT, number int, caller ident.Caller) {
	a := chat(ident.Request(fmt.Sprintf("request-%d", number)))
	a.Caller, a.Fingerprint, a.Prefix = caller, ident.Fingerprint(number), ident.Prefix(number)
	d := only[core.Dispatch](t, b.Apply(b.now, a))
	b.now += 10
	b.Apply(b.now, core.First{Request: a.Request, Try: d.Try})
	b.now += 10
	b.Apply(b.now, core.Ended{Request: a.Request, Try: d.Try, Outcome: fleet.Complete, Tokens: 200, Between: 20})
}

// BenchmarkRequest is the life of one request: three events.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{18, 600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			c := large(b, n)
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				number++
				c.request(b, number, "c")
				c.Apply(c.now, core.Tick{}) // keeps the core from seeing a pause
			}
		})
	}
}

// BenchmarkTick is one tick, of which there are 20 a second, with requests in progress.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{18, 600} {
		for _, requests := range []int{0, 100} {
			b.Run(fmt.Sprintf("endpoints=%d/requests=%d", n, requests), func(b *testing.B) {
				c := large(b, n)
				for i := range requests {
					a := chat(ident.Request(fmt.Sprint(i)))
					a.Caller = ident.Caller(fmt.Sprint(i))
					c.Apply(c.now, a)
				}
				require.Equal(b, requests, c.InProgress())
				b.ReportAllocs()
				for b.Loop() {
					c.Apply(c.now, core.Tick{})
				}
			})
		}
	}
}

// BenchmarkNews is what an entry tells with one probe.
func BenchmarkNews(b *testing.B) {
	for _, n := range []int{18, 600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			c := large(b, n)
			b.ReportAllocs()
			for b.Loop() {
				c.now++
				c.News(c.now)
			}
		})
	}
}

// BenchmarkLocate answers a caller with the given number of entries.
func BenchmarkLocate(b *testing.B) {
	for _, n := range []int{4, 390} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			c := large(b, 18)
			var live []member.Member
			var list []watch.Instance
			for i := range n {
				name, region := fmt.Sprintf("entry-%d", i), ident.Region(fmt.Sprintf("r%d", i%2+1))
				live = append(live, member.Member{Member: news.Member{Entry: ident.Entry(name), State: news.Alive, Region: region}})
				list = append(list, watch.Instance{Name: name, Role: watch.RoleEntry, Region: region, Address: "127.0.0.1:8080"})
			}
			c.Apply(c.now, core.Listed{Instances: list})
			c.Apply(c.now, core.Peers{Live: live, Ready: true})
			b.ReportAllocs()
			for b.Loop() {
				l, refusal := c.Locate(c.now, core.Head{Service: "chat", Any: true})
				if refusal != nil || len(l.Entries) < n {
					b.Fatal(refusal, len(l.Entries))
				}
			}
		})
	}
}

// BenchmarkCallers measures what is left of callers that had one request each, a
// minute after the last one, and what a waiting request holds.
func BenchmarkCallers(b *testing.B) {
	const callers = 37_000
	for b.Loop() {
		c := large(b, 18)
		before := heap()
		for i := range callers {
			c.request(b, i, ident.Caller(fmt.Sprintf("customer-%d", i)))
			if i%10 == 0 {
				c.Apply(c.now, core.Tick{})
			}
		}
		c.wait(clock.Minute)
		b.ReportMetric((heap()-before)/callers, "B/idle-caller")
		runtime.KeepAlive(c)
	}
}

func heap() float64 {
	runtime.GC()
	runtime.GC() // the second run also frees what pools kept
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
