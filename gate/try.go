package gate

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
)

// attempt is one send of a request.
type attempt struct {
	inflight    *inflight
	destination destination
	send        *pool.Send
	started     clock.Time
	cancel      context.CancelCauseFunc
	timer       *time.Timer
	ended       bool
}

// errFirstByteTimeout cancels a send whose endpoint did not respond in time.
var errFirstByteTimeout = fault.New("send", Silent)

// startFirstByteTimer limits the wait for the first byte if another endpoint may be tried instead.
func (t *attempt) startFirstByteTimer() {
	if !t.inflight.repeatable() || t.inflight.runs+1 >= t.inflight.maxRuns() {
		return
	}
	limit := max(t.inflight.route.Target, firstByteDelayFactor*t.destination.delay+firstByteBaseTimeout)
	t.timer = time.AfterFunc(limit.Duration(), func() { t.cancel(errFirstByteTimeout) })
}

func (t *attempt) destinationName() string {
	if t.destination.hop != nil {
		return t.destination.hop.address
	}
	return string(t.destination.local.Endpoint)
}

// recordEnd records the outcome of the send; only the first call has an effect.
func (t *attempt) recordEnd(outcome pool.Outcome) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.ended {
		return
	}
	t.ended = true
	inflight := t.inflight
	inflight.lastOutcome = string(outcome)
	inflight.server.metrics.recordSend(string(outcome))
	if outcome == pool.Done {
		inflight.server.state.recordCompleted(inflight.fingerprint)
	}
	if t.send != nil {
		inflight.server.state.withPool(func(p *pool.Pool, now clock.Time) { p.End(now, t.send, outcome) })
	}
	if outcome != pool.Done && outcome != pool.Canceled {
		inflight.server.log.Info("send failed", zap.String("request", inflight.head.Attempt), zap.String("to", t.destinationName()),
			zap.String("outcome", string(outcome)), zap.Int("send", inflight.sends),
			zap.Int64("expected", int64(t.destination.delay)), zap.Int64("took", int64(inflight.server.clock.Now().Sub(t.started))))
	}
}

// recordFirstByte records the first byte of the response.
func (t *attempt) recordFirstByte() {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.send != nil {
		t.inflight.server.state.withPool(func(p *pool.Pool, now clock.Time) { p.First(now, t.send) })
	}
}

// excludeDestination excludes the destination from further sends of the request.
func (t *attempt) excludeDestination() {
	if t.destination.hop != nil {
		t.inflight.excludedHops = append(t.inflight.excludedHops, t.destination.hop.address)
		return
	}
	t.inflight.ask.Avoid = append(t.inflight.ask.Avoid, t.destination.local.Endpoint)
}

// handleFailure handles a send that ended without a complete response.
func (t *attempt) handleFailure(ctx context.Context, err error) result {
	inflight := t.inflight
	unsent := fault.KindOf[relay.Kind](err) == relay.Unsent
	if !unsent {
		inflight.mayHaveRun = true
		inflight.runs++
	}
	t.excludeDestination()
	switch cause := context.Cause(ctx); {
	case inflight.request.Context().Err() != nil:
		t.recordEnd(pool.Canceled)
		inflight.finish("left", 0)
		return resultDone
	case cause != nil && !errors.Is(cause, errFirstByteTimeout):
		t.recordEnd(pool.Late)
		inflight.handleTimeout()
		return resultDone
	case cause != nil:
		t.recordEnd(pool.Late)
	case unsent:
		t.recordEnd(pool.Unreachable)
		if t.destination.hop != nil {
			inflight.server.state.markHopDown(t.destination.hop.address)
		}
		return resultRetry
	default:
		t.recordEnd(pool.Broken)
		if t.destination.local != nil {
			inflight.server.state.recordBroken(t.destination.local.Endpoint, crash.Mark{Fingerprint: inflight.fingerprint, Regions: inflight.route.Homes})
		}
	}
	if inflight.repeatable() {
		return resultRetry
	}
	return resultFailed
}
