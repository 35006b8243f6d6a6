package core_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/route"
)

// full returns a core of region r1 whose eight slots there are taken.
func full(t *testing.T, policy string) (*bench, core.Dispatch) {
	t.Helper()
	encoded, keys := signed(t)
	force := bundle.NewForce(keys)
	_, err := force.Offer(encoded)
	require.NoError(t, err)
	p, err := route.New(policy, 1)
	require.NoError(t, err)
	b := &bench{now: 1000, name: "e1", Core: core.New(core.Config{
		Entry: "e1", Incarnation: 1, Region: "r1", Seed: 1, Force: force, Policy: p,
	})}
	b.Apply(b.now, core.Listed{Instances: instances()})
	b.Apply(b.now, core.Peers{Ready: true})
	b.Apply(b.now, core.Tick{})
	var last core.Dispatch
	for i := range 8 {
		a := chat(ident.Request(string(rune('a' + i))))
		a.Home = "h1"
		last = only[core.Dispatch](t, b.Apply(b.now, a))
		b.Apply(b.now, core.First{Request: a.Request, Try: last.Try})
	}
	return b, last
}

// Guards against a single queue that lets short work pass long work, with which
// the measured policies would be compared.
func TestSingleQueueIgnoresClasses(t *testing.T) {
	for policy, next := range map[string]ident.Request{route.Single: "long", route.Tanager: "short"} {
		t.Run(policy, func(t *testing.T) {
			b, running := full(t, policy)
			for i, id := range []ident.Request{"long", "short"} {
				a := chat(id)
				a.Home = "h1"
				a.Answer = []ident.Tokens{2000, 100}[i]
				b.now = b.now.Add(clock.Millisecond)
				require.Empty(t, b.Apply(b.now, a))
			}
			d := only[core.Dispatch](t, b.Apply(b.now, core.Ended{Request: running.Request, Try: running.Try, Outcome: fleet.Complete}))
			require.Equal(t, next, d.Request)
			require.Zero(t, d.Urgency)
		})
	}
}

// Guards against the loser of a hedge that goes on at its engine: after Win the
// shell carries out no further action until the winner's stream has ended.
func TestLoserIsCancelledBeforeWin(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000)
	first := only[core.Dispatch](t, b.Apply(b.now, chat("a")))
	second := only[core.Dispatch](t, b.wait(2*clock.Second))
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	require.Equal(t, []core.Action{
		core.Cancel{Request: "a", Try: first.Try},
		core.Win{Request: "a", Try: second.Try},
	}, b.Apply(b.now, core.First{Request: "a", Try: second.Try}))
}
