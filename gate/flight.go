package gate

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
)

const (
	// onceIdle is how long an idle connection is reused for a request that may run only
	// once: an endpoint that closes it meanwhile leaves the outcome unknown.
	onceIdle = 1 * time.Second
	// repeatIdle is the same for a request that may be repeated.
	repeatIdle = 4 * time.Second
	// maxSends bounds the sends of one request that endpoints refuse without running it.
	maxSends = 6
	// waitStep is the pause before an endpoint is looked for again.
	waitStep = 15 * clock.Millisecond
	// waitShare is the part of a route's target for which a request waits for an endpoint.
	waitShare = 8
	// latePercent is the part of its target that an answer may be expected to take before the
	// request is refused: work that comes too late delays the work behind it.
	latePercent = 120
	// timeMargin is by how much an endpoint's time limit lies before the caller's.
	timeMargin = 10 * clock.Millisecond
	// minRetryAfter is the least time after which a caller is asked to come back.
	minRetryAfter = 150 * clock.Millisecond
	// maxAnswerBytes bounds an answer that is held until it is complete.
	maxAnswerBytes = 16 << 20
	// silentFactor and silentBase bound how long a request that may be repeated waits for
	// the first byte, by the expected time.
	silentFactor = 3
	silentBase   = 150 * clock.Millisecond
)

// flight is one request of a caller.
type flight struct {
	s       *Server
	writer  http.ResponseWriter
	request *http.Request
	table   *bundle.Table
	route   *bundle.Route
	head    Head
	ask     pool.Ask
	body    []byte
	// reserved is the memory booked for the body.
	reserved int64
	// print identifies the request when it is sent again.
	print  ident.Fingerprint
	header http.Header
	hopped bool

	arrived  clock.Time
	deadline clock.Time

	// sends counts what reached an endpoint or another instance, runs what may have run.
	sends int
	runs  int
	// unsure says that the request may have run.
	unsure bool
	avoid  []string
	// committed says that the head of the answer has gone to the caller.
	committed bool
	// first is the time from the arrival to the first event that went to the caller, pause the
	// longest time between two events, and written when the last one went.
	first     clock.Span
	pause     clock.Span
	written   clock.Time
	lastEvent string
	// held is an endpoint's failure that is passed on if no further send does better.
	held *heldAnswer
	// spot is where the last send went, for the log.
	spot string
	// missing is how much of the prompt the last endpoint was expected to read.
	missing ident.Tokens
	last    string
}

// result says what a send led to.
type result int

const (
	// ended: the caller has its answer, or has left.
	ended result = iota
	// again: the request may be sent once more.
	again
	// failed: nothing more can be done for a request that may have run.
	failed
)

// place is where a request goes next: an endpoint of this region or another instance.
type place struct {
	local  *pool.Choice
	hop    *hop
	delay  clock.Span
	wait   clock.Span
	cost   clock.Span
	reason string
}

// run finds endpoints for the request until it is answered or has to be given up.
func (f *flight) run(ctx context.Context) {
	for {
		if f.expired(ctx) {
			return
		}
		if f.s.state.mayCrash(f.print) {
			f.giveUp(place{reason: "request crashed endpoints", wait: suspectTerm})
			return
		}
		p, ok := f.find()
		if !ok {
			if f.mayWait() && clock.Sleep(ctx, waitStep) {
				continue
			}
			f.giveUp(p)
			return
		}
		if !f.paid() {
			p.reason = "no retry budget"
			f.giveUp(p)
			return
		}
		switch f.send(ctx, p) {
		case ended:
			return
		case failed:
			f.fail(http.StatusBadGateway, "endpoint failed")
			return
		case again:
			if f.sends >= maxSends {
				p.reason = "too many sends"
				f.giveUp(p)
				return
			}
		}
	}
}

// expired ends a request whose time is over or whose caller has left.
func (f *flight) expired(ctx context.Context) bool {
	if ctx.Err() == nil {
		return false
	}
	if f.request.Context().Err() != nil {
		f.done("left", 0)
		return true
	}
	f.timedOut()
	return true
}

func (f *flight) timedOut() {
	if f.unsure {
		f.fail(http.StatusGatewayTimeout, "no answer in time")
		return
	}
	f.refuse("no endpoint in time", minRetryAfter)
}

func (f *flight) left() clock.Span { return f.deadline.Sub(f.s.clock.Now()) }

func (f *flight) mayWait() bool {
	waited := f.s.clock.Now().Sub(f.arrived)
	return f.sends < maxSends && waited < f.route.Target/waitShare && f.left() > 4*waitStep
}

