package demo

import (
	"fmt"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

// guarantee is the number of a guarantee that the design document defines.
type guarantee int

const (
	allowedRegions guarantee = iota + 1
	noForwardingLoop
	isolatedServes
	completeAnswers
	notRunCorrect
	atMostOnce
	leavingAvoided
	drainCompletes
	versionsAdvance
	guarantees = versionsAdvance
)

func (g guarantee) String() string {
	return [...]string{
		"", "G1 allowed regions only", "G2 no forwarding loop", "G3 an isolated region keeps serving",
		"G4 complete and correct answers", "G5 not run means not run", "G6 orders placed at most once",
		"G7 no new work for a leaving endpoint", "G8 a drain interrupts no request", "G9 versions take effect and never revert",
	}[g]
}

const (
	// maxShownViolations is the number of violations printed per guarantee.
	maxShownViolations = 5
	// maxDispatches is the bundle's limit on the dispatches of one request.
	maxDispatches = 3
)

// checks counts checks and records violations by guarantee. check and verdict are safe for
// concurrent use.
type checks struct {
	mu       sync.Mutex
	checked  [guarantees + 1]int
	violated [guarantees + 1][]string
	// isolatedRegion was cut off from the other regions between isolatedFrom and isolatedTo.
	isolatedRegion           string
	isolatedFrom, isolatedTo time.Time
	drainFrom, drainTo       time.Time
}

func newChecks() *checks { return &checks{} }

// check counts one check of a guarantee. If it does not hold, the formatted text is recorded
// as a violation.
func (c *checks) check(g guarantee, holds bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked[g]++
	if !holds {
		c.violated[g] = append(c.violated[g], fmt.Sprintf(format, args...))
	}
}

// verdict returns an *Error of KindViolated unless every guarantee was exercised and held.
func (c *checks) verdict() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for g := allowedRegions; g <= guarantees; g++ {
		if len(c.violated[g]) > 0 {
			return fault.Newf("check", KindViolated, "%s: %d violations", g, len(c.violated[g]))
		}
		if c.checked[g] == 0 {
			return fault.Newf("check", KindViolated, "%s: not exercised", g)
		}
	}
	return nil
}

// checkResults compares the callers' results with the endpoints' records.
func (c *checks) checkResults(s *stage.Stage, all []result) {
	records := recordsByPrompt(s.Records())
	placed := callsByKey(s)
	for i := range all {
		r := &all[i]
		c.checkIsolated(r)
		c.checkAnswer(r)
		c.checkDrain(r)
		switch r.kind {
		case question, draft:
			c.checkCompletion(r, records[r.promptHash])
		case order:
			c.checkRegions(r, placed[r.key])
			c.checkOrder(r, placed[r.key])
		case stock:
			c.checkRegions(r, placed[r.key])
		}
	}
	c.checkDispatches(s.Records())
}

// checkCompletion checks one completion against the engines' records.
func (c *checks) checkCompletion(r *result, records []fakes.Record) {
	started := 0
	for _, x := range records {
		c.check(allowedRegions, r.allowedIn(x.Region), "%s with home %s was dispatched to %s", r.kind, r.home, x.Region)
		if x.Started > 0 {
			started++
		}
	}
	// With several sends, a refusal may cover only the last one.
	if r.state == refused && r.attempts == 1 {
		c.check(notRunCorrect, started == 0, "%s %x was reported as not run but started %d times: %v", r.kind, r.promptHash, started, r.err)
	}
}

// orderCalls has the calls that the services received for one order or lookup.
type orderCalls struct {
	calls []fakes.Call
}

func (p orderCalls) placed() int {
	n := 0
	for _, x := range p.calls {
		if x.Placed {
			n++
		}
	}
	return n
}

// callsByKey groups the services' calls by order number or query.
func callsByKey(s *stage.Stage) map[string]orderCalls {
	out := map[string]orderCalls{}
	for _, d := range s.Services {
		for _, x := range d.Calls() {
			key := x.Order + x.Query // exactly one of them is set
			out[key] = orderCalls{append(out[key].calls, x)}
		}
	}
	return out
}

// checkRegions checks the regions that received the sends of one call.
func (c *checks) checkRegions(r *result, p orderCalls) {
	for _, x := range p.calls {
		c.check(allowedRegions, r.allowedIn(x.Region), "%s %s with home %s was dispatched to %s", r.kind, r.key, r.home, x.Region)
	}
}

func (c *checks) checkOrder(r *result, p orderCalls) {
	n := p.placed()
	c.check(atMostOnce, n <= 1, "order %s was placed %d times", r.key, n)
	switch r.state {
	case completed:
		c.check(completeAnswers, n == 1, "order %s was confirmed but placed %d times", r.key, n)
	case refused:
		c.check(notRunCorrect, n == 0, "order %s was reported as not run but placed %d times", r.key, n)
	}
}

// checkAnswer checks that a completed request got the correct answer.
func (c *checks) checkAnswer(r *result) {
	if r.state == completed {
		c.check(completeAnswers, !r.wrongAnswer, "%s from %s completed with a wrong answer", r.kind, r.region)
	}
}

// checkDispatches checks that no send of a caller was dispatched more often than the
// bundle allows. Entries never forward requests to each other.
func (c *checks) checkDispatches(records []fakes.Record) {
	counts := map[string]int{}
	for _, r := range records {
		counts[string(r.Request)]++
	}
	for id, n := range counts {
		c.check(noForwardingLoop, n <= maxDispatches, "request %s was dispatched %d times", id, n)
	}
}

// checkIsolated checks a request that was sent from the isolated region during its isolation.
func (c *checks) checkIsolated(r *result) {
	if string(r.region) != c.isolatedRegion || r.startedAt.Before(c.isolatedFrom) || !r.startedAt.Before(c.isolatedTo) {
		return
	}
	c.check(isolatedServes, r.state == completed, "%s from isolated region %s ended as %s: %v", r.kind, r.region, r.state, r.err)
}

// checkDrain checks that no answer was interrupted while an entry was draining.
func (c *checks) checkDrain(r *result) {
	if r.kind == order {
		return // may be unknown for other reasons; checkOrder compares it with the services' records
	}
	if r.startedAt.Before(c.drainTo) && r.endedAt.After(c.drainFrom) {
		c.check(drainCompletes, r.state != failed, "%s from %s failed during the drain: %v", r.kind, r.region, r.err)
	}
	for _, at := range r.restarts {
		inside := !at.Before(c.drainFrom) && at.Before(c.drainTo)
		c.check(drainCompletes, !inside, "%s from %s was interrupted during the drain", r.kind, r.region)
	}
}
