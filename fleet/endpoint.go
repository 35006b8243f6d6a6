package fleet

import (
	"math"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// State is the state of an endpoint as seen by this entry.
type State string

// States of an endpoint.
const (
	// Live means that the endpoint may receive work.
	Live State = "live"
	// Leaving means that the endpoint is shutting down; this state is final.
	Leaving State = "leaving"
	// Down means that the endpoint crashed, was unreachable or missed its reports.
	Down State = "down"
	// Loading means that the endpoint reports so or lacks its service's model.
	Loading State = "loading"
)

// Condition is the state that an endpoint reports.
type Condition string

// Conditions that an endpoint reports.
const (
	ConditionReady   Condition = "ready"
	ConditionLeaving Condition = "leaving"
	ConditionLoading Condition = "loading"
)

// Report is a load report of an endpoint.
type Report struct {
	// Age is the age of the figures.
	Age     clock.Span
	State   Condition
	Slots   int
	Running int
	Waiting int
	// Prefixes are the prompt prefixes in the endpoint's KV cache.
	Prefixes []ident.Prefix
	// ListsModels is set if the endpoint reports its loaded models. An endpoint that does not
	// is assumed to have its service's model.
	ListsModels bool
	Models      []string
	// Loading are the models being loaded.
	Loading []string
}

const (
	// warmupTime is how long an endpoint with a cold cache takes to reach its full share.
	warmupTime = 10 * clock.Second
	// coldStartShare is the share of its slots that a cold endpoint gets at first.
	coldStartShare = 0.1
	// historySpan is how far back the number of own attempts is known. It is longer than
	// the lag of reports.
	historySpan = 10 * clock.Second
	// maxHistory bounds the entries of that history.
	maxHistory = 256
)

// endpoint is the tracked state of one endpoint.
type endpoint struct {
	name    ident.Endpoint
	address string
	service ident.Service
	region  ident.Region
	group   *group
	slots   int
	state   State
	// listedAt is when the instance first appeared on the list; addedLater is set if that
	// was after the first list.
	listedAt   clock.Time
	addedLater bool
	// missingSince is when the endpoint disappeared from the list; 0 if it is listed.
	missingSince clock.Time
	// leavingSince is when the endpoint started to leave.
	leavingSince clock.Time
	// crashedAt is when the endpoint last crashed.
	crashedAt clock.Time
	// warmingSince is when the endpoint became live with a cold cache; 0 if it is warm.
	warmingSince  clock.Time
	missedReports int
	// reportedAt is when the last report arrived.
	reportedAt clock.Time
	reported   bool
	// listsModels and models are from the last report.
	listsModels bool
	models      []string
	// reportedLoad is from the last report; othersLoad is the part caused by other entries.
	reportedLoad float64
	othersLoad   float64
	prefixes     map[ident.Prefix]bool
	// attempts are this entry's attempts in flight, oldest first.
	attempts          []*attempt
	longAttempts      int
	exclusiveAttempts int
	history           []attemptCount
	speed             speedStats
}

// attemptCount is the number of own attempts in flight from a point in time.
type attemptCount struct {
	at    clock.Time
	count int
}

func newEndpoint(now clock.Time, instance watch.Instance) *endpoint {
	return &endpoint{
		name:     ident.Endpoint(instance.Name),
		address:  instance.Address,
		service:  instance.Service,
		region:   instance.Region,
		slots:    max(1, instance.Slots),
		state:    Live,
		listedAt: now,
		speed:    newSpeedStats(),
	}
}

// sameInstance reports whether the row describes this instance rather than a successor
// with the same name.
func (e *endpoint) sameInstance(instance watch.Instance) bool {
	return e.address == instance.Address && e.service == instance.Service && e.region == instance.Region
}

// expired reports whether an endpoint that is off the list can be removed.
func (e *endpoint) expired(now clock.Time) bool {
	if e.missingSince == 0 {
		return false
	}
	answering := e.reported && e.missedReports == 0 && now.Sub(e.reportedAt) <= maxReportAge
	return e.state == Leaving || !answering || now.Sub(e.missingSince) >= unlistedRetention
}

// markLeaving marks the endpoint as leaving, which is final.
func (e *endpoint) markLeaving(since clock.Time) {
	if e.state == Leaving {
		return
	}
	e.state = Leaving
	e.leavingSince = since
	e.group.dirty = true
}

// markDown marks the endpoint down until its next good report.
func (e *endpoint) markDown() {
	if e.state != Leaving {
		e.state = Down
	}
	e.group.dirty = true
}

// applyReport applies a load report.
func (e *endpoint) applyReport(now clock.Time, report Report) {
	if !e.reported && len(report.Prefixes) > 0 {
		e.warmingSince = 0
	}
	e.reportedAt = now
	e.reported = true
	e.missedReports = 0
	measuredAt := now.Add(-max(0, report.Age))
	if report.Slots > 0 {
		e.slots = report.Slots
	}
	e.reportedLoad = float64(max(0, report.Running) + max(0, report.Waiting))
	e.othersLoad = max(0, e.reportedLoad-float64(e.inFlightAt(measuredAt)))
	e.setPrefixes(report.Prefixes)
	e.listsModels, e.models = report.ListsModels, report.Models
	state := report.State
	if state == ConditionReady && !e.hasModel(e.group.model) {
		state = ConditionLoading
	}
	e.applyCondition(now, measuredAt, state)
	e.group.dirty = true
}

// hasModel reports whether the endpoint has the model loaded. It is assumed to if it does
// not report its models.
func (e *endpoint) hasModel(model string) bool {
	return !e.listsModels || model == "" || slices.Contains(e.models, model)
}

// setPrefixes replaces the set of cached prefixes.
func (e *endpoint) setPrefixes(prefixes []ident.Prefix) {
	if e.prefixes == nil {
		e.prefixes = make(map[ident.Prefix]bool, len(prefixes))
	}
	clear(e.prefixes)
	for _, p := range prefixes {
		e.prefixes[p] = true
	}
}

// applyCondition applies a reported condition. A report measured before a crash does not
// bring the endpoint back.
func (e *endpoint) applyCondition(now, measuredAt clock.Time, condition Condition) {
	switch {
	case e.state == Leaving:
	case condition == ConditionLeaving:
		e.markLeaving(now)
	case condition == ConditionLoading:
		e.state = Loading
	case e.state == Live || measuredAt.Before(e.crashedAt):
	case e.crashedAt != 0 || len(e.prefixes) == 0:
		e.startWarmup(now)
	default:
		e.state = Live
	}
}

// startWarmup marks the endpoint live with a cold cache.
func (e *endpoint) startWarmup(now clock.Time) {
	e.state = Live
	e.warmingSince = now
	e.crashedAt = 0
}

// warmupShare returns the share of its slots that the endpoint may use: below 1 while its
// cache is cold, then 1.
func (e *endpoint) warmupShare(now clock.Time) float64 {
	if e.warmingSince == 0 {
		return 1
	}
	passed := float64(now.Sub(e.warmingSince)) / float64(warmupTime)
	if passed >= 1 {
		e.warmingSince = 0
		return 1
	}
	return coldStartShare + (1-coldStartShare)*passed
}

// estimatedLoad returns the own attempts in flight plus the last known load of others.
func (e *endpoint) estimatedLoad() float64 { return float64(len(e.attempts)) + e.othersLoad }

// recordCount appends the current number of own attempts to the history.
func (e *endpoint) recordCount(now clock.Time) {
	e.group.dirty = true
	entry := attemptCount{at: now, count: len(e.attempts)}
	if length := len(e.history); length > 0 && e.history[length-1].at == now {
		e.history[length-1] = entry
		return
	}
	e.history = append(e.history, entry)
	old := 0
	for old < len(e.history)-1 && (now.Sub(e.history[old+1].at) >= historySpan || len(e.history)-old > maxHistory) {
		old++
	}
	e.history = append(e.history[:0], e.history[old:]...)
}

// inFlightAt returns the number of own attempts in flight at a point in time.
func (e *endpoint) inFlightAt(moment clock.Time) int {
	for _, v := range slices.Backward(e.history) {
		if !v.at.After(moment) {
			return v.count
		}
	}
	if len(e.history) == maxHistory {
		return e.history[0].count
	}
	return 0
}

// capacity returns the number of usable slots; floor is the minimum share.
func (e *endpoint) capacity(now clock.Time, floor float64) int {
	share := max(floor, e.warmupShare(now))
	return max(1, int(math.Ceil(share*float64(e.slots))))
}
