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

// keyed is the document with a key for orders.
var keyed = strings.Replace(document, `"path": "/orders", "idempotent": false, "hedge": false`,
	`"path": "/orders", "idempotent": false, "hedge": false, "dedupe": "Idempotency-Key"`, 1)

// Guards against a broken order that ends as unknown although the service tells
// copies apart, and against a copy with another key or at the endpoint that failed.
func TestBrokenOrderIsRepeatedWithItsKey(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000, keyed)
	order := b.order(t)
	first := only[core.Dispatch](t, b.Apply(b.now, order))
	require.Equal(t, "Idempotency-Key", first.Dedupe)
	require.NotEmpty(t, first.Key)
	again := only[core.Dispatch](t, b.Apply(b.now, core.Ended{Request: "o1", Try: first.Try, Outcome: fleet.Broken}))
	require.True(t, again.Once)
	require.Equal(t, first.Key, again.Key)
	require.Equal(t, first.Dedupe, again.Dedupe)
	require.NotEqual(t, first.Endpoint, again.Endpoint)
	answer := ledger.Answer{Status: 200, Body: []byte("placed")}
	done := only[core.Deliver](t, b.Apply(b.now, core.Ended{Request: "o1", Try: again.Try, Outcome: fleet.Complete, Answer: answer}))
	require.Equal(t, answer, done.Answer)
}

// Guards against "not run" for an order of which a try broke off, however the tries
// after it end, and against more tries than the bundle allows.
func TestBrokenOrderEndsAsUnknown(t *testing.T) {
	broken := core.Ended{Outcome: fleet.Broken}
	refused := core.Ended{Outcome: fleet.Refused}
	unreachable := core.Ended{Outcome: fleet.Unreachable, Crashed: true}
	for _, tc := range []struct {
		name string
		ends []core.Ended
	}{
		// The last end is that of all further tries.
		{"all tries break off", []core.Ended{broken}},
		{"refused by all", []core.Ended{broken, refused}},
		{"not reached", []core.Ended{broken, unreachable}},
		{"refused first", []core.Ended{refused, broken, refused, broken}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			b := newBench(t, "e1", "r1", 1, 1000, keyed)
			actions := b.Apply(b.now, b.order(t))
			i, broke := 0, 0
			for b.InProgress() > 0 {
				if len(actions) == 0 {
					actions = b.wait(500)
					continue
				}
				d := only[core.Dispatch](t, actions)
				e := tc.ends[min(i, len(tc.ends)-1)]
				e.Request, e.Try = d.Request, d.Try
				actions = b.Apply(b.now, e)
				i++
				if e.Outcome == fleet.Broken {
					broke++
				}
			}
			require.LessOrEqual(t, broke, 3, "more tries than the bundle allows")
			require.Equal(t, caller.RanUnknown, only[core.Refuse](t, actions).Refusal.Ran)
			require.Len(t, actions, 1)
		})
	}
}

// Guards against "not run" for a broken order that waits for its next try, at its
// deadline and to a second caller, and against one that is dropped with its caller.
func TestBrokenOrderThatWaits(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000, keyed)
	order := b.order(t)
	d := only[core.Dispatch](t, b.Apply(b.now, order))
	b.Apply(b.now, core.Listed{})
	b.wait(90_000 - 500) // the endpoints are dropped from the list
	require.Empty(t, b.Apply(b.now, core.Ended{Request: "o1", Try: d.Try, Outcome: fleet.Broken}))
	b.Apply(b.now, core.Gone{Request: "o1"})
	second := order
	second.Request = "o2"
	require.Equal(t, 1, b.InProgress())
	for _, a := range append(b.Apply(b.now, second), b.wait(20_000)...) {
		require.Equal(t, caller.RanUnknown, a.(core.Refuse).Refusal.Ran)
	}
	require.Zero(t, b.InProgress())
}

// Guards against a broken order that is sent again under a bundle in which the
// service has lost its key or has another one.
func TestBundleThatTakesTheKeyAwayForbidsRepeats(t *testing.T) {
	for _, tc := range []struct {
		name   string
		change func(string) string
	}{
		{"no key", func(s string) string { return strings.Replace(s, `, "dedupe": "Idempotency-Key"`, "", 1) }},
		{"another key", func(s string) string {
			return strings.Replace(s, `"dedupe": "Idempotency-Key"`, `"dedupe": "X-Idempotency-Key"`, 1)
		}},
		{"no such call", func(s string) string { return strings.Replace(s, "/orders", "/requests", 1) }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, waits := range []bool{false, true} {
				public, private, err := bundle.GenerateKey("k1")
				require.NoError(t, err)
				force := bundle.NewForce([]bundle.PublicKey{public})
				offer := func(text string) {
					s, err := bundle.Sign(private, []byte(text))
					require.NoError(t, err)
					_, err = force.Offer(s.Encode())
					require.NoError(t, err)
				}
				offer(keyed)
				b := benchOf(t, force)
				d := only[core.Dispatch](t, b.Apply(b.now, b.order(t)))
				next := tc.change(strings.Replace(keyed, `"version": 1`, `"version": 2`, 1))
				if !waits {
					offer(next)
				}
				actions := b.Apply(b.now, core.Ended{Request: "o1", Try: d.Try, Outcome: fleet.Broken})
				if waits {
					again := only[core.Dispatch](t, actions)
					offer(next)
					require.False(t, b.Confirm(b.now, "o1", again.Try))
					actions = b.Apply(b.now, core.Ended{Request: "o1", Try: again.Try, Outcome: fleet.Refused})
				}
				require.Equal(t, caller.RanUnknown, only[core.Refuse](t, actions).Refusal.Ran)
			}
		})
	}
}

// benchOf returns a core in region r1 on a bundle that the test changes.
func benchOf(t *testing.T, force *bundle.Force) *bench {
	t.Helper()
	policy, err := route.New("tanager", 1)
	require.NoError(t, err)
	b := &bench{now: 1000, name: "e1", Core: core.New(core.Config{
		Entry: "e1", Incarnation: 1, Region: ident.Region("r1"), Seed: 1, Force: force, Policy: policy,
	})}
	b.Apply(b.now, core.Listed{Instances: instances()})
	b.Apply(b.now, core.Peers{Ready: true})
	b.Apply(b.now, core.Tick{})
	return b
}
