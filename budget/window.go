package budget

import "github.com/tanagerbridge/tanagerbridge/clock"

// windowBuckets is the number of buckets that a window is divided into.
const windowBuckets = 10

// WindowConfig configures a Window.
type WindowConfig struct {
	// Span is the length of the window.
	Span clock.Span
	// Ratio is the number of retries allowed per first send.
	Ratio float64
	// Slack is the number of retries that all instances together may make beyond that.
	Slack float64
	// UsableShare is the share of both limits that is used. The rest covers the time that sends
	// take, and instances that are not known yet.
	UsableShare float64
	// StartedAt is when the process started, or 0 if no earlier process of the instance can have
	// used its part of the slack. The slack is available one window length after that.
	StartedAt clock.Time
}

// Window is a retry budget over a sliding window. Instances share it without communication:
// each uses the ratio for its own first sends and its part of the slack.
type Window struct {
	config     WindowConfig
	firstSends [windowBuckets]float64
	retries    [windowBuckets]float64
	current    int64
}

// NewWindow returns a Window without recorded sends.
func NewWindow(config WindowConfig) *Window { return &Window{config: config} }

// RecordFirst records a first send.
func (w *Window) RecordFirst(now clock.Time) {
	w.advance(now)
	w.firstSends[w.current%windowBuckets]++
}

// Take consumes one retry. It returns false if none is available. instances is the number
// of instances that share the slack.
func (w *Window) Take(now clock.Time, instances int) bool {
	w.advance(now)
	slack := w.config.Slack / float64(max(1, instances))
	if w.config.StartedAt > 0 && now.Sub(w.config.StartedAt) < w.config.Span {
		slack = 0
	}
	allowed := w.config.UsableShare * (w.config.Ratio*sum(w.firstSends) + slack)
	if sum(w.retries)+1 > allowed {
		return false
	}
	w.retries[w.current%windowBuckets]++
	return true
}

func sum(buckets [windowBuckets]float64) (total float64) {
	for _, p := range buckets {
		total += p
	}
	return total
}

// advance clears the buckets that have left the window.
func (w *Window) advance(now clock.Time) {
	next := int64(now) / max(1, int64(w.config.Span)/windowBuckets)
	if next-w.current > windowBuckets {
		w.current = next - windowBuckets
	}
	for w.current < next {
		w.current++
		w.firstSends[w.current%windowBuckets], w.retries[w.current%windowBuckets] = 0, 0
	}
}
