package gate

import (
	"cmp"
	"context"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

const (
	// defaultRevokeBound is the time within which a withdrawn key must stop working if the settings specify none.
	defaultRevokeBound = 5 * clock.Second
	// A key lease lasts leasePercent of that time. A watch of the store may miss a change for up to a second before it
	// is closed, which the rest covers, and callers accept that an instance without a path to the store rejects
	// requests after 60 percent.
	leasePercent = 70
	// renewDivisor: an instance asks others for a newer proof once its own is older than 1/renewDivisor of the lease,
	// each leaseInterval. Its usual sources are instances of its own region, which may all be cut off from the store.
	renewDivisor  = 2
	leaseInterval = 250 * clock.Millisecond
	// leaseRetryAfter is when a caller is asked to retry if its key can't be verified.
	leaseRetryAfter = 500 * clock.Millisecond
)

// keyLease decides whether keys may be used: only for a limited time after a time as of which the store was proven to
// have no later configuration than the one in force. That stays true when a later one comes into force. The clock must
// include the time for which the machine is suspended. The zero value needs no proof. held and age are safe for
// concurrent use; the other methods need the lock of the state.
type keyLease struct {
	// term is how long a proof is good for; 0 means that none is needed.
	term clock.Span
	// proof is that time, as a clock.Time; 0 if there is none.
	proof atomic.Int64
	// noted reports whether the lease was held when it was last logged.
	noted bool
}

// leaseTerm returns how long a proof is good for under the settings, or 0 if none is needed.
func leaseTerm(settings Settings) clock.Span {
	if !settings.RevokeStrict {
		return 0
	}
	return cmp.Or(settings.RevokeBound, defaultRevokeBound) * leasePercent / 100
}

// held reports whether keys may be used. To use a table by it, a caller loads the table afterwards: the table is put
// into force before its proof is recorded.
func (l *keyLease) held(now clock.Time) bool {
	return l.term == 0 || l.proof.Load() != 0 && l.age(now) < l.term
}

// age returns the age of the proof.
func (l *keyLease) age(now clock.Time) clock.Span { return now.Sub(clock.Time(l.proof.Load())) }

// prove records that the store had no later configuration than the one in force as of a time.
func (l *keyLease) prove(asOf clock.Time) {
	l.proof.Store(max(l.proof.Load(), int64(asOf)))
}

// needsRenewal reports whether the proof is so old that other instances are to be asked.
func (l *keyLease) needsRenewal(now clock.Time) bool {
	return l.term > 0 && l.age(now) >= l.term/renewDivisor
}

// note reports whether the lease has been lost or regained since the last call.
func (l *keyLease) note(now clock.Time) (held, changed bool) {
	held = l.held(now)
	changed, l.noted = held != l.noted, held
	return held, changed
}

// provesInForce reports whether data that are complete as of a time prove that the configuration in force was the
// newest one then. The content of a store that has come back from a copy is older than what it had acknowledged, until
// the operator has had the time to write again what the copy lacks; and a lower version than that in force shows that
// something is missing, whenever it is seen.
func (c *control) provesInForce() bool {
	return c.restored == nil && c.version > 0 && c.newestVersion == c.version && !c.newestDiffers
}

// noteLease logs when the instance has lost the key lease and when it has it again.
func (s *state) noteLease() {
	if s.lease.term == 0 {
		return
	}
	table := s.table.Load()
	if table == nil || !table.HasCustomers() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	held, changed := s.lease.note(now)
	if !changed {
		return
	}
	log := s.log.With(zap.Int64("age", int64(s.lease.age(now))), zap.Int64("term", int64(s.lease.term)), zap.Uint64("in_force", uint64(s.control.version)),
		zap.Uint64("newest", uint64(s.control.newestVersion)), zap.Bool("restored", s.control.restored != nil))
	if held {
		log.Info("keys can be verified")
		return
	}
	s.metrics.leasesLost.Inc(1)
	log.Warn("keys can't be verified any more")
}

// renewLease asks any instance for a newer proof if that of this one is old.
func (s *Server) renewLease(ctx context.Context) {
	table := s.state.table.Load()
	if table == nil || !table.HasCustomers() || !s.state.lease.needsRenewal(s.clock.Now()) {
		return
	}
	candidates := s.node.Alive()
	if len(candidates) == 0 {
		return
	}
	peer := candidates[s.randomUint64()%uint64(len(candidates))]
	s.syncFrom(ctx, peer, syncLimits{list: maxOutageAge, control: s.state.lease.term, query: syncTimeout})
}

// usesLease reports whether the request depends on the key lease. Another instance that passes a request on has
// checked its own lease.
func (f *inflight) usesLease() bool { return f.customer != nil && !f.hopped() }

// mayUseKey reports whether the key of the request, if it has one, may be used now.
func (f *inflight) mayUseKey() bool {
	return !f.usesLease() || f.server.state.lease.held(f.server.clock.Now())
}

// keepsIdentity reports whether the request may be sent as far as its key is concerned. Without a lease, one on a public
// route becomes a request without a key.
func (f *inflight) keepsIdentity() bool {
	if f.mayUseKey() {
		return true
	}
	if f.route.Public {
		f.customer = nil
		f.setRoute(f.tableRoute)
		return true
	}
	return false
}
