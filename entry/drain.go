package entry

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/ledger"
)

// drainCheckInterval is how often a drain checks for requests in progress.
const drainCheckInterval = 50 * clock.Millisecond

// handoverTimeout bounds the handover of the ledger to a peer.
const handoverTimeout = 5 * clock.Second

// Drain shuts the entry down gracefully: locate stops returning it, it accepts late
// requests for the linger time, completes the requests in progress, hands its ledger over
// to a peer and closes. If ctx or the drain limit ends first, the remaining requests are
// cut off and the result is an *Error of kind KindInterrupted with their number.
func (s *Server) Drain(ctx context.Context) error {
	s.log.Info("draining", zap.Int("requests", s.shell.inProgress()))
	s.shell.apply(core.DrainStarted{AcceptFor: s.settings.Drain.Linger})
	s.node.Drain()
	if limit := s.settings.Drain.Limit; limit > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, limit.Duration())
		defer cancel()
	}
	if s.awaitIdle(ctx) {
		s.handOverLedger()
	}
	err := s.Close()
	s.log.Info("drain finished", zap.Error(err))
	return err
}

// awaitIdle waits until the linger time has passed and no request is in progress. It
// returns false if ctx ends first.
func (s *Server) awaitIdle(ctx context.Context) bool {
	ticker := time.NewTicker(drainCheckInterval.Duration())
	defer ticker.Stop()
	end := s.clock.Now().Add(s.settings.Drain.Linger)
	for s.clock.Now().Before(end) || s.shell.inProgress() > 0 || s.metrics.openRequests() > 0 {
		select {
		case <-ctx.Done():
			return false
		case <-ticker.C:
		}
	}
	return true
}

// handOverLedger transfers the ledger to a peer, which then answers for this entry's tickets.
func (s *Server) handOverLedger() {
	handover := withCore(s.shell, func(c *core.Core, now clock.Time) ledger.Handover { return c.Seal(now) })
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout.Duration())
	defer cancel()
	if err := s.node.Leave(ctx, handover); err != nil {
		s.log.Warn("ledger handover failed; outcomes of this entry's tickets are unknown", zap.Error(err))
	}
}
