package core_test

import (
	"flag"
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// Fixes the seed of the property tests unless -rapid.seed is given.
func init() { _ = flag.Set("rapid.seed", "1") }

// simulation runs several entries with random interleavings and lost, late and repeated
// messages, and counts how often the order of each ticket is placed.
type simulation struct {
	t              *rapid.T
	entries        []*testEntry
	incarnations   ident.Incarnation
	sendCount      int
	tickets        []ticket.Ticket
	executions     []execution
	queries        []pendingQuery
	successors     []successor
	placed         map[ticket.Ticket]int
	reportedNotRun map[ticket.Ticket]bool
	ticketOf       map[ident.Request]ticket.Ticket
	// document is the document in force. If its service takes idempotency keys, usedKeys
	// holds those of the placed orders.
	document string
	usedKeys map[string]bool
	// lateEffects lists executions that may take effect after their attempt broke.
	lateEffects []execution
	// brokenAttempts counts the broken attempts of each request, resends the dispatches
	// after a broken attempt.
	brokenAttempts map[ident.Request]int
	resends        int
}

type execution struct {
	owner    *testEntry
	dispatch core.Dispatch
	ticket   ticket.Ticket
}

type pendingQuery struct {
	querier *testEntry
	core.QueryOwner
}

type successor struct {
	entry       ident.Entry
	incarnation ident.Incarnation
	heldBy      *testEntry
}

func newSimulation(t *rapid.T, text string) *simulation {
	sim := &simulation{
		document: text, usedKeys: make(map[string]bool), brokenAttempts: make(map[ident.Request]int),
		t: t, placed: make(map[ticket.Ticket]int), reportedNotRun: make(map[ticket.Ticket]bool),
		ticketOf: make(map[ident.Request]ticket.Ticket),
	}
	for i := range 3 {
		sim.entries = append(sim.entries, nil)
		sim.restart(i)
	}
	return sim
}

// restart replaces an entry by a new process with the same name.
func (s *simulation) restart(index int) {
	s.incarnations++
	region := ident.Region(fmt.Sprintf("r%d", 1+index%2))
	s.entries[index] = newTestEntry(s.t, ident.Entry(fmt.Sprintf("e%d", index)), region, s.incarnations, clock.Time(1000*index+1000), s.document)
}

func (s *simulation) anyEntry() int { return rapid.IntRange(0, len(s.entries)-1).Draw(s.t, "entry") }

func (s *simulation) issue() {
	entry := s.entries[s.anyEntry()]
	location, refusal := entry.Locate(entry.now, core.Head{Service: "desk", Method: "POST", Path: "/orders"})
	if refusal == nil && location.Ticket != nil {
		s.tickets = append(s.tickets, *location.Ticket)
	}
}

// send sends a request with a random ticket to a random entry.
func (s *simulation) send() {
	if len(s.tickets) == 0 {
		return
	}
	ticket := rapid.SampledFrom(s.tickets).Draw(s.t, "ticket")
	entry := s.entries[s.anyEntry()]
	s.sendCount++
	id := ident.Request(fmt.Sprint("q", s.sendCount))
	s.ticketOf[id] = ticket
	head := core.Head{Request: id, Service: "desk", Method: "POST", Path: "/orders", Caller: "c", CallerAttempt: 1, Ticket: &ticket}
	if refusal := entry.Admit(entry.now, head); refusal != nil {
		s.recordRefusal(ticket, refusal.Ran)
		return
	}
	s.perform(entry, entry.Apply(entry.now, core.RequestArrived{Head: head, Fingerprint: 1}))
}

func (s *simulation) perform(entry *testEntry, actions []core.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case core.Dispatch:
			s.checkResend(a)
			s.executions = append(s.executions, execution{owner: entry, dispatch: a, ticket: s.ticketOf[a.Request]})
		case core.QueryOwner:
			s.queries = append(s.queries, pendingQuery{querier: entry, QueryOwner: a})
		case core.Refuse:
			s.recordRefusal(s.ticketOf[a.Request], a.Refusal.Ran)
		case core.Deliver:
			if count := s.placed[s.ticketOf[a.Request]]; count != 1 {
				s.t.Fatalf("an answer was delivered for a ticket placed %d times", count)
			}
		}
	}
}

func (s *simulation) recordRefusal(ticket ticket.Ticket, ran caller.Ran) {
	if ran != caller.RanNo {
		return
	}
	s.reportedNotRun[ticket] = true
	s.checkTicket(ticket)
}

func (s *simulation) checkTicket(ticket ticket.Ticket) {
	if s.placed[ticket] > 1 {
		s.t.Fatalf("ticket %+v was placed %d times", ticket, s.placed[ticket])
	}
	if s.reportedNotRun[ticket] && s.placed[ticket] > 0 {
		s.t.Fatalf("ticket %+v was reported as not run but was placed", ticket)
	}
}

