package gate

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fair"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
)

const (
	// onceConnIdle is the longest idle time of a connection that is reused for a request that must
	// not be repeated: if the endpoint closes it concurrently, the outcome is unknown.
	onceConnIdle = 1 * time.Second
	// repeatableConnIdle is the same for repeatable requests.
	repeatableConnIdle = 4 * time.Second
	// maxSends bounds the sends of one request, including those that endpoints refuse without running
	// it.
	maxSends = 6
	// chooseInterval is the wait between two attempts to find an endpoint.
	chooseInterval = 15 * clock.Millisecond
	// targetWaitDivisor limits the wait for an endpoint to 1/targetWaitDivisor of the route's
	// target.
	targetWaitDivisor = 8
	// maxDelayPercent is the expected delay, in percent of the target, above which a request is
	// refused: late work delays the requests behind it.
	maxDelayPercent = 120
	// resumeDelayDivisor limits the expected delay of a stream that a caller resumes to 1/resumeDelayDivisor of
	// the time that is left: the rest of the stream takes time too.
	resumeDelayDivisor = 2
	// deadlineMargin is the difference between the caller's deadline and the one given to the
	// endpoint.
	deadlineMargin = 10 * clock.Millisecond
	// minTimeToSend is the time that must be left for a request to wait for an endpoint.
	minTimeToSend = 4 * chooseInterval
	// minRetryAfter is the minimum time after which a caller is asked to retry.
	minRetryAfter = 150 * clock.Millisecond
	// maxResponseBytes bounds a response that is buffered completely.
	maxResponseBytes = 16 << 20
	// firstByteDelayFactor times the expected delay plus firstByteBaseTimeout, but at least the
	// route's target, is how long a repeatable request waits for the first byte.
	firstByteDelayFactor = 3
	firstByteBaseTimeout = 150 * clock.Millisecond
)

// inflight is one request of a caller in progress.
type inflight struct {
	server    *Server
	writer    http.ResponseWriter
	request   *http.Request
	table     *bundle.Table
	route     *bundle.Route
	meta      RequestMeta
	placement pool.Request
	// customer is on whose behalf the request is, nil if there is none. route is then as it applies to the customer.
	customer *bundle.Customer
	body     []byte
	// quota is what is charged to the customer's limit.
	quota quotaCharge
	// fingerprint identifies repeated sends of the same request.
	fingerprint ident.Fingerprint
	header      http.Header
	// hopSend is the send by which another instance has passed the request on, or empty.
	hopSend sendID
	// parts lists the prompt parts that other requests may share, in order.
	parts []ident.Part
	// trial is set if the request runs although a part of it is refused.
	trial bool
	// refusedPart is the prompt part because of which the request is refused.
	refusedPart ident.Part

	// offer is the request as fairness counts it, and unfair the decision of fairness that refuses it.
	offer  offer
	unfair *fair.Verdict
	// waited reports whether fairness knows that the request waits, foundFull whether an endpoint has refused it, and
	// lacksCapacity whether it last found no destination because the endpoints are at capacity.
	waited        bool
	foundFull     bool
	lacksCapacity bool

	arrived  clock.Time
	deadline clock.Time
	// elapsed is how long the caller had waited for an answer to the same request before this attempt.
	elapsed clock.Span

	// sends counts the sends to endpoints and other instances, runs those that may have run the
	// request.
	sends int
	runs  int
	// previous is the last send that has ended without a complete response.
	previous endedSend
	// charged reports whether the next send has been charged to the retry budget already.
	charged bool
	// mayHaveRun reports whether the request may have run.
	mayHaveRun   bool
	excludedHops []string
	// headerSent reports whether the response header has been sent to the caller.
	headerSent bool
	// streamForm is the form of the stream whose header has been sent.
	streamForm streamForm
	// firstEventDelay is the time from arrival to the first event sent to the caller, longestPause
	// the longest time between two events, and lastWrite the time of the last event.
	firstEventDelay clock.Span
	longestPause    clock.Span
	lastWrite       clock.Time
	lastEventID     string
	// generated is set if an endpoint has generated a successful response, or the events of one.
	generated bool
	// unframed is set if the last response ends with the endpoint's connection, which may be due to a crash.
	unframed bool
	// buffered is an endpoint's error response, which is delivered if no further send succeeds.
	buffered *bufferedResponse
	// lastDestination is the destination of the last send, for the log.
	lastDestination string
	// uncachedTokens is the part of the prompt that the last endpoint was expected to prefill.
	uncachedTokens ident.Tokens
	lastOutcome    string
}

