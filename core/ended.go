package core

import (
	"strconv"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/burn"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
)

const (
	// maxResumptions is how often an attempt may be resumed at its engine.
	maxResumptions = 2
	// maxRefusals is how many endpoints may decline a request before it is refused.
	maxRefusals = 6
)

func (c *Core) handleAnswerStarted(now clock.Time, event AnswerStarted) {
	request := c.requests.get(event.Request)
	if request == nil || request.findAttempt(event.Attempt) == nil {
		c.emit(Cancel(event))
		return
	}
	c.fleet.RecordFirstToken(now, event.Request, event.Attempt)
	if request.answerStartedAt == 0 {
		request.answerStartedAt = now
	}
	// Cancel must precede Forward: from then on the shell copies the winner's stream and would
	// carry out a later Cancel only after its end.
	c.cancelOthers(now, request, event.Attempt)
	c.emit(Forward(event))
}

func (c *Core) cancelOthers(now clock.Time, request *activeRequest, keep ident.Attempt) {
	for _, a := range append([]*activeAttempt(nil), request.attempts...) {
		if a.number != keep {
			c.cancel(now, request, a)
		}
	}
}

func (c *Core) cancel(now clock.Time, request *activeRequest, attempt *activeAttempt) {
	request.mayHaveRun = true
	request.removeAttempt(attempt.number)
	c.fleet.End(now, request.Request, attempt.number, fleet.Cancelled, request.tokensSent)
	c.suspects.Release(now, request.Fingerprint)
	c.emit(Cancel{Request: request.Request, Attempt: attempt.number})
}

func (c *Core) handleAttemptEnded(now clock.Time, event AttemptEnded) {
	request := c.requests.get(event.Request)
	if request == nil {
		return
	}
	attempt := request.findAttempt(event.Attempt)
	if attempt == nil {
		return
	}
	if event.Leaving {
		c.markDeparted(now, attempt.endpoint)
	}
	request.tokensSent = max(request.tokensSent, event.Tokens)
	c.spendLink(now, attempt.region, event.AnswerSize)
	switch {
	case event.Outcome == fleet.Complete:
		c.handleComplete(now, request, attempt, event)
	case event.Outcome == fleet.Broken:
		c.handleBroken(now, request, attempt)
	case attempt.resumes > 0:
		c.handleResumeFailed(now, request, attempt, event)
	default:
		c.handleNotRun(now, request, attempt, event)
	}
	c.dispatchWaiting(now, request.Service)
}

func (c *Core) handleComplete(now clock.Time, request *activeRequest, attempt *activeAttempt, event AttemptEnded) {
	if request.answerStartedAt == 0 {
		request.answerStartedAt = now
	}
	c.fleet.End(now, request.Request, attempt.number, fleet.Complete, event.Tokens)
	request.removeAttempt(attempt.number)
	c.cancelOthers(now, request, attempt.number)
	c.suspects.RecordCompletion(now, request.Fingerprint)
	c.estimates.observe(request.Service, event.TokenInterval, request.answerStartedAt.Sub(attempt.startedAt), now.Sub(attempt.startedAt))
	if request.nonIdempotent {
		c.recordOutcome(now, request, ledger.Outcome{State: ledger.Done, Answer: event.Answer})
	}
	c.recordSample(now, request, event.TokenInterval, true, caller.RanYes)
	c.counts.Completed++
	c.endRequest(now, request)
	if !request.isEngine {
		c.emit(Deliver{Request: request.Request, Answer: event.Answer})
	}
}

// handleNotRun handles an attempt that the endpoint did not run.
func (c *Core) handleNotRun(now clock.Time, request *activeRequest, attempt *activeAttempt, event AttemptEnded) {
	c.fleet.End(now, request.Request, attempt.number, event.Outcome, 0)
	c.suspects.Release(now, request.Fingerprint)
	request.removeAttempt(attempt.number)
	if len(request.attempts) > 0 {
		return
	}
	request.tried = append(request.tried, attempt.endpoint)
	request.refusals++
	if request.refusals >= maxRefusals || request.callerDisconnected {
		c.refuseNotRun(now, request, newRefusal(caller.ReasonOverload, "no endpoint took the request", defaultRetryAfter))
		return
	}
	c.push(now, request)
}

