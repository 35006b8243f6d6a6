package bundle

import (
	"net"
	"slices"
	"strings"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Route sends the requests of one host below one path prefix to a service.
type Route struct {
	Name string `json:"name"`
	// Host is compared without case and port.
	Host string `json:"host"`
	// Prefix begins and ends with a slash; the longest one that begins the path wins.
	Prefix string `json:"prefix"`
	// Targets holds at least one service; requests are spread by weight.
	Targets []Target `json:"targets"`
	// Idempotent says that a request may run more than once.
	Idempotent bool `json:"idempotent"`
	// Stream says that the answer is a stream of events with increasing ids.
	Stream bool `json:"stream"`
	// Resumable says that a stream may go on at another endpoint after the last event.
	Resumable bool `json:"resumable"`
	// Attempts is the largest number of endpoints that may run one send of a caller.
	Attempts int `json:"attempts"`
	// Timeout is the longest time until the end of the answer.
	Timeout clock.Span `json:"timeout"`
	// Target is the time to the answer, or to a stream's first event, within which it earns most.
	Target clock.Span `json:"target"`
	// Priority ranks routes; 0 is the most urgent.
	Priority int `json:"priority"`
	// Homes are the regions that may serve the route; none means all.
	Homes []ident.Region `json:"homes"`
}

// Allows reports whether the route may be served in a region.
func (r *Route) Allows(region ident.Region) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// Target is one service of a route with its weight.
type Target struct {
	Service ident.Service `json:"service"`
	Weight  float64       `json:"weight"`
}

// Repeatable says that a request may be sent again after it may have run.
func (r *Route) Repeatable() bool { return r.Idempotent || r.Stream && r.Resumable }

// Backend is what a table says of a service's endpoints.
type Backend struct {
	Name ident.Service
	// Health is the path of the readiness check.
	Health string
	// Connections is the most connections that one endpoint takes from all instances; 0 means unbounded.
	Connections int
	// ColdRate is how many requests a second an endpoint with a cold start takes; 0 means unbounded.
	ColdRate float64
	// Engine says that the endpoints are model engines.
	Engine bool
	// Memory is an engine's KV cache in tokens.
	Memory ident.Tokens
}

// Bounds limits what callers may send and how long they may take.
type Bounds struct {
	// BodyBytes is the largest body.
	BodyBytes int64
	// IdleTimeout is how long a connection may be idle; 0 for no bound.
	IdleTimeout clock.Span
}

// Table is the routing part of a configuration version. It is never modified.
type Table struct {
	Version  ident.Version
	Routes   []Route
	Backends map[ident.Service]Backend
	Bounds   Bounds

	byHost map[string][]*Route
}

// Index prepares the table for Match and checks its routes. An error has KindInvalid.
func (t *Table) Index() error {
	t.byHost = make(map[string][]*Route)
	for i := range t.Routes {
		r := &t.Routes[i]
		if err := t.checkRoute(r); err != nil {
			return err
		}
		host := canonicalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	return nil
}

func (t *Table) checkRoute(r *Route) error {
	path := "route " + r.Name
	switch {
	case r.Host == "":
		return invalid(path, "no host")
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return invalid(path, "prefix %.64q must begin and end with a slash", r.Prefix)
	case len(r.Targets) == 0:
		return invalid(path, "no service")
	case r.Timeout <= 0:
		return invalid(path, "no timeout")
	case r.Attempts <= 0:
		return invalid(path, "no attempts")
	}
	for _, s := range r.Targets {
		if _, ok := t.Backends[s.Service]; !ok {
			return invalid(path, "unknown service %.64q", string(s.Service))
		}
		if s.Weight < 0 {
			return invalid(path, "negative weight")
		}
	}
	return nil
}

// Match finds the route of a request by its host and raw path. It returns nil if none fits.
func (t *Table) Match(host, path string) *Route {
	var best *Route
	for _, r := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Excluded returns how many routes of a host a region may not serve.
func (t *Table) Excluded(host string, region ident.Region) (n int) {
	for _, r := range t.byHost[canonicalHost(host)] {
		if !r.Allows(region) {
			n++
		}
	}
	return n
}

// Spread picks a service of the route; point lies between 0 and 1.
func (r *Route) Spread(point float64) ident.Service {
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
