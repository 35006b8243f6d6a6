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

// guarantees is the number of guarantees, G1 to G9, that the design document defines.
const guarantees = 9

// maxDispatches is the bundle's limit on the dispatches of one request.
const maxDispatches = 3

// checks counts checks and violations by guarantee. It is safe for concurrent use.
type checks struct {
	report func(string)

	mu       sync.Mutex
	checked  [guarantees + 1]int
	violated [guarantees + 1]int
	// expected is the published version, and expectedSince the time at which it was
	// published or the last partition healed.
	expected      ident.Version
	expectedSince time.Time
}

func newChecks(report func(string)) *checks {
	if report == nil {
		report = func(string) {}
	}
	return &checks{report: report}
}

// check counts one check of guarantee g. If it does not hold, the violation is reported
// with the formatted text.
func (c *checks) check(g int, holds bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked[g]++
	if !holds {
		c.violated[g]++
		c.report(fmt.Sprintf("G%d: ", g) + fmt.Sprintf(format, args...))
	}
}

func (c *checks) setExpected(at time.Time, v ident.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expected, c.expectedSince = v, at
}

func (c *checks) restartDeadline(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expectedSince = at
}

func (c *checks) expectedVersion() (ident.Version, time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expected, c.expectedSince
}

// violations returns the violation counts keyed by G1 to G9.
func (c *checks) violations() Violations {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := Violations{}
	for g := 1; g <= guarantees; g++ {
		v[fmt.Sprintf("G%d", g)] = c.violated[g]
	}
	return v
}

// checkGuarantees compares the callers' outcomes with the endpoints' records. G7 and G8
// are not exercised because no endpoint and no entry leaves. Requests of the warm-up are
// checked as well.
func (x *run) checkGuarantees() {
	records := map[uint64][]fakes.Record{}
	dispatches := map[ident.Request]int{}
	for _, r := range x.engineRecords {
		records[r.Prompt] = append(records[r.Prompt], r)
		dispatches[r.Request]++
	}
	for id, n := range dispatches {
		x.checks.check(2, n <= maxDispatches, "request %s was dispatched %d times", id, n)
	}
	calls := map[string][]fakes.Call{}
	for _, c := range x.serviceCalls {
		if c.Order != "" {
			calls[c.Order] = append(calls[c.Order], c)
		}
	}
	for _, o := range append(x.generator.outcomes(), x.crashOutcomes...) {
		switch o.kind {
		case question, draft:
			x.checkCompletion(o, records[o.promptHash])
		case order:
			x.checkOrder(o, calls[o.serial])
		}
		if o.state == completed {
			x.checks.check(4, !o.wrongAnswer, "%s %s completed with a wrong answer", o.kind, o.serial)
		}
		x.checkIsolated(o)
	}
}

func (x *run) checkCompletion(o *outcome, records []fakes.Record) {
	allowed := x.plan.allowedRegions(o.arrival)
	for i := range records {
		r := &records[i]
		x.checks.check(1, slices.Contains(allowed, r.Region), "%s %s with home %q was dispatched to %s", o.kind, o.serial, o.home, r.Region)
		if o.state == refused && r.Request == o.requestID {
			// A refusal covers only the last send; earlier sends had other request ids.
			x.checks.check(5, r.Started == 0, "%s %s was reported as not run but started at %s (%s): %v", o.kind, o.serial, r.Engine, r.Outcome, o.err)
		}
	}
}

func (x *run) checkOrder(o *outcome, calls []fakes.Call) {
	allowed := x.plan.allowedRegions(o.arrival)
	placed := 0
	for i := range calls {
		x.checks.check(1, slices.Contains(allowed, calls[i].Region), "order %s with home %q was dispatched to %s", o.serial, o.home, calls[i].Region)
		if calls[i].Placed {
			placed++
		}
	}
	x.checks.check(6, placed <= 1, "order %s was placed %d times", o.serial, placed)
	switch o.state {
	case completed:
		x.checks.check(4, placed == 1, "order %s was confirmed but placed %d times", o.serial, placed)
	case refused:
		x.checks.check(5, placed == 0, "order %s was reported as not run but placed %d times", o.serial, placed)
	}
}

// checkIsolated checks a request that was sent from the isolated region. A refusal for
// lack of capacity satisfies G3.
func (x *run) checkIsolated(o *outcome) {
	if !o.measured() || !x.model.isolated(o.region, o.offset) || !x.model.isolated(o.region, o.offset-isolationGrace) {
		return
	}
	busy := false
	if r := refusalOf(o.err); r != nil {
		busy = r.Ran == caller.RanNo && (r.Kind == caller.ReasonOverload || r.Kind == caller.ReasonShare)
	}
	x.checks.check(3, o.state == completed || busy, "%s %s from an isolated region ended as %s: %v", o.kind, o.serial, o.state, o.err)
}
