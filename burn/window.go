package burn

import (
	"math"

	"github.com/rcrowley/go-metrics"
)

// longMinutes is the length of the long window in minutes.
const longMinutes = int64(Long) / 60_000

// shortMinutes is the length of the short window in minutes.
const shortMinutes = int64(Short) / 60_000

// Tally counts the requests that met an objective and those that did not.
type Tally struct {
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
}

func (t *Tally) add(u Tally) {
	t.Good += u.Good
	t.Bad += u.Bad
}

// minuteCounts holds the counters of one minute.
type minuteCounts struct {
	minute        int64
	tallies       [len(objectives)]Tally
	unknown, gone int64
}

func (c *minuteCounts) add(d minuteCounts) {
	for i := range c.tallies {
		c.tallies[i].add(d.tallies[i])
	}
	c.unknown += d.unknown
	c.gone += d.gone
}

// minuteRing holds the counters of the last hour by minute.
type minuteRing struct {
	currentMinute int64
	slots         [longMinutes]minuteCounts
}

// advance moves on to a minute. A minute in the past is ignored.
func (r *minuteRing) advance(minute int64) {
	r.currentMinute = max(r.currentMinute, minute)
	if s := &r.slots[r.currentMinute%longMinutes]; s.minute != r.currentMinute {
		*s = minuteCounts{minute: r.currentMinute}
	}
}

func (r *minuteRing) current() *minuteCounts { return &r.slots[r.currentMinute%longMinutes] }

// sum adds up the given number of minutes, including the current one.
func (r *minuteRing) sum(last int64) minuteCounts {
	var c minuteCounts
	for i := range r.slots {
		if r.slots[i].minute > r.currentMinute-last {
			c.add(r.slots[i])
		}
	}
	return c
}

// bucketCount is the number of buckets of a histogram. Bucket i counts values up to
// bucketBound(i); the last one is unbounded.
const bucketCount = 40

// bucketBound returns the upper bound of a bucket in ms. Bounds grow by the square root of
// 2, from 1 ms to 12 min, so a percentile is at most 42 % too high.
func bucketBound(bucket int) float64 { return math.Pow(2, float64(bucket)/2) }

func bucketIndex(v int64) int {
	if v <= 1 {
		return 0
	}
	i := int(math.Ceil(2*math.Log2(float64(v)) - 1e-9))
	return min(i, bucketCount-1)
}

// minuteBuckets holds the histogram of one minute.
type minuteBuckets struct {
	minute int64
	counts [bucketCount]uint32
	sum    int64
}

// slidingSample is a metrics.Sample with a histogram of the last hour. The reservoir samples
// of the library cannot be merged across entries.
type slidingSample struct {
	currentMinute int64
	slots         [longMinutes]minuteBuckets
}

var _ metrics.Sample = (*slidingSample)(nil)

func (s *slidingSample) advance(minute int64) {
	s.currentMinute = max(s.currentMinute, minute)
	if t := &s.slots[s.currentMinute%longMinutes]; t.minute != s.currentMinute {
		*t = minuteBuckets{minute: s.currentMinute}
	}
}

// Update adds a value in ms.
func (s *slidingSample) Update(v int64) {
	t := &s.slots[s.currentMinute%longMinutes]
	t.counts[bucketIndex(v)]++
	t.sum += v
}

// buckets returns the histogram of the last hour.
func (s *slidingSample) buckets() Buckets {
	b := Buckets{Counts: make([]int64, bucketCount)}
	for i := range s.slots {
		if s.slots[i].minute <= s.currentMinute-longMinutes {
			continue
		}
		for j, n := range s.slots[i].counts {
			b.Counts[j] += int64(n)
		}
		b.Sum += s.slots[i].sum
	}
	return b
}

// Clear removes all values.
func (s *slidingSample) Clear() { *s = slidingSample{currentMinute: s.currentMinute} }

// Count returns the number of values.
func (s *slidingSample) Count() int64 { return s.buckets().Count() }

// Max returns the upper bound of the highest bucket in use.
func (s *slidingSample) Max() int64 { return int64(s.Percentile(1)) }

// Mean returns the exact mean.
func (s *slidingSample) Mean() float64 { return s.buckets().Mean() }

// Min returns the upper bound of the lowest bucket in use.
func (s *slidingSample) Min() int64 { return int64(s.Percentile(0)) }

// Percentile returns the upper bound of the bucket that contains the p-quantile.
func (s *slidingSample) Percentile(p float64) float64 { return s.buckets().Percentile(p) }

// Percentiles returns several percentiles.
func (s *slidingSample) Percentiles(ps []float64) []float64 {
	b := s.buckets()
	out := make([]float64, len(ps))
	for i, p := range ps {
		out[i] = b.Percentile(p)
	}
	return out
}

// Size returns the number of values; none are sampled out.
func (s *slidingSample) Size() int { return int(s.Count()) }

// Snapshot returns a copy.
func (s *slidingSample) Snapshot() metrics.Sample {
	c := *s
	return &c
}

// StdDev returns the standard deviation of the bucket bounds.
func (s *slidingSample) StdDev() float64 { return math.Sqrt(s.Variance()) }

// Sum returns the exact sum.
func (s *slidingSample) Sum() int64 { return s.buckets().Sum }

// Values returns nil: individual values are not kept.
func (s *slidingSample) Values() []int64 { return nil }

// Variance returns the variance of the bucket bounds.
func (s *slidingSample) Variance() float64 {
	b := s.buckets()
	n := float64(b.Count())
	if n == 0 {
		return 0
	}
	var sum, squares float64
	for i, c := range b.Counts {
		sum += float64(c) * bucketBound(i)
		squares += float64(c) * bucketBound(i) * bucketBound(i)
	}
	return max(0, squares/n-sum/n*sum/n)
}
