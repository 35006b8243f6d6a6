package peer

import (
	"context"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/wire"
)

func (n *Node) probeLoop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		n.mu.Lock()
		sends := n.table.Tick(n.now())
		n.mu.Unlock()
		n.logChanges()
		for _, s := range sends {
			n.tasks.Go(func() { n.sendProbe(ctx, s) })
		}
	}
}

// withProbeTimeout returns a context that bounds one probe.
func (n *Node) withProbeTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, (member.ProbeTimeoutFactor * n.config.Timeout).Duration())
}

func (n *Node) sendProbe(ctx context.Context, probe member.ProbeRequest) {
	ctx, cancel := n.withProbeTimeout(ctx)
	defer cancel()
	var err error
	if probe.Kind == member.Relay {
		n.counters.relays.Inc(1)
		err = n.sendRelay(ctx, probe)
	} else {
		n.counters.probes.Inc(1)
		err = n.sendPing(ctx, probe.To, probe.Seq)
	}
	if err != nil {
		n.counters.lost.Inc(1)
		return
	}
	n.recordAck(probe.Target, probe.Seq)
}

func (n *Node) recordAck(target ident.Entry, seq uint64) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.RecordAck(n.now(), target, seq)
}

// sendPing exchanges gossip with an entry. It fails if another entry answers at its address.
func (n *Node) sendPing(ctx context.Context, to ident.Entry, seq uint64) error {
	reply, err := call[pingRequest, ack](ctx, n, "ping", to, pingKind, pingRequest{Seq: seq, Gossip: n.gossipFor(to)})
	if err != nil {
		return err
	}
	n.receive(reply.Gossip)
	if reply.Gossip.From != to {
		return fault.Newf("ping", KindUnreachable, "%s answered at the address of %s", reply.Gossip.From, to)
	}
	return nil
}

func (n *Node) sendRelay(ctx context.Context, probe member.ProbeRequest) error {
	request := relayRequest{Seq: probe.Seq, Target: probe.Target, Gossip: n.gossipFor(probe.To)}
	reply, err := call[relayRequest, ack](ctx, n, "relay", probe.To, relayKind, request)
	if err != nil {
		return err
	}
	n.receive(reply.Gossip)
	return nil
}

func (n *Node) handlePing(_ context.Context, _ wire.Peer, request pingRequest) (ack, error) {
	n.receive(request.Gossip)
	return ack{Seq: request.Seq, Gossip: n.gossipFor(request.Gossip.From)}, nil
}

func (n *Node) handleRelay(ctx context.Context, _ wire.Peer, request relayRequest) (ack, error) {
	n.receive(request.Gossip)
	ctx, cancel := n.withProbeTimeout(ctx)
	defer cancel()
	if err := n.sendPing(ctx, request.Target, 0); err != nil {
		// The cause is formatted, not wrapped: its kind is about another connection than
		// the requester's.
		return ack{}, fault.Newf("relay", KindUnreachable, "%s", err)
	}
	return ack{Seq: request.Seq, Gossip: n.gossipFor(request.Gossip.From)}, nil
}

// visibleTo leaves out crash reports on home-bound requests that the entry's region may not
// learn of. The region of an entry missing from the table is unknown, so it gets none.
func (n *Node) visibleTo(to ident.Entry, all []gossip.CrashReport) []gossip.CrashReport {
	n.mu.Lock()
	recipient, _ := n.table.Find(to)
	n.mu.Unlock()
	return gossip.VisibleTo(recipient.Region, all)
}

// gossipFor returns the gossip to send to an entry.
func (n *Node) gossipFor(to ident.Entry) gossip.Payload {
	payload := n.config.Delegate.Gossip()
	payload.CrashReports = n.visibleTo(to, payload.CrashReports)
	payload.From, payload.Incarnation, payload.Region = n.config.Self.Entry, n.config.Self.Incarnation, n.config.Self.Region
	n.mu.Lock()
	defer n.mu.Unlock()
	payload.Members = n.table.UpdatesTo(to)
	return payload
}

func (n *Node) receive(payload gossip.Payload) {
	if payload.From == "" || (payload.From == n.config.Self.Entry && payload.Incarnation == n.config.Self.Incarnation) {
		return
	}
	n.mu.Lock()
	n.table.Merge(n.now(), payload.Members)
	n.mu.Unlock()
	n.config.Delegate.MergeGossip(payload)
	n.fetchIfNewer(payload.From, payload.Bundle)
}

func (n *Node) now() clock.Time { return n.config.Clock.Now() }
