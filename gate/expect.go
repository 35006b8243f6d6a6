package gate

import (
	"maps"
	"math"
	"sync"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

const (
	// durationWeight is the weight of a new stream in the mean duration of its route, and deviationFactor how
	// many mean deviations above the mean a stream is expected to take.
	durationWeight  = 0.05
	deviationFactor = 2
)

// durations estimates how long the streams of each route take. It is safe for concurrent use.
type durations struct {
	mu     sync.Mutex
	routes map[string]*durationEstimate
}

// durationEstimate holds the mean duration of streams and its mean deviation, in ms.
type durationEstimate struct {
	mean      float64
	deviation float64
}

func newDurations() *durations { return &durations{routes: make(map[string]*durationEstimate)} }

// record adds a stream of a route that has ended whole.
func (d *durations) record(route string, took clock.Span) {
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate := d.routes[route]
	if estimate == nil {
		d.routes[route] = &durationEstimate{mean: float64(took), deviation: float64(took) / 2}
		return
	}
	difference := float64(took) - estimate.mean
	estimate.mean += durationWeight * difference
	estimate.deviation += durationWeight * (math.Abs(difference) - estimate.deviation)
}

// expected returns how long a stream of a route is expected to take, or false if none has been seen.
func (d *durations) expected(route string) (clock.Span, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	estimate := d.routes[route]
	if estimate == nil {
		return 0, false
	}
	return clock.Span(estimate.mean + deviationFactor*estimate.deviation), true
}

// keepOnly forgets the routes that are not listed.
func (d *durations) keepOnly(listed map[string]bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.routes, func(name string, _ *durationEstimate) bool { return !listed[name] })
}

// need returns the time that the request may take from now on.
func (f *inflight) need() need {
	expected := needTargets * f.route.TargetLatency
	if f.route.Stream {
		if seen, ok := f.server.state.durations.expected(f.route.Name); ok {
			expected = seen
		}
	}
	return need{expected: expected, limit: f.remaining(), stream: f.route.Stream, hopped: f.hopped()}
}

// recordDuration records how long a whole stream has taken.
func (f *inflight) recordDuration() {
	if !f.isResumption() {
		f.server.state.durations.record(f.route.Name, f.server.clock.Now().Sub(f.arrived))
	}
}
