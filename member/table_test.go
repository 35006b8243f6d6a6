package member_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// Guards against a wrong precedence of records: an earlier incarnation must never
// replace a later one, and a refutation must override the failure report.
func TestMergeOrder(t *testing.T) {
	record := func(i ident.Incarnation, g uint64, s gossip.State) gossip.Member {
		return gossip.Member{Entry: "b", Incarnation: i, Generation: g, State: s}
	}
	cases := []struct {
		name     string
		old, new gossip.Member
		changed  bool
	}{
		{"older incarnation", record(5, 0, gossip.Alive), record(4, 9, gossip.Failed), false},
		{"newer incarnation", record(5, 7, gossip.Left), record(6, 0, gossip.Alive), true},
		{"suspicion", record(5, 1, gossip.Alive), record(5, 1, gossip.Suspect), true},
		{"late suspicion", record(5, 2, gossip.Alive), record(5, 1, gossip.Suspect), false},
		{"refutation", record(5, 1, gossip.Failed), record(5, 2, gossip.Alive), true},
		{"alive is no refutation", record(5, 1, gossip.Failed), record(5, 1, gossip.Alive), false},
		{"failure of a suspect", record(5, 1, gossip.Suspect), record(5, 1, gossip.Failed), true},
		{"repeated", record(5, 1, gossip.Alive), record(5, 1, gossip.Alive), false},
		{"unknown state", record(5, 1, gossip.Alive), record(6, 1, "odd"), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := member.New(member.Config{Self: gossip.Member{Entry: "a"}})
			table.Merge(0, []gossip.Member{c.old})
			require.Equal(t, c.changed, table.Merge(0, []gossip.Member{c.new}))
			want := c.old
			if c.changed {
				want = c.new
			}
			got, _ := table.Find("b")
			require.Equal(t, want, got.Member)
		})
	}
}

// Guards against a crashed entry that stays live, and against its removal while the
// platform still lists it.
func TestCrashIsDetectedAndForgotten(t *testing.T) {
	w := newNetwork(4, 3, 1)
	w.run(10 * clock.Second)
	w.processes[w.names[3]].paused = true
	w.run(10 * clock.Second)
	for i := range 3 {
		require.Equal(t, gossip.Failed, w.state(i, 3))
		require.Len(t, w.table(i).Live(), 2)
		w.table(i).Sync(w.now, w.list)
		require.Len(t, w.table(i).Members(), 3)
		w.table(i).Sync(w.now, w.list[:3])
		require.Len(t, w.table(i).Members(), 2)
	}
}

// Guards against removal of an unlisted member that still answers probes.
func TestAbsentMember(t *testing.T) {
	w := newNetwork(3, 1, 1)
	w.run(5 * clock.Second)
	for range 5 {
		w.table(0).Sync(w.now, w.list[:2])
		w.run(clock.Second)
	}
	require.Len(t, w.table(0).Live(), 2)
	w.processes[w.names[2]].paused = true
	w.run(2500 * clock.Millisecond)
	w.table(0).Sync(w.now, w.list[:2])
	require.Len(t, w.table(0).Live(), 1)
}

// Guards against a one-way partition between two entries that takes either out of use
// although all others reach both.
func TestOneWayCut(t *testing.T) {
	w := newNetwork(4, 3, 1)
	w.run(5 * clock.Second)
	w.blocked[[2]ident.Entry{w.names[0], w.names[1]}] = true
	for range 300 {
		w.advance()
		for i := range 4 {
			require.Len(t, w.table(i).Live(), 3)
		}
	}
}

// Guards against a process that is ready with a stale view after a pause, and against
// an isolated process that never becomes ready again.
func TestPause(t *testing.T) {
	w := newNetwork(3, 1, 1)
	require.False(t, w.table(0).Ready(w.now))
	w.run(3 * clock.Second)
	require.True(t, w.table(0).Ready(w.now))
	p := w.processes[w.names[0]]
	w.table(0).Merge(w.now, []gossip.Member{{Entry: w.names[1], Incarnation: 1, State: gossip.Suspect}})
	p.paused = true
	w.run(5 * clock.Second)
	require.False(t, w.table(0).Ready(w.now), "a paused process is not ready before its first tick either")
	p.paused = false
	p.inbox = nil
	w.isolate(0, true)
	for range 15 {
		w.advance()
		require.False(t, w.table(0).Ready(w.now))
		require.Equal(t, gossip.Alive, w.state(0, 1))
		require.Equal(t, gossip.Alive, w.state(0, 2))
	}
	w.run(2 * clock.Second)
	require.True(t, w.table(0).Ready(w.now), "an isolated process becomes ready without peers")
	w.isolate(0, false)
	w.run(10 * clock.Second)
	for i := range 3 {
		require.Len(t, w.table(i).Live(), 2)
	}
}

