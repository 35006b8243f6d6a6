package entry

import (
	"context"

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
	return look(p.server.shell, func(c *core.Core, now clock.Time) news.News { return c.News(now) })
}

func (p peerCore) Hear(n news.News) { p.server.shell.apply(core.Heard{News: n}) }

func (p peerCore) Ask(t ticket.Ticket) ledger.Outcome {
	return look(p.server.shell, func(c *core.Core, now clock.Time) ledger.Outcome { return c.Told(now, t) })
}

func (p peerCore) Bundle() []byte { return p.server.shell.force.Encoded() }

func (p peerCore) Offer(encoded []byte) { p.server.offer(encoded) }

func (p peerCore) Adopt(h ledger.Handover) error {
	return look(p.server.shell, func(c *core.Core, now clock.Time) error { return c.Adopt(now, h) })
}
