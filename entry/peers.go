package entry

import (
	"context"
	"math/rand/v2"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// peerDelegate implements peer.Delegate.
type peerDelegate struct {
	server *Server
}

// notifyPeers sends the current gossip to all live peers and waits for their answers, at
// most queryTimeout.
func (s *Server) notifyPeers() {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout.Duration())
	defer cancel()
	s.node.Broadcast(ctx)
}

func (p peerDelegate) Gossip() gossip.Payload {
	payload := withCore(p.server.shell, func(c *core.Core, now clock.Time) gossip.Payload { return c.Gossip(now) })
	payload.Loads = sampleLoads(payload.Loads)
	return payload
}

// maxLoads bounds the load summaries in one message. One takes 90 bytes, and an entry
// sends and receives about 8 messages a second.
const maxLoads = 8

// sampleLoads returns at most maxLoads consecutive loads from a random start. A rotating
// start could skip some for good, since not every call results in a message.
func sampleLoads(loads []gossip.Load) []gossip.Load {
	if len(loads) <= maxLoads {
		return loads
	}
	start := rand.IntN(len(loads))
	return append(loads[start:], loads[:start]...)[:maxLoads]
}

func (p peerDelegate) MergeGossip(payload gossip.Payload) {
	p.server.shell.apply(core.GossipReceived{Gossip: payload})
}

func (p peerDelegate) TicketOutcome(t ticket.Ticket) ledger.Outcome {
	return withCore(p.server.shell, func(c *core.Core, now clock.Time) ledger.Outcome { return c.TicketOutcome(now, t) })
}

// HandleLease merges the reports first, since they may change the verdict on waiting requests.
func (p peerDelegate) HandleLease(request crash.LeaseRequest) crash.LeaseReply {
	p.server.shell.apply(core.GossipReceived{Gossip: gossip.Payload{CrashReports: request.Reports}})
	return withCore(p.server.shell, func(c *core.Core, now clock.Time) crash.LeaseReply { return c.HandleLease(now, request) })
}

func (p peerDelegate) Bundle() []byte { return p.server.shell.bundles.Encoded() }

func (p peerDelegate) OfferBundle(encoded []byte) {
	if p.server.offerBundle(encoded) && p.server.shell.shouldForward() {
		p.server.node.PushGossip()
	}
}

func (p peerDelegate) AdoptLedger(handover ledger.Handover) error {
	return withCore(p.server.shell, func(c *core.Core, now clock.Time) error { return c.Adopt(now, handover) })
}
