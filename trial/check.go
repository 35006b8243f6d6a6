package trial

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// guarantees is the number of guarantees of the design page, G1 to G9.
const guarantees = 9

// tries is the bundle's bound on the dispatches of one request.
const tries = 3

// checks counts what was checked and what was violated, by guarantee.
type checks struct {
	report func(string)

	mu     sync.Mutex
	done   [guarantees + 1]int
	broken [guarantees + 1]int
	number ident.Version
	// since is when the version was published or the last cut ended.
	since time.Time
}

func newChecks(report func(string)) *checks {
	if report == nil {
		report = func(string) {}
	}
	return &checks{report: report}
}

// check counts one check of guarantee g; if it does not hold, the text says what
// was seen.
func (c *checks) check(g int, holds bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done[g]++
	if !holds {
		c.broken[g]++
		c.report(fmt.Sprintf("G%d: ", g) + fmt.Sprintf(format, args...))
	}
}

func (c *checks) published(at time.Time, v ident.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.number, c.since = v, at
}

func (c *checks) healed(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = at
}

func (c *checks) version() (ident.Version, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.number, c.since
}

// violations returns the counts by the guarantees' names.
func (c *checks) violations() Violations {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := Violations{}
	for g := 1; g <= guarantees; g++ {
		v[fmt.Sprintf("G%d", g)] = c.broken[g]
	}
	return v
}

// check compares what the callers saw with what the endpoints recorded. G7 and G8
// are not exercised, as no endpoint and no entry leaves; warm-up requests are
// checked like the others.
func (x *run) check() {
	records := map[uint64][]fakes.Record{}
	dispatches := map[ident.Request]int{}
	for _, r := range x.records {
		records[r.Prompt] = append(records[r.Prompt], r)
		dispatches[r.Request]++
	}
	for id, n := range dispatches {
		x.checks.check(2, n <= tries, "request %s was dispatched %d times", id, n)
	}
	calls := map[string][]fakes.Call{}
	for _, c := range x.calls {
		if c.Order != "" {
			calls[c.Order] = append(calls[c.Order], c)
		}
	}
	for _, o := range append(x.load.outcomes(), x.crashing...) {
		switch o.work {
		case question, draft:
			x.checkCompletion(o, records[o.hash])
		case order:
			x.checkOrder(o, calls[o.serial])
		}
		if o.end == completed {
			x.checks.check(4, !o.wrong, "%s %s got a wrong answer", o.work, o.serial)
		}
		x.checkAlone(o)
	}
}

func (x *run) checkCompletion(o *outcome, records []fakes.Record) {
	allowed := x.plan.allowed(o.arrival)
	for i := range records {
		r := &records[i]
		x.checks.check(1, slices.Contains(allowed, r.Region), "%s %s bound to %q arrived in %s", o.work, o.serial, o.home, r.Region)
		if o.end == refused && r.Request == o.request {
			// The refusal is about the last send only; earlier ones had ids of their own.
			x.checks.check(5, r.Started == 0, "%s %s was refused as not run and started at %s (%s): %v", o.work, o.serial, r.Engine, r.Outcome, o.err)
		}
	}
}

func (x *run) checkOrder(o *outcome, calls []fakes.Call) {
	allowed := x.plan.allowed(o.arrival)
	placed := 0
	for i := range calls {
		x.checks.check(1, slices.Contains(allowed, calls[i].Region), "order %s bound to %q arrived in %s", o.serial, o.home, calls[i].Region)
		if calls[i].Placed {
			placed++
		}
	}
	x.checks.check(6, placed <= 1, "order %s was placed %d times", o.serial, placed)
	switch o.end {
	case completed:
		x.checks.check(4, placed == 1, "order %s was confirmed and placed %d times", o.serial, placed)
	case refused:
		x.checks.check(5, placed == 0, "order %s was refused as not run and placed %d times", o.serial, placed)
	}
}

// checkAlone checks a request that was sent from the region that is cut off. One
// that is refused for lack of capacity was served as G3 means it.
func (x *run) checkAlone(o *outcome) {
	if !o.measured() || !x.model.cut(o.region, o.at) || !x.model.cut(o.region, o.at-cutSettle) {
		return
	}
	busy := false
	if r := refusal(o.err); r != nil {
		busy = r.Ran == caller.RanNo && (r.Kind == caller.ReasonOverload || r.Kind == caller.ReasonShare)
	}
	x.checks.check(3, o.end == completed || busy, "%s %s from a region cut off ended %s: %v", o.work, o.serial, o.end, o.err)
}
