package fakes

import (
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// State is the state of an endpoint as its load report names it.
type State string

// States of an endpoint.
const (
	StateReady   State = "ready"
	StateLeaving State = "leaving"
	StateLoading State = "loading"
)

// Load is the answer to GET /v1/load.
type Load struct {
	State   State `json:"state"`
	Slots   int   `json:"slots"`
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	// Age is how old the counts are. The state is current.
	Age      clock.Span     `json:"age"`
	Prefixes []ident.Prefix `json:"prefixes,omitempty"`
	// Models are the models that are loaded; absent if the endpoint doesn't tell.
	Models  *[]string `json:"models,omitempty"`
	Loading []string  `json:"loading,omitempty"`
}

// sample holds the counts from one point in time on.
type sample struct {
	at               time.Time
	running, waiting int
}

// gauge remembers the counts of the last moments, so that reports can lag.
type gauge struct {
	mu      sync.Mutex
	lag     time.Duration
	samples []sample
}

func newGauge(lag clock.Span) *gauge { return &gauge{lag: lag.Duration()} }

// set records the counts from now on.
func (g *gauge) set(running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	g.samples = append(g.samples, sample{now, running, waiting})
	g.trim(now.Add(-g.lag))
}

// trim drops all samples before the one that holds at t.
func (g *gauge) trim(t time.Time) {
	n := 0
	for n+1 < len(g.samples) && !g.samples[n+1].at.After(t) {
		n++
	}
	if n > 0 {
		g.samples = append(g.samples[:0], g.samples[n:]...)
	}
}

// read returns the counts as they were one lag ago.
func (g *gauge) read() (running, waiting int, age clock.Span) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := time.Now().Add(-g.lag)
	g.trim(t)
	if len(g.samples) == 0 || g.samples[0].at.After(t) {
		return 0, 0, clock.Of(g.lag)
	}
	return g.samples[0].running, g.samples[0].waiting, clock.Of(g.lag)
}
