package core_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/member"
)

// collectOrders advances the clock while engine chat-0 reports that it has no model, and
// returns the model orders.
func (e *testEntry) collectOrders(span clock.Span) []core.Order {
	var orders []core.Order
	for end := e.now.Add(span); e.now.Before(end); {
		e.Apply(e.now, core.LoadReported{Endpoint: "chat-0", Report: fleet.Report{State: fleet.ConditionReady, Slots: 4, ListsModels: true}})
		for _, a := range e.wait(clock.Second) {
			if order, ok := a.(core.Order); ok {
				orders = append(orders, order)
			}
		}
	}
	return orders
}

// Guards against model orders by an entry that is draining, not ready or not responsible
// for the engine, and against missing orders by the responsible entry.
func TestResponsibleEntryOrdersModels(t *testing.T) {
	peer := func(state gossip.State) core.MembersUpdated {
		return core.MembersUpdated{Ready: true, Live: []member.Member{{Member: gossip.Member{Entry: "e2", Region: "r1", State: state}}}}
	}
	for _, tc := range []struct {
		name   string
		event  core.Event
		region bool // the entry is in the engine's region
		orders int
	}{
		{"alone", core.MembersUpdated{Ready: true}, true, 1},
		{"not ready", core.MembersUpdated{}, true, 0},
		{"leaving", core.DrainStarted{AcceptFor: clock.Minute}, true, 0},
		{"in another region than the engine and its entry", peer(gossip.Alive), false, 0},
		{"in another region, the engine's entry is suspect", peer(gossip.Suspect), false, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			entry := newTestEntry(t, "e1", "r2", 1, 1000)
			if tc.region {
				entry = newTestEntry(t, "e1", "r1", 1, 1000)
			}
			entry.Apply(entry.now, tc.event)
			orders := entry.collectOrders(14 * clock.Second)
			require.Len(t, orders, tc.orders)
			for _, o := range orders {
				require.Equal(t, assign.Order{Number: o.Number, Endpoint: "chat-0", Address: "127.0.0.1:9000", Model: "m", Fence: 1}, o.Order)
			}
		})
	}
}

// Guards against a planned order that is still sent after the process was paused, started
// draining or received a newer bundle.
func TestOutdatedOrderIsNotSent(t *testing.T) {
	for _, tc := range []struct {
		name  string
		event func(entry *testEntry, offer func())
		want  bool
	}{
		{"nothing happened", func(*testEntry, func()) {}, true},
		{"stopped", func(entry *testEntry, _ func()) { entry.now = entry.now.Add(5 * clock.Second) }, false},
		{"stopped and running again", func(entry *testEntry, _ func()) {
			entry.now = entry.now.Add(5 * clock.Second)
			entry.wait(100)
		}, false},
		{"leaving", func(entry *testEntry, _ func()) { entry.Apply(entry.now, core.DrainStarted{}) }, false},
		{"newer bundle", func(_ *testEntry, offer func()) { offer() }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			active, offer := newActive(t, document)
			entry := newTestEntryWith(t, active)
			var orders []core.Order
			for len(orders) == 0 && entry.now < 20_000 {
				entry.Apply(entry.now, core.LoadReported{Endpoint: "chat-0", Report: fleet.Report{State: fleet.ConditionReady, Slots: 4, ListsModels: true}})
				for _, a := range entry.wait(50) {
					if order, ok := a.(core.Order); ok {
						orders = append(orders, order)
					}
				}
			}
			require.Len(t, orders, 1)
			tc.event(entry, func() { offer(strings.Replace(document, `"version": 1`, `"version": 2`, 1)) })
			require.Equal(t, tc.want, entry.MaySendOrder(entry.now, orders[0].Number))
		})
	}
}

// Guards against orders that a process plans from outdated reports right after a pause,
// and against missing orders once it has received current ones.
func TestPausedProcessDelaysPlanning(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000)
	require.Empty(t, entry.collectOrders(2*clock.Second))
	entry.now = entry.now.Add(10 * clock.Second)
	require.Empty(t, entry.collectOrders(3*clock.Second))
	require.Len(t, entry.collectOrders(4*clock.Second), 1)
}
