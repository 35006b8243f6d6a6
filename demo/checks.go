package demo

import (
	"fmt"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

// guarantee numbers the guarantees of the design page.
type guarantee int

const (
	regionsHold guarantee = iota + 1
	noLoop
	servesAlone
	wholeAnswers
	notRunIsTrue
	placedOnce
	leavingIsLeft
	drainCutsNothing
	versionsHold
	guarantees = versionsHold
)

func (g guarantee) String() string {
	return [...]string{
		"", "G1 allowed regions only", "G2 no forwarding loop", "G3 a cut-off region serves",
		"G4 whole answers of one's own", "G5 not run means not run", "G6 an order at most once",
		"G7 a leaving endpoint is left", "G8 a drain cuts nothing off", "G9 versions in force and never back",
	}[g]
}

const (
	// shownViolations bounds the violations of one guarantee that are printed.
	shownViolations = 5
	// tries is the bundle's bound on the dispatches of one request.
	tries = 3
)

// checks counts what was checked and what was violated.
type checks struct {
	mu     sync.Mutex
	done   [guarantees + 1]int
	broken [guarantees + 1][]string
	// cutRegion served its callers alone between cutFrom and cutTo.
	cutRegion        string
	cutFrom, cutTo   time.Time
	drainFrom, drain time.Time
}

func newChecks() *checks { return &checks{} }

// check counts one check; if it does not hold, the text says what was seen.
func (c *checks) check(g guarantee, holds bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done[g]++
	if !holds {
		c.broken[g] = append(c.broken[g], fmt.Sprintf(format, args...))
	}
}

// verdict returns an *Error unless every guarantee was exercised and held.
func (c *checks) verdict() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for g := regionsHold; g <= guarantees; g++ {
		if len(c.broken[g]) > 0 {
			return fault.Newf("check", KindViolated, "%s: %d violations", g, len(c.broken[g]))
		}
		if c.done[g] == 0 {
			return fault.Newf("check", KindViolated, "%s: was not exercised", g)
		}
	}
	return nil
}

// results checks everything that the callers' results and the endpoints'
// records tell together.
func (c *checks) results(s *stage.Stage, all []result) {
	records := recordsOf(s.Records())
	placed := placements(s)
	for i := range all {
		r := &all[i]
		c.alone(r)
		c.answer(r)
		c.drained(r)
		switch r.work {
		case question, draft:
			c.completion(r, records[r.prompt])
		case order:
			c.regions(r, placed[r.number])
			c.order(r, placed[r.number])
		case stock:
			c.regions(r, placed[r.number])
		}
	}
	c.loops(s.Records())
}

// completion checks one completion against the engines' records.
func (c *checks) completion(r *result, records []fakes.Record) {
	started := 0
	for _, x := range records {
		c.check(regionsHold, r.allowed(x.Region), "%s bound to %s arrived in %s", r.work, r.home, x.Region)
		if x.Started > 0 {
			started++
		}
	}
	// A caller that sent more than once may have been told about the last send only.
	if r.end == refused && r.attempts == 1 {
		c.check(notRunIsTrue, started == 0, "%s %x was refused as not run and started %d times: %v", r.work, r.prompt, started, r.err)
	}
}

// placement is where an order or a lookup arrived.
type placement struct {
	calls []fakes.Call
}

func (p placement) count() int {
	n := 0
	for _, x := range p.calls {
		if x.Placed {
			n++
		}
	}
	return n
}

// placements returns the services' records by order number or query.
func placements(s *stage.Stage) map[string]placement {
	out := map[string]placement{}
	for _, d := range s.Services {
		for _, x := range d.Calls() {
			key := x.Order + x.Query // each call has one of them
			out[key] = placement{append(out[key].calls, x)}
		}
	}
	return out
}

// regions checks where the sends of one call arrived.
func (c *checks) regions(r *result, p placement) {
	for _, x := range p.calls {
		c.check(regionsHold, r.allowed(x.Region), "%s %s bound to %s arrived in %s", r.work, r.number, r.home, x.Region)
	}
}

func (c *checks) order(r *result, p placement) {
	n := p.count()
	c.check(placedOnce, n <= 1, "order %s was placed %d times", r.number, n)
	switch r.end {
	case completed:
		c.check(wholeAnswers, n == 1, "order %s was confirmed and placed %d times", r.number, n)
	case refused:
		c.check(notRunIsTrue, n == 0, "order %s was refused as not run and placed %d times", r.number, n)
	}
}

// answer checks that a complete answer is the right one.
func (c *checks) answer(r *result) {
	if r.end == completed {
		c.check(wholeAnswers, !r.wrong, "%s from %s got a wrong answer", r.work, r.region)
	}
}

// loops checks that no send of a caller was dispatched more often than the
// bundle allows. Entries never forward to each other.
func (c *checks) loops(records []fakes.Record) {
	counts := map[string]int{}
	for _, r := range records {
		counts[string(r.Request)]++
	}
	for id, n := range counts {
		c.check(noLoop, n <= tries, "request %s was dispatched %d times", id, n)
	}
}

// alone checks a request from the region that was cut off, begun meanwhile.
func (c *checks) alone(r *result) {
	if string(r.region) != c.cutRegion || r.begun.Before(c.cutFrom) || !r.begun.Before(c.cutTo) {
		return
	}
	c.check(servesAlone, r.end == completed, "%s from %s, cut off, was %s: %v", r.work, r.region, r.end, r.err)
}

// drained checks that no answer broke while an entry was draining.
func (c *checks) drained(r *result) {
	if r.work == order {
		return // its end is unknown for other reasons as well; the records tell
	}
	if r.begun.Before(c.drain) && r.ended.After(c.drainFrom) {
		c.check(drainCutsNothing, r.end != failed, "%s from %s failed during the drain: %v", r.work, r.region, r.err)
	}
	for _, at := range r.restarts {
		inside := !at.Before(c.drainFrom) && at.Before(c.drain)
		c.check(drainCutsNothing, !inside, "%s from %s broke off during the drain", r.work, r.region)
	}
}
