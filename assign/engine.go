package assign

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

// engine is the known state of one engine's models.
type engine struct {
	Report
	// reportedAt is when the last report arrived.
	reportedAt clock.Time
	// pendingOrder is the order that is not yet answered; 0 if there is none.
	pendingOrder OrderNumber
	// answeredAt is when the last order was answered, until a report shows its effect.
	answeredAt clock.Time
	// expectedModel is the model of that order until it is loaded or the load has failed.
	expectedModel string
	// orderAfter is the earliest time of the next order; 0 if the model is not missing.
	orderAfter clock.Time
	// failures counts the orders without effect since the model was last seen.
	failures int
	// turnStartedAt is when the engine got its turn; turnsPassed counts the turns it let pass.
	turnStartedAt clock.Time
	turnsPassed   int
}

func (e *engine) applyReport(now clock.Time, report Report, randomUpTo func(clock.Span) clock.Span) {
	silent := now.Sub(e.reportedAt) >= maxReportAge
	e.Report = report
	e.reportedAt = now
	switch {
	case e.expectedModel == "":
	case slices.Contains(report.Models, e.expectedModel):
		e.expectedModel, e.answeredAt = "", 0
	case len(report.Loading) > 0:
		e.answeredAt = 0
	case now.Sub(e.answeredAt) >= loadStartTimeout:
		// The load failed, or the engine crashed during it.
		e.expectedModel, e.answeredAt = "", 0
		e.delayNextOrder(now, randomUpTo)
	}
	if silent {
		// The engine or this process was suspended, so the actions of other entries are unknown.
		e.resetDelays()
	}
}

// expectLoad records that the next reports should show a load of the model.
func (e *engine) expectLoad(now clock.Time, model string) {
	e.expectedModel, e.answeredAt = model, now
}

// endTurn ends the turn of an engine that is loading. A later order waits for a new delay.
func (e *engine) endTurn(now clock.Time) {
	e.turnStartedAt = 0
	if !now.Before(e.orderAfter) {
		e.orderAfter = 0
	}
}

// isLoading reports whether the engine is loading a model or may have started to.
func (e *engine) isLoading(now clock.Time) bool {
	if e.pendingOrder > 0 {
		return true
	}
	if e.answeredAt > 0 {
		return now.Sub(e.answeredAt) < maxLoadingReportAge
	}
	return len(e.Loading) > 0 && now.Sub(e.reportedAt) < maxLoadingReportAge
}

// lacksModel reports whether a recent report shows that the engine does not have the model.
func (e *engine) lacksModel(now clock.Time, model string) bool {
	return e.ListsModels && now.Sub(e.reportedAt) < maxReportAge && !slices.Contains(e.Models, model)
}

// startDelay starts the delay of an engine that is first seen without its model. It is
// longer after orders without effect, since loading may be what crashes the engine.
func (e *engine) startDelay(now clock.Time, delay clock.Span) {
	if e.orderAfter == 0 {
		e.orderAfter = now.Add(delay + e.nextBackoff() - initialBackoff)
	}
}

// reset clears the delays and failures of an engine that needs no order from this entry.
func (e *engine) reset() {
	e.resetDelays()
	e.turnsPassed, e.failures = 0, 0
}

// resetDelays clears the delays of an engine that cannot be sent an order now. The count of
// orders without effect is kept.
func (e *engine) resetDelays() { e.orderAfter, e.turnStartedAt = 0, 0 }

// nextBackoff returns the delay after the orders without effect so far.
func (e *engine) nextBackoff() clock.Span {
	return clock.Doubled(initialBackoff, maxBackoff, e.failures)
}

// takeTurn records that the engine is among those that may load next. Its turn passes if it
// does not start within turnTimeout.
func (e *engine) takeTurn(now clock.Time) {
	if e.turnStartedAt == 0 {
		e.turnStartedAt = now
	}
	if now.Sub(e.turnStartedAt) >= turnTimeout {
		e.turnStartedAt = 0
		e.turnsPassed++
	}
}

// delayNextOrder postpones the next order after one without effect.
func (e *engine) delayNextOrder(now clock.Time, randomUpTo func(clock.Span) clock.Span) {
	delay := e.nextBackoff()
	if delay < maxBackoff {
		e.failures++
	}
	e.orderAfter = now.Add(delay/2 + randomUpTo(delay/2))
}
