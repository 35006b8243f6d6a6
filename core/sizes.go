package core

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// promptPerMillisecond is the assumed reading speed of an engine, in tokens.
	promptPerMillisecond = 8
	// firstGap is the assumed time between tokens before any was observed.
	firstGap = 20 * clock.Millisecond
	// smoothing is the weight of one observation in a running mean.
	smoothing = 0.05
)

// sizes estimates how long a request will hold a slot.
type sizes struct {
	services []serviceSize
}

type serviceSize struct {
	service ident.Service
	// gap is the running mean of the time between tokens, in ms.
	gap float64
	// hold is the running mean of the time that a request holds a slot, in ms.
	hold float64
	// first is the running mean of the time from dispatch to first token, in ms.
	first float64
}

func (s *sizes) of(id ident.Service) *serviceSize {
	for i := range s.services {
		if s.services[i].service == id {
			return &s.services[i]
		}
	}
	s.services = append(s.services, serviceSize{service: id, gap: float64(firstGap)})
	return &s.services[len(s.services)-1]
}

// expect returns the expected slot time of a request with the given prompt and answer limit.
func (s *sizes) expect(id ident.Service, prompt, answer ident.Tokens) clock.Span {
	gap := s.of(id).gap
	return clock.Span(float64(prompt)/promptPerMillisecond + gap*float64(answer))
}

// observe takes in one completed try.
func (s *sizes) observe(id ident.Service, between, first, hold clock.Span) {
	e := s.of(id)
	if between > 0 {
		e.gap += smoothing * (float64(between) - e.gap)
	}
	e.first = mean(e.first, first)
	e.hold = mean(e.hold, hold)
}

func mean(old float64, value clock.Span) float64 {
	if old == 0 {
		return float64(value)
	}
	return old + smoothing*(float64(value)-old)
}

// hold returns the mean slot time of the service's requests, 0 before any was observed.
func (s *sizes) hold(id ident.Service) clock.Span { return clock.Span(s.of(id).hold) }
