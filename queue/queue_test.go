package queue_test

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/queue"
)

// Fixes the seed of the property tests unless -rapid.seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }

const service ident.Service = "assistant"

func newItem(name, caller string, urgency int, deadline clock.Time) queue.Item {
	return queue.Item{
		Request: ident.Request(name), Service: service, Class: ident.Class(fmt.Sprint("c", urgency)),
		Urgency: urgency, Caller: ident.Caller(caller), Deadline: deadline,
	}
}

func pushAll(t require.TestingT, pending *queue.Queue, items ...queue.Item) {
	for _, i := range items {
		_, err := pending.Push(0, i)
		require.NoError(t, err)
	}
}

// drain takes one item per walk, as if one slot became free at a time, and returns the
// names in order.
func drain(pending *queue.Queue) []string {
	var names []string
	for taken := true; taken; {
		taken = false
		pending.Walk(0, service, func(item queue.Item) bool {
			if taken {
				return false
			}
			taken = true
			names = append(names, string(item.Request))
			return true
		})
	}
	return names
}

// Guards against an order that ignores urgency, fairness between callers or deadlines.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		items []queue.Item
		want  []string
	}{
		"urgency first":      {[]queue.Item{newItem("a", "x", 1, 10), newItem("b", "x", 0, 90)}, []string{"b", "a"}},
		"earliest deadline":  {[]queue.Item{newItem("a", "x", 0, 90), newItem("b", "y", 0, 10)}, []string{"b", "a"}},
		"deadline in caller": {[]queue.Item{newItem("a", "x", 0, 90), newItem("b", "x", 0, 10)}, []string{"b", "a"}},
		"callers in turn": {
			[]queue.Item{newItem("a", "x", 0, 1), newItem("b", "x", 0, 2), newItem("c", "x", 0, 3), newItem("d", "y", 0, 50)},
			[]string{"a", "d", "b", "c"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			pending := queue.New(queue.Config{})
			pushAll(t, pending, tt.items...)
			require.Equal(t, tt.want, drain(pending))
		})
	}
}

// Guards against a full queue that grows, or that sheds items as urgent as the new one.
func TestPushOnFull(t *testing.T) {
	pending := queue.New(queue.Config{PerService: 2, PerCaller: 2})
	pushAll(t, pending, newItem("a", "x", 1, 10), newItem("b", "y", 1, 20))
	_, err := pending.Push(0, newItem("c", "z", 1, 5))
	require.Equal(t, queue.KindFull, fault.KindOf[queue.Kind](err))
	shed, err := pending.Push(0, newItem("d", "x", 0, 30))
	require.NoError(t, err)
	require.Equal(t, []queue.Item{newItem("b", "y", 1, 20)}, shed)
	_, err = pending.Push(0, newItem("e", "x", 0, 30))
	require.Equal(t, queue.KindCallerLimit, fault.KindOf[queue.Kind](err))
	require.Equal(t, 2, pending.Waiting(service))
}

// Guards against starvation of less urgent items by a continuous supply of urgent ones.
func TestNoStarvationByUrgency(t *testing.T) {
	pending := queue.New(queue.Config{})
	pushAll(t, pending, newItem("long", "x", 1, 1000))
	for i := range 40 {
		pushAll(t, pending, newItem(fmt.Sprint(i), "y", 0, 10))
		taken := ""
		pending.Walk(0, service, func(item queue.Item) bool {
			if taken != "" {
				return false
			}
			taken = string(item.Request)
			return true
		})
		if taken == "long" {
			return
		}
	}
	t.Fatal("the long item was never taken")
}

