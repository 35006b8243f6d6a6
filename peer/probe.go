package peer

import (
	"context"
	"slices"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/wire"
)

// probeTimeouts times the probe timeout is how long a probe may take in all; the table
// gives up on it after the same time.
const probeTimeouts = 3

func (n *Node) probe(ctx context.Context) {
	t := time.NewTicker(tick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		n.mu.Lock()
		sends := n.table.Tick(n.now())
		n.mu.Unlock()
		n.log()
		for _, s := range sends {
			n.wait.Go(func() { n.send(ctx, s) })
		}
	}
}

// limit bounds one probe.
func (n *Node) limit(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, (probeTimeouts * n.c.Timeout).Duration())
}

func (n *Node) send(ctx context.Context, s member.Send) {
	ctx, cancel := n.limit(ctx)
	defer cancel()
	var err error
	if s.Kind == member.Relay {
		n.meter.relays.Inc(1)
		err = n.relay(ctx, s)
	} else {
		n.meter.probes.Inc(1)
		err = n.ping(ctx, s.To, s.Seq)
	}
	if err != nil {
		n.meter.lost.Inc(1)
		return
	}
	n.acked(s.Target, s.Seq)
}

func (n *Node) acked(target ident.Entry, seq uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Acked(n.now(), target, seq)
}

// ping exchanges news with an entry. It fails if another process answers at its address.
func (n *Node) ping(ctx context.Context, to ident.Entry, seq uint64) error {
	address, ok := n.address(to)
	if !ok {
		return fault.Newf("ping", Unreachable, "%s has no address", to)
	}
	a, err := wire.Call[ping, ack](ctx, n.client, address, pingKind, ping{Seq: seq, News: n.news(to)})
	if err != nil {
		return fault.Wrap("ping", Unreachable, err)
	}
	n.hear(a.News)
	if a.News.From != to {
		return fault.Newf("ping", Unreachable, "%s answers at the address of %s", a.News.From, to)
	}
	return nil
}

func (n *Node) relay(ctx context.Context, s member.Send) error {
	address, ok := n.address(s.To)
	if !ok {
		return fault.Newf("relay", Unreachable, "%s has no address", s.To)
	}
	q := relay{Seq: s.Seq, Target: s.Target, News: n.news(s.To)}
	a, err := wire.Call[relay, ack](ctx, n.client, address, relayKind, q)
	if err != nil {
		return fault.Wrap("relay", Unreachable, err)
	}
	n.hear(a.News)
	return nil
}

func (n *Node) pinged(_ context.Context, _ wire.Peer, q ping) (ack, error) {
	n.hear(q.News)
	return ack{Seq: q.Seq, News: n.news(q.News.From)}, nil
}

func (n *Node) relayed(ctx context.Context, _ wire.Peer, q relay) (ack, error) {
	n.hear(q.News)
	ctx, cancel := n.limit(ctx)
	defer cancel()
	if err := n.ping(ctx, q.Target, 0); err != nil {
		// Without the cause: its kind describes another connection than the asker's.
		return ack{}, fault.Newf("relay", Unreachable, "%s", err)
	}
	return ack{Seq: q.Seq, News: n.news(q.News.From)}, nil
}

// visible leaves out accusations of home-bound requests that the entry's region may
// not learn of. An entry that the table does not have yet gets none of these.
func (n *Node) visible(to ident.Entry, all []news.Accusation) []news.Accusation {
	n.mu.Lock()
	m, _ := n.table.Find(to)
	n.mu.Unlock()
	return slices.DeleteFunc(all, func(a news.Accusation) bool { return !a.Visible(m.Region) })
}

// news returns what to tell an entry.
func (n *Node) news(to ident.Entry) news.News {
	w := n.c.Core.News()
	w.Accusations = n.visible(to, w.Accusations)
	w.From, w.Incarnation, w.Region = n.c.Self.Entry, n.c.Self.Incarnation, n.c.Self.Region
	n.mu.Lock()
	defer n.mu.Unlock()
	w.Members = n.table.UpdatesTo(to)
	return w
}

func (n *Node) hear(w news.News) {
	if w.From == "" || (w.From == n.c.Self.Entry && w.Incarnation == n.c.Self.Incarnation) {
		return
	}
	n.mu.Lock()
	n.table.Hear(n.now(), w.Members)
	n.mu.Unlock()
	n.c.Core.Hear(w)
	n.compare(w.From, w.Bundle)
}

// now is the node's time.
func (n *Node) now() clock.Time { return n.c.Clock.Now() }