// find returns the place that is expected to serve the request best.
func (f *flight) find() (place, bool) {
	var best place
	var plan pool.Plan
	found := false
	f.s.state.locked(func(p *pool.Pool, now clock.Time) {
		plan = p.Plan(now, f.ask)
		if !f.route.Allows(f.s.settings.Region) {
			return
		}
		if c, ok := p.Choose(now, plan); ok {
			best, found = place{local: &c, delay: c.Delay, wait: c.Wait, cost: c.Cost}, true
		}
	})
	if !f.hopped {
		h, ok := f.s.state.bestHop(f.s.clock.Now(), f, plan)
		if ok && (!found || h.cost+hopMargin < best.cost) {
			best, found = place{hop: &h, delay: h.delay, wait: h.wait, cost: h.cost}, true
		}
	}
	if !found {
		best.reason = "no endpoint"
		return best, false
	}
	if best.wait > 0 && best.delay > f.route.Target*latePercent/100 {
		best.reason = "overload"
		return best, false
	}
	return best, true
}

// paid counts the arrival and tells whether the retry budget allows it. The first send of a
// request that was passed on has been counted by the instance that passed it on.
func (f *flight) paid() bool {
	if f.sends == 0 && f.hopped {
		return true
	}
	if f.sends == 0 {
		f.s.state.first(f.ask.Service)
		return true
	}
	return f.s.state.retry(f.ask.Service, f.s.node.Known())
}

// giveUp ends a request for which there is no place.
func (f *flight) giveUp(p place) {
	switch {
	case f.held != nil:
		f.deliverHeld()
	case f.unsure:
		f.fail(http.StatusBadGateway, p.reason)
	default:
		f.refuse(p.reason, max(minRetryAfter, p.wait))
	}
}

// repeatable reports whether the request may be sent again after it may have run.
func (f *flight) repeatable() bool {
	return f.route.Repeatable() && f.runs < f.attempts()
}

// attempts is how many endpoints may run the request from here. The instance that passed
// a request on counts its runs, so that it stays within the route's attempts.
func (f *flight) attempts() int {
	if f.hopped {
		return 1
	}
	return f.route.Attempts
}

// send sends the request to a place and passes the answer on.
func (f *flight) send(ctx context.Context, p place) result {
	now := f.s.clock.Now()
	t := &try{f: f, place: p, began: now}
	forward := Forward{Left: max(1, f.left()-timeMargin), LastEvent: f.lastEvent}
	var address string
	if p.hop != nil {
		address = p.hop.address
		f.s.state.hopped(now, p.hop.region, f.ask.Service)
	} else {
		address, f.missing = p.local.Address, p.local.Missing
		forward.Endpoint, forward.Priority, forward.Ranked = p.local.Endpoint, f.route.Priority, f.ask.Engine
		f.s.state.locked(func(o *pool.Pool, now clock.Time) { t.ticket = o.Begin(now, f.ask, *p.local) })
	}
	f.spot = t.name()
	f.sends++
	ctx, t.cancel = context.WithCancelCause(ctx)
	defer t.cancel(nil)
	t.arm()
	answer, err := f.s.state.relay(address).Do(ctx, f.message(t, forward), f.idle())
	if err != nil {
		return t.broken(ctx, err)
	}
	defer answer.Close()
	return t.answered(ctx, answer)
}

func (f *flight) idle() time.Duration {
	if f.route.Repeatable() {
		return repeatIdle
	}
	return onceIdle
}

// message returns the request as the endpoint gets it.
func (f *flight) message(t *try, forward Forward) *relay.Request {
	h := f.header.Clone()
	f.s.dialect.Forward(h, forward)
	if t.place.hop != nil {
		h[headerHop] = []string{"1"}
	}
	return &relay.Request{
		Method: f.request.Method, URI: f.request.RequestURI, Host: f.request.Host, Header: h, Body: f.body,
		Belongs: func(h http.Header) bool {
			got := f.s.dialect.Answer(http.StatusOK, h).Attempt
			return got == f.head.Attempt || got == ""
		},
	}
}

// done logs the end of a request.
func (f *flight) done(outcome string, status int) {
	total := f.s.clock.Now().Sub(f.arrived)
	f.s.metrics.ended(f.route.Name, outcome, int64(total))
	f.s.log.Info("request", zap.String("request", f.head.Attempt), zap.String("outcome", outcome), zap.Int("status", status),
		zap.String("route", f.route.Name), zap.String("to", f.spot), zap.String("last", f.last), zap.Int("sends", f.sends),
		zap.Bool("hopped", f.hopped), zap.Int("missing", int(f.missing)), zap.Int("prompt", int(f.head.Prompt)), zap.Uint64("version", uint64(f.table.Version)), zap.Int64("total", int64(total)),
		zap.Int64("first", int64(f.first)), zap.Int64("pause", int64(f.pause)), zap.Int64("left", int64(f.left())))
}
