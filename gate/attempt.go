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
	// id identifies the send in the log, and one to another instance there.
	id sendID
	// connection is the one over which it was sent.
	connection relay.Connection
	// unsent is set if no byte of it was written.
	unsent bool
	// firstOutput is when the first event of this send was forwarded, 0 before.
	firstOutput clock.Time
}

// errFirstByteTimeout cancels a send whose endpoint did not respond in time.
var errFirstByteTimeout = fault.New("send", KindFirstByteTimeout)

// errUnreached cancels an overdue send whose endpoint can't be connected to.
var errUnreached = fault.New("send", KindUnreached)

// isSilent reports whether a send was cancelled because its endpoint has not responded, and not for the caller.
func isSilent(cause error) bool {
	return errors.Is(cause, errFirstByteTimeout) || errors.Is(cause, errUnreached)
}

// mayGoOn reports whether the request can be sent to another endpoint after this send.
func (a *attempt) mayGoOn() bool {
	return a.inflight.repeatable() && a.inflight.runs+1 < a.inflight.maxRuns()
}

// begin records the beginning of a send to an endpoint.
func (a *attempt) begin(p *pool.Pool, now clock.Time) {
	a.send = p.BeginSend(now, a.inflight.placement, *a.destination.local)
	if a.mayGoOn() {
		a.send.OnUnreached(func() { a.cancel(errUnreached) })
	}
}

// startFirstByteTimer limits the wait for the first byte if the request can then be sent to another
// endpoint.
func (a *attempt) startFirstByteTimer() {
	if !a.mayGoOn() {
		return
	}
	limit := max(a.inflight.route.TargetLatency, firstByteDelayFactor*a.destination.delay+firstByteBaseTimeout)
	a.timer = time.AfterFunc(limit.Duration(), func() { a.cancel(errFirstByteTimeout) })
}

func (a *attempt) destinationName() string {
	if a.destination.hop != nil {
		return a.destination.hop.address
	}
	return string(a.destination.local.Endpoint)
}

// recordEnd records the outcome of the send; only the first call has an effect.
func (a *attempt) recordEnd(outcome pool.Outcome) {
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.ended {
		return
	}
	a.ended = true
	inflight := a.inflight
	inflight.lastOutcome = string(outcome)
	inflight.server.metrics.recordSend(string(outcome))
	if outcome == pool.Complete {
		a.recordCompleted()
	}
	if a.send != nil {
		inflight.server.state.withPool(func(p *pool.Pool, now clock.Time) { p.EndSend(now, a.send, outcome) })
	}
	if outcome != pool.Complete {
		a.logEnd(outcome)
	}
}

// recordCompleted records a complete response. One that ended with its connection is not known to be whole: the
// endpoint is checked, as it may have crashed.
func (a *attempt) recordCompleted() {
	state := a.inflight.server.state
	if a.inflight.offer.cost > 0 {
		a.inflight.server.fairness.recordCompleted(a.inflight.offer)
	}
	if !a.inflight.unframed {
		state.recordCompleted(a.inflight)
		return
	}
	if a.destination.local == nil {
		return
	}
	ended := a.brokenRequest()
	ended.unframed = true
	state.recordBroken(a.destination.local.Endpoint, ended)
	state.withPool(func(p *pool.Pool, _ clock.Time) { p.RequestCheck(a.destination.local.Endpoint) })
}

// recordFirstByte records the first byte of the response.
func (a *attempt) recordFirstByte() {
	if a.timer != nil {
		a.timer.Stop()
	}
	if a.send != nil {
		a.inflight.server.state.withPool(func(p *pool.Pool, now clock.Time) { p.RecordFirstByte(now, a.send) })
	}
}

// excludeDestination excludes the destination from further sends of the request.
func (a *attempt) excludeDestination() {
	if a.destination.hop != nil {
		a.inflight.excludedHops = append(a.inflight.excludedHops, a.destination.hop.address)
		return
	}
	placement := &a.inflight.placement
	placement.ExcludedEndpoints = append(placement.ExcludedEndpoints, a.destination.local.Endpoint)
	placement.ExcludedAddresses = append(placement.ExcludedAddresses, a.destination.local.Address)
}

// brokenRequest describes the request at the time when its connection to the endpoint broke.
func (a *attempt) brokenRequest() brokenRequest {
	inflight := a.inflight
	return brokenRequest{
		InFlightRequest: crash.InFlightRequest{
			Fingerprint: inflight.fingerprint, Regions: inflight.route.HomeRegions,
			Parts: inflight.parts, Starting: !a.hasStarted(inflight.server.clock.Now()),
		},
		attemptID: inflight.meta.AttemptID,
	}
}

// hasStarted reports whether the send has had output for longer than its start takes. The output of
// an earlier endpoint does not count: each generates anew for the prompt.
func (a *attempt) hasStarted(now clock.Time) bool {
	return a.firstOutput > 0 && now.Sub(a.firstOutput) > startTime
}

// handleFailure handles a send that ended without a complete response.
func (a *attempt) handleFailure(ctx context.Context, err error) result {
	inflight := a.inflight
	kind := fault.KindOf[relay.Kind](err)
	a.unsent = kind == relay.KindUnsent || kind == relay.KindWithheld
	if kind == relay.KindWithheld {
		return a.withdraw()
	}
	if !a.unsent {
		inflight.mayHaveRun = true
		inflight.runs++
	}
	a.excludeDestination()
	switch cause := context.Cause(ctx); {
	case inflight.request.Context().Err() != nil:
		a.recordEnd(pool.Cancelled)
		inflight.refundQuota()
		inflight.leave(0)
		return resultDone
	case cause != nil && !isSilent(cause):
		a.recordEnd(pool.TimedOut)
		inflight.handleTimeout()
		return resultDone
	case a.unsent:
		a.recordEnd(pool.Unreachable)
		if a.destination.hop != nil {
			inflight.server.state.markHopDown(a.destination.hop.address)
		}
		return resultRetry
	case cause != nil:
		a.recordEnd(pool.TimedOut)
	case relay.LacksMemory(err): // other responses hold it, so that the endpoint is not to blame
		inflight.server.log.Info("no memory for a response", zap.String("request", inflight.meta.AttemptID), zap.String("to", a.destinationName()), zap.Error(err))
		a.recordEnd(pool.Cancelled)
	case kind == relay.KindMalformed || kind == relay.KindTooLarge:
		// The endpoint runs and answers, so that no crash is suspected.
		inflight.server.log.Info("invalid response", zap.String("request", inflight.meta.AttemptID), zap.String("to", a.destinationName()), zap.Error(err))
		a.recordEnd(pool.Malformed)
	default:
		a.recordEnd(pool.Broken)
		if a.destination.local != nil {
			inflight.server.state.recordBroken(a.destination.local.Endpoint, a.brokenRequest())
		}
	}
	return a.repeatIfEnded()
}

// repeatIfEnded decides on a request that may have run: it may be sent again if it is repeatable and nothing works on it
// any more.
func (a *attempt) repeatIfEnded() result {
	f := a.inflight
	switch {
	case f.repeatable() && a.cancelHop():
		return resultRetry
	case f.request.Context().Err() != nil: // the caller has left meanwhile
		f.leave(0)
		return resultDone
	}
	return resultFailed
}