// finishExecution ends a random dispatched order with a random outcome.
func (s *simulation) finishExecution() {
	if len(s.executions) == 0 {
		return
	}
	index := rapid.IntRange(0, len(s.executions)-1).Draw(s.t, "run")
	execution := s.executions[index]
	s.executions = append(s.executions[:index], s.executions[index+1:]...)
	outcome := rapid.SampledFrom([]fleet.Outcome{fleet.Complete, fleet.Complete, fleet.Broken, fleet.Unreachable, fleet.Refused}).Draw(s.t, "outcome")
	if !execution.owner.MaySendAttempt(execution.owner.now, execution.dispatch.Request, execution.dispatch.Attempt) {
		outcome = fleet.Refused
	}
	switch outcome {
	case fleet.Complete:
		s.placeOrder(execution)
	case fleet.Broken:
		s.brokenAttempts[execution.dispatch.Request]++
		s.lateEffects = append(s.lateEffects, execution)
		if rapid.Bool().Draw(s.t, "ran") {
			s.applyLateEffect()
		}
	}
	ended := core.AttemptEnded{Request: execution.dispatch.Request, Attempt: execution.dispatch.Attempt, Outcome: outcome}
	s.perform(execution.owner, execution.owner.Apply(execution.owner.now, ended))
}

// placeOrder places an order unless the service has already placed one with its key.
func (s *simulation) placeOrder(execution execution) {
	if key := execution.dispatch.Key; execution.dispatch.KeyHeader == "" || !s.usedKeys[key] {
		s.usedKeys[key] = true
		s.placed[execution.ticket]++
	}
	s.checkTicket(execution.ticket)
}

// applyLateEffect lets a random execution take effect whose attempt broke.
func (s *simulation) applyLateEffect() {
	if len(s.lateEffects) == 0 {
		return
	}
	index := rapid.IntRange(0, len(s.lateEffects)-1).Draw(s.t, "late")
	execution := s.lateEffects[index]
	s.lateEffects = append(s.lateEffects[:index], s.lateEffects[index+1:]...)
	s.placeOrder(execution)
}

// checkResend checks that a broken order is resent only with an idempotency key.
func (s *simulation) checkResend(dispatch core.Dispatch) {
	if s.brokenAttempts[dispatch.Request] == 0 {
		return
	}
	s.resends++
	if dispatch.KeyHeader == "" || dispatch.Key == "" {
		s.t.Fatalf("request %s was resent without an idempotency key", dispatch.Request)
	}
}

// answerQuery answers a query about a ticket, or loses the answer.
func (s *simulation) answerQuery() {
	if len(s.queries) == 0 {
		return
	}
	query := s.queries[0]
	s.queries = s.queries[1:]
	outcome := ledger.Outcome{State: ledger.Unknown}
	if rapid.IntRange(0, 3).Draw(s.t, "lost") > 0 {
		for _, e := range s.entries {
			if e.name == query.Ticket.Entry {
				outcome = e.TicketOutcome(e.now, query.Ticket)
			}
		}
		for _, o := range s.successors {
			if o.entry == query.Ticket.Entry && o.incarnation == query.Ticket.Incarnation {
				outcome = o.heldBy.TicketOutcome(o.heldBy.now, query.Ticket)
			}
		}
	}
	s.perform(query.querier, query.querier.Apply(query.querier.now, core.OwnerReplied{Request: query.Request, Outcome: outcome}))
}

// leave drains an entry, hands its ledger to another one and restarts it.
func (s *simulation) leave() {
	leaving, target := s.anyEntry(), s.anyEntry()
	if leaving == target {
		return
	}
	entry := s.entries[leaving]
	entry.Apply(entry.now, core.DrainStarted{})
	handover := entry.Seal(entry.now)
	if s.entries[target].Adopt(s.entries[target].now, handover) == nil {
		s.successors = append(s.successors, successor{entry: handover.Entry, incarnation: handover.Incarnation, heldBy: s.entries[target]})
	}
	s.restart(leaving)
}

func (s *simulation) advanceTime() {
	entry := s.entries[s.anyEntry()]
	if rapid.Bool().Draw(s.t, "paused") {
		entry.now = entry.now.Add(5 * clock.Second)
		return
	}
	for range 20 {
		entry.now = entry.now.Add(rapid.SampledFrom([]clock.Span{50, 500}).Draw(s.t, "step"))
		entry.Apply(entry.now, core.Tick{})
	}
}

// simulate runs a simulation with random steps and returns how often a broken order was
// resent.
func simulate(t *rapid.T, text string) int {
	sim := newSimulation(t, text)
	steps := []func(){
		sim.issue, sim.send, sim.send, sim.send, sim.finishExecution, sim.finishExecution, sim.finishExecution, sim.finishExecution, sim.answerQuery, sim.answerQuery, sim.advanceTime, sim.leave,
		func() { sim.restart(sim.anyEntry()) }, sim.applyLateEffect,
	}
	for range rapid.IntRange(5, 80).Draw(t, "length") {
		steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
	}
	return sim.resends
}

// Guards, for random interleavings of sends, resends, crashes, pauses, handovers, lost
// answers and late effects, against an order that is placed twice or placed although it
// was reported as not run, and against a broken order that is resent although the service
// takes no idempotency key.
func TestOrdersAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if resends := simulate(t, document); resends > 0 {
			t.Fatalf("%d broken orders were resent", resends)
		}
	})
}

// Guards against the same failures if the service takes idempotency keys and broken orders
// are resent: a key that differs between attempts or is shared by two orders, and "not
// run" after a broken attempt.
func TestRepeatedOrdersArePlacedOnce(t *testing.T) {
	resends := 0
	rapid.Check(t, func(t *rapid.T) { resends += simulate(t, documentWithKey) })
	if resends < 20 {
		t.Fatalf("only %d broken orders were resent in all runs", resends)
	}
}
