package core_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/member"
)

// leaseMessage is a message between entries about the lease of a suspect, on its way.
type leaseMessage struct {
	from, to *testEntry
	request  crash.LeaseRequest
	// reply is set in the owner's reply.
	reply *crash.LeaseReply
}

// crasherSimulation joins entries by a network that delays, reorders and loses messages. Each
// endpoint that runs the one request that they serve crashes.
type crasherSimulation struct {
	t        *rapid.T
	entries  []*testEntry
	messages []leaseMessage
	running  []execution
	sent     int
	crashes  int
}

func newCrasherSimulation(t *rapid.T) *crasherSimulation {
	sim := &crasherSimulation{t: t}
	for i := range 3 {
		sim.entries = append(sim.entries, newTestEntry(t, ident.Entry(fmt.Sprint("e", i)), ident.Region(fmt.Sprint("r", 1+i%2)), 1, 1000))
	}
	for _, entry := range sim.entries {
		var others []member.Member
		for i, other := range sim.entries {
			if other != entry {
				others = append(others, member.Member{Member: gossip.Member{Entry: other.name, Region: ident.Region(fmt.Sprint("r", 1+i%2)), State: gossip.Alive}})
			}
		}
		entry.Apply(entry.now, core.MembersUpdated{Live: others, Ready: true})
	}
	return sim
}

func (s *crasherSimulation) entry(name ident.Entry) *testEntry {
	for _, e := range s.entries {
		if e.name == name {
			return e
		}
	}
	s.t.Fatalf("no entry %s", name)
	return nil
}

func (s *crasherSimulation) anyEntry() *testEntry {
	return rapid.SampledFrom(s.entries).Draw(s.t, "entry")
}

func (s *crasherSimulation) perform(entry *testEntry, actions []core.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case core.Dispatch:
			s.running = append(s.running, execution{owner: entry, dispatch: a})
		case core.QueryLease:
			s.messages = append(s.messages, leaseMessage{from: entry, to: s.entry(a.Owner), request: a.Lease})
		case core.ReturnLease:
			s.messages = append(s.messages, leaseMessage{from: entry, to: s.entry(a.Owner), request: a.Lease})
		}
	}
}

// send sends the request to an entry once more.
func (s *crasherSimulation) send() {
	s.sent++
	arrival := completion(ident.Request(fmt.Sprint("q", s.sent)))
	arrival.Fingerprint = 7
	entry := s.anyEntry()
	s.perform(entry, entry.Apply(entry.now, arrival))
}

// deliver delivers or loses a message between entries.
func (s *crasherSimulation) deliver() {
	if len(s.messages) == 0 {
		return
	}
	index := rapid.IntRange(0, len(s.messages)-1).Draw(s.t, "message")
	message := s.messages[index]
	s.messages = append(s.messages[:index], s.messages[index+1:]...)
	lost := rapid.IntRange(0, 4).Draw(s.t, "lost") == 0
	switch {
	case message.reply != nil || lost && !message.request.Return:
		reply := crash.LeaseReply{}
		if message.reply != nil && !lost {
			reply = *message.reply
		}
		event := core.LeaseReplied{Request: message.request.Holder.Request, Owner: message.to.name, Reply: reply}
		s.perform(message.from, message.from.Apply(message.from.now, event))
	case !lost:
		merged := core.GossipReceived{Gossip: gossip.Payload{CrashReports: message.request.Reports}}
		s.perform(message.to, message.to.Apply(message.to.now, merged))
		reply := message.to.HandleLease(message.to.now, message.request)
		if !message.request.Return {
			message.reply = &reply
			s.messages = append(s.messages, message)
		}
	}
}

// crash ends a run of the request with the crash of its endpoint.
func (s *crasherSimulation) crash() {
	if len(s.running) == 0 {
		return
	}
	index := rapid.IntRange(0, len(s.running)-1).Draw(s.t, "run")
	run := s.running[index]
	s.running = append(s.running[:index], s.running[index+1:]...)
	ended := core.AttemptEnded{Request: run.dispatch.Request, Attempt: run.dispatch.Attempt, Outcome: fleet.Refused}
	if run.owner.MaySendAttempt(run.owner.now, run.dispatch.Request, run.dispatch.Attempt) {
		ended.Outcome, ended.Crashed = fleet.Broken, true
		if run.dispatch.Mode == core.ModeResume {
			ended.Outcome = fleet.Unreachable
			s.crashes++
		}
	}
	s.perform(run.owner, run.owner.Apply(run.owner.now, ended))
}

// gossip sends the crash reports of all entries to all others; each message may be lost.
func (s *crasherSimulation) gossip(reliable bool) {
	for _, from := range s.entries {
		payload := from.Gossip(from.now)
		for _, to := range s.entries {
			if to != from && (reliable || rapid.Bool().Draw(s.t, "arrives")) {
				s.perform(to, to.Apply(to.now, core.GossipReceived{Gossip: payload}))
			}
		}
	}
}

func (s *crasherSimulation) tick() {
	for _, e := range s.entries {
		e.now = e.now.Add(100 * clock.Millisecond)
		s.perform(e, e.Apply(e.now, core.Tick{}))
	}
}

// Guards against a request that crashes more than two endpoints because several entries, all of which
// know of the first crash, start copies of it at the same time.
func TestSuspectRunsAtOneEntry(t *testing.T) {
	second := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newCrasherSimulation(t)
		sim.send()
		for len(sim.running) > 0 && sim.crashes == 0 {
			sim.crash()
		}
		require.Equal(t, 1, sim.crashes)
		sim.gossip(true)
		steps := []func(){sim.send, sim.deliver, sim.deliver, sim.deliver, sim.crash, sim.tick, func() { sim.gossip(false) }}
		for range rapid.IntRange(10, 120).Draw(t, "length") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
		}
		require.LessOrEqual(t, sim.crashes, 2)
		second += sim.crashes - 1
	})
	require.Positive(t, second, "the suspect never ran again")
}
