package core

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
)

// handleBrokenNonIdempotent handles a non-idempotent call whose connection broke after it
// was sent. The call may have run, so it is resent only if the service recognises repeated
// calls by their idempotency key. From then on it can only end as done or unknown.
func (c *Core) handleBrokenNonIdempotent(now clock.Time, request *activeRequest, attempt *activeAttempt) {
	c.fleet.End(now, request.Request, attempt.number, fleet.Broken, 0)
	c.suspects.Release(now, request.Fingerprint)
	request.removeAttempt(attempt.number)
	request.outcomeUnknown = true
	request.breaks++
	attempts := int(c.bundles.Current().Retry.MaxAttempts)
	if !c.mayResend(request) || request.breaks >= attempts || !c.retries.Take() {
		c.endUnknown(now, request)
		return
	}
	request.tried = append(request.tried, attempt.endpoint)
	c.push(now, request)
}

// mayResend reports whether a call may be sent after its earlier attempts. A call that may
// have run must not be resent if the bundle in force has removed or changed the
// idempotency header of the call.
func (c *Core) mayResend(request *activeRequest) bool {
	if !request.outcomeUnknown {
		return true
	}
	resolved, refusal := c.lookUpCall(c.bundles.Current(), request.Head)
	return refusal == nil && request.keyHeader != "" && resolved.call.KeyHeader == request.keyHeader
}
