package core_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/route"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const document = `{"version": 1, "deployment": "test", "regions": ["r1", "r2"],
 "homes": [{"name": "h1", "regions": ["r1"]}],
 "classes": [{"name": "short", "urgency": 0, "first": 1600, "between": 54, "deadline": 20000, "tokens": 256, "share": 1},
             {"name": "long", "urgency": 1, "first": 8000, "between": 54, "deadline": 120000, "tokens": 0, "share": 0.75}],
 "services": [{"name": "chat", "kind": "engine", "regions": ["r1", "r2"], "transit": false, "continue": true, "fence": true, "model": "m", "validity": 0, "calls": []},
              {"name": "desk", "kind": "plain", "regions": ["r1", "r2"], "transit": false, "continue": false, "fence": false, "model": "", "validity": 60000,
               "calls": [{"method": "GET", "path": "/stock", "idempotent": true, "hedge": true}, {"method": "POST", "path": "/orders", "idempotent": false, "hedge": false}]}],
 "limits": {"body": 1048576, "queue": 64, "caller": 64, "answers": 1048576, "loads": 1},
 "retry": {"share": 0.1, "burst": 10, "attempts": 3},
 "weights": {"away": 1, "cost": 1, "short": 1, "tail": 1},
 "links": []}`

// signed returns the document above, signed, and the key that verifies it.
func signed(t require.TestingT) ([]byte, []bundle.PublicKey) {
	return signedText(t, document)
}

func signedText(t require.TestingT, text string) ([]byte, []bundle.PublicKey) {
	encoded, keys, _ := signedBy(t, text)
	return encoded, keys
}

func signedBy(t require.TestingT, text string) ([]byte, []bundle.PublicKey, bundle.PrivateKey) {
	public, private, err := bundle.GenerateKey("k1")
	require.NoError(t, err)
	s, err := bundle.Sign(private, []byte(text))
	require.NoError(t, err)
	return s.Encode(), []bundle.PublicKey{public}, private
}

// bench is one core with a clock and two endpoints of each service in its region.
type bench struct {
	*core.Core
	now  clock.Time
	name ident.Entry
}

// newBench returns a core with the document above, or another one, in force.
func newBench(t require.TestingT, name ident.Entry, region ident.Region, incarnation ident.Incarnation, now clock.Time, other ...string) *bench {
	encoded, keys := signedText(t, append(other, document)[0])
	force := bundle.NewForce(keys)
	_, err := force.Offer(encoded)
	require.NoError(t, err)
	policy, err := route.New("tanager", 1)
	require.NoError(t, err)
	b := &bench{now: now, name: name, Core: core.New(core.Config{
		Entry: name, Incarnation: incarnation, Region: region, Seed: 1, Force: force, Policy: policy,
	})}
	b.Apply(b.now, core.Listed{Instances: instances()})
	b.Apply(b.now, core.Peers{Ready: true})
	b.Apply(b.now, core.Tick{})
	return b
}

func instances() []watch.Instance {
	var list []watch.Instance
	for i, region := range []ident.Region{"r1", "r1", "r2", "r2"} {
		for _, service := range []ident.Service{"chat", "desk"} {
			list = append(list, watch.Instance{
				Name: fmt.Sprintf("%s-%d", service, i), Role: watch.RoleEndpoint, Region: region, State: watch.StateLive,
				Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Service: service, Slots: 4,
			})
		}
	}
	return list
}

// wait lets time pass in ticks.
func (b *bench) wait(s clock.Span) []core.Action {
	var actions []core.Action
	for end := b.now.Add(s); b.now.Before(end); {
		b.now = b.now.Add(50)
		actions = append(actions, b.Apply(b.now, core.Tick{})...)
	}
	return actions
}

func only[A core.Action](t require.TestingT, actions []core.Action) A {
	var found []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			found = append(found, a)
		}
	}
	require.Len(t, found, 1, "actions: %+v", actions)
	return found[0]
}

func chat(id ident.Request) core.Arrived {
	return core.Arrived{
		Head:   core.Head{Request: id, Service: "chat", Caller: "c", Attempt: 1},
		Prompt: 20, Answer: 100, Fingerprint: ident.Fingerprint(len(id)), Bytes: 100,
	}
}

// Guards against a broken stream that is dropped, or started from the beginning
// at another engine, instead of being resumed and then continued.
func TestBrokenStreamIsResumedThenContinuedElsewhere(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000)
	d := only[core.Dispatch](t, b.Apply(b.now, chat("a")))
	require.Equal(t, core.Fresh, d.Mode)
	only[core.Win](t, b.Apply(b.now, core.First{Request: "a", Try: d.Try}))

	broken := core.Ended{Request: "a", Try: d.Try, Outcome: fleet.Broken, Tokens: 7}
	resume := only[core.Dispatch](t, b.Apply(b.now, broken))
	require.Equal(t, core.Resume, resume.Mode)
	require.Equal(t, d.Endpoint, resume.Endpoint)

	lost := core.Ended{Request: "a", Try: d.Try, Outcome: fleet.Unreachable, Crashed: true, Tokens: 7}
	again := only[core.Dispatch](t, b.Apply(b.now, lost))
	require.Equal(t, core.Continue, again.Mode)
	require.NotEqual(t, d.Endpoint, again.Endpoint)
	require.NotEmpty(t, b.News(b.now).Accusations)
}

// Guards against a second dispatch of a non-idempotent call whose first one broke
// off, and against telling its caller that it was not run.
func TestBrokenOrderIsUnknown(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000)
	order := b.order(t)
	d := only[core.Dispatch](t, b.Apply(b.now, order))
	require.True(t, d.Once)
	actions := b.Apply(b.now, core.Ended{Request: "o1", Try: d.Try, Outcome: fleet.Broken, Crashed: true})
	refuse := only[core.Refuse](t, actions)
	require.Equal(t, caller.RanUnknown, refuse.Refusal.Ran)
	require.Len(t, actions, 1)

	order.Request = "o2"
	again := only[core.Refuse](t, b.Apply(b.now, order))
	require.Equal(t, caller.ReasonUnknown, again.Refusal.Reason)
}

// Guards against two executions for two sends of one ticket, and against an answer
// for only one of them.
func TestTwoSendsOfOneTicketShareOneExecution(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000)
	order := b.order(t)
	d := only[core.Dispatch](t, b.Apply(b.now, order))
	second := order
	second.Request = "o2"
	require.Empty(t, b.Apply(b.now, second))
	answer := ledger.Answer{Status: 200, Body: []byte("placed")}
	var told []ident.Request
	for _, a := range b.Apply(b.now, core.Ended{Request: "o1", Try: d.Try, Outcome: fleet.Complete, Answer: answer}) {
		deliver, ok := a.(core.Deliver)
		require.True(t, ok)
		require.Equal(t, answer, deliver.Answer)
		told = append(told, deliver.Request)
	}
	require.ElementsMatch(t, []ident.Request{"o1", "o2"}, told)
}

// Guards against a refusal that says "not run" of a ticket whose first send is
// running: the caller would place the order again.
func TestRefusalOfRunningTicketDoesNotSayNotRun(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000)
	order := b.order(t)
	only[core.Dispatch](t, b.Apply(b.now, order))
	b.Apply(b.now, core.Peers{Ready: false})
	order.Request = "o2"
	refusal := b.Admit(b.now, order.Head)
	require.NotNil(t, refusal)
	require.Equal(t, caller.RanYes, refusal.Ran)
}

// Guards against a process that was stopped and wakes up: it must not act on
// decisions and tickets from before.
func TestPausedProcessSendsNothing(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000)
	d := only[core.Dispatch](t, b.Apply(b.now, b.order(t)))
	require.True(t, b.Confirm(b.now, d.Request, d.Try))
	b.now = b.now.Add(5 * clock.Second)
	require.False(t, b.Confirm(b.now, d.Request, d.Try))
	refusal := b.Admit(b.now, chat("a").Head)
	require.NotNil(t, refusal)
	require.Equal(t, caller.ReasonUnready, refusal.Reason)
}

// Guards against serving home-bound data from an entry or at an endpoint of
// another region.
func TestHomeBindsEntryAndEndpoint(t *testing.T) {
	inside := newBench(t, "e1", "r1", 1, 1000)
	for i := range 20 {
		a := chat(ident.Request(fmt.Sprint("a", i)))
		a.Home = "h1"
		for _, action := range inside.Apply(inside.now, a) {
			if d, ok := action.(core.Dispatch); ok {
				require.Equal(t, ident.Region("r1"), d.Region)
			}
		}
	}
	outside := newBench(t, "e2", "r2", 1, 1000)
	a := chat("a")
	a.Home = "h1"
	require.Equal(t, caller.ReasonRegion, outside.Admit(outside.now, a.Head).Reason)
	a.Home = "h9"
	require.Equal(t, caller.ReasonHome, outside.Admit(outside.now, a.Head).Reason)
}

// Guards against requests that wait past their deadline without an answer.
func TestDeadlineRefusesAsNotRun(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000)
	b.Apply(b.now, core.Listed{})
	b.wait(90 * clock.Second)
	require.Empty(t, b.Apply(b.now, chat("a")))
	refuse := only[core.Refuse](t, b.wait(21*clock.Second))
	require.Equal(t, caller.RanNo, refuse.Refusal.Ran)
	require.Equal(t, caller.ReasonOverload, refuse.Refusal.Reason)
	require.Zero(t, b.InProgress())
}

// order locates a ticket at this entry and returns an order that carries it.
func (b *bench) order(t require.TestingT) core.Arrived {
	h := core.Head{Request: "o1", Service: "desk", Method: "POST", Path: "/orders", Caller: "c", Attempt: 1}
	l, refusal := b.Locate(b.now, h)
	require.Nil(t, refusal)
	require.NotNil(t, l.Ticket)
	h.Ticket = l.Ticket
	return core.Arrived{Head: h, Fingerprint: 1, Bytes: 10}
}

// Guards against "not run" for a request that crashed engines before it was refused.
func TestRefusedCrasherDoesNotSayNotRun(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000)
	actions := b.Apply(b.now, chat("a"))
	for range 2 {
		d := only[core.Dispatch](t, actions)
		b.Apply(b.now, core.Ended{Request: "a", Try: d.Try, Outcome: fleet.Broken, Crashed: true})
		actions = b.Apply(b.now, core.Ended{Request: "a", Try: d.Try, Outcome: fleet.Unreachable, Crashed: true})
		actions = append(actions, b.wait(clock.Second)...)
	}
	refusal := only[core.Refuse](t, actions).Refusal
	require.Equal(t, caller.ReasonCrash, refusal.Reason)
	require.Equal(t, caller.RanYes, refusal.Ran)
	require.True(t, refusal.Tell)
}

// Guards against facts about a home-bound request that reach a region outside its home.
func TestAccusationOfHomeBoundRequestStaysInItsRegions(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000)
	a := chat("a")
	a.Home = "h1"
	d := only[core.Dispatch](t, b.Apply(b.now, a))
	b.Apply(b.now, core.Ended{Request: "a", Try: d.Try, Outcome: fleet.Broken, Crashed: true})
	b.Apply(b.now, core.Ended{Request: "a", Try: d.Try, Outcome: fleet.Unreachable, Crashed: true})
	told := b.News(b.now).Accusations
	require.Len(t, told, 1)
	require.True(t, told[0].Visible("r1"))
	require.False(t, told[0].Visible("r2"))
}

// Guards against one caller that takes all slots of an entry, and against a count
// that outlives the caller's requests.
func TestCallerOverItsShareIsRefused(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000)
	ids := func(i int) ident.Request { return ident.Request(fmt.Sprint("a", i)) }
	for i := range 64 {
		b.Apply(b.now, chat(ids(i)))
	}
	refusal := only[core.Refuse](t, b.Apply(b.now, chat("one-more"))).Refusal
	require.Equal(t, caller.ReasonShare, refusal.Reason)
	other := chat("other")
	other.Caller = "d"
	for _, a := range b.Apply(b.now, other) {
		require.IsType(t, core.Dispatch{}, a)
	}
	b.Apply(b.now, core.Gone{Request: ids(0)})
	for _, a := range b.Apply(b.now, chat("again")) {
		require.IsType(t, core.Dispatch{}, a)
	}
}

// Guards against a request that is given up after its first broken try because
// endpoints that were leaving had refused it before.
func TestRefusalsDoNotUseUpAttempts(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000)
	actions := b.Apply(b.now, chat("a"))
	for range 3 {
		d := only[core.Dispatch](t, actions)
		actions = b.Apply(b.now, core.Ended{Request: "a", Try: d.Try, Outcome: fleet.Refused})
	}
	d := only[core.Dispatch](t, actions)
	b.Apply(b.now, core.Ended{Request: "a", Try: d.Try, Outcome: fleet.Broken})
	b.Apply(b.now, core.Ended{Request: "a", Try: d.Try, Outcome: fleet.Broken})
	again := b.Apply(b.now, core.Ended{Request: "a", Try: d.Try, Outcome: fleet.Broken})
	only[core.Dispatch](t, append(again, b.wait(clock.Second)...))
}

// Guards against two entries of a region that run suspects on the same endpoint: an
// innocent one would crash a second time and be refused.
func TestSuspectsOfTwoEntriesRunApart(t *testing.T) {
	used := make(map[ident.Endpoint]ident.Entry)
	for _, name := range []ident.Entry{"e1", "e2"} {
		b := newBench(t, name, "r1", 1, 1000)
		b.Apply(b.now, core.Peers{Ready: true, Live: []member.Member{
			{Member: news.Member{Entry: "e1", Region: "r1", State: news.Alive}},
			{Member: news.Member{Entry: "e2", Region: "r1", State: news.Alive}},
		}})
		for i := range 20 {
			a := chat(ident.Request(fmt.Sprint(name, i)))
			a.Fingerprint = ident.Fingerprint(100 + i)
			b.Apply(b.now, core.Heard{News: news.News{Accusations: []news.Accusation{{Fingerprint: a.Fingerprint, Rest: clock.Minute}}}})
			for _, action := range b.Apply(b.now, a) {
				d, ok := action.(core.Dispatch)
				if !ok {
					continue
				}
				if other, ok := used[d.Endpoint]; ok {
					require.Equal(t, name, other, "both use %s", d.Endpoint)
				}
				used[d.Endpoint] = name
				b.Apply(b.now, core.Ended{Request: d.Request, Try: d.Try, Outcome: fleet.Complete})
			}
		}
	}
	require.Len(t, used, 2)
}

// Guards against long work that waits at endpoints behind a cut link.
func TestUnreachedRegionGivesWorkBack(t *testing.T) {
	b := newBench(t, "e1", "r1", 1, 1000)
	b.Apply(b.now, core.Listed{Instances: instances()[4:]})
	b.wait(70 * clock.Second)
	a := chat("a")
	a.Answer = 2000
	d := only[core.Dispatch](t, b.Apply(b.now, a))
	require.Equal(t, ident.Region("r2"), d.Region)
	b.Apply(b.now, core.Listed{Instances: instances()})
	actions := b.Apply(b.now, core.Unreached{Region: "r2"})
	only[core.Cancel](t, actions)
	require.Equal(t, ident.Region("r1"), only[core.Dispatch](t, append(actions, b.wait(clock.Second)...)).Region)
}

// Guards against a retry budget that each new version of the bundle fills again.
func TestNewVersionKeepsRetryBudget(t *testing.T) {
	encoded, keys, private := signedBy(t, document)
	force := bundle.NewForce(keys)
	_, err := force.Offer(encoded)
	require.NoError(t, err)
	policy, err := route.New("tanager", 1)
	require.NoError(t, err)
	b := &bench{now: 1000, name: "e1", Core: core.New(core.Config{
		Entry: "e1", Incarnation: 1, Region: "r1", Seed: 1, Force: force, Policy: policy,
	})}
	b.Apply(b.now, core.Listed{Instances: instances()})
	b.Apply(b.now, core.Peers{Ready: true})
	b.Apply(b.now, core.Tick{})
	resend := func(i int) core.Arrived {
		a := chat(ident.Request(fmt.Sprint("r", i)))
		a.Attempt = 9
		return a
	}
	refusals := func() (n int) {
		for i := range 20 {
			for _, a := range b.Apply(b.now, resend(i)) {
				switch a := a.(type) {
				case core.Refuse:
					n++
				case core.Dispatch:
					b.Apply(b.now, core.Ended{Request: a.Request, Try: a.Try, Outcome: fleet.Complete})
				}
			}
		}
		return n
	}
	require.Equal(t, 10, refusals(), "the burst is 10")
	next, err := bundle.Sign(private, []byte(strings.Replace(document, `"version": 1`, `"version": 2`, 1)))
	require.NoError(t, err)
	_, err = force.Offer(next.Encode())
	require.NoError(t, err)
	require.Equal(t, 20, refusals())
}
