package peer

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/ticket"
	"github.com/tanagerbridge/tanagerbridge/wire"
)

// handTime bounds the attempt to hand a ledger to one peer. A ledger has at most 1 MB.
const handTime = 3 * time.Second

// announceTime bounds the last message to all peers: two rounds of probes, since no more
// than maxPushes are in progress at once.
const announceTime = 3 * time.Second

// Ask asks the owner of a ticket, or the entry that answers for it, what became of the
// request. After an error the outcome is unknown.
func (n *Node) Ask(ctx context.Context, t ticket.Ticket) (ledger.Outcome, error) {
	first := n.answers(t)
	outcome, err := n.askOne(ctx, first, t)
	if err == nil {
		return outcome, nil
	}
	// The owner may have left while the question was on its way.
	if second := n.answers(t); second != first {
		return n.askOne(ctx, second, t)
	}
	return ledger.Outcome{}, err
}

// answers returns the entry that answers for a ticket.
func (n *Node) answers(t ticket.Ticket) ident.Entry {
	n.mu.Lock()
	defer n.mu.Unlock()
	if successor, ok := n.table.Successor(t.Entry, t.Incarnation); ok {
		return successor
	}
	return t.Entry
}

func (n *Node) askOne(ctx context.Context, to ident.Entry, t ticket.Ticket) (ledger.Outcome, error) {
	if to == n.c.Self.Entry {
		return n.c.Core.Ask(t), nil
	}
	address, ok := n.address(to)
	if !ok {
		return ledger.Outcome{}, fault.Newf("ask", Unreachable, "%s has no address", to)
	}
	a, err := wire.Call[ask, told](ctx, n.client, address, askKind, ask{Ticket: t})
	if err != nil {
		return ledger.Outcome{}, fault.Wrap("ask", Unreachable, err)
	}
	return a.Outcome, nil
}

func (n *Node) asked(_ context.Context, _ wire.Peer, q ask) (told, error) {
	return told{Outcome: n.c.Core.Ask(q.Ticket)}, nil
}

// Drain tells the peers that this entry takes no new work.
func (n *Node) Drain() {
	n.mu.Lock()
	n.table.Drain()
	n.mu.Unlock()
	n.Push()
}

// Leave hands the sealed ledger to one live peer, of the same region if possible, and
// tells all live peers that this entry has left and who answers for its tickets. It
// returns an error of kind NoSuccessor if no peer took the ledger; the peers are told anyway.
func (n *Node) Leave(ctx context.Context, h ledger.Handover) error {
	successor, err := n.transfer(ctx, h)
	n.mu.Lock()
	n.table.Leave(n.now(), successor)
	n.mu.Unlock()
	// The attempts to hand over may have used up the caller's time.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), announceTime)
	defer cancel()
	n.Tell(ctx)
	return err
}

func (n *Node) transfer(ctx context.Context, h ledger.Handover) (ident.Entry, error) {
	err := fault.Newf("leave", NoSuccessor, "no live peer")
	for _, m := range n.candidates() {
		if ctx.Err() != nil {
			break
		}
		failure := n.hand(ctx, m.Entry, h)
		if failure == nil {
			return m.Entry, nil
		}
		n.c.Log.Warn("handover", zap.String("to", string(m.Entry)), zap.Error(failure))
		err = fault.Wrap("leave", NoSuccessor, failure)
	}
	return "", err
}

// candidates returns the live peers: those of the own region first, and suspects last.
func (n *Node) candidates() []member.Member {
	live := n.Live()
	rand.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	rank := func(m member.Member) int {
		switch {
		case m.State != news.Alive:
			return 2
		case m.Region != n.c.Self.Region:
			return 1
		}
		return 0
	}
	slices.SortStableFunc(live, func(a, b member.Member) int { return rank(a) - rank(b) })
	return live
}

func (n *Node) hand(ctx context.Context, to ident.Entry, h ledger.Handover) error {
	address, ok := n.address(to)
	if !ok {
		return fault.Newf("hand", Unreachable, "%s has no address", to)
	}
	n.mu.Lock()
	last := n.table.Self()
	n.mu.Unlock()
	last.State, last.Successor = news.Left, to
	last.Generation++
	ctx, cancel := context.WithTimeout(ctx, handTime)
	defer cancel()
	_, err := wire.Call[hand, taken](ctx, n.client, address, handKind, hand{Handover: h, Sender: last})
	return err
}

func (n *Node) handed(_ context.Context, _ wire.Peer, q hand) (taken, error) {
	n.mu.Lock()
	state := n.table.Self().State
	n.mu.Unlock()
	if state != news.Alive {
		return taken{}, fault.Newf("hand", Refused, "this entry is %s", state)
	}
	if err := n.c.Core.Adopt(q.Handover); err != nil {
		return taken{}, err
	}
	n.meter.adopted.Inc(1)
	n.mu.Lock()
	n.table.Hear(n.now(), []news.Member{q.Sender})
	n.mu.Unlock()
	n.Push()
	return taken{}, nil
}

// Tell sends the news to all live members and waits until each has answered or the
// probe limit has passed. It is for news that must arrive before something else is done.
func (n *Node) Tell(ctx context.Context) {
	var wait sync.WaitGroup
	slots := make(chan struct{}, maxPushes)
	for _, m := range n.Live() {
		wait.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			ctx, cancel := n.limit(ctx)
			defer cancel()
			if err := n.ping(ctx, m.Entry, 0); err != nil {
				n.c.Log.Debug("announce", zap.String("to", string(m.Entry)), zap.Error(err))
			}
		})
	}
	wait.Wait()
}
