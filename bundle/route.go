package bundle

import (
	"net"
	"slices"
	"strings"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Route maps requests for a host and a path prefix to services.
type Route struct {
	Name string `json:"name"`
	// Host is compared without port and regardless of case.
	Host string `json:"host"`
	// Prefix starts and ends with a slash. The longest matching prefix wins.
	Prefix string `json:"prefix"`
	// Targets lists at least one service; requests are distributed by weight.
	Targets []WeightedService `json:"targets"`
	// Idempotent is set if a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Stream is set if the response is a stream of events with increasing ids.
	Stream bool `json:"stream"`
	// Resumable is set if another endpoint may resume a stream after the last event.
	Resumable bool `json:"resumable"`
	// MaxAttempts is the maximum number of endpoints that may run one request of a caller.
	MaxAttempts int `json:"attempts"`
	// Timeout is the maximum time to the end of the response.
	Timeout clock.Span `json:"timeout"`
	// TargetLatency is the target time to the response or, for a stream, to its first event.
	TargetLatency clock.Span `json:"target"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `json:"priority"`
	// HomeRegions lists the regions that may serve the route; empty means all.
	HomeRegions []ident.Region `json:"homes"`
	// Public is set if the route needs no key although customers are configured.
	Public bool `json:"public"`
}

// Allows reports whether the route may be served in the region.
func (r *Route) Allows(region ident.Region) bool {
	return len(r.HomeRegions) == 0 || slices.Contains(r.HomeRegions, region)
}

// MayUse reports whether the route sends requests to the service.
func (r *Route) MayUse(service ident.Service) bool {
	return slices.ContainsFunc(r.Targets, func(t WeightedService) bool { return t.Service == service })
}

// WeightedService is a service of a route with its weight.
type WeightedService struct {
	Service ident.Service `json:"service"`
	Weight  float64       `json:"weight"`
}

// Repeatable reports whether a request may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Idempotent || r.Stream && r.Resumable }

// Backend is the configuration of a service's endpoints.
type Backend struct {
	Name ident.Service
	// Health is the path of the readiness check.
	Health string
	// MaxConnections is the maximum number of connections of all instances to one endpoint; 0
	// means unbounded.
	MaxConnections int
	// ColdRate is the maximum number of requests per second to an endpoint that is starting
	// cold; 0 means unbounded.
	ColdRate float64
	// Engine is set if the endpoints are model engines.
	Engine bool
	// KVTokens is the size of an engine's KV cache in tokens.
	KVTokens ident.Tokens
}

// Bounds limits the requests and connections of callers.
type Bounds struct {
	// BodyBytes is the maximum size of a request body in bytes.
	BodyBytes int64
	// IdleTimeout is the maximum idle time of a connection; 0 means unbounded.
	IdleTimeout clock.Span
}

// Table is the routing part of a configuration version. It is immutable after Index.
type Table struct {
	Version  ident.Version
	Routes   []Route
	Backends map[ident.Service]Backend
	Bounds   Bounds
	// Customers lists on whose behalf callers may send requests; if it is empty, requests need no key.
	Customers []Customer

	byHost    map[string][]*Route
	customers customerIndex
}

// Index checks the routes and the customers, and builds the indexes for Match, CustomerByKey and Customer. Errors
// have KindInvalid and contain no key.
func (t *Table) Index() error {
	customers, err := indexCustomers(t.Customers)
	if err != nil {
		return err
	}
	t.customers = customers
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		route := &t.Routes[i]
		if err := t.checkRoute(route); err != nil {
			return err
		}
		host := canonicalHost(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	return nil
}

// RouteNames returns the names of the routes.
func (t *Table) RouteNames() map[string]bool {
	names := make(map[string]bool, len(t.Routes))
	for _, r := range t.Routes {
		names[r.Name] = true
	}
	return names
}

func (t *Table) checkRoute(route *Route) error {
	path := "route " + route.Name
	switch {
	case route.Host == "":
		return invalid(path, "host is empty")
	case !strings.HasPrefix(route.Prefix, "/") || !strings.HasSuffix(route.Prefix, "/"):
		return invalid(path, "prefix %.64q must start and end with a slash", route.Prefix)
	case len(route.Targets) == 0:
		return invalid(path, "no target service")
	case route.Timeout <= 0:
		return invalid(path, "timeout must be above 0")
	case route.MaxAttempts <= 0:
		return invalid(path, "attempts must be above 0")
	}
	for _, s := range route.Targets {
		if _, ok := t.Backends[s.Service]; !ok {
			return invalid(path, "unknown service %.64q", string(s.Service))
		}
		if s.Weight < 0 {
			return invalid(path, "weight must not be negative")
		}
	}
	return nil
}

// Match returns the route for a host and a raw path, or nil if none matches.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// CountExcluded returns the number of routes of a host that the region may not serve.
func (t *Table) CountExcluded(host string, region ident.Region) (count int) {
	for _, r := range t.byHost[canonicalHost(host)] {
		if !r.Allows(region) {
			count++
		}
	}
	return count
}

// PickService selects a service of the route by weight; point is from 0 to below 1.
func (r *Route) PickService(point float64) ident.Service {
	total := 0.0
	for _, s := range r.Targets {
		total += s.Weight
	}
	rest := point * total
	for _, s := range r.Targets {
		if rest < s.Weight {
			return s.Service
		}
		rest -= s.Weight
	}
	return r.Targets[0].Service
}

func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
