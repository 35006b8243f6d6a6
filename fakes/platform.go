package fakes

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// PlatformConfig constructs a Platform.
type PlatformConfig struct {
	// Listen is the address; the default is a loopback port picked by the system.
	Listen string
	// Rate is the number of calls a second, over all readers; the default is
	// 2000, as measured at both deployments. A pending watch counts as one call.
	Rate float64
	// Lag is how old the instance list is.
	Lag clock.Span
}

// Platform is a double of the configuration service and the instance list. It
// is safe for concurrent use.
type Platform struct {
	host
	cfg    PlatformConfig
	values *values

	mu       sync.Mutex
	lag      time.Duration
	outage   bool
	silent   bool
	lists    []listing
	rewrites []Rewrite
}

// listing is the instance list from one point in time on.
type listing struct {
	at        time.Time
	instances []watch.Instance
}

// Rewrite replaces the addresses of one instance in the lists of one view, so
// that readers in that region reach it over a Link.
type Rewrite struct {
	View    ident.Region `json:"view"`
	Name    string       `json:"name"`
	Address string       `json:"address"`
	Peer    string       `json:"peer"`
}

// NewPlatform returns a Platform that is not started.
func NewPlatform(cfg PlatformConfig) *Platform {
	cfg.Rate = or(cfg.Rate, 2000)
	return &Platform{cfg: cfg, values: newValues(cfg.Rate), lag: cfg.Lag.Duration()}
}

// Start listens.
func (p *Platform) Start() error { return p.open(p.cfg.Listen, p.routes()) }

// Close ends the platform.
func (p *Platform) Close() { p.shut() }

// URL returns the base URL of both the configuration service and the list.
func (p *Platform) URL() string { return "http://" + p.Address() }

// Set publishes a value and returns its revision. A value has at most 1 MB.
func (p *Platform) Set(name string, value []byte) (revision int, err error) {
	return p.values.set(name, value)
}

// Silence sets whether the configuration service alone answers 503.
func (p *Platform) Silence(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.silent = on
}

// Outage sets whether the configuration service and the list answer 503.
func (p *Platform) Outage(on bool) {
	p.mu.Lock()
	p.outage = on
	p.mu.Unlock()
	p.values.poke()
}

// Stale makes the configuration service serve what it had the given number of
// revisions ago; 0 ends that.
func (p *Platform) Stale(revisions int) { p.values.stale(revisions) }

// Calls returns the number of calls to the configuration service, and how many
// of them were rejected for their rate.
func (p *Platform) Calls() (all, limited int) { return p.values.counts() }

// SetLag sets how old the instance list is.
func (p *Platform) SetLag(s clock.Span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lag = s.Duration()
}

// List publishes the list of instances.
func (p *Platform) List(instances []watch.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, listing{time.Now(), slices.Clone(instances)})
}

// Rewrite adds a replacement of addresses, or changes an earlier one.
func (p *Platform) Rewrite(r Rewrite) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rewrites = slices.DeleteFunc(p.rewrites, func(o Rewrite) bool { return o.View == r.View && o.Name == r.Name })
	p.rewrites = append(p.rewrites, r)
}

func (p *Platform) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/value/{name}", p.value).Methods(http.MethodGet)
	r.HandleFunc("/v1/instances", p.instances).Methods(http.MethodGet)
	r.HandleFunc("/control", p.control).Methods(http.MethodPost)
	r.HandleFunc("/control", p.account).Methods(http.MethodGet)
	return r
}

// mute reports whether the configuration service is out.
func (p *Platform) mute() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outage || p.silent
}

func (p *Platform) down() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outage
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	if p.down() {
		writeError(w, http.StatusServiceUnavailable, "outage")
		return
	}
	if p.unlisted() {
		// An empty list would tell an entry that it is alone.
		writeError(w, http.StatusServiceUnavailable, "no list yet")
		return
	}
	view := ident.Region(r.URL.Query().Get("view"))
	writeJSON(w, http.StatusOK, struct {
		Instances []watch.Instance `json:"instances"`
	}{p.seen(view)})
}

// unlisted reports whether no list has been published yet.
func (p *Platform) unlisted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lists) == 0
}

// seen returns the list as it was one lag ago, with the addresses of the view.
// The first list is seen at once.
func (p *Platform) seen(view ident.Region) []watch.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := time.Now().Add(-p.lag)
	n := 0
	for n+1 < len(p.lists) && !p.lists[n+1].at.After(limit) {
		n++
	}
	out := slices.Clone(p.lists[n].instances)
	for i := range out {
		p.rewrite(view, &out[i])
	}
	return out
}

func (p *Platform) rewrite(view ident.Region, i *watch.Instance) {
	for _, r := range p.rewrites {
		if r.View == view && r.Name == i.Name {
			i.Address, i.Peer = r.Address, r.Peer
		}
	}
}

// PlatformControl is the body of POST /control of a platform. Absent fields
// change nothing.
type PlatformControl struct {
	Outage *bool       `json:"outage"`
	Stale  *int        `json:"stale"`
	Lag    *clock.Span `json:"lag"`
	// Value publishes a value of the configuration service.
	Value *Value `json:"value"`
	// Instances publishes a list.
	Instances []watch.Instance `json:"instances"`
	Rewrites  []Rewrite        `json:"rewrites"`
}

// Value is a named value of the configuration service.
type Value struct {
	Name string `json:"name"`
	Body []byte `json:"body"`
}

// PlatformAccount is the answer to GET /control of a platform.
type PlatformAccount struct {
	Calls   int `json:"calls"`
	Limited int `json:"limited"`
}

func (p *Platform) control(w http.ResponseWriter, r *http.Request) {
	var c PlatformControl
	if !readControl(w, r, &c) {
		return
	}
	apply(c.Outage, p.Outage)
	apply(c.Stale, p.Stale)
	apply(c.Lag, p.SetLag)
	for _, r := range c.Rewrites {
		p.Rewrite(r)
	}
	if c.Instances != nil {
		p.List(c.Instances)
	}
	if c.Value == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if _, err := p.Set(c.Value.Name, c.Value.Body); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) account(w http.ResponseWriter, _ *http.Request) {
	all, limited := p.Calls()
	writeJSON(w, http.StatusOK, PlatformAccount{Calls: all, Limited: limited})
}
