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
func (c *checks) check(number guarantee, holds bool, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked[number]++
	if !holds {
		c.violated[number] = append(c.violated[number], fmt.Sprintf(format, args...))
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
func (c *checks) checkResults(deployment *stage.Deployment, all []result) {
	records := recordsByPrompt(deployment.Records())
	calls := callsByKey(deployment)
	for i := range all {
		r := &all[i]
		c.checkIsolated(r)
		c.checkAnswer(r)
		c.checkDrain(r)
		switch r.kind {
		case question, draft:
			c.checkCompletion(r, records[r.promptHash])
		case order:
			c.checkRegions(r, calls[r.key])
			c.checkOrder(r, calls[r.key])
		case stock:
			c.checkRegions(r, calls[r.key])
		}
	}
	c.checkDispatches(deployment.Records())
}

// checkCompletion checks one completion against the engines' records.
func (c *checks) checkCompletion(request *result, records []fakes.Record) {
	started := 0
	for _, x := range records {
		c.check(allowedRegions, request.allowedIn(x.Region), "%s with home %s was dispatched to %s", request.kind, request.home, x.Region)
		if x.Started > 0 {
			started++
		}
	}
	// With several sends, a refusal may cover only the last one.
	if request.state == refused && request.attempts == 1 {
		c.check(notRunCorrect, started == 0, "%s %x was reported as not run but started %d times: %v", request.kind, request.promptHash, started, request.err)
	}
}

// receivedCalls has the calls that the services received for one order or lookup.
type receivedCalls struct {
	calls []fakes.Call
}

func (p receivedCalls) placed() int {
	total := 0
	for _, x := range p.calls {
		if x.Placed {
			total++
		}
	}
	return total
}

// callsByKey groups the services' calls by order number or query.
func callsByKey(deployment *stage.Deployment) map[string]receivedCalls {
	out := map[string]receivedCalls{}
	for _, s := range deployment.Services {
		for _, x := range s.Calls() {
			key := x.Order + x.Query // exactly one of them is set
			out[key] = receivedCalls{append(out[key].calls, x)}
		}
	}
	return out
}

// checkRegions checks the regions that received the sends of one call.
func (c *checks) checkRegions(request *result, received receivedCalls) {
	for _, x := range received.calls {
		c.check(allowedRegions, request.allowedIn(x.Region), "%s %s with home %s was dispatched to %s", request.kind, request.key, request.home, x.Region)
	}
}

func (c *checks) checkOrder(request *result, received receivedCalls) {
	placed := received.placed()
	c.check(atMostOnce, placed <= 1, "order %s was placed %d times", request.key, placed)
	switch request.state {
	case completed:
		c.check(completeAnswers, placed == 1, "order %s was confirmed but placed %d times", request.key, placed)
	case refused:
		c.check(notRunCorrect, placed == 0, "order %s was reported as not run but placed %d times", request.key, placed)
	}
}

// checkAnswer checks that a completed request got the correct answer.
func (c *checks) checkAnswer(request *result) {
	if request.state == completed {
		c.check(completeAnswers, !request.wrongAnswer, "%s from %s completed with a wrong answer", request.kind, request.region)
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
func (c *checks) checkIsolated(request *result) {
	if string(request.region) != c.isolatedRegion || request.startedAt.Before(c.isolatedFrom) || !request.startedAt.Before(c.isolatedTo) {
		return
	}
	c.check(isolatedServes, request.state == completed, "%s from isolated region %s ended as %s: %v", request.kind, request.region, request.state, request.err)
}

// checkDrain checks that no answer was interrupted while an entry was draining.
func (c *checks) checkDrain(request *result) {
	if request.kind == order {
		return // may be unknown for other reasons; checkOrder compares it with the services' records
	}
	if request.startedAt.Before(c.drainTo) && request.endedAt.After(c.drainFrom) {
		c.check(drainCompletes, request.state != failed, "%s from %s failed during the drain: %v", request.kind, request.region, request.err)
	}
	for _, at := range request.restarts {
		inside := !at.Before(c.drainFrom) && at.Before(c.drainTo)
		c.check(drainCompletes, !inside, "%s from %s was interrupted during the drain", request.kind, request.region)
	}
}
