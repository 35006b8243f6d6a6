package fakes

import (
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// State is the state of an endpoint in its load report.
type State string

// States of an endpoint.
const (
	StateReady   State = "ready"
	StateLeaving State = "leaving"
	StateLoading State = "loading"
)

// Load is the response to GET /v1/load.
type Load struct {
	State   State `json:"state"`
	Slots   int   `json:"slots"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	// Age is the age of the counts; the state is current.
	Age      clock.Span     `json:"age"`
	Prefixes []ident.Prefix `json:"prefixes,omitempty"`
	// Models are the loaded models; absent if the endpoint does not report them.
	Models  *[]string `json:"models,omitempty"`
	Loading []string  `json:"loading,omitempty"`
}

// sample holds the counts that apply from a point in time on.
type sample struct {
	since            time.Time
	running, waiting int
}

// laggingGauge keeps a history of the counts, so that they can be reported with a lag.
type laggingGauge struct {
	mu      sync.Mutex
	lag     time.Duration
	samples []sample
}

func newLaggingGauge(lag clock.Span) *laggingGauge { return &laggingGauge{lag: lag.Duration()} }

// set records the counts from now on.
func (g *laggingGauge) set(running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.samples = append(g.samples, sample{now, running, waiting})
	g.trim(now.Add(-g.lag))
}

// trim drops all samples before the one that applies at t.
func (g *laggingGauge) trim(t time.Time) {
	n := 0
	for n+1 < len(g.samples) && !g.samples[n+1].since.After(t) {
		n++
	}
	if n > 0 {
		g.samples = append(g.samples[:0], g.samples[n:]...)
	}
}

// read returns the counts as of one lag ago, and the lag as their age.
func (g *laggingGauge) read() (running, waiting int, age clock.Span) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := time.Now().Add(-g.lag)
	g.trim(t)
	if len(g.samples) == 0 || g.samples[0].since.After(t) {
		return 0, 0, clock.FromDuration(g.lag)
	}
	return g.samples[0].running, g.samples[0].waiting, clock.FromDuration(g.lag)
}
