package core

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
)

// brokenOnce handles a non-idempotent call that broke off after it was sent. It may
// have been run, so that it is sent again only if the service tells by the key that
// both are the same call. From then on it can end as done or unknown only.
func (c *Core) brokenOnce(now clock.Time, r *request, t *try) {
	c.fleet.End(now, r.Request, t.number, fleet.Broken, 0)
	c.suspects.Stop(now, r.Fingerprint)
	r.drop(t.number)
	r.unsettled = true
	r.losses++
	attempts := int(c.force.Current().Retry.Attempts)
	if !c.mayRepeat(r) || r.losses >= attempts || !c.retries.Take() {
		c.unknown(now, r)
		return
	}
	r.avoid = append(r.avoid, t.endpoint)
	c.push(now, r)
}

// mayRepeat tells whether a call may be sent in view of earlier tries of it. A
// bundle in which the service has lost its key, or has another one, forbids it.
func (c *Core) mayRepeat(r *request) bool {
	if !r.unsettled {
		return true
	}
	t, refusal := c.lookUp(c.force.Current(), r.Head)
	return refusal == nil && r.dedupe != "" && t.call.Dedupe == r.dedupe
}
