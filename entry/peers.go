package entry

import (
	"context"
	"math/rand/v2"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// peerCore lets the peers' shell talk to the core.
type peerCore struct {
	server *Server
}

// tellPeers waits until the peers have this entry's news, or a short while.
func (s *Server) tellPeers() {
	ctx, cancel := context.WithTimeout(context.Background(), askLimit.Duration())
	defer cancel()
	s.node.Tell(ctx)
}

func (p peerCore) News() news.News {
	n := look(p.server.shell, func(c *core.Core, now clock.Time) news.News { return c.News(now) })
	n.Loads = someLoads(n.Loads)
	return n
}

// maxLoads bounds the summaries in one message. One takes 90 bytes, and an entry sends
// and gets about 8 messages a second.
const maxLoads = 8

// someLoads returns all of a few loads, or a random run of many. The start is random
// because not each call becomes a message.
func someLoads(loads []news.Load) []news.Load {
	if len(loads) <= maxLoads {
		return loads
	}
	start := rand.IntN(len(loads))
	return append(loads[start:], loads[:start]...)[:maxLoads]
}

func (p peerCore) Hear(n news.News) { p.server.shell.apply(core.Heard{News: n}) }

func (p peerCore) Ask(t ticket.Ticket) ledger.Outcome {
	return look(p.server.shell, func(c *core.Core, now clock.Time) ledger.Outcome { return c.Told(now, t) })
}

func (p peerCore) Bundle() []byte { return p.server.shell.force.Encoded() }

func (p peerCore) Offer(encoded []byte) {
	if p.server.offer(encoded) && p.server.shell.relays() {
		p.server.node.Push()
	}
}

func (p peerCore) Adopt(h ledger.Handover) error {
	return look(p.server.shell, func(c *core.Core, now clock.Time) error { return c.Adopt(now, h) })
}
