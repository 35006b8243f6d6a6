package core_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/route"
)

// documentWithKey is the document with an idempotency key for orders.
var documentWithKey = strings.Replace(document, `"path": "/orders", "idempotent": false, "hedge": false`,
	`"path": "/orders", "idempotent": false, "hedge": false, "dedupe": "Idempotency-Key"`, 1)

// Guards against a broken order that ends as unknown although the service takes
// idempotency keys, and against a resend with another key or to the failed endpoint.
func TestBrokenOrderIsRepeatedWithItsKey(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000, documentWithKey)
	order := entry.newOrder(t)
	first := onlyAction[core.Dispatch](t, entry.Apply(entry.now, order))
	require.Equal(t, "Idempotency-Key", first.KeyHeader)
	require.NotEmpty(t, first.Key)
	resent := onlyAction[core.Dispatch](t, entry.Apply(entry.now, core.AttemptEnded{Request: "o1", Attempt: first.Attempt, Outcome: fleet.Broken}))
	require.True(t, resent.NonIdempotent)
	require.Equal(t, first.Key, resent.Key)
	require.Equal(t, first.KeyHeader, resent.KeyHeader)
	require.NotEqual(t, first.Endpoint, resent.Endpoint)
	answer := ledger.Answer{Status: 200, Body: []byte("placed")}
	done := onlyAction[core.Deliver](t, entry.Apply(entry.now, core.AttemptEnded{Request: "o1", Attempt: resent.Attempt, Outcome: fleet.Complete, Answer: answer}))
	require.Equal(t, answer, done.Answer)
}

// Guards against "not run" for an order with a broken attempt, however the later attempts
// end, and against more attempts than the bundle allows.
func TestBrokenOrderEndsAsUnknown(t *testing.T) {
	broken := core.AttemptEnded{Outcome: fleet.Broken}
	refused := core.AttemptEnded{Outcome: fleet.Refused}
	unreachable := core.AttemptEnded{Outcome: fleet.Unreachable, Crashed: true}
	for _, tc := range []struct {
		name string
		ends []core.AttemptEnded
	}{
		// The last event also ends all further attempts.
		{"all attempts break off", []core.AttemptEnded{broken}},
		{"refused by all", []core.AttemptEnded{broken, refused}},
		{"not reached", []core.AttemptEnded{broken, unreachable}},
		{"refused first", []core.AttemptEnded{refused, broken, refused, broken}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			entry := newTestEntry(t, "e1", "r1", 1, 1000, documentWithKey)
			actions := entry.Apply(entry.now, entry.newOrder(t))
			ended, broken := 0, 0
			for entry.InProgress() > 0 {
				if len(actions) == 0 {
					actions = entry.wait(500)
					continue
				}
				dispatch := onlyAction[core.Dispatch](t, actions)
				event := tc.ends[min(ended, len(tc.ends)-1)]
				event.Request, event.Attempt = dispatch.Request, dispatch.Attempt
				actions = entry.Apply(entry.now, event)
				ended++
				if event.Outcome == fleet.Broken {
					broken++
				}
			}
			require.LessOrEqual(t, broken, 3, "more attempts than the bundle allows")
			require.Equal(t, caller.RanUnknown, onlyAction[core.Refuse](t, actions).Refusal.Ran)
			require.Len(t, actions, 1)
		})
	}
}

// Guards against "not run" for a broken order that waits for its next attempt, at its
// deadline and in response to a second send, and against a broken order that is dropped
// when its caller disconnects.
func TestBrokenOrderThatWaits(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000, documentWithKey)
	order := entry.newOrder(t)
	dispatch := onlyAction[core.Dispatch](t, entry.Apply(entry.now, order))
	entry.Apply(entry.now, core.InstancesListed{})
	entry.wait(90_000 - 500) // until the endpoints are removed
	require.Empty(t, entry.Apply(entry.now, core.AttemptEnded{Request: "o1", Attempt: dispatch.Attempt, Outcome: fleet.Broken}))
	entry.Apply(entry.now, core.CallerDisconnected{Request: "o1"})
	second := order
	second.Request = "o2"
	require.Equal(t, 1, entry.InProgress())
	for _, a := range append(entry.Apply(entry.now, second), entry.wait(20_000)...) {
		require.Equal(t, caller.RanUnknown, a.(core.Refuse).Refusal.Ran)
	}
	require.Zero(t, entry.InProgress())
}

// Guards against a broken order that is resent under a bundle that has removed or changed
// the idempotency header or the call.
func TestChangedKeyHeaderForbidsResend(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(string) string
	}{
		{"no key", func(text string) string { return strings.Replace(text, `, "dedupe": "Idempotency-Key"`, "", 1) }},
		{"another key", func(text string) string {
			return strings.Replace(text, `"dedupe": "Idempotency-Key"`, `"dedupe": "X-Idempotency-Key"`, 1)
		}},
		{"no such call", func(text string) string { return strings.Replace(text, "/orders", "/requests", 1) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, waits := range []bool{false, true} {
				active, offer := newActive(t, documentWithKey)
				entry := newTestEntryWith(t, active)
				dispatch := onlyAction[core.Dispatch](t, entry.Apply(entry.now, entry.newOrder(t)))
				next := tc.change(strings.Replace(documentWithKey, `"version": 1`, `"version": 2`, 1))
				if !waits {
					offer(next)
				}
				actions := entry.Apply(entry.now, core.AttemptEnded{Request: "o1", Attempt: dispatch.Attempt, Outcome: fleet.Broken})
				if waits {
					resent := onlyAction[core.Dispatch](t, actions)
					offer(next)
					require.False(t, entry.MaySendAttempt(entry.now, "o1", resent.Attempt))
					actions = entry.Apply(entry.now, core.AttemptEnded{Request: "o1", Attempt: resent.Attempt, Outcome: fleet.Refused})
				}
				require.Equal(t, caller.RanUnknown, onlyAction[core.Refuse](t, actions).Refusal.Ran)
			}
		})
	}
}

// newTestEntryWith returns an entry in region r1 with a bundle that the test can change.
func newTestEntryWith(t *testing.T, active *bundle.Active) *testEntry {
	t.Helper()
	policy, err := route.New("tanager", 1)
	require.NoError(t, err)
	entry := &testEntry{now: 1000, name: "e1", Core: core.New(core.Config{
		Entry: "e1", Incarnation: 1, Region: ident.Region("r1"), Seed: 1, Bundles: active, Policy: policy,
	})}
	entry.Apply(entry.now, core.InstancesListed{Instances: instances()})
	entry.Apply(entry.now, core.MembersUpdated{Ready: true})
	entry.Apply(entry.now, core.Tick{})
	return entry
}
