package burn

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Never is the value of ObjectiveBurn.Exhaustion if the burn rate is 0.
const Never clock.Span = -1

// Report holds the measurements of one or more entries.
type Report struct {
	// Entries are the entries covered by the report.
	Entries []ident.Entry `json:"entries"`
	// Missing are the entries whose report could not be read.
	Missing []Missing `json:"missing,omitempty"`
	Series  []Series  `json:"series"`
}

// Missing is an entry without a report.
type Missing struct {
	// Entry is its name, or its address if the name is unknown.
	Entry string `json:"entry"`
	Cause string `json:"cause"`
}

// Series is the report for one service, class and region.
type Series struct {
	Service ident.Service   `json:"service"`
	Class   ident.Class     `json:"class"`
	Region  ident.Region    `json:"region"`
	Burns   []ObjectiveBurn `json:"burns"`
	// UnknownOutcomes counts requests of the last hour whose outcome cannot be determined.
	UnknownOutcomes int64 `json:"unknown"`
	// CallerDisconnected counts requests of the last hour whose caller disconnected.
	CallerDisconnected int64 `json:"gone"`
	// First, Between and Wait cover the complete requests of the last hour.
	First   Buckets `json:"first"`
	Between Buckets `json:"between"`
	Wait    Buckets `json:"wait"`
}

// ObjectiveBurn is the state of one objective.
type ObjectiveBurn struct {
	Objective Objective `json:"objective"`
	// Target is in ms; 0 if the objective is not a time.
	Target clock.Span `json:"target"`
	// Allowed is the share of requests that may miss the objective.
	Allowed float64 `json:"allowed"`
	Short   Tally   `json:"short"`
	Long    Tally   `json:"long"`
	// ShortRate and LongRate are the bad share divided by the allowed share. At 1 the error
	// budget is used up exactly at the end of its period.
	ShortRate float64 `json:"shortrate"`
	LongRate  float64 `json:"longrate"`
	// BudgetLeft is the share of the long window's error budget that is left; it is negative if
	// more requests were bad than allowed.
	BudgetLeft float64 `json:"left"`
	// Exhaustion is the time in ms until the error budget is used up at the short rate: 0 if
	// it already is, Never if no request was bad in the short window.
	Exhaustion clock.Span `json:"exhaustion"`
}

// Buckets is a histogram of times. Counts[i] is the number of values up to 2^(i/2) ms and
// above the previous bound; the last of the 40 buckets is unbounded. Trailing zeros are
// omitted.
type Buckets struct {
	Counts []int64 `json:"counts"`
	// Sum is the sum of all values in ms.
	Sum int64 `json:"sum"`
}

// Count returns the number of values.
func (b Buckets) Count() int64 {
	var total int64
	for _, c := range b.Counts {
		total += c
	}
	return total
}

// Mean returns the mean in ms, or 0 without values.
func (b Buckets) Mean() float64 {
	total := b.Count()
	if total == 0 {
		return 0
	}
	return float64(b.Sum) / float64(total)
}

// Percentile returns the upper bound in ms of the bucket that contains the quantile at
// share, from 0 to 1; 0 without values.
func (b Buckets) Percentile(share float64) float64 {
	total := b.Count()
	rank := share * float64(total)
	var seen int64
	for i, c := range b.Counts {
		seen += c
		if c > 0 && float64(seen) >= rank {
			return bucketBound(i)
		}
	}
	return 0
}

// plus returns the sum of two histograms.
func (b Buckets) plus(other Buckets) Buckets {
	sum := Buckets{Counts: make([]int64, max(len(b.Counts), len(other.Counts))), Sum: b.Sum + other.Sum}
	copy(sum.Counts, b.Counts)
	for i, c := range other.Counts {
		sum.Counts[i] += c
	}
	return sum
}

func (b Buckets) trimmed() Buckets {
	for len(b.Counts) > 0 && b.Counts[len(b.Counts)-1] == 0 {
		b.Counts = b.Counts[:len(b.Counts)-1]
	}
	return b
}

