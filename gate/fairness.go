package gate

import (
	"io"
	"sync"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fair"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// fairness shares overloaded services among customers. Its methods are safe for concurrent use.
type fairness struct {
	clock   clock.Clock
	log     *zap.Logger
	metrics *metrics

	mu     sync.Mutex
	sharer *fair.Sharer
}

func newFairness(config Config, counters *metrics) *fairness {
	return &fairness{clock: config.Clock, log: config.Log, metrics: counters, sharer: fair.New(fair.Config{})}
}

// admit records an offered request and decides on it.
func (s *fairness) admit(offered offer) fair.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdict := s.sharer.Admit(s.clock.Now(), offered.service, offered.customer, offered.cost)
	if !verdict.Admitted {
		s.metrics.unfair.Inc(1)
	}
	s.logChanges()
	return verdict
}

// recordUnserved records an admitted request that is refused for lack of capacity.
func (s *fairness) recordUnserved(offered offer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.metrics.unserved.Inc(1)
	s.sharer.RecordUnserved(s.clock.Now(), offered.service, offered.cost)
	s.logChanges()
}

// recordCompleted records that an admitted request has completed.
func (s *fairness) recordCompleted(offered offer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sharer.RecordCompleted(s.clock.Now(), offered.service, offered.cost)
}

// recordWait records that an admitted request waits for long or was rejected by an endpoint.
func (s *fairness) recordWait(offered offer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.metrics.waits.Inc(1)
	s.sharer.RecordWait(s.clock.Now(), offered.service, offered.cost)
	s.logChanges()
}

// maintain ends the overloads of services without requests and updates the gauges.
func (s *fairness) maintain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.sharer.Advance(now)
	s.logChanges()
	s.metrics.setFairness(s.sharer.Statuses(now))
}

// logChanges logs the overloads that have begun or ended. The lock must be held.
func (s *fairness) logChanges() {
	for _, c := range s.sharer.Changes() {
		message := "overload ended"
		if c.Overloaded {
			message = "overload began"
			s.metrics.overloads.Inc(1)
		}
		s.log.Info(message, zap.String("service", string(c.Service)), zap.Float64("offered", c.Offered), zap.Float64("served", c.Served),
			zap.Float64("capacity", c.Capacity), zap.Float64("level", c.Level), zap.Int("customers", c.Customers),
			zap.Int("unserved", c.Unserved), zap.Int("waits", c.Waits), zap.Int("unfair", c.Refused), zap.Int64("lasted", int64(c.Lasted)))
	}
}

// offer is a request as fairness counts it. The cost is 0 if it does not count the request.
type offer struct {
	service  ident.Service
	customer ident.Customer
	cost     float64
}

// fairCost returns the cost of a request: its tokens, or 1 if it states none.
func fairCost(meta RequestMeta) float64 {
	return max(1, float64(meta.PromptTokens+meta.MaxOutputTokens))
}

// admitFairly reports whether the request is admitted. It refuses one whose customer is above its fair share of an
// overloaded service. What another instance passes on was admitted there.
func (f *inflight) admitFairly() bool {
	if f.hopped() || !f.table.HasCustomers() {
		return true
	}
	offered := offer{f.placement.Service, f.customerName(), fairCost(f.meta)}
	verdict := f.server.fairness.admit(offered)
	if verdict.Admitted {
		f.offer = offered
		return true
	}
	f.unfair = &verdict
	// A response sent before the end of the body would be lost when the connection is reset.
	_, _ = io.CopyN(io.Discard, f.request.Body, maxDiscardBytes)
	f.refuse("fair share", max(minRetryAfter, verdict.RetryAfter))
	return false
}

// fairField returns the log field of a request that is refused for fairness.
func (f *inflight) fairField() zap.Field {
	if f.unfair == nil {
		return zap.Skip()
	}
	return zap.Dict("fair", zap.Float64("cost", fairCost(f.meta)), zap.Float64("offered", f.unfair.Rate),
		zap.Float64("level", f.unfair.Level), zap.Int64("after", int64(f.unfair.RetryAfter)))
}

// recordUnserved records that the request is refused because the endpoints are at capacity.
func (f *inflight) recordUnserved() {
	if f.offer.cost > 0 {
		f.server.fairness.recordUnserved(f.offer)
	}
}

// recordSearch records the result of a search for a destination.
func (f *inflight) recordSearch(target destination, found bool) {
	f.lacksCapacity = !found && target.full
	if f.lacksCapacity && f.waitLeft() < f.maxWait()/2 || found && f.isCrowded(target) {
		f.recordWait()
	}
}

// isCrowded reports whether the request waits at a destination for more than half of the time after which it would have been
// refused.
func (f *inflight) isCrowded(target destination) bool {
	return f.isQueued(target) && target.wait > (f.maxDelay()-(target.delay-target.wait))/2
}

// isQueued reports whether the wait at a destination shows that it is at capacity. A long prompt may take as long as the
// target without other requests before it.
func (f *inflight) isQueued(target destination) bool {
	return target.wait > f.route.TargetLatency/targetWaitDivisor
}

// recordWait records once that the request waits for capacity.
func (f *inflight) recordWait() {
	if f.offer.cost > 0 && !f.waited {
		f.waited = true
		f.server.fairness.recordWait(f.offer)
	}
}

// waitLeft returns how long the request may still wait for an endpoint.
func (f *inflight) waitLeft() clock.Span {
	waited := f.server.clock.Now().Sub(f.arrived)
	return min(f.maxWait()-waited, f.remaining()-minTimeToSend)
}

// mayWaitFully reports whether the caller's time limit lets the request wait as long as any other of the route.
func (f *inflight) mayWaitFully() bool {
	return f.deadline.Sub(f.arrived) >= f.maxWait()+minTimeToSend
}

// tooLate reports whether it is known that a request that would have to wait at the best destination can't be served in
// time. Without customers, only the target counts, and requests wait for the delay to fall.
func (f *inflight) tooLate(best destination) bool {
	if !f.table.HasCustomers() || best.wait == 0 {
		return false
	}
	// The expected delay falls about as fast as time passes.
	return best.delay > f.remaining() || best.delay-max(0, f.waitLeft()) > f.maxDelay()
}

// recordFull records that an endpoint has refused the request. Another instance may have other reasons.
func (a *attempt) recordFull() {
	if a.destination.local != nil {
		a.inflight.foundFull = true
		a.inflight.recordWait()
	}
}