// handleBroken handles an attempt whose connection broke after the request was sent.
func (c *Core) handleBroken(now clock.Time, request *activeRequest, attempt *activeAttempt) {
	if request.nonIdempotent {
		c.handleBrokenNonIdempotent(now, request, attempt)
		return
	}
	if request.isEngine && !request.callerDisconnected && attempt.resumes < maxResumptions {
		attempt.resumes++
		c.counts.Resumed++
		c.emit(c.dispatchOf(request, attempt, ModeResume))
		return
	}
	c.retryElsewhere(now, request, attempt)
}

// handleResumeFailed handles a stream that could not be resumed at its engine.
func (c *Core) handleResumeFailed(now clock.Time, request *activeRequest, attempt *activeAttempt, event AttemptEnded) {
	if event.Crashed {
		c.handleCrash(now, attempt.endpoint)
	}
	c.retryElsewhere(now, request, attempt)
}

// handleCrash removes a crashed endpoint from routing and shares the suspicion equally
// among the requests that ran there.
func (c *Core) handleCrash(now clock.Time, id ident.Endpoint) {
	attempts := c.fleet.RecordCrash(now, id)
	if len(attempts) == 0 {
		return
	}
	c.counts.Crashes++
	var inFlight []crash.InFlightRequest
	for _, a := range attempts {
		request := c.requests.get(a.Request)
		if request == nil {
			continue
		}
		inFlight = append(inFlight, crash.InFlightRequest{Fingerprint: request.Fingerprint, Exclusive: a.Exclusive, Regions: c.visibleRegions(request), Crash: c.crashID(id, a)})
	}
	if len(c.suspects.RecordEndpointCrash(now, inFlight)) > 0 {
		c.emit(PushGossip{})
	}
}

// crashID identifies the crash of an endpoint that runs an attempt. An attempt that runs alone began after
// an earlier crash was known, so that no other entry can have seen this one.
func (c *Core) crashID(id ident.Endpoint, attempt fleet.Attempt) ident.Crash {
	if attempt.Exclusive {
		return crash.ID(id, string(c.entry), string(attempt.Request), strconv.Itoa(int(attempt.Number)))
	}
	return crash.ID(id)
}

// visibleRegions returns the regions to which a home-bound request may be reported, nil
// for other requests.
func (c *Core) visibleRegions(request *activeRequest) []ident.Region {
	if request.Home == "" {
		return nil
	}
	resolved, refusal := c.lookUpCall(c.bundles.Current(), request.Head)
	if refusal != nil {
		return []ident.Region{c.region}
	}
	return resolved.allowedRegions
}

// retryElsewhere retries a request at another endpoint after an attempt has finally
// failed, or ends the request if it cannot be retried. The attempt is cancelled first, since an
// engine keeps a stream running after its connection has ended.
func (c *Core) retryElsewhere(now clock.Time, request *activeRequest, attempt *activeAttempt) {
	c.emit(Cancel{Request: request.Request, Attempt: attempt.number})
	request.mayHaveRun = true
	c.fleet.End(now, request.Request, attempt.number, fleet.Broken, request.tokensSent)
	c.suspects.Release(now, request.Fingerprint)
	request.removeAttempt(attempt.number)
	if len(request.attempts) > 0 {
		return
	}
	if request.callerDisconnected {
		c.dropDisconnected(now, request)
		return
	}
	request.tried = append(request.tried, attempt.endpoint)
	attempts := c.bundles.Current().Retry.MaxAttempts
	request.breaks++
	if request.breaks >= int(attempts) {
		c.fail(now, request, "the answer broke off and no try is left")
		return
	}
	if request.tokensSent > 0 && !c.canContinue(request) {
		c.fail(now, request, "the answer broke off and this service can't continue it")
		return
	}
	request.mode = ModeFresh
	if request.tokensSent > 0 {
		request.mode = ModeContinue
	}
	request.needsRetryBudget = true
	request.deadline = now.Add(request.class.Deadline)
	c.push(now, request)
}

