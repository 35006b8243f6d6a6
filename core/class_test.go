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

// newFullEntry returns an entry in region r1 with all eight slots of the region in use,
// and the last dispatch.
func newFullEntry(t *testing.T, policy string) (*testEntry, core.Dispatch) {
	t.Helper()
	encoded, keys := signedDocument(t)
	active := bundle.NewActive(keys)
	_, err := active.Offer(encoded)
	require.NoError(t, err)
	routing, err := route.New(policy, 1)
	require.NoError(t, err)
	entry := &testEntry{now: 1000, name: "e1", Core: core.New(core.Config{
		Entry: "e1", Incarnation: 1, Region: "r1", Seed: 1, Bundles: active, Policy: routing,
	})}
	entry.Apply(entry.now, core.InstancesListed{Instances: instances()})
	entry.Apply(entry.now, core.MembersUpdated{Ready: true})
	entry.Apply(entry.now, core.Tick{})
	var last core.Dispatch
	for i := range 8 {
		arrival := completion(ident.Request(string(rune('a' + i))))
		arrival.Home = "h1"
		last = onlyAction[core.Dispatch](t, entry.Apply(entry.now, arrival))
		entry.Apply(entry.now, core.AnswerStarted{Request: arrival.Request, Attempt: last.Attempt})
	}
	return entry, last
}

// Guards against a single-queue policy that dispatches short requests before long ones:
// it is the baseline with which the other policies are compared.
func TestSingleQueueIgnoresClasses(t *testing.T) {
	for policy, next := range map[string]ident.Request{route.SingleQueue: "long", route.Tanager: "short"} {
		t.Run(policy, func(t *testing.T) {
			entry, running := newFullEntry(t, policy)
			for i, id := range []ident.Request{"long", "short"} {
				arrival := completion(id)
				arrival.Home = "h1"
				arrival.MaxTokens = []ident.Tokens{2000, 100}[i]
				entry.now = entry.now.Add(clock.Millisecond)
				require.Empty(t, entry.Apply(entry.now, arrival))
			}
			dispatch := onlyAction[core.Dispatch](t, entry.Apply(entry.now, core.AttemptEnded{Request: running.Request, Attempt: running.Attempt, Outcome: fleet.Complete}))
			require.Equal(t, next, dispatch.Request)
			require.Zero(t, dispatch.Urgency)
		})
	}
}

// Guards against the losing attempt of a hedge that keeps running at its engine: after
// Forward the shell carries out no further action until the winner's stream has ended.
func TestLoserIsCancelledBeforeForward(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000)
	first := onlyAction[core.Dispatch](t, entry.Apply(entry.now, completion("a")))
	second := onlyAction[core.Dispatch](t, entry.wait(2*clock.Second))
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	require.Equal(t, []core.Action{
		core.Cancel{Request: "a", Attempt: first.Attempt},
		core.Forward{Request: "a", Attempt: second.Attempt},
	}, entry.Apply(entry.now, core.AnswerStarted{Request: "a", Attempt: second.Attempt}))
}
