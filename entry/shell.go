package entry

import (
	"context"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// actionBufferSize is more than the actions of one request while its handler is busy.
const actionBufferSize = 256

// peerClient is the part of peer.Node that the shell uses.
type peerClient interface {
	QueryTicket(ctx context.Context, t ticket.Ticket) (ledger.Outcome, error)
	Lease(ctx context.Context, owner ident.Entry, request crash.LeaseRequest) crash.LeaseReply
	PushGossip()
}

// shell applies events to the core under one lock and dispatches the resulting actions to
// the request handlers.
type shell struct {
	log         *zap.Logger
	exit        func(status int)
	clock       clock.Clock
	bundles     *bundle.Active
	incarnation ident.Incarnation
	peers       peerClient
	// executeOrder sends a model order and reports its result.
	executeOrder func(assign.Order)

	mu      sync.Mutex
	core    *core.Core
	pending map[ident.Request]*pendingRequest
	// livePeers is the number of live peers.
	livePeers int
}

func newShell(log *zap.Logger, c clock.Clock, bundles *bundle.Active, k *core.Core) *shell {
	return &shell{log: log, exit: os.Exit, clock: c, bundles: bundles, core: k, pending: make(map[ident.Request]*pendingRequest)}
}

// pendingRequest is a request in progress, with the channel of actions for its handler.
type pendingRequest struct {
	id ident.Request
	// nonce makes request ids at endpoints unique: callers choose their ids freely, and two
	// with the same id must not get each other's stream on a resume.
	nonce   string
	actions chan core.Action
}

// setPeers sets the client for the peers. Pushes before that are dropped.
func (s *shell) setPeers(client peerClient) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = client
}

// apply applies an event to the core and dispatches the resulting actions.
func (s *shell) apply(e core.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.endOnPanic()
	actions := s.core.Apply(s.clock.Now(), e)
	switch e := e.(type) {
	case core.MembersUpdated:
		s.livePeers = len(e.Live)
	case core.GossipReceived:
		if !shouldForward(s.livePeers) {
			actions = slices.DeleteFunc(actions, func(a core.Action) bool { return a == core.PushGossip{} })
		}
	}
	s.dispatchActions(actions)
}

// meanForwarders is the mean number of entries that forward a peer's push. They reach
// entries that the origin can't. If all did, each update would take a message per pair of
// entries.
const meanForwarders = 8

// shouldForward decides at random whether this entry forwards a peer's push; with at most
// meanForwarders peers it always does.
func shouldForward(live int) bool { return live <= meanForwarders || rand.IntN(live) < meanForwarders }

// shouldForward decides whether this entry forwards a bundle received from a peer.
func (s *shell) shouldForward() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return shouldForward(s.livePeers)
}

// dispatchActions executes actions or passes them to the request handlers. The caller holds
// the lock, so that the actions of one request stay in order.
func (s *shell) dispatchActions(actions []core.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case core.PushGossip:
			if s.peers != nil {
				s.peers.PushGossip()
			}
		case core.QueryOwner:
			go s.queryOwner(a)
		case core.QueryLease:
			go s.queryLease(a)
		case core.ReturnLease:
			go s.returnLease(a)
		case core.Order:
			go s.executeOrder(a.Order)
		case core.Dispatch:
			s.deliverAction(a.Request, a)
		case core.Forward:
			s.deliverAction(a.Request, a)
		case core.Cancel:
			s.deliverAction(a.Request, a)
		case core.Refuse:
			s.deliverAction(a.Request, a)
		case core.Deliver:
			s.deliverAction(a.Request, a)
		}
	}
}

func (s *shell) deliverAction(id ident.Request, action core.Action) {
	request := s.pending[id]
	if request == nil {
		s.reportUnsent(action)
		return
	}
	select {
	case request.actions <- action:
	default:
		// The buffer is full only if the handler has ended; its request ends with its connection.
		s.reportUnsent(action)
	}
}