// Guards against an answer to a probe from before a pause that makes the process ready.
func TestLateAnswer(t *testing.T) {
	w := newNetwork(2, 1, 1)
	table := w.table(0)
	requests := table.Tick(w.now)
	require.NotEmpty(t, requests)
	table.RecordAck(w.now.Add(5*clock.Second), requests[0].To, requests[0].Seq)
	require.False(t, table.Ready(w.now.Add(5*clock.Second)))
}

// Guards against a process without peers that never becomes ready, and against one that
// is ready before it has a list.
func TestReadyWithoutPeers(t *testing.T) {
	table := member.New(member.Config{Self: gossip.Member{Entry: "a"}})
	table.Tick(1)
	require.False(t, table.Ready(1))
	table.Sync(2, []watch.Instance{{Name: "a", Role: watch.RoleEntry}})
	table.Tick(3)
	require.True(t, table.Ready(3))
}

// Guards against false failure reports by a slow process, whose ticks are far apart but
// below the pause threshold.
func TestSlowProcess(t *testing.T) {
	w := newNetwork(3, 1, 1)
	w.run(5 * clock.Second)
	p := w.processes[w.names[0]]
	for range 40 {
		p.paused = true
		w.run(1500 * clock.Millisecond)
		p.paused = false
		w.advance()
		require.Len(t, w.table(1).Live(), 2)
		require.Len(t, w.table(0).Live(), 2)
	}
}

// Guards against a leaving entry that still counts as live, and against a successor
// that does not reach every entry or is lost with the member's removal.
func TestLeave(t *testing.T) {
	w := newNetwork(4, 3, 1)
	w.run(5 * clock.Second)
	w.table(0).Drain()
	w.run(3 * clock.Second)
	require.Len(t, w.table(1).Live(), 2)
	w.table(0).Leave(w.now, w.names[2])
	w.table(1).Merge(w.now, w.table(0).Updates())
	w.processes[w.names[0]].paused = true
	w.run(10 * clock.Second)
	for i := 1; i < 4; i++ {
		require.Equal(t, gossip.Left, w.state(i, 0))
		successor, ok := w.table(i).Successor(w.names[0], 1)
		require.True(t, ok)
		require.Equal(t, w.names[2], successor)
		w.table(i).Sync(w.now, w.list[1:])
		_, ok = w.table(i).Successor(w.names[0], 1)
		require.True(t, ok, "the successor outlives the member")
		_, ok = w.table(i).Successor(w.names[0], 2)
		require.False(t, ok)
	}
}

// Guards against a process that stays ready after a later incarnation of its entry started.
func TestSuperseded(t *testing.T) {
	w := newNetwork(2, 1, 1)
	w.run(3 * clock.Second)
	w.table(0).Merge(w.now, []gossip.Member{{Entry: w.names[0], Incarnation: 2, State: gossip.Alive}})
	require.True(t, w.table(0).Superseded())
	require.False(t, w.table(0).Ready(w.now))
}

// Guards against members without monitors and against too many probes per node.
func TestMonitors(t *testing.T) {
	w := newNetwork(120, 4, 1)
	watched := map[ident.Entry]int{}
	for i := range w.names {
		m := w.table(i).Monitors()
		require.LessOrEqual(t, len(m), 40)
		for _, r := range m {
			watched[r.Entry]++
		}
	}
	for _, n := range w.names {
		require.Equal(t, 8+3*2, watched[n])
	}
	small := newNetwork(4, 3, 1)
	require.Len(t, small.table(0).Monitors(), 3)
}

// Guards against gossip messages that grow with the size of the table.
func TestUpdatesAreBounded(t *testing.T) {
	w := newNetwork(120, 4, 1)
	var updates []gossip.Member
	for _, n := range w.names[1:] {
		updates = append(updates, gossip.Member{Entry: n, Incarnation: 1, State: gossip.Alive})
	}
	w.table(0).Merge(w.now, updates)
	require.LessOrEqual(t, len(w.table(0).Updates()), 1+16+2)
	for range 1000 {
		w.table(0).Updates()
	}
	require.LessOrEqual(t, len(w.table(0).Updates()), 3, "queued updates expire")
}