// result is what to do after a send.
type result int

const (
	// resultDone: the caller has been answered or has disconnected.
	resultDone result = iota
	// resultRetry: the request may be sent again.
	resultRetry
	// resultFailed: the request may have run and cannot be repeated.
	resultFailed
)

// destination is where a request is sent next: an endpoint of this region or another instance.
type destination struct {
	local  *pool.Choice
	hop    *hop
	delay  clock.Span
	wait   clock.Span
	cost   clock.Span
	reason string
	// blocked reports whether waiting for another destination is useless, and limited whether that is
	// because of what the endpoints say they bear, so that callers come back in turns.
	blocked bool
	limited bool
	// full reports whether there is no destination because the endpoints are at capacity. A short time limit of the
	// caller does not show that.
	full bool
}

// hopped reports whether another instance has passed the request on.
func (f *inflight) hopped() bool { return f.hopSend != "" }

// run sends the request until it is answered or has to be given up.
func (f *inflight) run(ctx context.Context) {
	for {
		if f.expired(ctx) {
			return
		}
		if hindrance, found := f.hindrance(); found {
			f.giveUp(hindrance)
			return
		}
		target, ok := f.chooseDestination()
		f.recordSearch(target, ok)
		if !ok {
			if !target.blocked && f.mayWait() && clock.Sleep(ctx, chooseInterval) {
				continue
			}
			f.giveUp(target)
			return
		}
		if !f.withinRetryBudget() {
			target.reason = "no retry budget"
			f.giveUp(target)
			return
		}
		switch f.send(ctx, target) {
		case resultDone:
			return
		case resultFailed:
			f.fail(http.StatusBadGateway, "endpoint failed")
			return
		case resultRetry:
			if f.sends >= maxSends {
				target.reason, target.full = "too many sends", f.foundFull
				f.giveUp(target)
				return
			}
		}
	}
}

// hindrance returns why the request must not be sent now, wherever to, if there is a reason.
func (f *inflight) hindrance() (reason destination, found bool) {
	if !f.keepsIdentity() {
		f.server.metrics.recordRejection(rejectUnproven)
		return destination{reason: string(rejectUnproven), wait: leaseRetryAfter}, true
	}
	if reason := f.crashReason(); reason != "" {
		return destination{reason: reason, wait: suspectTerm}, true
	}
	if !f.headerSent && f.server.leavesTooSoon(f) {
		return destination{reason: "leaving", wait: unreadyRetryAfter}, true
	}
	return destination{}, false
}

// expired ends a request whose deadline has passed or whose caller has disconnected, and reports
// whether it did.
func (f *inflight) expired(ctx context.Context) bool {
	if f.callerLeft() {
		f.refundQuota()
		f.leave(0)
		return true
	}
	if ctx.Err() == nil {
		return false
	}
	f.handleTimeout()
	return true
}

// callerLeft reports whether the caller has disconnected.
func (f *inflight) callerLeft() bool {
	if f.request.Context().Err() != nil {
		return true
	}
	conn := connOf(f.request.Context())
	return conn != nil && conn.remoteClosed()
}

func (f *inflight) handleTimeout() {
	f.refundQuota()
	if f.mayHaveRun {
		f.fail(http.StatusGatewayTimeout, "no answer in time")
		return
	}
	if f.lacksCapacity {
		f.recordUnserved()
	}
	f.refuse("no endpoint in time", minRetryAfter)
}

func (f *inflight) remaining() clock.Span { return f.deadline.Sub(f.server.clock.Now()) }

func (f *inflight) mayWait() bool {
	waited := f.server.clock.Now().Sub(f.arrived)
	return f.sends < maxSends && waited < f.maxWait() && f.remaining() > minTimeToSend
}

// maxWait returns how long the request waits for an endpoint. One that resumes a stream waits longer, for the reason
// given at maxDelay.
func (f *inflight) maxWait() clock.Span {
	if f.isResumption() {
		return f.route.TargetLatency
	}
	return f.route.TargetLatency / targetWaitDivisor
}

