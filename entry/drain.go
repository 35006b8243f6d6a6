package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/ledger"
)

// drainCheck is how often a drain looks whether requests are left.
const drainCheck = 50 * clock.Millisecond

// handoverLimit bounds the handover of the ledger to a peer.
const handoverLimit = 5 * clock.Second

// Drain shuts the entry down gracefully: locate stops naming it, it takes late
// arrivals for a few seconds, finishes what is in progress, hands its ledger to
// a peer and ends. If ctx ends first, what is left is cut off and an *Error of
// kind Interrupted says how much that was.
func (s *Server) Drain(ctx context.Context) error {
	s.log.Info("draining", zap.Int("requests", s.shell.inProgress()))
	s.shell.apply(core.Draining{Linger: s.settings.Drain.Linger})
	s.node.Drain()
	if limit := s.settings.Drain.Limit; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit.Duration())
		defer cancel()
	}
	if s.awaitEmpty(ctx) {
		s.handOver()
	}
	err := s.Close()
	s.log.Info("left", zap.Error(err))
	return err
}

// awaitEmpty waits until the linger time has passed and no request is in progress.
func (s *Server) awaitEmpty(ctx context.Context) bool {
	ticker := time.NewTicker(drainCheck.Duration())
	defer ticker.Stop()
	end := s.clock.Now().Add(s.settings.Drain.Linger)
	for s.clock.Now().Before(end) || s.shell.inProgress() > 0 || s.metrics.open() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// handOver gives the ledger to a peer, so that the outcomes of its tickets stay known.
func (s *Server) handOver() {
	h := look(s.shell, func(c *core.Core, now clock.Time) ledger.Handover { return c.Seal(now) })
	ctx, cancel := context.WithTimeout(context.Background(), handoverLimit.Duration())
	defer cancel()
	if err := s.node.Leave(ctx, h); err != nil {
		s.log.Warn("no peer took the ledger; outcomes of this entry's tickets stay unknown", zap.Error(err))
	}
}
