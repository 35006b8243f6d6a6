// Package fair shares the capacity of overloaded services among customers by max-min fairness. It holds, for each
// service, decaying rates of the cost that each customer offers, and an estimate of the capacity. While a service is
// overloaded, a customer above the fair level is admitted at the rate of that level only; all others are always
// admitted. Without overload, everything is admitted.
//
// An overload begins when an admitted request waits for long or is refused for lack of capacity. The capacity is not known:
// each such request reduces the estimate, which otherwise rises, slowly at first and then faster. The estimate is not
// reduced below the rate at which requests are served.
package fair

import (
	"maps"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Config configures a Sharer. Zero fields have the defaults below.
type Config struct {
	// RateTerm is the time constant of the rates.
	RateTerm clock.Span
	// OverloadTerm is how long an overload lasts at least after the last refusal or wait.
	OverloadTerm clock.Span
	// IdleTerm is how long a customer without requests is kept.
	IdleTerm clock.Span
}

const (
	defaultRateTerm     = 1 * clock.Second
	defaultOverloadTerm = 2 * clock.Second
	defaultIdleTerm     = 5 * clock.Second
)

// Verdict is the decision on a request and what it is based on.
type Verdict struct {
	Admitted bool
	// RetryAfter is the time until the customer's share allows the request, if it is refused.
	RetryAfter clock.Span
	// Rate is the cost per second that the customer offers, with this request, and Level the fair level, which is
	// infinite while nobody is above it.
	Rate, Level float64
}

// Status describes a service.
type Status struct {
	Service    ident.Service
	Overloaded bool
	// Lasted is how long the current or last overload has lasted.
	Lasted clock.Span
	// Offered is the cost per second that all customers offer, and Served that of the requests which were neither
	// refused for fairness nor for lack of capacity. Capacity is the estimate of what can be served, and Level the
	// fair level, infinite if nobody is above it.
	Offered, Served, Capacity, Level float64
	// Customers is the number of customers with traffic.
	Customers int
	// Unserved and Refused count the requests refused for lack of capacity and for fairness since the overload began.
	Unserved, Refused int
	// Waits counts the requests that waited for an endpoint since then.
	Waits int
}

// Sharer decides on the admission of requests. It is not safe for concurrent use.
type Sharer struct {
	config   Config
	services map[ident.Service]*service
	changes  []Status
}

// New returns a Sharer that knows of no traffic.
func New(config Config) *Sharer {
	for _, d := range []struct {
		field    *clock.Span
		fallback clock.Span
	}{{&config.RateTerm, defaultRateTerm}, {&config.OverloadTerm, defaultOverloadTerm}, {&config.IdleTerm, defaultIdleTerm}} {
		if *d.field <= 0 {
			*d.field = d.fallback
		}
	}
	return &Sharer{config: config, services: make(map[ident.Service]*service)}
}

// Admit records that a customer offers a request and decides whether it is admitted.
func (s *Sharer) Admit(now clock.Time, name ident.Service, c ident.Customer, cost float64) Verdict {
	known := s.services[name]
	if known == nil {
		known = newService(now, s.config)
		s.services[name] = known
	}
	s.advance(now, name, known)
	return known.admit(now, c, cost)
}

// RecordUnserved records that an admitted request was refused for lack of capacity.
func (s *Sharer) RecordUnserved(now clock.Time, name ident.Service, cost float64) {
	known := s.services[name]
	if known == nil {
		return
	}
	s.advance(now, name, known)
	if known.recordUnserved(now, cost) {
		s.changes = append(s.changes, known.status(now, name))
	}
}

// RecordCompleted records that an admitted request has completed. While requests wait, that happens at the rate of the
// capacity.
func (s *Sharer) RecordCompleted(now clock.Time, name ident.Service, cost float64) {
	if known := s.services[name]; known != nil {
		known.completed.add(now, s.config.RateTerm, cost)
	}
}

// RecordWait records that an admitted request has to wait for long, or was rejected by an endpoint.
func (s *Sharer) RecordWait(now clock.Time, name ident.Service, cost float64) {
	if known := s.services[name]; known != nil {
		s.advance(now, name, known)
		if known.recordWait(now, cost) {
			s.changes = append(s.changes, known.status(now, name))
		}
	}
}

// Advance ends the overloads that are over and removes idle customers and services. It is called about once a second, for
// services without requests.
func (s *Sharer) Advance(now clock.Time) {
	for name, known := range s.services {
		s.advance(now, name, known)
	}
	maps.DeleteFunc(s.services, func(_ ident.Service, known *service) bool {
		return !known.overloaded && len(known.customers) == 0
	})
}

func (s *Sharer) advance(now clock.Time, name ident.Service, known *service) {
	if known.advance(now) {
		s.changes = append(s.changes, known.status(now, name))
	}
}

// Changes returns the overloads that have begun or ended since the last call.
func (s *Sharer) Changes() []Status {
	changes := s.changes
	s.changes = nil
	return changes
}

// Statuses returns the status of each service with traffic.
func (s *Sharer) Statuses(now clock.Time) []Status {
	statuses := make([]Status, 0, len(s.services))
	for name, known := range s.services {
		statuses = append(statuses, known.status(now, name))
	}
	return statuses
}
