package burn

import (
	"math"

	"github.com/rcrowley/go-metrics"
)

// minutes is the number of one-minute slots that a window keeps.
const minutes = int64(Long) / 60_000

// shortMinutes is the number of slots of the short window.
const shortMinutes = int64(Short) / 60_000

// Tally counts what met an objective and what didn't.
type Tally struct {
	Good int64 `json:"good"`
	Bad  int64 `json:"bad"`
}

func (t *Tally) add(u Tally) {
	t.Good += u.Good
	t.Bad += u.Bad
}

// counts are the counters of one minute.
type counts struct {
	minute        int64
	tallies       [len(objectives)]Tally
	unknown, gone int64
}

func (c *counts) add(d counts) {
	for i := range c.tallies {
		c.tallies[i].add(d.tallies[i])
	}
	c.unknown += d.unknown
	c.gone += d.gone
}

// ring keeps the counters of the last hour by the minute.
type ring struct {
	now   int64
	slots [minutes]counts
}

// at moves on to a minute. Time that goes backwards is ignored.
func (r *ring) at(minute int64) {
	r.now = max(r.now, minute)
	if s := &r.slots[r.now%minutes]; s.minute != r.now {
		*s = counts{minute: r.now}
	}
}

func (r *ring) current() *counts { return &r.slots[r.now%minutes] }

// sum adds up the last minutes, the current one included.
func (r *ring) sum(last int64) counts {
	var c counts
	for i := range r.slots {
		if r.slots[i].minute > r.now-last {
			c.add(r.slots[i])
		}
	}
	return c
}

// size is the number of buckets of a spread. Bucket i counts values up to bound(i);
// the last one has no bound.
const size = 40

// bound returns the upper bound of a bucket in ms. Bounds grow by the square root
// of 2, from 1 ms to 12 min, so that a percentile is at most 42% too high.
func bound(bucket int) float64 { return math.Pow(2, float64(bucket)/2) }

func bucketOf(v int64) int {
	if v <= 1 {
		return 0
	}
	i := int(math.Ceil(2*math.Log2(float64(v)) - 1e-9))
	return min(i, size-1)
}

// spreadSlot holds the buckets of one minute.
type spreadSlot struct {
	minute int64
	counts [size]uint32
	sum    int64
}

// spread is a metrics.Sample that counts values of the last hour by bucket. A
// reservoir, as the library has them, can't be merged over entries.
type spread struct {
	now   int64
	slots [minutes]spreadSlot
}

var _ metrics.Sample = (*spread)(nil)

func (s *spread) at(minute int64) {
	s.now = max(s.now, minute)
	if t := &s.slots[s.now%minutes]; t.minute != s.now {
		*t = spreadSlot{minute: s.now}
	}
}

// Update counts a value in ms.
func (s *spread) Update(v int64) {
	t := &s.slots[s.now%minutes]
	t.counts[bucketOf(v)]++
	t.sum += v
}

// buckets adds up the hour.
func (s *spread) buckets() Buckets {
	b := Buckets{Counts: make([]int64, size)}
	for i := range s.slots {
		if s.slots[i].minute <= s.now-minutes {
			continue
		}
		for j, n := range s.slots[i].counts {
			b.Counts[j] += int64(n)
		}
		b.Sum += s.slots[i].sum
	}
	return b
}

// Clear forgets all values.
func (s *spread) Clear() { *s = spread{now: s.now} }

// Count returns the number of values.
func (s *spread) Count() int64 { return s.buckets().Count() }

// Max returns the bound of the highest bucket in use.
func (s *spread) Max() int64 { return int64(s.Percentile(1)) }

// Mean returns the exact mean.
func (s *spread) Mean() float64 { return s.buckets().Mean() }

// Min returns the bound of the lowest bucket in use.
func (s *spread) Min() int64 { return int64(s.Percentile(0)) }

// Percentile returns a bound that the share p of the values doesn't exceed.
func (s *spread) Percentile(p float64) float64 { return s.buckets().Percentile(p) }

// Percentiles returns several percentiles.
func (s *spread) Percentiles(ps []float64) []float64 {
	b := s.buckets()
	out := make([]float64, len(ps))
	for i, p := range ps {
		out[i] = b.Percentile(p)
	}
	return out
}

// Size returns the number of values, all of which are counted.
func (s *spread) Size() int { return int(s.Count()) }

// Snapshot returns a copy.
func (s *spread) Snapshot() metrics.Sample {
	c := *s
	return &c
}

// StdDev returns the standard deviation over the bounds of the buckets.
func (s *spread) StdDev() float64 { return math.Sqrt(s.Variance()) }

// Sum returns the exact sum.
func (s *spread) Sum() int64 { return s.buckets().Sum }

// Values returns nil: single values aren't kept.
func (s *spread) Values() []int64 { return nil }

// Variance returns the variance over the bounds of the buckets.
func (s *spread) Variance() float64 {
	b := s.buckets()
	n := float64(b.Count())
	if n == 0 {
		return 0
	}
	var sum, squares float64
	for i, c := range b.Counts {
		sum += float64(c) * bound(i)
		squares += float64(c) * bound(i) * bound(i)
	}
	return max(0, squares/n-sum/n*sum/n)
}
