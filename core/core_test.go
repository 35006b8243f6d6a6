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
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/member"
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

// signedDocument returns the document above, signed, and its verification key.
func signedDocument(t require.TestingT) ([]byte, []bundle.PublicKey) {
	return signedText(t, document)
}

func signedText(t require.TestingT, text string) ([]byte, []bundle.PublicKey) {
	encoded, keys, _ := signedBy(t, text)
	return encoded, keys
}

func signedBy(t require.TestingT, text string) ([]byte, []bundle.PublicKey, bundle.PrivateKey) {
	public, private, err := bundle.GenerateKey("k1")
	require.NoError(t, err)
	signed, err := bundle.Sign(private, []byte(text))
	require.NoError(t, err)
	return signed.Encode(), []bundle.PublicKey{public}, private
}

// newActive returns a bundle that is in force and a function that offers its successors, signed with the same key.
func newActive(t require.TestingT, text string) (*bundle.Active, func(text string)) {
	public, private, err := bundle.GenerateKey("k1")
	require.NoError(t, err)
	active := bundle.NewActive([]bundle.PublicKey{public})
	offer := func(text string) {
		signed, err := bundle.Sign(private, []byte(text))
		require.NoError(t, err)
		_, err = active.Offer(signed.Encode())
		require.NoError(t, err)
	}
	offer(text)
	return active, offer
}

// testEntry is a core with its clock and two endpoints of each service in its region.
type testEntry struct {
	*core.Core
	now  clock.Time
	name ident.Entry
}

// newTestEntry returns an entry with the document above, or other, in force.
func newTestEntry(t require.TestingT, name ident.Entry, region ident.Region, incarnation ident.Incarnation, now clock.Time, other ...string) *testEntry {
	encoded, keys := signedText(t, append(other, document)[0])
	active := bundle.NewActive(keys)
	_, err := active.Offer(encoded)
	require.NoError(t, err)
	policy, err := route.New("tanager", 1)
	require.NoError(t, err)
	entry := &testEntry{now: now, name: name, Core: core.New(core.Config{
		Entry: name, Incarnation: incarnation, Region: region, Seed: 1, Bundles: active, Policy: policy,
	})}
	entry.Apply(entry.now, core.InstancesListed{Instances: instances()})
	entry.Apply(entry.now, core.MembersUpdated{Ready: true})
	entry.Apply(entry.now, core.Tick{})
	return entry
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

// wait advances the clock in ticks and returns the actions.
func (e *testEntry) wait(span clock.Span) []core.Action {
	var actions []core.Action
	for end := e.now.Add(span); e.now.Before(end); {
		e.now = e.now.Add(50)
		actions = append(actions, e.Apply(e.now, core.Tick{})...)
	}
	return actions
}

func onlyAction[A core.Action](t require.TestingT, actions []core.Action) A {
	var found []A
	for _, a := range actions {
		if match, ok := a.(A); ok {
			found = append(found, match)
		}
	}
	require.Len(t, found, 1, "actions: %+v", actions)
	return found[0]
}

func completion(id ident.Request) core.RequestArrived {
	return core.RequestArrived{
		Head:         core.Head{Request: id, Service: "chat", Caller: "c", CallerAttempt: 1},
		PromptTokens: 20, MaxTokens: 100, Fingerprint: ident.Fingerprint(len(id)), Bytes: 100,
	}
}

// Guards against a broken stream that ends or restarts from the beginning at another
// engine instead of being resumed and then continued.
func TestBrokenStreamIsResumedThenContinuedElsewhere(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000)
	dispatch := onlyAction[core.Dispatch](t, entry.Apply(entry.now, completion("a")))
	require.Equal(t, core.ModeFresh, dispatch.Mode)
	onlyAction[core.Forward](t, entry.Apply(entry.now, core.AnswerStarted{Request: "a", Attempt: dispatch.Attempt}))

	broken := core.AttemptEnded{Request: "a", Attempt: dispatch.Attempt, Outcome: fleet.Broken, Tokens: 7}
	resume := onlyAction[core.Dispatch](t, entry.Apply(entry.now, broken))
	require.Equal(t, core.ModeResume, resume.Mode)
	require.Equal(t, dispatch.Endpoint, resume.Endpoint)

	crashed := core.AttemptEnded{Request: "a", Attempt: dispatch.Attempt, Outcome: fleet.Unreachable, Crashed: true, Tokens: 7}
	continued := onlyAction[core.Dispatch](t, entry.Apply(entry.now, crashed))
	require.Equal(t, core.ModeContinue, continued.Mode)
	require.NotEqual(t, dispatch.Endpoint, continued.Endpoint)
	require.NotEmpty(t, entry.Gossip(entry.now).CrashReports)
}

