package gate

import (
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

// endedSend is a send of a request that did not bring a complete response.
type endedSend struct {
	id      sendID
	outcome pool.Outcome
	at      clock.Time
}

// logResend logs that a request is sent once more: after which send, how that one ended and how long ago. Together
// with the log of the instance that served the earlier send this shows whether two endpoints worked on it at a time.
func (a *attempt) logResend() {
	f := a.inflight
	if f.sends < 2 {
		return
	}
	f.server.log.Info("sent again", zap.String("request", f.meta.AttemptID), zap.String("id", string(a.id)), zap.Int("send", f.sends),
		zap.String("to", a.destinationName()), zap.Bool("repeatable", f.route.Repeatable()), zap.String("after", string(f.previous.id)),
		zap.String("outcome", string(f.previous.outcome)), zap.Int64("since", int64(a.started.Sub(f.previous.at))), f.passedBy())
}

// logEnd logs a send that did not bring a complete response.
func (a *attempt) logEnd(outcome pool.Outcome) {
	f := a.inflight
	now := f.server.clock.Now()
	f.previous = endedSend{a.id, outcome, now}
	message := "send failed"
	if outcome == pool.Cancelled {
		message = "send cancelled"
	}
	f.server.log.Info(message, zap.String("request", f.meta.AttemptID), zap.String("id", string(a.id)), zap.String("to", a.destinationName()),
		zap.String("outcome", string(outcome)), zap.Int("send", f.sends), zap.Int("port", a.connection.LocalPort), zap.Bool("reused", a.connection.Reused),
		zap.Bool("written", !a.unsent), zap.Int64("expected", int64(a.destination.delay)), zap.Int64("took", int64(now.Sub(a.started))), f.passedBy())
}

// passedBy is the send of another instance by which the request arrived, if any.
func (f *inflight) passedBy() zap.Field {
	if !f.hopped() {
		return zap.Skip()
	}
	return zap.String("of", string(f.hopSend))
}
