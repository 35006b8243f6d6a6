package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"

	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// actionBuffer holds more actions than one request can cause while its handler is busy.
const actionBuffer = 256

// peers is what the shell needs of the other entries.
type peers interface {
	Ask(ctx context.Context, t ticket.Ticket) (ledger.Outcome, error)
	Push()
}

// shell feeds the core under one lock and passes its actions to the requests.
type shell struct {
	clock       clock.Clock
	force       *bundle.Force
	incarnation ident.Incarnation
	peers       peers
	// order sends a model order and reports its result.
	order func(assign.Order)

	mu      sync.Mutex
	core    *core.Core
	flights map[ident.Request]*flight
	// live is how many peers there are.
	live int
}

func newShell(c clock.Clock, f *bundle.Force, k *core.Core) *shell {
	return &shell{clock: c, force: f, core: k, flights: make(map[ident.Request]*flight)}
}

// flight is the shell's side of one request: the channel to its handler.
type flight struct {
	id ident.Request
	// mark makes the ids at endpoints unique: callers choose their ids freely, and
	// two that choose the same one must not get each other's stream when one is resumed.
	mark    string
	actions chan core.Action
}

// connect names the peers; news that come before are not pushed on.
func (s *shell) connect(p peers) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = p
}

// apply gives one event to the core and hands out the actions.
func (s *shell) apply(e core.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	actions := s.core.Apply(s.clock.Now(), e)
	switch e := e.(type) {
	case core.Peers:
		s.live = len(e.Live)
	case core.Heard:
		if !relays(s.live) {
			actions = slices.DeleteFunc(actions, func(a core.Action) bool { return a == core.Push{} })
		}
	}
	s.hand(actions)
}

// relayers is how many entries push on what a peer has pushed to all, in the mean. They
// reach those that the first one can't. If all did so, each news would take a message
// for each pair of entries.
const relayers = 8

// relays decides whether this entry pushes on what it has heard; with few peers it does.
func relays(live int) bool { return live <= relayers || rand.IntN(live) < relayers }

// relays decides whether this entry pushes a bundle on that it got from a peer.
func (s *shell) relays() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return relays(s.live)
}

// hand passes actions on; the lock is held, so that the actions of one request keep their order.
func (s *shell) hand(actions []core.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case core.Push:
			if s.peers != nil {
				s.peers.Push()
			}
		case core.Ask:
			go s.ask(a)
		case core.Order:
			go s.order(a.Order)
		case core.Dispatch:
			s.post(a.Request, a)
		case core.Win:
			s.post(a.Request, a)
		case core.Cancel:
			s.post(a.Request, a)
		case core.Refuse:
			s.post(a.Request, a)
		case core.Deliver:
			s.post(a.Request, a)
		}
	}
}

func (s *shell) post(id ident.Request, a core.Action) {
	f := s.flights[id]
	if f == nil {
		s.unsent(a)
		return
	}
	select {
	case f.actions <- a:
	default:
		// A full buffer means that the handler is gone; its request ends with its connection.
		s.unsent(a)
	}
}

// unsent tells the core that a try was not begun because its handler has gone. A
// non-idempotent request would otherwise stay in progress for ever.
func (s *shell) unsent(a core.Action) {
	if d, ok := a.(core.Dispatch); ok {
		go s.apply(core.Ended{Request: d.Request, Try: d.Try, Outcome: fleet.Refused})
	}
}

// ask finds out what became of a ticket. Without an answer the outcome is unknown.
func (s *shell) ask(a core.Ask) {
	ctx, cancel := context.WithTimeout(context.Background(), askLimit.Duration())
	defer cancel()
	outcome, err := s.peers.Ask(ctx, a.Ticket)
	if err != nil {
		outcome = ledger.Outcome{State: ledger.Unknown}
	}
	s.apply(core.Told{Request: a.Request, Outcome: outcome})
}

// askLimit bounds a question to the owner of a ticket. A round trip between
// regions takes a little over 100 ms.
const askLimit = 2 * clock.Second

// open registers a request. It returns nil if one with this id is in progress.
func (s *shell) open(id ident.Request) *flight {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flights[id] != nil {
		return nil
	}
	f := &flight{id: id, mark: strconv.FormatUint(randomNumber(), 36), actions: make(chan core.Action, actionBuffer)}
	s.flights[id] = f
	return f
}

// wire returns the id of a try at its endpoint. The caller's id comes first, so
// that an endpoint's records can be traced back.
func (f *flight) wire(number ident.Try) ident.Request {
	return f.id + "~" + ident.Request(f.mark) + "-" + ident.Request(strconv.Itoa(int(number)))
}

func (s *shell) close(f *flight) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.flights, f.id)
	for {
		select {
		case a := <-f.actions:
			s.unsent(a)
		default:
			return
		}
	}
}

// look runs fn on the core under the lock.
func look[T any](s *shell, fn func(*core.Core, clock.Time) T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fn(s.core, s.clock.Now())
}

func (s *shell) admit(h core.Head) *core.Refusal {
	return look(s, func(c *core.Core, now clock.Time) *core.Refusal { return c.Admit(now, h) })
}

func (s *shell) confirm(d core.Dispatch) bool {
	return look(s, func(c *core.Core, now clock.Time) bool { return c.Confirm(now, d.Request, d.Try) })
}

func (s *shell) inProgress() int {
	return look(s, func(c *core.Core, _ clock.Time) int { return c.InProgress() })
}

func (s *shell) places(r core.Refusal) []core.Place {
	return look(s, func(c *core.Core, _ clock.Time) []core.Place { return c.Places(r) })
}

func (s *shell) truthful(h core.Head, r *core.Refusal) *core.Refusal {
	return look(s, func(c *core.Core, now clock.Time) *core.Refusal { return c.Truthful(now, h, r) })
}
