package fair

import (
	"math"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// stepInterval is the interval at which the capacity estimate rises and the fair level is computed.
	stepInterval = 100 * clock.Millisecond
	// onsetTerm is the time constant of a second average of the offered rate. It is taken at the beginning of an
	// overload if it is at least onsetFactor times the usual one: the load has then risen faster than that one follows.
	// Smaller differences may be noise.
	onsetTerm   = 250 * clock.Millisecond
	onsetFactor = 2
	// cutPerSecond times the cost of a request that was refused for lack of capacity is the reduction of the capacity
	// estimate per second: one that is too high falls with a time constant of an eighth of a second.
	cutPerSecond = 8.0
	// maxCutFraction bounds the reduction by one request: few requests say little about the capacity.
	maxCutFraction = 0.1
	// backOff reduces the estimate when refusals for lack of capacity begin again after backOffInterval, so that the
	// queues of the endpoints shrink.
	backOff         = 0.97
	backOffInterval = 500 * clock.Millisecond
	// leastServedFraction of the rate that is being served, or of that at which requests complete, is the least estimate
	// after a reduction. While the queues are full, refusals go on for some hundred milliseconds after the last reduction.
	leastServedFraction = 0.95
	// waitCutPerSecond is what cutPerSecond is, for a request that waits. It lets the queues of the endpoints shrink before requests
	// are refused; a lasting overload would else be a sequence of short ones.
	waitCutPerSecond = 0.1
	// minProbe is the rise of the capacity estimate per second, as a part of the offered rate, in the first probeHold
	// after a refusal for lack of capacity or a wait: endpoints queue requests before they refuse any. It then grows to
	// maxProbe until probeRamp, so that a capacity that has doubled is used in about six seconds.
	minProbe  = 0.01
	maxProbe  = 0.4
	probeHold = 2 * clock.Second
	probeRamp = 8 * clock.Second
	// endHeadroom is the multiple of the offered rate that the capacity estimate must reach for an overload to end, and
	// maxHeadroom the one at which it stops rising. The difference to 1 covers the noise of the rates.
	endHeadroom = 1.25
	maxHeadroom = 1.4
	// minCapacityFraction of the offered rate is the least estimate: requests have to be admitted to notice that
	// the capacity comes back.
	minCapacityFraction = 0.05
	// maxStep bounds the time that one step accounts for, after a time without requests or a pause of the process.
	maxStep = 500 * clock.Millisecond
)

// customer is the traffic of one customer.
type customer struct {
	offered rate
	share   bucket
}

// service is the state of one service.
type service struct {
	config    Config
	created   clock.Time
	customers map[ident.Customer]*customer
	// offered and offeredOnset are two averages of the same rate.
	offered, offeredOnset rate
	// served is the rate of admitted requests without those that are refused for lack of capacity, and completed that
	// of those that have completed.
	served, completed rate

	overloaded bool
	// began and ended are the beginning of the current or last overload, and the end of the last one.
	began, ended clock.Time
	// capacity is the estimated cost per second that can be served, and level the fair level.
	capacity, level float64
	// unservedAt is when a request was last refused for lack of capacity, refusedAt when one was last refused for
	// fairness, and waitedAt when one last waited.
	unservedAt, refusedAt, waitedAt clock.Time
	// unserved, refused and waits count requests of the current or last overload.
	unserved, refused, waits int

	steppedAt, prunedAt clock.Time
	// rates is reused by each step.
	rates []float64
}

func newService(now clock.Time, config Config) *service {
	return &service{
		config: config, customers: make(map[ident.Customer]*customer), level: math.Inf(1),
		created: now, steppedAt: now, prunedAt: now,
	}
}

// admit records an offered request and decides on it.
func (s *service) admit(now clock.Time, name ident.Customer, cost float64) Verdict {
	c := s.customers[name]
	if c == nil {
		c = &customer{share: newBucket(now)}
		s.customers[name] = c
	}
	c.offered.add(now, s.config.RateTerm, cost)
	s.offered.add(now, s.config.RateTerm, cost)
	s.offeredOnset.add(now, onsetTerm, cost)
	verdict := Verdict{Admitted: true, Rate: s.rate(now, c.offered), Level: s.level}
	if s.overloaded && !math.IsInf(s.level, 1) {
		if wait := c.share.take(now, s.level, cost, verdict.Rate <= s.level); wait > 0 {
			s.refused++
			s.refusedAt = now
			verdict.Admitted, verdict.RetryAfter = false, wait
			return verdict
		}
	}
	s.served.add(now, s.config.RateTerm, cost)
	return verdict
}

// recordUnserved records an admitted request that was refused for lack of capacity, and reports whether that begins
// an overload.
func (s *service) recordUnserved(now clock.Time, cost float64) (began bool) {
	began = s.begin(now)
	sinceLast := now.Sub(s.unservedAt)
	s.unserved++
	s.unservedAt = now
	s.served.add(now, s.config.RateTerm, -cost)
	if began {
		return true
	}
	if sinceLast >= backOffInterval {
		s.capacity *= backOff
	}
	s.cut(now, cutPerSecond*cost)
	return false
}

