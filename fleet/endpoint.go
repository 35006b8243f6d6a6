package fleet

import (
	"math"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// State is the state of an endpoint as this entry sees it.
type State string

// States of an endpoint.
const (
	Live    State = "live"
	Leaving State = "leaving"
	Down    State = "down"
	Loading State = "loading"
)

// Condition is what an endpoint says of itself.
type Condition string

// Conditions that an endpoint reports.
const (
	ConditionReady   Condition = "ready"
	ConditionLeaving Condition = "leaving"
	ConditionLoading Condition = "loading"
)

// Report is an endpoint's report of its load.
type Report struct {
	// Age is how old the figures are.
	Age     clock.Span
	State   Condition
	Slots   int
	Running int
	Waiting int
	// Prefixes are the prompt prefixes in the endpoint's cache.
	Prefixes []ident.Prefix
	// Lists says that the endpoint tells which models it has loaded. One that
	// doesn't counts as having its service's model.
	Lists  bool
	Models []string
	// Loading are the models that it is loading.
	Loading []string
}

const (
	// ramp is how long an endpoint with a cold cache takes to get its full share.
	ramp = 10 * clock.Second
	// start is the share of its slots that a cold endpoint gets at once.
	start = 0.1
	// memory is how far back the number of own attempts is known, longer than
	// reports lag.
	memory = 10 * clock.Second
	// points bounds the history of that number.
	points = 256
)

// endpoint is one back end.
type endpoint struct {
	name    ident.Endpoint
	address string
	service ident.Service
	region  ident.Region
	group   *group
	slots   int
	state   State
	// listed is when the instance was first seen on the list; relisted says that
	// this was after the first list.
	listed   clock.Time
	relisted bool
	// missing is since when the list lacks the endpoint; 0 if it is listed.
	missing clock.Time
	// left is when the endpoint began to leave.
	left clock.Time
	// crashed is when the endpoint last crashed.
	crashed clock.Time
	// warming is when the endpoint became live with a cold cache; 0 if it is warm.
	warming clock.Time
	missed  int
	// heard is when a report last came.
	heard    clock.Time
	reported bool
	// lists and models are what the last report said of models.
	lists  bool
	models []string
	// load is what the last report said, others its part that is not of this entry.
	load     float64
	others   float64
	prefixes map[ident.Prefix]bool
	// attempts are those in flight, oldest first.
	attempts []*attempt
	long     int
	alone    int
	history  []point
	slow     slowness
}

// point is the number of own attempts in flight from a time on.
type point struct {
	at    clock.Time
	count int
}

func newEndpoint(now clock.Time, i watch.Instance) *endpoint {
	return &endpoint{
		name:    ident.Endpoint(i.Name),
		address: i.Address,
		service: i.Service,
		region:  i.Region,
		slots:   max(1, i.Slots),
		state:   Live,
		listed:  now,
		slow:    newSlowness(),
	}
}

// same reports whether the row i is about this instance and no successor.
func (e *endpoint) same(i watch.Instance) bool {
	return e.address == i.Address && e.service == i.Service && e.region == i.Region
}

// over reports whether an endpoint that is off the list can be forgotten.
func (e *endpoint) over(now clock.Time) bool {
	if e.missing == 0 {
		return false
	}
	answers := e.reported && e.missed == 0 && now.Sub(e.heard) <= maxReportAge
	return e.state == Leaving || !answers || now.Sub(e.missing) >= unlistedTerm
}

// leave makes the endpoint leaving for good.
func (e *endpoint) leave(at clock.Time) {
	if e.state == Leaving {
		return
	}
	e.state = Leaving
	e.left = at
	e.group.changed = true
}

// fail makes the endpoint down until a good report.
func (e *endpoint) fail() {
	if e.state != Leaving {
		e.state = Down
	}
	e.group.changed = true
}

// report takes in a load report.
func (e *endpoint) report(now clock.Time, r Report) {
	if !e.reported && len(r.Prefixes) > 0 {
		e.warming = 0
	}
	e.heard = now
	e.reported = true
	e.missed = 0
	at := now.Add(-max(0, r.Age))
	if r.Slots > 0 {
		e.slots = r.Slots
	}
	e.load = float64(max(0, r.Running) + max(0, r.Waiting))
	e.others = max(0, e.load-float64(e.inFlightAt(at)))
	e.cache(r.Prefixes)
	e.lists, e.models = r.Lists, r.Models
	state := r.State
	if state == ConditionReady && !e.has(e.group.model) {
		state = ConditionLoading
	}
	e.turn(now, at, state)
	e.group.changed = true
}

// has reports whether the endpoint has a model loaded, as far as it says.
func (e *endpoint) has(model string) bool {
	return !e.lists || model == "" || slices.Contains(e.models, model)
}

// cache takes in the prefixes that the endpoint holds.
func (e *endpoint) cache(held []ident.Prefix) {
	if e.prefixes == nil {
		e.prefixes = make(map[ident.Prefix]bool, len(held))
	}
	clear(e.prefixes)
	for _, p := range held {
		e.prefixes[p] = true
	}
}

// turn takes in the state that was reported as of the time at. Figures from before
// a crash don't prove that the endpoint is back.
func (e *endpoint) turn(now, at clock.Time, c Condition) {
	switch {
	case e.state == Leaving:
	case c == ConditionLeaving:
		e.leave(now)
	case c == ConditionLoading:
		e.state = Loading
	case e.state == Live || at.Before(e.crashed):
	case e.crashed != 0 || len(e.prefixes) == 0:
		e.warm(now)
	default:
		e.state = Live
	}
}

// warm makes the endpoint live with a cold cache.
func (e *endpoint) warm(now clock.Time) {
	e.state = Live
	e.warming = now
	e.crashed = 0
}

// cold returns the share of its slots, below 1, that an endpoint with a cold cache
// may use, or 1.
func (e *endpoint) cold(now clock.Time) float64 {
	if e.warming == 0 {
		return 1
	}
	passed := float64(now.Sub(e.warming)) / float64(ramp)
	if passed >= 1 {
		e.warming = 0
		return 1
	}
	return start + (1-start)*passed
}

// estimate returns the load: own attempts in flight and what others were seen to have.
func (e *endpoint) estimate() float64 { return float64(len(e.attempts)) + e.others }

// note adds the present number of own attempts to the history.
func (e *endpoint) note(now clock.Time) {
	e.group.changed = true
	p := point{at: now, count: len(e.attempts)}
	if n := len(e.history); n > 0 && e.history[n-1].at == now {
		e.history[n-1] = p
		return
	}
	e.history = append(e.history, p)
	old := 0
	for old < len(e.history)-1 && (now.Sub(e.history[old+1].at) >= memory || len(e.history)-old > points) {
		old++
	}
	e.history = append(e.history[:0], e.history[old:]...)
}

// inFlightAt returns the number of own attempts at the time at.
func (e *endpoint) inFlightAt(at clock.Time) int {
	for _, v := range slices.Backward(e.history) {
		if !v.at.After(at) {
			return v.count
		}
	}
	if len(e.history) == points {
		return e.history[0].count
	}
	return 0
}

// capacity returns the slots that may be used now; floor is the least share.
func (e *endpoint) capacity(now clock.Time, floor float64) int {
	c := max(floor, e.cold(now))
	return max(1, int(math.Ceil(c*float64(e.slots))))
}
