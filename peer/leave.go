package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/ticket"
	"github.com/tanagerbridge/tanagerbridge/wire"
)

// handoverTimeout bounds a handover attempt to one peer. A ledger has at most 1 MB.
const handoverTimeout = 3 * time.Second

// announceTimeout bounds the final announcement to all peers. At most maxPushes pings are in
// progress at once, so some wait for others; the time covers two consecutive pings that time out.
const announceTimeout = 3 * time.Second

// QueryTicket returns the outcome of a request from the owner of its ticket or the owner's
// successor. After an error, which is of kind KindUnreachable, the outcome is unknown.
func (n *Node) QueryTicket(ctx context.Context, t ticket.Ticket) (ledger.Outcome, error) {
	first := n.ticketOwner(t)
	outcome, err := n.queryEntry(ctx, first, t)
	if err == nil {
		return outcome, nil
	}
	// The owner may have left during the call.
	if second := n.ticketOwner(t); second != first {
		return n.queryEntry(ctx, second, t)
	}
	return ledger.Outcome{}, err
}

// ticketOwner returns the entry that owns a ticket: the issuer or its successor.
func (n *Node) ticketOwner(t ticket.Ticket) ident.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	if successor, ok := n.table.Successor(t.Entry, t.Incarnation); ok {
		return successor
	}
	return t.Entry
}

func (n *Node) queryEntry(ctx context.Context, to ident.Entry, t ticket.Ticket) (ledger.Outcome, error) {
	if to == n.config.Self.Entry {
		return n.config.Delegate.TicketOutcome(t), nil
	}
	reply, err := call[queryRequest, queryReply](ctx, n, "query ticket", to, queryKind, queryRequest{Ticket: t})
	return reply.Outcome, err
}

func (n *Node) handleQuery(_ context.Context, _ wire.Peer, request queryRequest) (queryReply, error) {
	return queryReply{Outcome: n.config.Delegate.TicketOutcome(request.Ticket)}, nil
}

// Drain announces to the peers that this entry takes no new work.
func (n *Node) Drain() {
	n.mu.Lock()
	n.table.Drain()
	n.mu.Unlock()
	n.PushGossip()
}

// Leave hands the sealed ledger over to one live peer, preferably of the same region, and
// announces to all live peers that this entry has left and which successor owns its
// tickets. If no peer accepts the ledger, it still announces the departure and returns an
// error of kind KindNoSuccessor.
func (n *Node) Leave(ctx context.Context, handover ledger.Handover) error {
	successor, err := n.transferLedger(ctx, handover)
	n.mu.Lock()
	n.table.Leave(n.now(), successor)
	n.mu.Unlock()
	// The handover attempts may have used up the caller's deadline.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTimeout)
	defer cancel()
	n.Broadcast(ctx)
	return err
}

func (n *Node) transferLedger(ctx context.Context, handover ledger.Handover) (ident.Entry, error) {
	err := fault.Newf("leave", KindNoSuccessor, "no live peer to take the ledger")
	for _, m := range n.successorCandidates() {
		if ctx.Err() != nil {
			break
		}
		failure := n.sendHandover(ctx, m.Entry, handover)
		if failure == nil {
			return m.Entry, nil
		}
		n.config.Log.Warn("ledger handover failed", zap.String("to", string(m.Entry)), zap.Error(failure))
		err = fault.Wrap("leave", KindNoSuccessor, failure)
	}
	return "", err
}

// successorCandidates returns the live peers in random order, those of the own region
// first and suspects last.
func (n *Node) successorCandidates() []member.Member {
	live := n.Live()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	rank := func(m member.Member) int {
		switch {
		case m.State != gossip.Alive:
			return 2
		case m.Region != n.config.Self.Region:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(live, func(a, b member.Member) int { return rank(a) - rank(b) })
	return live
}

func (n *Node) sendHandover(ctx context.Context, to ident.Entry, handover ledger.Handover) error {
	address, ok := n.address(to)
	if !ok {
		return fault.Newf("hand over", KindUnreachable, "no address known for %s", to)
	}
	n.mu.Lock()
	last := n.table.Self()
	n.mu.Unlock()
	last.State, last.Successor = gossip.Left, to
	last.Generation++
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, err := wire.Call[handoverRequest, handoverReply](ctx, n.client, address, handoverKind, handoverRequest{Handover: handover, Sender: last})
	return err
}

func (n *Node) handleHandover(_ context.Context, _ wire.Peer, request handoverRequest) (handoverReply, error) {
	n.mu.Lock()
	state := n.table.Self().State
	n.mu.Unlock()
	if state != gossip.Alive {
		return handoverReply{}, fault.Newf("hand over", KindRefused, "this entry is %s", state)
	}
	if err := n.config.Delegate.AdoptLedger(request.Handover); err != nil {
		return handoverReply{}, err
	}
	n.counters.adopted.Inc(1)
	n.mu.Lock()
	n.table.Merge(n.now(), []gossip.Member{request.Sender})
	n.mu.Unlock()
	n.PushGossip()
	return handoverReply{}, nil
}

// Broadcast sends the current gossip to all live members and waits until each has answered or
// timed out. It is for updates that must arrive before the caller proceeds.
func (n *Node) Broadcast(ctx context.Context) {
	var pings sync.WaitGroup
	slots := make(chan struct{}, maxPushes)
	for _, m := range n.Live() {
		pings.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			ctx, cancel := n.withProbeTimeout(ctx)
			defer cancel()
			if err := n.sendPing(ctx, m.Entry, 0); err != nil {
				n.config.Log.Debug("announcement failed", zap.String("to", string(m.Entry)), zap.Error(err))
			}
		})
	}
	pings.Wait()
}
