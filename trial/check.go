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

// check counts one check of a guarantee. If it does not hold, the violation is reported
// with the formatted text.
func (c *checks) check(guarantee int, holds bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked[guarantee]++
	if !holds {
		c.violated[guarantee]++
		c.report(fmt.Sprintf("G%d: ", guarantee) + fmt.Sprintf(format, args...))
	}
}

func (c *checks) setExpected(at time.Time, version ident.Version) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expected, c.expectedSince = version, at
}

// restartDeadline makes the time limit of the expected version start at the given time.
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
	counts := Violations{}
	for g := 1; g <= guarantees; g++ {
		counts[fmt.Sprintf("G%d", g)] = c.violated[g]
	}
	return counts
}

// checkGuarantees compares the callers' outcomes with the endpoints' records. G7 and G8
// are not exercised because no endpoint and no entry leaves. Requests of the warm-up are
// checked as well.
func (x *run) checkGuarantees() {
	records := map[uint64][]fakes.Record{}
	dispatches := map[ident.Request]int{}
	for _, r := range x.engineRecords {
		records[r.PromptHash] = append(records[r.PromptHash], r)
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

func (x *run) checkCompletion(outcome *outcome, records []fakes.Record) {
	allowed := x.plan.allowedRegions(outcome.arrival)
	for i := range records {
		record := &records[i]
		x.checks.check(1, slices.Contains(allowed, record.Region), "%s %s with home %q was dispatched to %s", outcome.kind, outcome.serial, outcome.home, record.Region)
		if outcome.state == refused && record.Request == outcome.requestID {
			// A refusal covers only the last send; earlier sends had other request ids.
			x.checks.check(5, record.Started == 0, "%s %s was reported as not run but started at %s (%s): %v", outcome.kind, outcome.serial, record.Engine, record.Outcome, outcome.err)
		}
	}
}

func (x *run) checkOrder(outcome *outcome, calls []fakes.Call) {
	allowed := x.plan.allowedRegions(outcome.arrival)
	placed := 0
	for i := range calls {
		x.checks.check(1, slices.Contains(allowed, calls[i].Region), "order %s with home %q was dispatched to %s", outcome.serial, outcome.home, calls[i].Region)
		if calls[i].Placed {
			placed++
		}
	}
	x.checks.check(6, placed <= 1, "order %s was placed %d times", outcome.serial, placed)
	switch outcome.state {
	case completed:
		x.checks.check(4, placed == 1, "order %s was confirmed but placed %d times", outcome.serial, placed)
	case refused:
		x.checks.check(5, placed == 0, "order %s was reported as not run but placed %d times", outcome.serial, placed)
	}
}

// checkIsolated checks a request that was sent from the isolated region. A refusal for
// lack of capacity satisfies G3.
func (x *run) checkIsolated(outcome *outcome) {
	if !outcome.measured() || !x.model.isolated(outcome.region, outcome.offset) || !x.model.isolated(outcome.region, outcome.offset-isolationGrace) {
		return
	}
	busy := false
	if refusal := refusalOf(outcome.err); refusal != nil {
		busy = refusal.Ran == caller.RanNo && (refusal.Reason == caller.ReasonOverload || refusal.Reason == caller.ReasonShare)
	}
	x.checks.check(3, outcome.state == completed || busy, "%s %s from an isolated region ended as %s: %v", outcome.kind, outcome.serial, outcome.state, outcome.err)
}