// Guards against a second dispatch of a non-idempotent call whose first attempt broke,
// and against reporting the call as not run.
func TestBrokenOrderIsUnknown(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000)
	order := entry.newOrder(t)
	dispatch := onlyAction[core.Dispatch](t, entry.Apply(entry.now, order))
	require.True(t, dispatch.NonIdempotent)
	actions := entry.Apply(entry.now, core.AttemptEnded{Request: "o1", Attempt: dispatch.Attempt, Outcome: fleet.Broken, Crashed: true})
	refuse := onlyAction[core.Refuse](t, actions)
	require.Equal(t, caller.RanUnknown, refuse.Refusal.Ran)
	require.Len(t, actions, 1)

	order.Request = "o2"
	repeated := onlyAction[core.Refuse](t, entry.Apply(entry.now, order))
	require.Equal(t, caller.ReasonUnknown, repeated.Refusal.Reason)
}

// Guards against two executions when a ticket is sent twice, and against an answer to
// only one of the two requests.
func TestTwoSendsOfOneTicketShareOneExecution(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000)
	order := entry.newOrder(t)
	dispatch := onlyAction[core.Dispatch](t, entry.Apply(entry.now, order))
	second := order
	second.Request = "o2"
	require.Empty(t, entry.Apply(entry.now, second))
	answer := ledger.Answer{Status: 200, Body: []byte("placed")}
	var delivered []ident.Request
	for _, a := range entry.Apply(entry.now, core.AttemptEnded{Request: "o1", Attempt: dispatch.Attempt, Outcome: fleet.Complete, Answer: answer}) {
		deliver, ok := a.(core.Deliver)
		require.True(t, ok)
		require.Equal(t, answer, deliver.Answer)
		delivered = append(delivered, deliver.Request)
	}
	require.ElementsMatch(t, []ident.Request{"o1", "o2"}, delivered)
}

// Guards against a refusal that says "not run" while an earlier request with the ticket
// is running: the caller would place the order again.
func TestRefusalOfRunningTicketDoesNotSayNotRun(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000)
	order := entry.newOrder(t)
	onlyAction[core.Dispatch](t, entry.Apply(entry.now, order))
	entry.Apply(entry.now, core.MembersUpdated{Ready: false})
	order.Request = "o2"
	refusal := entry.Admit(entry.now, order.Head)
	require.NotNil(t, refusal)
	require.Equal(t, caller.RanYes, refusal.Ran)
}

// Guards against a paused process that acts on earlier decisions and tickets when it
// resumes.
func TestPausedProcessSendsNothing(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000)
	dispatch := onlyAction[core.Dispatch](t, entry.Apply(entry.now, entry.newOrder(t)))
	require.True(t, entry.MaySendAttempt(entry.now, dispatch.Request, dispatch.Attempt))
	entry.now = entry.now.Add(5 * clock.Second)
	require.False(t, entry.MaySendAttempt(entry.now, dispatch.Request, dispatch.Attempt))
	refusal := entry.Admit(entry.now, completion("a").Head)
	require.NotNil(t, refusal)
	require.Equal(t, caller.ReasonUnready, refusal.Reason)
}

// Guards against home-bound requests that are accepted by an entry, or sent to an
// endpoint, outside their regions.
func TestHomeBindsEntryAndEndpoint(t *testing.T) {
	inside := newTestEntry(t, "e1", "r1", 1, 1000)
	for i := range 20 {
		arrival := completion(ident.Request(fmt.Sprint("a", i)))
		arrival.Home = "h1"
		for _, action := range inside.Apply(inside.now, arrival) {
			if dispatch, ok := action.(core.Dispatch); ok {
				require.Equal(t, ident.Region("r1"), dispatch.Region)
			}
		}
	}
	outside := newTestEntry(t, "e2", "r2", 1, 1000)
	arrival := completion("a")
	arrival.Home = "h1"
	require.Equal(t, caller.ReasonRegion, outside.Admit(outside.now, arrival.Head).Reason)
	arrival.Home = "h9"
	require.Equal(t, caller.ReasonHome, outside.Admit(outside.now, arrival.Head).Reason)
}

