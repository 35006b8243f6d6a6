package core

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
)

func (c *Core) tick(now clock.Time) {
	c.plan(now, now.Sub(c.lastTick) >= pauseLimit)
	c.lastTick = now
	for _, i := range c.queue.Expire(now) {
		c.refuseWaiting(now, i.Request, "no endpoint was free before the deadline")
	}
	c.ledger.Expire(now)
	c.pumpAll(now)
	c.requests.each(func(r *request) { c.maybeHedge(now, r) })
}

// maybeHedge starts a second try of an idempotent request whose first token is later
// than the prompt and the queue of its endpoint explain, if the retry budget allows. The first answer wins and the other try is
// cancelled.
func (c *Core) maybeHedge(now clock.Time, r *request) {
	if !r.hedge || r.once || r.begun > 0 || len(r.tries) != 1 || r.tries[0].hedge || r.tries[0].alone {
		return
	}
	doc := c.force.Current()
	if doc == nil || doc.Weights.Tail <= 0 || r.number >= doc.Retry.Attempts {
		return
	}
	delay := clock.Span(float64(r.class.First) / doc.Weights.Tail)
	t := r.tries[0]
	if now.Sub(t.started) < delay {
		return
	}
	if now.Sub(t.started) < delay+c.explained(now, r, t) {
		return
	}
	avoid := r.avoid
	r.avoid = append(append(avoid[:0:0], avoid...), t.endpoint)
	choice, ok := c.choose(now, r)
	r.avoid = avoid
	if !ok || choice.Endpoint == t.endpoint || !c.retries.Take() {
		return
	}
	c.dispatch(now, r, choice, true)
}

// explained returns how long a try's first token is delayed by its prompt and by the
// work beyond the slots of its endpoint.
func (c *Core) explained(now clock.Time, r *request, t *try) clock.Span {
	span := c.sizes.expect(r.Service, r.Prompt, 0)
	for _, k := range c.fleet.Candidates(now, r.Service, t.region) {
		if k.Endpoint == t.endpoint && k.Slots > 0 {
			beyond := max(0, k.Load-float64(k.Slots))
			return span + clock.Span(beyond*float64(k.Duration)/float64(k.Slots))
		}
	}
	return span
}
