package budget

import "github.com/tanagerbridge/tanagerbridge/clock"

// buckets is into how many parts a window is divided.
const buckets = 10

// WindowConfig configures a Window.
type WindowConfig struct {
	// Span is the length of the window.
	Span clock.Span
	// Ratio is how many retries each first send allows.
	Ratio float64
	// Slack is how many retries all instances together may make beyond that.
	Slack float64
	// Margin is the part of both that is used. The rest covers the time that sends take and
	// instances that are not known.
	Margin float64
	// Begun is when the process began, 0 if no earlier process of the instance can have used
	// up its part of the slack. The slack counts from a window's length after that.
	Begun clock.Time
}

// Window is a retry budget over a sliding window that instances share without talking to
// each other: each uses the ratio for its own first sends and its part of the slack.
type Window struct {
	c       WindowConfig
	firsts  [buckets]float64
	retries [buckets]float64
	at      int64
}

// NewWindow returns a Window without sends.
func NewWindow(c WindowConfig) *Window { return &Window{c: c} }

// First records a first send.
func (w *Window) First(now clock.Time) {
	w.turn(now)
	w.firsts[w.at%buckets]++
}

// Take uses up one retry, or returns false if there is none. instances is how many may
// use the slack.
func (w *Window) Take(now clock.Time, instances int) bool {
	w.turn(now)
	slack := w.c.Slack / float64(max(1, instances))
	if w.c.Begun > 0 && now.Sub(w.c.Begun) < w.c.Span {
		slack = 0
	}
	allowed := w.c.Margin * (w.c.Ratio*sum(w.firsts) + slack)
	if sum(w.retries)+1 > allowed {
		return false
	}
	w.retries[w.at%buckets]++
	return true
}

func sum(parts [buckets]float64) (total float64) {
	for _, p := range parts {
		total += p
	}
	return total
}

// turn empties the parts that have left the window.
func (w *Window) turn(now clock.Time) {
	next := int64(now) / max(1, int64(w.c.Span)/buckets)
	if next-w.at > buckets {
		w.at = next - buckets
	}
	for w.at < next {
		w.at++
		w.firsts[w.at%buckets], w.retries[w.at%buckets] = 0, 0
	}
}