// Guards against requests that stay queued after their deadline.
func TestDeadlineRefusesAsNotRun(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000)
	entry.Apply(entry.now, core.InstancesListed{})
	entry.wait(90 * clock.Second)
	require.Empty(t, entry.Apply(entry.now, completion("a")))
	refuse := onlyAction[core.Refuse](t, entry.wait(21*clock.Second))
	require.Equal(t, caller.RanNo, refuse.Refusal.Ran)
	require.Equal(t, caller.ReasonOverload, refuse.Refusal.Reason)
	require.Zero(t, entry.InProgress())
}

// newOrder gets a ticket from this entry and returns an order with it.
func (e *testEntry) newOrder(t require.TestingT) core.RequestArrived {
	head := core.Head{Request: "o1", Service: "desk", Method: "POST", Path: "/orders", Caller: "c", CallerAttempt: 1}
	location, refusal := e.Locate(e.now, head)
	require.Nil(t, refusal)
	require.NotNil(t, location.Ticket)
	head.Ticket = location.Ticket
	return core.RequestArrived{Head: head, Fingerprint: 1, Bytes: 10}
}

// Guards against "not run" for a request that was refused after it crashed engines.
func TestRefusedCrasherDoesNotSayNotRun(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000)
	actions := entry.Apply(entry.now, completion("a"))
	for range 2 {
		dispatch := onlyAction[core.Dispatch](t, actions)
		entry.Apply(entry.now, core.AttemptEnded{Request: "a", Attempt: dispatch.Attempt, Outcome: fleet.Broken, Crashed: true})
		actions = entry.Apply(entry.now, core.AttemptEnded{Request: "a", Attempt: dispatch.Attempt, Outcome: fleet.Unreachable, Crashed: true})
		actions = append(actions, entry.wait(clock.Second)...)
	}
	refusal := onlyAction[core.Refuse](t, actions).Refusal
	require.Equal(t, caller.ReasonCrash, refusal.Reason)
	require.Equal(t, caller.RanYes, refusal.Ran)
	require.True(t, refusal.NotifyPeers)
}

// Guards against crash reports on a home-bound request that are sent to regions outside its
// home.
func TestCrashReportOfHomeBoundRequestStaysInItsRegions(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000)
	arrival := completion("a")
	arrival.Home = "h1"
	dispatch := onlyAction[core.Dispatch](t, entry.Apply(entry.now, arrival))
	entry.Apply(entry.now, core.AttemptEnded{Request: "a", Attempt: dispatch.Attempt, Outcome: fleet.Broken, Crashed: true})
	entry.Apply(entry.now, core.AttemptEnded{Request: "a", Attempt: dispatch.Attempt, Outcome: fleet.Unreachable, Crashed: true})
	reports := entry.Gossip(entry.now).CrashReports
	require.Len(t, reports, 1)
	require.True(t, reports[0].Visible("r1"))
	require.False(t, reports[0].Visible("r2"))
}

// Guards against a caller that exceeds its limit of requests, and against requests that
// are still counted after they have ended.
func TestCallerOverItsShareIsRefused(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000)
	ids := func(number int) ident.Request { return ident.Request(fmt.Sprint("a", number)) }
	for i := range 64 {
		entry.Apply(entry.now, completion(ids(i)))
	}
	refusal := onlyAction[core.Refuse](t, entry.Apply(entry.now, completion("one-more"))).Refusal
	require.Equal(t, caller.ReasonShare, refusal.Reason)
	other := completion("other")
	other.Caller = "d"
	for _, a := range entry.Apply(entry.now, other) {
		require.IsType(t, core.Dispatch{}, a)
	}
	entry.Apply(entry.now, core.CallerDisconnected{Request: ids(0)})
	for _, a := range entry.Apply(entry.now, completion("again")) {
		require.IsType(t, core.Dispatch{}, a)
	}
}

// Guards against counting refusals by leaving endpoints as broken attempts, by which a
// request would fail after its first broken attempt.
func TestRefusalsDoNotUseUpAttempts(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000)
	actions := entry.Apply(entry.now, completion("a"))
	for range 3 {
		dispatch := onlyAction[core.Dispatch](t, actions)
		actions = entry.Apply(entry.now, core.AttemptEnded{Request: "a", Attempt: dispatch.Attempt, Outcome: fleet.Refused})
	}
	dispatch := onlyAction[core.Dispatch](t, actions)
	entry.Apply(entry.now, core.AttemptEnded{Request: "a", Attempt: dispatch.Attempt, Outcome: fleet.Broken})
	entry.Apply(entry.now, core.AttemptEnded{Request: "a", Attempt: dispatch.Attempt, Outcome: fleet.Broken})
	retry := entry.Apply(entry.now, core.AttemptEnded{Request: "a", Attempt: dispatch.Attempt, Outcome: fleet.Broken})
	onlyAction[core.Dispatch](t, append(retry, entry.wait(clock.Second)...))
}

