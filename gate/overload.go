package gate

import (
	"maps"
	"sync"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// lateWaitDivisor limits the wait of a request that can't be answered within its target any more to
	// 1/lateWaitDivisor of the target.
	lateWaitDivisor = 4
	// contentionTerm is how long the refusal of a request that could have met its target counts as a sign of contention.
	contentionTerm = 500 * clock.Millisecond
	// timeLimitStep is the part by which one request raises the usual time limit of its route at most.
	timeLimitStep = 0.02
)

// overloadCheck decides whether a request that has to wait for its endpoint is refused, under demand above capacity.
// Refused callers come back with less time left. While requests are refused that could meet the target, a request that
// has missed it is sent only if its wait is short.
type overloadCheck struct {
	target clock.Span
	// maxDelay is the expected delay above which a request is refused.
	maxDelay clock.Span
	// waited is how long the caller had waited before this attempt.
	waited clock.Span
	// resumed reports whether the caller has a part of the answer already.
	resumed bool
	// contended reports whether requests that could have met their target have been refused just now.
	contended bool
}

// missesTarget reports whether the request can't be answered within its target any more.
func (c overloadCheck) missesTarget() bool { return c.waited > c.target }

// refuses reports whether the request is refused, given its expected wait and delay at the best destination.
func (c overloadCheck) refuses(wait, delay clock.Span) bool {
	switch {
	case wait <= 0:
		return false
	case delay > c.maxDelay:
		return true
	}
	return c.missesTarget() && c.contended && !c.resumed && wait > c.target/lateWaitDivisor
}

// refusesForOverload decides whether the request is refused rather than sent to its best destination.
func (f *inflight) refusesForOverload(best destination) bool {
	if best.wait <= 0 {
		return false
	}
	now, service := f.server.clock.Now(), f.placement.Service
	check := overloadCheck{
		target: f.route.TargetLatency, maxDelay: f.maxDelay(), waited: f.elapsed, resumed: f.isResumption(),
		contended: f.server.state.contention.recent(now, service),
	}
	refused := check.refuses(best.wait, best.delay)
	if refused && !check.missesTarget() {
		f.server.state.contention.record(now, service)
	}
	return refused
}

// contention holds when a request that could have met its target was last refused, by service. It is safe for concurrent
// use.
type contention struct {
	mu      sync.Mutex
	refused map[ident.Service]clock.Time
}

func newContention() *contention { return &contention{refused: make(map[ident.Service]clock.Time)} }

func (c *contention) record(now clock.Time, service ident.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.refused, func(_ ident.Service, at clock.Time) bool { return now.Sub(at) > contentionTerm })
	c.refused[service] = now
}

func (c *contention) recent(now clock.Time, service ident.Service) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	at, ok := c.refused[service]
	return ok && now.Sub(at) <= contentionTerm
}

// timeLimits estimates how long callers have waited before their current attempt. A caller that repeats a request
// states what is left of its time, so that the difference to the usual time limit of the route has passed. It is safe for
// concurrent use.
type timeLimits struct {
	mu sync.Mutex
	// usual holds, by route, the estimate of the limit that nine of ten requests do not exceed. A few callers with odd
	// limits don't change it much.
	usual map[string]float64
}

func newTimeLimits() *timeLimits { return &timeLimits{usual: make(map[string]float64)} }

// elapsed records the time limit that a caller states for a route, and returns how long the caller has waited already.
func (l *timeLimits) elapsed(route string, limit clock.Span) clock.Span {
	l.mu.Lock()
	defer l.mu.Unlock()
	usual, known := l.usual[route]
	stated := float64(limit)
	switch {
	case !known:
		usual = stated
	case stated >= usual:
		usual = min(usual*(1+timeLimitStep), stated)
	default:
		usual *= 1 - timeLimitStep/9
	}
	l.usual[route] = usual
	return max(0, clock.Span(usual)-limit)
}

// keepOnly drops the routes that are no longer in the configuration.
func (l *timeLimits) keepOnly(names map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.usual, func(name string, _ float64) bool { return !names[name] })
}

// estimateElapsed estimates how long the caller has waited before this attempt.
func (f *inflight) estimateElapsed() {
	if f.meta.HasTimeout {
		f.elapsed = f.server.state.timeLimits.elapsed(f.route.Name, f.meta.Timeout)
	}
}
