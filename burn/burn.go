// Package burn measures how fast a service uses up what its objectives allow to
// go wrong, per service, class and region. Reports of several entries merge by
// their counts.
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

// Windows over which the burn rate is measured. A fast burn shows in the short
// one; the long one is also the period of the budget.
const (
	Short = 5 * clock.Minute
	Long  = 60 * clock.Minute
)

// Shares of requests that an objective allows to be bad.
const (
	// allowedLate belongs to the targets for tokens, which hold for 95 in 100.
	allowedLate = 0.05
	// allowedFailed belongs to availability. The bundle sets no target for it.
	allowedFailed = 0.01
)

// Objective names what is measured.
type Objective string

// Objectives.
const (
	// First: the first token came within the target of the class.
	First Objective = "first"
	// Between: the time between tokens was within the target of the class.
	Between Objective = "between"
	// Available: the request was neither refused nor broken off.
	Available Objective = "available"
)

// objectives lists all objectives in the order of reports.
var objectives = [...]Objective{First, Between, Available}

// ranUnknown is the value of Sample.Ran for an outcome that can't be found out.
const ranUnknown = "unknown"

// Sample describes one finished request.
type Sample struct {
	Service ident.Service
	Class   ident.Class
	Region  ident.Region
	// First is the time to the first token, Between the one between tokens (0 if
	// there was only one), Wait the time in the queue.
	First, Between, Wait clock.Span
	// Good says that the answer was complete.
	Good bool
	// Ran is "no", "yes" or "unknown".
	Ran string
	// Gone says that the caller went away; such a request is neither good nor bad.
	Gone bool
}

// Config is the configuration of a Meter.
type Config struct {
	// Entry is named in the reports.
	Entry   ident.Entry
	Classes []bundle.Class
	// Registry receives the histograms and counters; nil for one of its own.
	Registry metrics.Registry
}

// Meter keeps the measurements of one entry. It is not safe for concurrent use.
type Meter struct {
	entry    ident.Entry
	classes  []bundle.Class
	registry metrics.Registry
	series   []*series
}

// New returns a Meter.
func New(c Config) *Meter {
	if c.Registry == nil {
		c.Registry = metrics.NewRegistry()
	}
	return &Meter{entry: c.Entry, classes: slices.Clone(c.Classes), registry: c.Registry}
}

// Registry returns the registry with the histograms of the last hour and the
// counters since the start.
func (m *Meter) Registry() metrics.Registry { return m.registry }

// Objectives replaces the targets. What was counted before stays as it was judged.
func (m *Meter) Objectives(classes []bundle.Class) { m.classes = slices.Clone(classes) }

// Record counts one finished request.
func (m *Meter) Record(now clock.Time, s Sample) {
	e := m.find(s)
	e.at(now)
	current := e.counts.current()
	switch {
	case s.Gone:
		current.gone++
		return
	case s.Ran == ranUnknown:
		// An unknown outcome isn't a failure: the request may have been served.
		current.unknown++
		e.unknown.Inc(1)
		return
	}
	e.judge(current, Available, s.Good)
	if !s.Good {
		return
	}
	m.times(e, current, s)
}

// times records how long a complete request took.
func (m *Meter) times(e *series, current *counts, s Sample) {
	e.wait.Update(int64(s.Wait))
	e.first.Update(int64(s.First))
	if s.Between > 0 {
		e.between.Update(int64(s.Between))
	}
	c := m.class(s.Class)
	if c.First > 0 {
		e.judge(current, First, s.First <= c.First)
	}
	if c.Between > 0 && s.Between > 0 {
		e.judge(current, Between, s.Between <= c.Between)
	}
}

// class returns the targets of a class; without them nothing is judged by time.
func (m *Meter) class(name ident.Class) bundle.Class {
	for _, c := range m.classes {
		if c.Name == name {
			return c
		}
	}
	return bundle.Class{}
}

// find returns the series of a sample; it makes one at the first sample.
func (m *Meter) find(s Sample) *series {
	k := key{s.Service, s.Class, s.Region}
	i, found := slices.BinarySearchFunc(m.series, k, func(e *series, k key) int { return e.key.compare(k) })
	if !found {
		m.series = slices.Insert(m.series, i, newSeries(k, m.registry))
	}
	return m.series[i]
}

// key identifies a series.
type key struct {
	service ident.Service
	class   ident.Class
	region  ident.Region
}

func (k key) compare(l key) int {
	return cmp.Or(cmp.Compare(k.service, l.service), cmp.Compare(k.class, l.class), cmp.Compare(k.region, l.region))
}

// name returns the name of a metric of the series.
func (k key) name(metric string) string {
	return strings.Join([]string{metric, string(k.service), string(k.class), string(k.region)}, ".")
}

// series holds the measurements of one key.
type series struct {
	key                  key
	spreads              [3]*spread
	first, between, wait metrics.Histogram
	good, bad            [len(objectives)]metrics.Counter
	unknown              metrics.Counter
	counts               ring
}

func newSeries(k key, r metrics.Registry) *series {
	e := &series{key: k}
	histograms := [...]*metrics.Histogram{&e.first, &e.between, &e.wait}
	for i, name := range [...]string{"first", "between", "wait"} {
		e.spreads[i] = &spread{}
		*histograms[i] = metrics.NewHistogram(e.spreads[i])
		_ = r.Register(k.name(name), *histograms[i]) // fails only for a name already there
	}
	for i, o := range objectives {
		e.good[i] = metrics.NewRegisteredCounter(k.name("good-"+string(o)), r)
		e.bad[i] = metrics.NewRegisteredCounter(k.name("bad-"+string(o)), r)
	}
	e.unknown = metrics.NewRegisteredCounter(k.name("unknown"), r)
	return e
}

// at moves the series on to the minute of now.
func (e *series) at(now clock.Time) {
	minute := int64(now) / int64(clock.Minute)
	e.counts.at(minute)
	for _, s := range e.spreads {
		s.at(minute)
	}
}

func (e *series) judge(c *counts, o Objective, good bool) {
	i := slices.Index(objectives[:], o)
	if good {
		c.tallies[i].Good++
		e.good[i].Inc(1)
		return
	}
	c.tallies[i].Bad++
	e.bad[i].Inc(1)
}
