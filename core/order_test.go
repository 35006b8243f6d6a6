package core_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/news"
)

// watchOrders lets time pass in ticks while engine chat-0 reports that it has no
// model, and returns the model orders.
func (b *bench) watchOrders(s clock.Span) []core.Order {
	var orders []core.Order
	for end := b.now.Add(s); b.now.Before(end); {
		b.Apply(b.now, core.Reported{Endpoint: "chat-0", Report: fleet.Report{State: fleet.ConditionReady, Slots: 4, Lists: true}})
		for _, a := range b.wait(clock.Second) {
			if o, ok := a.(core.Order); ok {
				orders = append(orders, o)
			}
		}
	}
	return orders
}

// Guards against model orders of an entry that is leaving, not ready or not the one
// whose turn it is, and against none of the one whose turn it is.
func TestWhoOrdersModels(t *testing.T) {
	peer := func(state news.State) core.Peers {
		return core.Peers{Ready: true, Live: []member.Member{{Member: news.Member{Entry: "e2", Region: "r1", State: state}}}}
	}
	for _, tc := range []struct {
		name   string
		event  core.Event
		region bool // the entry is in the engine's region
		orders int
	}{
		{"alone", core.Peers{Ready: true}, true, 1},
		{"not ready", core.Peers{}, true, 0},
		{"leaving", core.Draining{Linger: clock.Minute}, true, 0},
		{"in another region than the engine and its entry", peer(news.Alive), false, 0},
		{"in another region, the engine's entry is suspect", peer(news.Suspect), false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, "e1", "r2", 1, 1000)
			if tc.region {
				b = newBench(t, "e1", "r1", 1, 1000)
			}
			b.Apply(b.now, tc.event)
			orders := b.watchOrders(14 * clock.Second)
			require.Len(t, orders, tc.orders)
			for _, o := range orders {
				require.Equal(t, assign.Order{Number: o.Number, Endpoint: "chat-0", Address: "127.0.0.1:9000", Model: "m", Fence: 1}, o.Order)
			}
		})
	}
}

// Guards against an order that a stopped, leaving or outdated process sends.
func TestOrderOfTheRecentPastIsNotSent(t *testing.T) {
	for _, tc := range []struct {
		name  string
		event func(b *bench, offer func())
		want  bool
	}{
		{"nothing happened", func(*bench, func()) {}, true},
		{"stopped", func(b *bench, _ func()) { b.now = b.now.Add(5 * clock.Second) }, false},
		{"stopped and running again", func(b *bench, _ func()) {
			b.now = b.now.Add(5 * clock.Second)
			b.wait(100)
		}, false},
		{"leaving", func(b *bench, _ func()) { b.Apply(b.now, core.Draining{}) }, false},
		{"newer bundle", func(_ *bench, offer func()) { offer() }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			public, private, err := bundle.GenerateKey("k1")
			require.NoError(t, err)
			force := bundle.NewForce([]bundle.PublicKey{public})
			offer := func(text string) {
				s, err := bundle.Sign(private, []byte(text))
				require.NoError(t, err)
				_, err = force.Offer(s.Encode())
				require.NoError(t, err)
			}
			offer(document)
			b := benchOf(t, force)
			var orders []core.Order
			for len(orders) == 0 && b.now < 20_000 {
				b.Apply(b.now, core.Reported{Endpoint: "chat-0", Report: fleet.Report{State: fleet.ConditionReady, Slots: 4, Lists: true}})
				for _, a := range b.wait(50) {
					if o, ok := a.(core.Order); ok {
						orders = append(orders, o)
					}
				}
			}
			require.Len(t, orders, 1)
			tc.event(b, func() { offer(strings.Replace(document, `"version": 1`, `"version": 2`, 1)) })
			require.Equal(t, tc.want, b.ConfirmOrder(b.now, orders[0].Number))
		})
	}
}

// Guards against orders of a process that was stopped, from reports that are older
// than it knows, and against none after it has caught up.
func TestStoppedProcessPlansAnew(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000)
	require.Empty(t, b.watchOrders(2*clock.Second))
	b.now = b.now.Add(10 * clock.Second)
	require.Empty(t, b.watchOrders(3*clock.Second))
	require.Len(t, b.watchOrders(4*clock.Second), 1)
}
