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

// Fixes the seed of the property tests unless the command line sets one.
func init() { _ = flag.Set("rapid.seed", "1") }

const service ident.Service = "assistant"

func item(name, caller string, urgency int, deadline clock.Time) queue.Item {
	return queue.Item{
		Request: ident.Request(name), Service: service, Class: ident.Class(fmt.Sprint("c", urgency)),
		Urgency: urgency, Caller: ident.Caller(caller), Deadline: deadline,
	}
}

func fill(t require.TestingT, q *queue.Queue, items ...queue.Item) {
	for _, i := range items {
		_, err := q.Push(0, i)
		require.NoError(t, err)
	}
}

// drain takes items one by one, as slots become free, until none is left.
func drain(q *queue.Queue) []string {
	var names []string
	for taken := true; taken; {
		taken = false
		q.Walk(0, service, func(i queue.Item) bool {
			if taken {
				return false
			}
			taken = true
			names = append(names, string(i.Request))
			return true
		})
	}
	return names
}

// Guards against an order in which urgency, turns or deadlines don't count.
func TestOrder(t *testing.T) {
	tests := map[string]struct {
		items []queue.Item
		want  []string
	}{
		"urgency first":      {[]queue.Item{item("a", "x", 1, 10), item("b", "x", 0, 90)}, []string{"b", "a"}},
		"earliest deadline":  {[]queue.Item{item("a", "x", 0, 90), item("b", "y", 0, 10)}, []string{"b", "a"}},
		"deadline in caller": {[]queue.Item{item("a", "x", 0, 90), item("b", "x", 0, 10)}, []string{"b", "a"}},
		"callers in turn": {
			[]queue.Item{item("a", "x", 0, 1), item("b", "x", 0, 2), item("c", "x", 0, 3), item("d", "y", 0, 50)},
			[]string{"a", "d", "b", "c"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			q := queue.New(queue.Config{})
			fill(t, q, tt.items...)
			require.Equal(t, tt.want, drain(q))
		})
	}
}

// Guards against a full queue that grows, or that sheds work as urgent as the new.
func TestPushOnFull(t *testing.T) {
	q := queue.New(queue.Config{Limit: 2, Caller: 2})
	fill(t, q, item("a", "x", 1, 10), item("b", "y", 1, 20))
	_, err := q.Push(0, item("c", "z", 1, 5))
	require.Equal(t, queue.Full, fault.KindOf[queue.Kind](err))
	shed, err := q.Push(0, item("d", "x", 0, 30))
	require.NoError(t, err)
	require.Equal(t, []queue.Item{item("b", "y", 1, 20)}, shed)
	_, err = q.Push(0, item("e", "x", 0, 30))
	require.Equal(t, queue.Share, fault.KindOf[queue.Kind](err))
	require.Equal(t, 2, q.Waiting(service))
}

// Guards against urgent work that starves the rest as long as it keeps coming.
func TestNoStarvationByUrgency(t *testing.T) {
	q := queue.New(queue.Config{})
	fill(t, q, item("long", "x", 1, 1000))
	for i := range 40 {
		fill(t, q, item(fmt.Sprint(i), "y", 0, 10))
		taken := ""
		q.Walk(0, service, func(i queue.Item) bool {
			if taken != "" {
				return false
			}
			taken = string(i.Request)
			return true
		})
		if taken == "long" {
			return
		}
	}
	t.Fatal("the long item was never taken")
}

// Guards against a caller with much work that waits for ever behind new callers.
func TestNoStarvationByNewCallers(t *testing.T) {
	q := queue.New(queue.Config{})
	for i := range 5 {
		fill(t, q, item(fmt.Sprint("old", i), "old", 0, clock.Time(100+i)))
	}
	left := 5
	for i := range 100 {
		fill(t, q, item(fmt.Sprint("new", i), fmt.Sprint("new", i), 0, clock.Time(50)))
		fill(t, q, item(fmt.Sprint("more", i), fmt.Sprint("more", i), 0, clock.Time(50)))
		taken := 0
		q.Scan(0, service, func(i queue.Item) queue.Step {
			if i.Caller == "old" {
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
	t.Fatalf("%d items of the old caller were never visited first", left)
}

// Guards against a scan that goes on with a class after it was told to leave it.
func TestScanSkipsClass(t *testing.T) {
	q := queue.New(queue.Config{})
	fill(t, q, item("a", "x", 0, 1), item("b", "x", 0, 2), item("c", "x", 1, 3))
	var seen []string
	q.Scan(0, service, func(i queue.Item) queue.Step {
		seen = append(seen, string(i.Request))
		return queue.SkipClass
	})
	require.Equal(t, []string{"a", "c"}, seen)
}

// Guards against items that are offered after their deadline or never expire.
func TestExpire(t *testing.T) {
	q := queue.New(queue.Config{})
	fill(t, q, item("a", "x", 0, 10), item("b", "x", 0, 20))
	var seen []ident.Request
	q.Walk(11, service, func(i queue.Item) bool { seen = append(seen, i.Request); return false })
	require.Equal(t, []ident.Request{"b"}, seen)
	require.Equal(t, []queue.Item{item("a", "x", 0, 10)}, q.Expire(11))
	_, ok := q.Remove("b")
	require.True(t, ok)
	require.Zero(t, q.Len())
}

// Guards against lost or repeated items, wrong counts and an order that breaks
// urgency, whatever the sequence of operations.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := queue.New(queue.Config{Limit: 12, Caller: 5})
		held := map[ident.Request]queue.Item{}
		for n := range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				i := item(fmt.Sprint(n), rapid.SampledFrom([]string{"x", "y", "z", "w"}).Draw(t, "caller"),
					rapid.IntRange(0, 2).Draw(t, "urgency"), clock.Time(rapid.IntRange(0, 9).Draw(t, "deadline")))
				shed, err := q.Push(0, i)
				if err == nil {
					held[i.Request] = i
				}
				for _, s := range shed {
					require.Greater(t, s.Urgency, i.Urgency)
					delete(held, s.Request)
				}
			case 2:
				var urgencies []int
				bits := rapid.Uint32().Draw(t, "taken")
				before := q.Waiting(service)
				q.Walk(0, service, func(i queue.Item) bool {
					urgencies = append(urgencies, i.Urgency)
					take := bits&1 == 1
					bits >>= 1
					if take {
						require.Contains(t, held, i.Request)
						delete(held, i.Request)
					}
					return take
				})
				if len(urgencies) == before {
					require.True(t, slices.IsSorted(urgencies) || urgencies[0] > 0)
				}
			case 3:
				if len(held) > 0 {
					r := slices.Min(slices.Collect(maps.Keys(held)))
					_, ok := q.Remove(r)
					require.True(t, ok)
					delete(held, r)
				}
			}
			require.Equal(t, len(held), q.Waiting(service))
		}
		require.Len(t, drain(q), len(held))
	})
}

// BenchmarkWalk512 visits 512 items of which none fits.
func BenchmarkWalk512(b *testing.B) {
	q := queue.New(queue.Config{Limit: 512})
	for i := range 512 {
		fill(b, q, item(fmt.Sprint(i), fmt.Sprint(i%40), i%2, clock.Time(i)))
	}
	b.Run("skip", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			q.Walk(0, service, func(queue.Item) bool { return false })
		}
	})
	b.Run("class", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			q.Scan(0, service, func(queue.Item) queue.Step { return queue.SkipClass })
		}
	})
}
