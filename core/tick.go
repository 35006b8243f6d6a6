package core

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
)

func (c *Core) handleTick(now clock.Time) {
	c.planOrders(now, now.Sub(c.lastTick) >= maxTickGap)
	c.lastTick = now
	for _, i := range c.queue.Expire(now) {
		c.refuseWaiting(now, i.Request, "no endpoint was free before the deadline")
	}
	c.ledger.Expire(now)
	c.dispatchAllWaiting(now)
	c.requests.each(func(request *activeRequest) {
		c.hedgeIfLate(now, request)
		if request.lease.held(now) {
			c.renewLease(now, request)
		}
	})
}

// hedgeIfLate starts a second attempt of an idempotent request whose first token is later
// than the prompt length and the load of its endpoint account for, if the retry budget
// permits. The first answer wins and the other attempt is cancelled.
func (c *Core) hedgeIfLate(now clock.Time, request *activeRequest) {
	if !c.hedgeAllowed(now, request) {
		return
	}
	doc := c.bundles.Current()
	if doc == nil || doc.Weights.Tail <= 0 || request.lastAttempt >= doc.Retry.MaxAttempts {
		return
	}
	delay := clock.Span(float64(request.class.FirstTokenTarget) / doc.Weights.Tail)
	attempt := request.attempts[0]
	if now.Sub(attempt.startedAt) < delay {
		return
	}
	if now.Sub(attempt.startedAt) < delay+c.expectedDelay(now, request, attempt) {
		return
	}
	tried := request.tried
	request.tried = append(append(tried[:0:0], tried...), attempt.endpoint)
	choice, ok := c.chooseEndpoint(now, request)
	request.tried = tried
	if !ok || choice.Endpoint == attempt.endpoint || !c.retries.Take() {
		return
	}
	c.dispatch(now, request, choice, true)
}

// hedgeAllowed reports whether a request may have a second attempt beside its first one. A suspect runs
// only once at a time.
func (c *Core) hedgeAllowed(now clock.Time, request *activeRequest) bool {
	if !request.mayHedge || request.nonIdempotent || request.answerStartedAt > 0 || len(request.attempts) != 1 {
		return false
	}
	first := request.attempts[0]
	return !first.hedge && !first.exclusive && c.suspects.Verdict(now, request.Fingerprint) == crash.VerdictClear
}

// expectedDelay returns the expected delay of an attempt's first token from the prompt
// length and from the load of its endpoint in excess of its slots.
func (c *Core) expectedDelay(now clock.Time, request *activeRequest, attempt *activeAttempt) clock.Span {
	delay := c.estimates.expectedSlotTime(request.Service, request.PromptTokens, 0)
	for _, k := range c.fleet.Candidates(now, request.Service, attempt.region) {
		if k.Endpoint == attempt.endpoint && k.Slots > 0 {
			excess := max(0, k.Load-float64(k.Slots))
			return delay + clock.Span(excess*float64(k.Duration)/float64(k.Slots))
		}
	}
	return delay
}