// reportUnsent reports to the core that an attempt was not started because its handler has
// ended. A non-idempotent request would otherwise stay in progress forever.
func (s *shell) reportUnsent(action core.Action) {
	if d, ok := action.(core.Dispatch); ok {
		go s.apply(core.AttemptEnded{Request: d.Request, Attempt: d.Attempt, Outcome: fleet.Refused})
	}
}

// queryOwner queries a ticket's owner for the outcome. Without an answer it is unknown.
func (s *shell) queryOwner(action core.QueryOwner) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout.Duration())
	defer cancel()
	outcome, err := s.peers.QueryTicket(ctx, action.Ticket)
	if err != nil {
		outcome = ledger.Outcome{State: ledger.Unknown}
	}
	s.apply(core.OwnerReplied{Request: action.Request, Outcome: outcome})
}

// queryLease requests the lease of a suspect from its owner.
func (s *shell) queryLease(action core.QueryLease) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout.Duration())
	defer cancel()
	reply := s.peers.Lease(ctx, action.Owner, action.Lease)
	s.apply(core.LeaseReplied{Request: action.Lease.Holder.Request, Owner: action.Owner, Reply: reply})
}

func (s *shell) returnLease(action core.ReturnLease) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout.Duration())
	defer cancel()
	s.peers.Lease(ctx, action.Owner, action.Lease)
}

// queryTimeout bounds a query to the owner of a ticket or of a suspect. A round trip between regions takes
// just over 100 ms.
const queryTimeout = 2 * clock.Second

// register registers a request. It returns nil if one with the same id is in progress.
func (s *shell) register(id ident.Request) *pendingRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[id] != nil {
		return nil
	}
	request := &pendingRequest{id: id, nonce: strconv.FormatUint(randomNumber(), 36), actions: make(chan core.Action, actionBufferSize)}
	s.pending[id] = request
	return request
}

// endpointID returns the request id of an attempt at its endpoint. It starts with the caller's
// id, so that an endpoint's logs can be correlated.
func (p *pendingRequest) endpointID(number ident.Attempt) ident.Request {
	return p.id + "~" + ident.Request(p.nonce) + "-" + ident.Request(strconv.Itoa(int(number)))
}

// processRemaining processes the actions of a request whose handler ends. No further attempt is started.
func (p *pendingRequest) processRemaining(s *shell, cancel func(ident.Attempt)) {
	for {
		select {
		case action := <-p.actions:
			if a, ok := action.(core.Cancel); ok {
				cancel(a.Attempt)
			}
			s.reportUnsent(action)
		default:
			return
		}
	}
}

func (s *shell) unregister(request *pendingRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, request.id)
	for {
		select {
		case a := <-request.actions:
			s.reportUnsent(a)
		default:
			return
		}
	}
}

// withCore runs fn on the core under the lock and returns its result.
func withCore[T any](s *shell, fn func(*core.Core, clock.Time) T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.endOnPanic()
	return fn(s.core, s.clock.Now())
}

func (s *shell) admit(head core.Head) *core.Refusal {
	return withCore(s, func(c *core.Core, now clock.Time) *core.Refusal { return c.Admit(now, head) })
}

func (s *shell) maySend(dispatch core.Dispatch) bool {
	return withCore(s, func(c *core.Core, now clock.Time) bool {
		return c.MaySendAttempt(now, dispatch.Request, dispatch.Attempt)
	})
}

func (s *shell) inProgress() int {
	return withCore(s, func(c *core.Core, _ clock.Time) int { return c.InProgress() })
}

func (s *shell) entryAddresses(refusal core.Refusal) []core.EntryAddress {
	return withCore(s, func(c *core.Core, _ clock.Time) []core.EntryAddress { return c.EntryAddresses(refusal) })
}

func (s *shell) correctRan(head core.Head, refusal *core.Refusal) *core.Refusal {
	return withCore(s, func(c *core.Core, now clock.Time) *core.Refusal { return c.CorrectRefusal(now, head, refusal) })
}
