package burn

import (
	"math"

	"github.com/rcrowley/go-metrics"
)

// longMinutes is the length of the long window in minutes.
const longMinutes = int64(LongWindow) / 60_000

// shortMinutes is the length of the short window in minutes.
const shortMinutes = int64(ShortWindow) / 60_000

// Tally counts the requests that met an objective and those that did not.
type Tally struct {
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
}

func (t *Tally) add(other Tally) {
	t.Good += other.Good
	t.Bad += other.Bad
}

// minuteCounts holds the counters of one minute.
type minuteCounts struct {
	minute                int64
	tallies               [len(objectives)]Tally
	unknown, disconnected int64
}

func (c *minuteCounts) add(other minuteCounts) {
	for i := range c.tallies {
		c.tallies[i].add(other.tallies[i])
	}
	c.unknown += other.unknown
	c.disconnected += other.disconnected
}

// minuteRing holds the counters of the last hour by minute.
type minuteRing struct {
	currentMinute int64
	slots         [longMinutes]minuteCounts
}

// advance moves on to a minute. A minute in the past is ignored.
func (r *minuteRing) advance(minute int64) {
	r.currentMinute = max(r.currentMinute, minute)
	if slot := &r.slots[r.currentMinute%longMinutes]; slot.minute != r.currentMinute {
		*slot = minuteCounts{minute: r.currentMinute}
	}
}

func (r *minuteRing) current() *minuteCounts { return &r.slots[r.currentMinute%longMinutes] }

// sum adds up the given number of minutes, including the current one.
func (r *minuteRing) sum(last int64) minuteCounts {
	var total minuteCounts
	for i := range r.slots {
		if r.slots[i].minute > r.currentMinute-last {
			total.add(r.slots[i])
		}
	}
	return total
}

// bucketCount is the number of buckets of a histogram. Bucket i counts values up to
// bucketBound(i); the last one is unbounded.
const bucketCount = 40

// bucketBound returns the upper bound of a bucket in ms. Bounds grow by the square root of
// 2, from 1 ms to 12 min, so a percentile is at most 42 % too high.
func bucketBound(bucket int) float64 { return math.Pow(2, float64(bucket)/2) }

func bucketIndex(value int64) int {
	if value <= 1 {
		return 0
	}
	bucket := int(math.Ceil(2*math.Log2(float64(value)) - 1e-9))
	return min(bucket, bucketCount-1)
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
	if minute := &s.slots[s.currentMinute%longMinutes]; minute.minute != s.currentMinute {
		*minute = minuteBuckets{minute: s.currentMinute}
	}
}

// Update adds a value in ms.
func (s *slidingSample) Update(value int64) {
	minute := &s.slots[s.currentMinute%longMinutes]
	minute.counts[bucketIndex(value)]++
	minute.sum += value
}

// buckets returns the histogram of the last hour.
func (s *slidingSample) buckets() Buckets {
	buckets := Buckets{Counts: make([]int64, bucketCount)}
	for i := range s.slots {
		if s.slots[i].minute <= s.currentMinute-longMinutes {
			continue
		}
		for j, n := range s.slots[i].counts {
			buckets.Counts[j] += int64(n)
		}
		buckets.Sum += s.slots[i].sum
	}
	return buckets
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

// Percentile returns the upper bound of the bucket that contains the quantile at share.
func (s *slidingSample) Percentile(share float64) float64 { return s.buckets().Percentile(share) }

// Percentiles returns several percentiles.
func (s *slidingSample) Percentiles(shares []float64) []float64 {
	buckets := s.buckets()
	out := make([]float64, len(shares))
	for i, p := range shares {
		out[i] = buckets.Percentile(p)
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
	buckets := s.buckets()
	total := float64(buckets.Count())
	if total == 0 {
		return 0
	}
	var sum, squares float64
	for i, c := range buckets.Counts {
		sum += float64(c) * bucketBound(i)
		squares += float64(c) * bucketBound(i) * bucketBound(i)
	}
	return max(0, squares/total-sum/total*sum/total)
}
