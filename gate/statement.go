package gate

import (
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
)

// leavingRetryAfter is when a caller is asked to retry if all endpoints leave: nothing tells when others
// take their place.
const leavingRetryAfter = clock.Second

// recordStatement records what an endpoint says about itself in a response. A response of another
// instance says nothing about an endpoint that this one knows, and one of a moved address comes from
// another endpoint.
func (a *attempt) recordStatement(response ResponseMeta) {
	if a.send == nil || response.Moved || response.Endpoint != "" && response.Endpoint != a.destination.local.Endpoint {
		return
	}
	a.inflight.server.state.recordStatement(a.send.Process(), response, a.started, zap.String("request", a.inflight.meta.AttemptID))
}

// recordStatement passes what a process says about itself to the pool and logs what is new. asked is when
// the request was sent that the response answers, and source names the response in the log.
func (s *state) recordStatement(from pool.Process, response ResponseMeta, asked clock.Time, source zap.Field) {
	statement := pool.Statement{
		Leaving: response.Leaving, Pause: roundedUp(response.Pause), Limit: response.Limit.statement(asked), Brittle: response.Brittle.statement(asked),
		Malformed: response.MalformedLeaving != "" || response.Limit.Malformed != "" || response.Brittle.Malformed != "",
	}
	var learned pool.Learned
	s.withPool(func(p *pool.Pool, now clock.Time) {
		learned = p.RecordStatement(now, from, statement)
		if response.HasLoad {
			p.SetReportedLoad(now, from.ID, response.Load)
		}
	})
	if learned == (pool.Learned{}) {
		return
	}
	log := s.log.With(zap.String("endpoint", string(from.ID)), zap.Int64("incarnation", from.Incarnation), source)
	if learned.Leaving {
		s.metrics.leavings.Inc(1)
		log.Info("endpoint says it leaves")
	}
	if learned.Paused {
		s.metrics.pauses.Inc(1)
		log.Info("endpoint asked for a pause", zap.Int64("pause", int64(statement.Pause)))
	}
	if learned.Limited {
		s.metrics.limits.Inc(1)
		log.Info("endpoint limits its requests", zap.Float64("rate", float64(statement.Limit.Rate)))
	}
	if learned.LimitEnded {
		log.Info("endpoint no longer limits its requests")
	}
	s.logBrittle(log, learned, statement.Brittle)
	if learned.Malformed {
		log.Warn("malformed statement of endpoint", zap.String("leaving", response.MalformedLeaving), zap.String("limit", response.Limit.Malformed),
			zap.String("brittle", response.Brittle.Malformed))
	}
}

// statement returns what the field of an answer says to a request that was sent at a time.
func (f RateField) statement(asked clock.Time) pool.RateStatement {
	if f.Malformed != "" {
		asked = 0
	}
	return pool.RateStatement{Named: f.Named, Rate: f.Rate, Asked: asked}
}

// logBrittle logs that an endpoint has become brittle or is no longer.
func (s *state) logBrittle(log *zap.Logger, learned pool.Learned, statement pool.RateStatement) {
	if learned.Brittle {
		s.metrics.brittle.Inc(1)
		log.Info("endpoint is brittle", zap.Float64("tolerance", float64(statement.Rate)))
	}
	if learned.BrittleEnded {
		log.Info("endpoint is no longer brittle")
	}
}

// roundedUp returns a span that is not shorter than the given one when it is counted from a time of the clock, which
// is rounded down. 0 stays 0.
func roundedUp(span clock.Span) clock.Span {
	if span == 0 {
		return 0
	}
	return span + clock.Millisecond
}

// maySend records the connection of the send, and reports whether the caller still waits, its key may still be used and
// the endpoint still takes requests.
func (a *attempt) maySend(connection relay.Connection) (ok bool) {
	a.connection = connection
	if a.inflight.callerLeft() || !a.inflight.mayUseKey() {
		return false
	}
	if a.send == nil {
		return true
	}
	a.inflight.server.state.withPool(func(p *pool.Pool, now clock.Time) { ok = p.MaySend(now, a.send) })
	return ok
}

// withdraw takes back a send that has not been written because its endpoint takes no more requests, its caller has left
// or its key may not be used any more. The next send is not charged to the retry budget again.
func (a *attempt) withdraw() result {
	a.recordEnd(pool.Cancelled)
	a.inflight.sends--
	a.inflight.charged = true
	return resultRetry
}
