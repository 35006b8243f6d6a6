package core_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// newLargeEntry returns an entry with many endpoints of one service, half of them in its
// region.
func newLargeEntry(b *testing.B, endpoints int) *testEntry {
	b.Helper()
	entry := newTestEntry(b, "e1", "r1", 1, 1000)
	var list []watch.Instance
	for i := range endpoints {
		list = append(list, watch.Instance{
			Name: fmt.Sprintf("chat-%d", i), Role: watch.RoleEndpoint, Region: ident.Region(fmt.Sprintf("r%d", i%2+1)),
			State: watch.StateLive, Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Service: "chat", Slots: 32,
		})
	}
	entry.Apply(entry.now, core.InstancesListed{Instances: list})
	return entry
}

// runRequest runs one request from arrival to completion.
func (e *testEntry) runRequest(t require.TestingT, number int, caller ident.Caller) {
	arrival := completion(ident.Request(fmt.Sprintf("request-%d", number)))
	arrival.Caller, arrival.Fingerprint, arrival.Prefix = caller, ident.Fingerprint(number), ident.Prefix(number)
	dispatch := onlyAction[core.Dispatch](t, e.Apply(e.now, arrival))
	e.now += 10
	e.Apply(e.now, core.AnswerStarted{Request: arrival.Request, Attempt: dispatch.Attempt})
	e.now += 10
	e.Apply(e.now, core.AttemptEnded{Request: arrival.Request, Attempt: dispatch.Attempt, Outcome: fleet.Complete, Tokens: 200, TokenInterval: 20})
}

// BenchmarkRequest measures the three events of one request.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{18, 600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			entry := newLargeEntry(b, n)
			b.ReportAllocs()
			number := 0
			for b.Loop() {
				number++
				entry.runRequest(b, number, "c")
				entry.Apply(entry.now, core.Tick{}) // prevents the core from detecting a pause
			}
		})
	}
}

// BenchmarkTick measures one tick with requests in progress. There are 20 ticks a second.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{18, 600} {
		for _, requests := range []int{0, 100} {
			b.Run(fmt.Sprintf("endpoints=%d/requests=%d", n, requests), func(b *testing.B) {
				entry := newLargeEntry(b, n)
				for i := range requests {
					arrival := completion(ident.Request(fmt.Sprint(i)))
					arrival.Caller = ident.Caller(fmt.Sprint(i))
					entry.Apply(entry.now, arrival)
				}
				require.Equal(b, requests, entry.InProgress())
				b.ReportAllocs()
				for b.Loop() {
					entry.Apply(entry.now, core.Tick{})
				}
			})
		}
	}
}

// BenchmarkGossip measures the assembly of the gossip for one probe.
func BenchmarkGossip(b *testing.B) {
	for _, n := range []int{18, 600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			entry := newLargeEntry(b, n)
			b.ReportAllocs()
			for b.Loop() {
				entry.now++
				entry.Gossip(entry.now)
			}
		})
	}
}

// BenchmarkLocate measures a Locate call with a given number of entries.
func BenchmarkLocate(b *testing.B) {
	for _, n := range []int{4, 390} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			entry := newLargeEntry(b, 18)
			var live []member.Member
			var list []watch.Instance
			for i := range n {
				name, region := fmt.Sprintf("entry-%d", i), ident.Region(fmt.Sprintf("r%d", i%2+1))
				live = append(live, member.Member{Member: gossip.Member{Entry: ident.Entry(name), State: gossip.Alive, Region: region}})
				list = append(list, watch.Instance{Name: name, Role: watch.RoleEntry, Region: region, Address: "127.0.0.1:8080"})
			}
			entry.Apply(entry.now, core.InstancesListed{Instances: list})
			entry.Apply(entry.now, core.MembersUpdated{Live: live, Ready: true})
			b.ReportAllocs()
			for b.Loop() {
				location, refusal := entry.Locate(entry.now, core.Head{Service: "chat", AnyCall: true})
				if refusal != nil || len(location.Entries) < n {
					b.Fatal(refusal, len(location.Entries))
				}
			}
		})
	}
}

// BenchmarkCallers measures the memory that remains per caller one minute after each of
// many callers had one request.
func BenchmarkCallers(b *testing.B) {
	const callers = 37_000
	for b.Loop() {
		entry := newLargeEntry(b, 18)
		before := heapBytes()
		for i := range callers {
			entry.runRequest(b, i, ident.Caller(fmt.Sprintf("customer-%d", i)))
			if i%10 == 0 {
				entry.Apply(entry.now, core.Tick{})
			}
		}
		entry.wait(clock.Minute)
		b.ReportMetric((heapBytes()-before)/callers, "B/idle-caller")
		runtime.KeepAlive(entry)
	}
}

func heapBytes() float64 {
	runtime.GC()
	runtime.GC() // the second run also empties the sync.Pool victim caches
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc)
}