// Report returns the measurements of the windows that end at now.
func (m *Meter) Report(now clock.Time) Report {
	report := Report{Entries: []ident.Entry{m.entry}, Series: []Series{}}
	for _, e := range m.series {
		e.advance(now)
		report.Series = append(report.Series, m.seriesReport(e))
	}
	return report
}

func (m *Meter) seriesReport(series *series) Series {
	long, short := series.counts.sum(longMinutes), series.counts.sum(shortMinutes)
	result := Series{
		Service: series.key.service, Class: series.key.class, Region: series.key.region,
		UnknownOutcomes: long.unknown, CallerDisconnected: long.disconnected,
		First:   series.samples[0].buckets().trimmed(),
		Between: series.samples[1].buckets().trimmed(),
		Wait:    series.samples[2].buckets().trimmed(),
	}
	class := m.targets(series.key.class)
	targets := [len(objectives)]clock.Span{class.FirstTokenTarget, class.BetweenTokensTarget, 0}
	for i, o := range objectives {
		burn := ObjectiveBurn{Objective: o, Target: targets[i], Allowed: allowedShare(o), Short: short.tallies[i], Long: long.tallies[i]}
		result.Burns = append(result.Burns, burn.withRates())
	}
	return result
}

func allowedShare(objective Objective) float64 {
	if objective == Availability {
		return allowedFailed
	}
	return allowedLate
}

// withRates returns a copy with the fields that are computed from the counts.
func (b ObjectiveBurn) withRates() ObjectiveBurn {
	b.ShortRate, b.LongRate = b.burnRate(b.Short), b.burnRate(b.Long)
	b.BudgetLeft = 1 - b.LongRate
	switch {
	case b.BudgetLeft <= 0:
		b.Exhaustion = 0
	case b.ShortRate == 0:
		b.Exhaustion = Never
	default:
		b.Exhaustion = clock.Span(b.BudgetLeft * float64(LongWindow) / b.ShortRate)
	}
	return b
}

func (b ObjectiveBurn) burnRate(tally Tally) float64 {
	if tally.Bad == 0 || b.Allowed <= 0 {
		return 0
	}
	return float64(tally.Bad) / float64(tally.Good+tally.Bad) / b.Allowed
}

// Merge adds up the reports of several entries. It skips a report of an entry that is
// already covered, so that nothing is counted twice.
func Merge(reports []Report) Report {
	sum := Report{Entries: []ident.Entry{}, Series: []Series{}}
	for _, r := range reports {
		sum.Missing = append(sum.Missing, r.Missing...)
		if overlaps(sum.Entries, r.Entries) {
			continue
		}
		sum.Entries = append(sum.Entries, r.Entries...)
		for _, s := range r.Series {
			sum.addSeries(s)
		}
	}
	slices.Sort(sum.Entries)
	return sum
}

// overlaps reports whether any of the entries is in all.
func overlaps(all, entries []ident.Entry) bool {
	return slices.ContainsFunc(entries, func(e ident.Entry) bool { return slices.Contains(all, e) })
}

func (r *Report) addSeries(series Series) {
	position, found := slices.BinarySearchFunc(r.Series, series, func(x, y Series) int { return x.key().compare(y.key()) })
	if !found {
		series.Burns = slices.Clone(series.Burns)
		r.Series = slices.Insert(r.Series, position, series)
		return
	}
	r.Series[position] = r.Series[position].plus(series)
}

func (s Series) key() seriesKey { return seriesKey{s.Service, s.Class, s.Region} }

func (s Series) plus(other Series) Series {
	s.UnknownOutcomes += other.UnknownOutcomes
	s.CallerDisconnected += other.CallerDisconnected
	s.First = s.First.plus(other.First)
	s.Between = s.Between.plus(other.Between)
	s.Wait = s.Wait.plus(other.Wait)
	for _, b := range other.Burns {
		position := slices.IndexFunc(s.Burns, func(c ObjectiveBurn) bool { return c.Objective == b.Objective })
		if position < 0 {
			s.Burns = append(s.Burns, b)
			continue
		}
		s.Burns[position].Short.add(b.Short)
		s.Burns[position].Long.add(b.Long)
		s.Burns[position] = s.Burns[position].withRates()
	}
	return s
}
