// Package burn measures the burn rate of error budgets: how fast the requests that miss an
// objective use up the share allowed to miss it, per service, class and region. Reports of
// several entries are merged by adding their counts.
package burn

import (
	"cmp"
	"slices"
	"strings"

	"github.com/rcrowley/go-metrics"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Windows over which the burn rate is measured. The short one detects a fast burn; the long
// one is also the period of the error budget.
const (
	ShortWindow = 5 * clock.Minute
	LongWindow  = 60 * clock.Minute
)

// Shares of requests that may miss an objective.
const (
	// allowedLate applies to the token time targets, which must hold for 95 % of requests.
	allowedLate = 0.05
	// allowedFailed applies to availability, for which the bundle sets no target.
	allowedFailed = 0.01
)

// Objective is a service level objective.
type Objective string

// Objectives measured by a Meter.
const (
	// FirstToken: the first token arrived within the target of the class.
	FirstToken Objective = "first"
	// BetweenTokens: the time between tokens was within the target of the class.
	BetweenTokens Objective = "between"
	// Availability: the request was neither refused nor interrupted.
	Availability Objective = "available"
)

// objectives lists all objectives in report order.
var objectives = [...]Objective{FirstToken, BetweenTokens, Availability}

// ranUnknown is the value of Sample.Ran for a request whose outcome cannot be determined.
const ranUnknown = "unknown"

// Sample is the measurement of one finished request.
type Sample struct {
	Service ident.Service
	Class   ident.Class
	Region  ident.Region
	// First is the time to the first token, Between the time between tokens (0 if there was
	// only one), and Wait the time in the queue.
	First, Between, Wait clock.Span
	// Complete is set if the response was complete.
	Complete bool
	// Ran tells whether the request was run: "no", "yes" or "unknown".
	Ran string
	// CallerDisconnected is set if the caller disconnected; such a request is neither good nor bad.
	CallerDisconnected bool
}

// Config configures a Meter.
type Config struct {
	// Entry is the name of the entry in reports.
	Entry   ident.Entry
	Classes []bundle.Class
	// Registry receives the histograms and counters; nil creates a new registry.
	Registry metrics.Registry
}

// Meter holds the measurements of one entry. It is not safe for concurrent use.
type Meter struct {
	entry    ident.Entry
	classes  []bundle.Class
	registry metrics.Registry
	series   []*series
}

// New returns a Meter without measurements.
func New(config Config) *Meter {
	if config.Registry == nil {
		config.Registry = metrics.NewRegistry()
	}
	return &Meter{entry: config.Entry, classes: slices.Clone(config.Classes), registry: config.Registry}
}

// Registry returns the registry with the histograms of the last hour and the counters since
// the start of the process.
func (m *Meter) Registry() metrics.Registry { return m.registry }

// SetTargets replaces the targets. Requests already counted are not re-evaluated.
func (m *Meter) SetTargets(classes []bundle.Class) { m.classes = slices.Clone(classes) }

// Record counts one finished request.
func (m *Meter) Record(now clock.Time, sample Sample) {
	series := m.findSeries(sample)
	series.advance(now)
	current := series.counts.current()
	switch {
	case sample.CallerDisconnected:
		current.disconnected++
		return
	case sample.Ran == ranUnknown:
		// Not counted as a failure: the request may have been served.
		current.unknown++
		series.unknown.Inc(1)
		return
	}
	series.countObjective(current, Availability, sample.Complete)
	if !sample.Complete {
		return
	}
	m.recordTimes(series, current, sample)
}

// recordTimes records the times of a complete request.
func (m *Meter) recordTimes(series *series, current *minuteCounts, sample Sample) {
	series.wait.Update(int64(sample.Wait))
	series.first.Update(int64(sample.First))
	if sample.Between > 0 {
		series.between.Update(int64(sample.Between))
	}
	class := m.targets(sample.Class)
	if class.FirstTokenTarget > 0 {
		series.countObjective(current, FirstToken, sample.First <= class.FirstTokenTarget)
	}
	if class.BetweenTokensTarget > 0 && sample.Between > 0 {
		series.countObjective(current, BetweenTokens, sample.Between <= class.BetweenTokensTarget)
	}
}

// targets returns the class with its targets, or a zero Class, which sets none.
func (m *Meter) targets(name ident.Class) bundle.Class {
	for _, c := range m.classes {
		if c.Name == name {
			return c
		}
	}
	return bundle.Class{}
}

// findSeries returns the series of a sample, creating it if necessary.
func (m *Meter) findSeries(sample Sample) *series {
	key := seriesKey{sample.Service, sample.Class, sample.Region}
	position, found := slices.BinarySearchFunc(m.series, key, func(e *series, k seriesKey) int { return e.key.compare(k) })
	if !found {
		m.series = slices.Insert(m.series, position, newSeries(key, m.registry))
	}
	return m.series[position]
}

// seriesKey identifies a series.
type seriesKey struct {
	service ident.Service
	class   ident.Class
	region  ident.Region
}

func (k seriesKey) compare(other seriesKey) int {
	return cmp.Or(cmp.Compare(k.service, other.service), cmp.Compare(k.class, other.class), cmp.Compare(k.region, other.region))
}

// metricName returns the registry name of a metric of the series.
func (k seriesKey) metricName(metric string) string {
	return strings.Join([]string{metric, string(k.service), string(k.class), string(k.region)}, ".")
}

// series holds the measurements of one key.
type series struct {
	key                  seriesKey
	samples              [3]*slidingSample
	first, between, wait metrics.Histogram
	good, bad            [len(objectives)]metrics.Counter
	unknown              metrics.Counter
	counts               minuteRing
}

func newSeries(key seriesKey, registry metrics.Registry) *series {
	series := &series{key: key}
	histograms := [...]*metrics.Histogram{&series.first, &series.between, &series.wait}
	for i, name := range [...]string{"first", "between", "wait"} {
		series.samples[i] = &slidingSample{}
		*histograms[i] = metrics.NewHistogram(series.samples[i])
		_ = registry.Register(key.metricName(name), *histograms[i]) // fails only for a name that is already registered
	}
	for i, o := range objectives {
		series.good[i] = metrics.NewRegisteredCounter(key.metricName("good-"+string(o)), registry)
		series.bad[i] = metrics.NewRegisteredCounter(key.metricName("bad-"+string(o)), registry)
	}
	series.unknown = metrics.NewRegisteredCounter(key.metricName("unknown"), registry)
	return series
}

// advance moves the windows of the series to the minute of now.
func (s *series) advance(now clock.Time) {
	minute := int64(now) / int64(clock.Minute)
	s.counts.advance(minute)
	for _, h := range s.samples {
		h.advance(minute)
	}
}

func (s *series) countObjective(current *minuteCounts, objective Objective, good bool) {
	position := slices.Index(objectives[:], objective)
	if good {
		current.tallies[position].Good++
		s.good[position].Inc(1)
		return
	}
	current.tallies[position].Bad++
	s.bad[position].Inc(1)
}
