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

// try is one send of a request.
type try struct {
	f      *flight
	place  place
	ticket *pool.Send
	began  clock.Time
	cancel context.CancelCauseFunc
	timer  *time.Timer
	over   bool
}

// errSilent ends a send whose endpoint stays silent for too long.
var errSilent = fault.New("send", Silent)

// arm bounds the wait for the first byte if another endpoint may be tried instead.
func (t *try) arm() {
	if !t.f.repeatable() || t.f.runs+1 >= t.f.attempts() {
		return
	}
	limit := max(t.f.route.Target, silentFactor*t.place.delay+silentBase)
	t.timer = time.AfterFunc(limit.Duration(), func() { t.cancel(errSilent) })
}

func (t *try) name() string {
	if t.place.hop != nil {
		return t.place.hop.address
	}
	return string(t.place.local.Endpoint)
}

// end records how the send ended; only the first call counts.
func (t *try) end(o pool.Outcome) {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.over {
		return
	}
	t.over = true
	f := t.f
	f.last = string(o)
	f.s.metrics.tried(string(o))
	if o == pool.Done {
		f.s.state.cleared(f.print)
	}
	if t.ticket != nil {
		f.s.state.locked(func(p *pool.Pool, now clock.Time) { p.End(now, t.ticket, o) })
	}
	if o != pool.Done && o != pool.Canceled {
		f.s.log.Info("send failed", zap.String("request", f.head.Attempt), zap.String("to", t.name()),
			zap.String("outcome", string(o)), zap.Int("send", f.sends),
			zap.Int64("expected", int64(t.place.delay)), zap.Int64("took", int64(f.s.clock.Now().Sub(t.began))))
	}
}

// first records the first byte of the answer.
func (t *try) first() {
	if t.timer != nil {
		t.timer.Stop()
	}
	if t.ticket != nil {
		t.f.s.state.locked(func(p *pool.Pool, now clock.Time) { p.First(now, t.ticket) })
	}
}

// avoidPlace keeps the next send from going to the same place.
func (t *try) avoidPlace() {
	if t.place.hop != nil {
		t.f.avoid = append(t.f.avoid, t.place.hop.address)
		return
	}
	t.f.ask.Avoid = append(t.f.ask.Avoid, t.place.local.Endpoint)
}

// broken handles a send that ended without a complete answer.
func (t *try) broken(ctx context.Context, err error) result {
	f := t.f
	unsent := fault.KindOf[relay.Kind](err) == relay.Unsent
	if !unsent {
		f.unsure = true
		f.runs++
	}
	t.avoidPlace()
	switch cause := context.Cause(ctx); {
	case f.request.Context().Err() != nil:
		t.end(pool.Canceled)
		f.done("left", 0)
		return ended
	case cause != nil && !errors.Is(cause, errSilent):
		t.end(pool.Late)
		f.timedOut()
		return ended
	case cause != nil:
		t.end(pool.Late)
	case unsent:
		t.end(pool.Unreachable)
		if t.place.hop != nil {
			f.s.state.hopDown(t.place.hop.address)
		}
		return again
	default:
		t.end(pool.Broken)
		if t.place.local != nil {
			f.s.state.lose(t.place.local.Endpoint, crash.Mark{Fingerprint: f.print, Regions: f.route.Homes})
		}
	}
	if f.repeatable() {
		return again
	}
	return failed
}