// begin begins an overload, unless there is one.
func (s *service) begin(now clock.Time) bool {
	if s.overloaded {
		return false
	}
	s.overloaded, s.began, s.steppedAt = true, now, now
	s.unserved, s.refused, s.waits = 0, 0, 0
	s.capacity = s.onsetRate(now)
	return true
}

// onsetRate returns the offered rate at the beginning of an overload, the first estimate of the capacity. Too high a one is
// corrected within a few refusals, too low a one would refuse what can be served.
func (s *service) onsetRate(now clock.Time) float64 {
	usual := s.rate(now, s.offered)
	if recent := s.offeredOnset.decayed(now, onsetTerm) * coldFactor(onsetTerm, now.Sub(s.created)); recent >= onsetFactor*usual {
		return recent
	}
	return usual
}

// rate returns the cost per second of a rate of this service, extrapolated in its first seconds.
func (s *service) rate(now clock.Time, r rate) float64 {
	return r.decayed(now, s.config.RateTerm) * coldFactor(s.config.RateTerm, now.Sub(s.created))
}

// recordWait records a request that waits, and reports whether that begins an overload. The capacity estimate is reduced
// before the queues are full.
func (s *service) recordWait(now clock.Time, cost float64) (began bool) {
	began = s.begin(now)
	s.waits++
	s.waitedAt = now
	if !began {
		s.cut(now, waitCutPerSecond*cost)
	}
	return began
}

// cut reduces the capacity estimate.
func (s *service) cut(now clock.Time, by float64) {
	if least := leastServedFraction * max(s.rate(now, s.served), s.rate(now, s.completed)); s.capacity > least {
		s.capacity = max(s.capacity-min(by, maxCutFraction*s.capacity), least)
	}
}

// advance makes the next step if it is due, and reports whether that ends an overload.
func (s *service) advance(now clock.Time) (ended bool) {
	elapsed := now.Sub(s.steppedAt)
	if elapsed < stepInterval {
		return false
	}
	s.steppedAt = now
	if now.Sub(s.prunedAt) >= s.config.IdleTerm/2 {
		s.prunedAt = now
		s.removeIdle(now)
	}
	if !s.overloaded {
		return false
	}
	offered := s.rate(now, s.offered)
	s.capacity = max(s.capacity, minCapacityFraction*offered)
	if s.capacity < maxHeadroom*offered {
		s.capacity += s.probe(now) * offered * min(elapsed, maxStep).Duration().Seconds()
	}
	if s.capacity >= endHeadroom*offered && now.Sub(max(s.unservedAt, s.waitedAt, s.refusedAt)) >= s.config.OverloadTerm {
		s.overloaded, s.ended, s.level = false, now, math.Inf(1)
		return true
	}
	s.computeLevel(now)
	return false
}

// probe returns the rise of the capacity estimate per second, as a part of the offered rate.
func (s *service) probe(now clock.Time) float64 {
	quiet := float64(now.Sub(max(s.unservedAt, s.waitedAt))-probeHold) / float64(probeRamp-probeHold)
	return minProbe + (maxProbe-minProbe)*min(max(quiet, 0), 1)
}

func (s *service) computeLevel(now clock.Time) {
	if len(s.customers) < 2 {
		s.level = math.Inf(1) // one customer alone competes with nobody
		return
	}
	s.rates = s.rates[:0]
	factor := coldFactor(s.config.RateTerm, now.Sub(s.created))
	for _, c := range s.customers {
		s.rates = append(s.rates, c.offered.decayed(now, s.config.RateTerm)*factor)
	}
	unlimited := math.IsInf(s.level, 1)
	s.level = maxMinLevel(s.rates, s.capacity)
	if unlimited && !math.IsInf(s.level, 1) {
		s.resetShares(now)
	}
}

// resetShares prepares the shares for a fair level after a time without one. Customers above it have used theirs.
func (s *service) resetShares(now clock.Time) {
	for _, c := range s.customers {
		c.share = newBucket(now)
		if s.rate(now, c.offered) > s.level {
			c.share.tokens = 0
		}
	}
}

// removeIdle removes the customers without recent requests.
func (s *service) removeIdle(now clock.Time) {
	for name, c := range s.customers {
		if now.Sub(c.offered.at) >= s.config.IdleTerm {
			delete(s.customers, name)
		}
	}
	if len(s.customers) == 0 {
		s.rates = nil
	}
}

func (s *service) status(now clock.Time, name ident.Service) Status {
	until := s.ended
	if s.overloaded {
		until = now
	}
	return Status{
		Service: name, Overloaded: s.overloaded, Lasted: until.Sub(s.began), Offered: s.rate(now, s.offered),
		Served: s.rate(now, s.served), Capacity: s.capacity, Level: s.level, Customers: len(s.customers),
		Unserved: s.unserved, Refused: s.refused, Waits: s.waits,
	}
}