// Guards against starvation of a caller with many items by a continuous supply of items
// of new callers.
func TestNoStarvationByNewCallers(t *testing.T) {
	pending := queue.New(queue.Config{})
	for i := range 5 {
		pushAll(t, pending, newItem(fmt.Sprint("old", i), "old", 0, clock.Time(100+i)))
	}
	left := 5
	for i := range 100 {
		pushAll(t, pending, newItem(fmt.Sprint("new", i), fmt.Sprint("new", i), 0, clock.Time(50)))
		pushAll(t, pending, newItem(fmt.Sprint("more", i), fmt.Sprint("more", i), 0, clock.Time(50)))
		taken := 0
		pending.Scan(0, service, func(item queue.Item) queue.Decision {
			if item.Caller == "old" {
				left--
			}
			taken++
			if taken == 2 {
				return queue.Stop
			}
			return queue.Take
		})
		if left == 0 {
			return
		}
	}
	t.Fatalf("%d items of the old caller were not visited within 100 scans", left)
}

// Guards against a scan that visits further items of a class after SkipClass.
func TestScanSkipsClass(t *testing.T) {
	pending := queue.New(queue.Config{})
	pushAll(t, pending, newItem("a", "x", 0, 1), newItem("b", "x", 0, 2), newItem("c", "x", 1, 3))
	var seen []string
	pending.Scan(0, service, func(item queue.Item) queue.Decision {
		seen = append(seen, string(item.Request))
		return queue.SkipClass
	})
	require.Equal(t, []string{"a", "c"}, seen)
}

// Guards against items that are visited after their deadline or never expire.
func TestExpire(t *testing.T) {
	pending := queue.New(queue.Config{})
	pushAll(t, pending, newItem("a", "x", 0, 10), newItem("b", "x", 0, 20))
	var seen []ident.Request
	pending.Walk(11, service, func(item queue.Item) bool { seen = append(seen, item.Request); return false })
	require.Equal(t, []ident.Request{"b"}, seen)
	require.Equal(t, []queue.Item{newItem("a", "x", 0, 10)}, pending.Expire(11))
	_, ok := pending.Remove("b")
	require.True(t, ok)
	require.Zero(t, pending.Len())
}

// Guards, for random sequences of operations, against lost or duplicate items, wrong
// counts and an order that violates urgency.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		pending := queue.New(queue.Config{PerService: 12, PerCaller: 5})
		held := map[ident.Request]queue.Item{}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				item := newItem(fmt.Sprint(n), rapid.SampledFrom([]string{"x", "y", "z", "w"}).Draw(t, "caller"),
					rapid.IntRange(0, 2).Draw(t, "urgency"), clock.Time(rapid.IntRange(0, 9).Draw(t, "deadline")))
				shed, err := pending.Push(0, item)
				if err == nil {
					held[item.Request] = item
				}
				for _, s := range shed {
					require.Greater(t, s.Urgency, item.Urgency)
					delete(held, s.Request)
				}
			case 2:
				var urgencies []int
				bits := rapid.Uint32().Draw(t, "taken")
				before := pending.Waiting(service)
				pending.Walk(0, service, func(item queue.Item) bool {
					urgencies = append(urgencies, item.Urgency)
					take := bits&1 == 1
					bits >>= 1
					if take {
						require.Contains(t, held, item.Request)
						delete(held, item.Request)
					}
					return take
				})
				if len(urgencies) == before {
					require.True(t, slices.IsSorted(urgencies) || urgencies[0] > 0)
				}
			case 3:
				if len(held) > 0 {
					id := slices.Min(slices.Collect(maps.Keys(held)))
					_, ok := pending.Remove(id)
					require.True(t, ok)
					delete(held, id)
				}
			}
			require.Equal(t, len(held), pending.Waiting(service))
		}
		require.Len(t, drain(pending), len(held))
	})
}

// BenchmarkWalk512 measures a walk over 512 items none of which is taken.
func BenchmarkWalk512(b *testing.B) {
	pending := queue.New(queue.Config{PerService: 512})
	for i := range 512 {
		pushAll(b, pending, newItem(fmt.Sprint(i), fmt.Sprint(i%40), i%2, clock.Time(i)))
	}
	b.Run("skip", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			pending.Walk(0, service, func(queue.Item) bool { return false })
		}
	})
	b.Run("class", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			pending.Scan(0, service, func(queue.Item) queue.Decision { return queue.SkipClass })
		}
	})
}