// chooseDestination returns the destination with the lowest expected cost. If it returns false,
// the destination carries the reason.
func (f *inflight) chooseDestination() (destination, bool) {
	var best destination
	var plan pool.Plan
	var elsewhere *pool.Choice
	found := false
	f.server.state.withPool(func(p *pool.Pool, now clock.Time) {
		plan = p.Plan(now, f.placement)
		if !f.route.Allows(f.server.settings.Region) {
			return
		}
		if choice, ok := p.Choose(now, plan); ok {
			best, found = destination{local: &choice, delay: choice.Delay, wait: choice.Wait, cost: choice.Cost}, true
		}
		if choice, ok := p.ChooseUnreached(now, plan); ok {
			elsewhere = &choice
		}
	})
	if !f.hopped() && !f.trial {
		if candidate, ok := f.neighbourHop(elsewhere); ok && (!found || candidate.cost < best.cost) {
			best, found = destination{hop: &candidate, delay: candidate.delay, wait: candidate.wait, cost: candidate.cost}, true
		}
		candidate, ok := f.server.state.bestHop(f.server.clock.Now(), f, plan)
		if ok && (!found || candidate.cost+minHopGain < best.cost) {
			best, found = destination{hop: &candidate, delay: candidate.delay, wait: candidate.wait, cost: candidate.cost}, true
		}
	}
	if !found {
		return f.noDestination(plan), false
	}
	return f.checkDelay(best)
}

// checkDelay returns the best destination, or false if the request can't be served there in time.
func (f *inflight) checkDelay(best destination) (destination, bool) {
	late, overloaded := f.tooLate(best), f.refusesForOverload(best)
	if late || overloaded {
		best.reason, best.full, best.blocked = "overload", overloaded && f.isQueued(best), late
		return best, false
	}
	return best, true
}

// maxDelay returns the expected delay above which the request is refused. A caller that resumes a stream has a
// part of the answer already, which is lost without the rest: only its own time counts.
func (f *inflight) maxDelay() clock.Span {
	limit := f.route.TargetLatency * maxDelayPercent / 100
	if f.isResumption() {
		return max(limit, f.remaining()/resumeDelayDivisor)
	}
	return limit
}

// noDestination returns why there is no destination for the request.
func (f *inflight) noDestination(plan pool.Plan) destination {
	var block pool.Block
	var after clock.Span
	saturated := false
	if f.route.Allows(f.server.settings.Region) {
		f.server.state.withPool(func(p *pool.Pool, now clock.Time) {
			block, after = p.Blocked(now, plan.Request)
			saturated = p.Saturated(now, plan.Request)
		})
	}
	switch block {
	case pool.BlockLeaving:
		return destination{reason: string(block), wait: leavingRetryAfter, blocked: true}
	case pool.BlockPaused, pool.BlockLimited, pool.BlockBrittle:
		limit := f.maxWait()
		if f.table.HasCustomers() {
			limit = f.waitLeft()
		}
		return destination{
			reason: string(block), wait: after, blocked: after > limit, limited: block != pool.BlockPaused,
			full: block != pool.BlockPaused && f.mayWaitFully(),
		}
	}
	if f.unreached() {
		return destination{reason: "no link to endpoints", wait: unreachedRetryAfter, blocked: true}
	}
	if f.lacksBuild() {
		return destination{reason: "no endpoint of the stream's version", wait: unknownRetryAfter, blocked: true}
	}
	return destination{reason: "no endpoint", full: (saturated || f.foundFull) && f.mayWaitFully()}
}

// withinRetryBudget records the send and reports whether the retry budget allows it. The first
// send of a request from another instance has been counted there.
func (f *inflight) withinRetryBudget() bool {
	if f.charged {
		f.charged = false
		return true
	}
	if f.sends == 0 && f.hopped() {
		return true
	}
	if f.sends == 0 {
		f.server.state.recordFirstArrival(f.placement.Service)
		return true
	}
	return f.server.state.takeRetry(f.placement.Service, f.server.node.KnownCount())
}

// giveUp ends a request for which there is no destination.
func (f *inflight) giveUp(target destination) {
	f.refundQuota()
	if target.full && f.buffered == nil && !f.mayHaveRun {
		f.recordUnserved()
	}
	switch {
	case f.buffered != nil:
		f.deliverBuffered()
	case f.mayHaveRun:
		f.fail(http.StatusBadGateway, target.reason)
	case target.limited:
		var after clock.Span
		f.server.state.withPool(func(p *pool.Pool, now clock.Time) { after = p.ReserveReturn(now, f.placement) })
		f.refuse(target.reason, max(minRetryAfter, after))
	default:
		f.refuse(target.reason, max(minRetryAfter, target.wait))
	}
}

// repeatable reports whether the request may be sent again although it may have run.
func (f *inflight) repeatable() bool {
	if f.headerSent && f.placement.Build == "" {
		return false // another version could go on with the stream
	}
	return f.route.Repeatable() && f.runs < f.maxRuns()
}