func (c *Core) canContinue(request *activeRequest) bool {
	service, ok := c.bundles.Current().Service(request.Service)
	return ok && service.Kind == bundle.Engine && service.Continue
}

// fail ends an idempotent request whose answer was interrupted.
func (c *Core) fail(now clock.Time, request *activeRequest, text string) {
	c.counts.Failed++
	c.recordSample(now, request, 0, false, caller.RanYes)
	c.endRequest(now, request)
	c.emit(Refuse{Request: request.Request, Refusal: Refusal{
		Reason: caller.ReasonEndpoint, Ran: caller.RanYes, Text: text, RetryAfter: defaultRetryAfter,
		NotifyPeers: c.suspects.Verdict(now, request.Fingerprint) != crash.VerdictClear,
	}})
}

// refuse refuses a request that is not in the table.
func (c *Core) refuse(_ clock.Time, id ident.Request, refusal *Refusal) {
	c.counts.Refused++
	c.emit(Refuse{Request: id, Refusal: *refusal})
}

// refuseNotRun ends a request that no endpoint has run. If an earlier attempt may have
// run, the request ends as unknown or failed instead, or the refusal says so.
func (c *Core) refuseNotRun(now clock.Time, request *activeRequest, refusal *Refusal) {
	if request.outcomeUnknown {
		c.endUnknown(now, request)
		return
	}
	if request.tokensSent > 0 || request.answerStartedAt > 0 {
		c.fail(now, request, refusal.Text)
		return
	}
	if request.nonIdempotent {
		refusal = c.voidTicket(now, request, refusal)
	}
	if request.mayHaveRun {
		refusal.Ran = caller.RanYes
	}
	c.recordSample(now, request, 0, false, refusal.Ran)
	c.endRequest(now, request)
	c.refuse(now, request.Request, refusal)
}

// refuseWaiting refuses a request that was removed from the queue without being dispatched.
func (c *Core) refuseWaiting(now clock.Time, id ident.Request, text string) {
	if request := c.requests.get(id); request != nil {
		c.refuseNotRun(now, request, newRefusal(caller.ReasonOverload, text, defaultRetryAfter))
	}
}

// handleCallerDisconnected handles a caller that closed its connection. A non-idempotent call that
// is running continues, so that its outcome is known when the caller retries.
func (c *Core) handleCallerDisconnected(now clock.Time, id ident.Request) {
	request := c.requests.get(id)
	if request == nil {
		return
	}
	if request.nonIdempotent && (len(request.attempts) > 0 || len(request.joinedRequests) > 0 || request.outcomeUnknown) {
		request.callerDisconnected = true
		return
	}
	c.dropDisconnected(now, request)
	c.dispatchWaiting(now, request.Service)
}

// dropDisconnected cancels a request whose caller has disconnected.
func (c *Core) dropDisconnected(now clock.Time, request *activeRequest) {
	c.queue.Remove(request.Request)
	c.cancelOthers(now, request, 0)
	if request.nonIdempotent {
		c.recordOutcome(now, request, ledger.Outcome{State: ledger.Void})
	}
	c.counts.CallerDisconnected++
	c.burn.Record(now, burn.Sample{Service: request.Service, Class: request.class.Name, Region: c.region, CallerDisconnected: true})
	c.endRequest(now, request)
}

func (c *Core) recordSample(now clock.Time, request *activeRequest, between clock.Span, complete bool, ran caller.Ran) {
	first := now.Sub(request.arrivedAt)
	if request.answerStartedAt > 0 {
		first = request.answerStartedAt.Sub(request.arrivedAt)
	}
	c.burn.Record(now, burn.Sample{
		Service: request.Service, Class: request.class.Name, Region: c.region,
		First: first, Between: between, Wait: request.firstWait, Complete: complete, Ran: string(ran),
	})
}