// Guards against two entries of a region that run suspects on the same endpoint: a
// harmless one would crash a second time and be refused.
func TestSuspectsOfTwoEntriesRunApart(t *testing.T) {
	used := make(map[ident.Endpoint]ident.Entry)
	for _, name := range []ident.Entry{"e1", "e2"} {
		entry := newTestEntry(t, name, "r1", 1, 1000)
		entry.Apply(entry.now, core.MembersUpdated{Ready: true, Live: []member.Member{
			{Member: gossip.Member{Entry: "e1", Region: "r1", State: gossip.Alive}},
			{Member: gossip.Member{Entry: "e2", Region: "r1", State: gossip.Alive}},
		}})
		for i := range 20 {
			arrival := completion(ident.Request(fmt.Sprint(name, i)))
			arrival.Fingerprint = ident.Fingerprint(100 + i)
			entry.Apply(entry.now, core.GossipReceived{Gossip: gossip.Payload{CrashReports: []gossip.CrashReport{{Fingerprint: arrival.Fingerprint, Remaining: clock.Minute, Crash: 1}}}})
			for _, action := range entry.Apply(entry.now, arrival) {
				dispatch, ok := action.(core.Dispatch)
				if !ok {
					continue
				}
				if other, ok := used[dispatch.Endpoint]; ok {
					require.Equal(t, name, other, "both use %s", dispatch.Endpoint)
				}
				used[dispatch.Endpoint] = name
				entry.Apply(entry.now, core.AttemptEnded{Request: dispatch.Request, Attempt: dispatch.Attempt, Outcome: fleet.Complete})
			}
		}
	}
	require.Len(t, used, 2)
}

// Guards against requests that keep waiting for endpoints of an unreachable region.
func TestUnreachableRegionIsRetriedElsewhere(t *testing.T) {
	entry := newTestEntry(t, "e1", "r1", 1, 1000)
	entry.Apply(entry.now, core.InstancesListed{Instances: instances()[4:]})
	entry.wait(70 * clock.Second)
	arrival := completion("a")
	arrival.MaxTokens = 2000
	dispatch := onlyAction[core.Dispatch](t, entry.Apply(entry.now, arrival))
	require.Equal(t, ident.Region("r2"), dispatch.Region)
	entry.Apply(entry.now, core.InstancesListed{Instances: instances()})
	actions := entry.Apply(entry.now, core.RegionUnreachable{Region: "r2"})
	onlyAction[core.Cancel](t, actions)
	require.Equal(t, ident.Region("r1"), onlyAction[core.Dispatch](t, append(actions, entry.wait(clock.Second)...)).Region)
}

// Guards against a retry budget that is refilled by each new version of the bundle.
func TestNewVersionKeepsRetryBudget(t *testing.T) {
	encoded, keys, private := signedBy(t, document)
	active := bundle.NewActive(keys)
	_, err := active.Offer(encoded)
	require.NoError(t, err)
	policy, err := route.New("tanager", 1)
	require.NoError(t, err)
	entry := &testEntry{now: 1000, name: "e1", Core: core.New(core.Config{
		Entry: "e1", Incarnation: 1, Region: "r1", Seed: 1, Bundles: active, Policy: policy,
	})}
	entry.Apply(entry.now, core.InstancesListed{Instances: instances()})
	entry.Apply(entry.now, core.MembersUpdated{Ready: true})
	entry.Apply(entry.now, core.Tick{})
	resend := func(number int) core.RequestArrived {
		arrival := completion(ident.Request(fmt.Sprint("r", number)))
		arrival.CallerAttempt = 9
		return arrival
	}
	refusals := func() (count int) {
		for i := range 20 {
			for _, a := range entry.Apply(entry.now, resend(i)) {
				switch a := a.(type) {
				case core.Refuse:
					count++
				case core.Dispatch:
					entry.Apply(entry.now, core.AttemptEnded{Request: a.Request, Attempt: a.Attempt, Outcome: fleet.Complete})
				}
			}
		}
		return count
	}
	require.Equal(t, 10, refusals(), "the burst is 10")
	next, err := bundle.Sign(private, []byte(strings.Replace(document, `"version": 1`, `"version": 2`, 1)))
	require.NoError(t, err)
	_, err = active.Offer(next.Encode())
	require.NoError(t, err)
	require.Equal(t, 20, refusals())
}
