package core

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// promptTokensPerMillisecond is the assumed prefill rate of an engine.
	promptTokensPerMillisecond = 8
	// initialTokenInterval is the assumed interval between tokens before the first
	// observation.
	initialTokenInterval = 20 * clock.Millisecond
	// smoothingFactor is the weight of one observation in an exponential moving average.
	smoothingFactor = 0.05
)

// estimator estimates how long requests occupy a slot.
type estimator struct {
	services []serviceEstimate
}

type serviceEstimate struct {
	service ident.Service
	// tokenInterval is the moving average of the interval between tokens, in ms.
	tokenInterval float64
	// slotTime is the moving average of the time for which a request occupies a slot, in ms.
	slotTime float64
	// firstToken is the moving average of the time from dispatch to first token, in ms.
	firstToken float64
}

func (e *estimator) estimateFor(id ident.Service) *serviceEstimate {
	for i := range e.services {
		if e.services[i].service == id {
			return &e.services[i]
		}
	}
	e.services = append(e.services, serviceEstimate{service: id, tokenInterval: float64(initialTokenInterval)})
	return &e.services[len(e.services)-1]
}

// expectedSlotTime returns the expected slot time of a request with the given prompt length
// and answer limit.
func (e *estimator) expectedSlotTime(id ident.Service, prompt, answer ident.Tokens) clock.Span {
	interval := e.estimateFor(id).tokenInterval
	return clock.Span(float64(prompt)/promptTokensPerMillisecond + interval*float64(answer))
}

// observe updates the averages with a completed attempt.
func (e *estimator) observe(id ident.Service, interval, firstToken, slotTime clock.Span) {
	estimate := e.estimateFor(id)
	if interval > 0 {
		estimate.tokenInterval += smoothingFactor * (float64(interval) - estimate.tokenInterval)
	}
	estimate.firstToken = runningMean(estimate.firstToken, firstToken)
	estimate.slotTime = runningMean(estimate.slotTime, slotTime)
}

func runningMean(old float64, value clock.Span) float64 {
	if old == 0 {
		return float64(value)
	}
	return old + smoothingFactor*(float64(value)-old)
}

// meanSlotTime returns the average slot time of a service's requests, or 0 before the first
// observation.
func (e *estimator) meanSlotTime(id ident.Service) clock.Span {
	return clock.Span(e.estimateFor(id).slotTime)
}