// maxRuns returns how many endpoints may run the request from this instance. The instance that
// passed a request on counts its runs, so that the route's limit holds for both together.
func (f *inflight) maxRuns() int {
	if f.hopped() || f.trial {
		return 1
	}
	return f.route.MaxAttempts
}

// send sends the request to a destination and forwards the response.
func (f *inflight) send(ctx context.Context, target destination) result {
	now := f.server.clock.Now()
	current := &attempt{inflight: f, destination: target, started: now, id: f.server.newSendID()}
	ctx, current.cancel = context.WithCancelCause(ctx)
	defer current.cancel(nil)
	forward := ForwardMeta{Timeout: max(1, f.remaining()-deadlineMargin), LastEventID: f.lastEventID, Customer: f.customerName()}
	var address string
	if target.hop != nil {
		address = target.hop.address
		if target.hop.region != f.server.settings.Region {
			f.server.state.recordHop(now, target.hop.region, f.placement.Service)
		}
	} else {
		address, f.uncachedTokens = target.local.Address, target.local.UncachedTokens
		forward.Endpoint, forward.Priority, forward.HasPriority = target.local.Endpoint, f.route.Priority, f.placement.Engine
		f.server.state.withPool(current.begin)
	}
	f.chargeSend()
	f.lastDestination = current.destinationName()
	f.sends++
	current.logResend()
	defer current.recordEnd(pool.Cancelled) // has no effect unless the send was left by a panic
	current.startFirstByteTimer()
	response, err := f.server.state.relay(address).Do(ctx, f.endpointRequest(current, forward), f.maxConnIdle())
	if err != nil {
		return current.handleFailure(ctx, err)
	}
	defer response.Close()
	return current.handleResponse(ctx, response)
}

func (f *inflight) maxConnIdle() time.Duration {
	if f.route.Repeatable() {
		return repeatableConnIdle
	}
	return onceConnIdle
}

// endpointRequest returns the request in the form that is sent to the destination.
func (f *inflight) endpointRequest(current *attempt, forward ForwardMeta) *relay.Request {
	header := f.header.Clone()
	f.server.protocol.SetForwardHeader(header, forward)
	if current.destination.hop != nil {
		header[headerHop] = []string{string(current.id)}
		if f.customer != nil {
			header[headerCustomer] = []string{string(f.customer.Name)}
		}
		if f.placement.Build != "" {
			header[headerBuild], header[headerService] = []string{string(f.placement.Build)}, []string{string(f.placement.Service)}
		}
	}
	return &relay.Request{
		Method: f.request.Method, URI: f.request.RequestURI, Host: f.request.Host, Header: header, Body: f.body,
		Match: f.matchResponse, Proceed: current.maySend,
	}
}

// matchResponse tells whether a response with this header answers the request. Endpoints and
// instances repeat the caller's attempt id.
func (f *inflight) matchResponse(header http.Header) relay.Match {
	switch f.server.protocol.ResponseMeta(http.StatusOK, header).AttemptID {
	case f.meta.AttemptID:
		return relay.MatchOwn
	case "":
		return relay.MatchUnknown
	}
	return relay.MatchOther
}

// finish records the end of a request in the log and the metrics.
func (f *inflight) finish(outcome string, status int) {
	total := f.server.clock.Now().Sub(f.arrived)
	f.server.metrics.recordRequest(f.route.Name, outcome, int64(total))
	closed, part := zap.Skip(), zap.Skip()
	if outcome == "left" {
		closed = zap.String("closed", closedBy(f.request.Context()))
	}
	if f.refusedPart != 0 {
		part = zap.String("part", partName(f.refusedPart))
	}
	f.server.log.Info("request", zap.String("request", f.meta.AttemptID), zap.String("outcome", outcome), zap.Int("status", status),
		zap.String("route", f.route.Name), zap.String("to", f.lastDestination), zap.String("last", f.lastOutcome), zap.Int("sends", f.sends),
		zap.Bool("hopped", f.hopped()), zap.Int("missing", int(f.uncachedTokens)),
		zap.Int("prompt", int(f.meta.PromptTokens)), zap.Uint64("version", uint64(f.table.Version)), zap.Int64("total", int64(total)),
		zap.Int64("first", int64(f.firstEventDelay)), zap.Int64("pause", int64(f.longestPause)), zap.Int64("left", int64(f.remaining())),
		zap.String("build", string(f.placement.Build)), closed, part, f.customerField(), f.passedBy(), f.fairField())
}
