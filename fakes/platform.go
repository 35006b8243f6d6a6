package fakes

import (
	"cmp"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// PlatformConfig configures a Platform.
type PlatformConfig struct {
	// Listen is the address; the default is a loopback port chosen by the system.
	Listen string
	// RateLimit is the limit of calls per second over all clients; the default of 2000 is the
	// limit at both deployments. A pending watch counts as one call.
	RateLimit float64
	// ListLag is the age of the instance list that clients get.
	ListLag clock.Span
}

// Platform is a double of the configuration service and the instance list. It
// is safe for concurrent use.
type Platform struct {
	httpServer
	cfg    PlatformConfig
	values *valueStore

	mu           sync.Mutex
	listLag      time.Duration
	outage       bool
	configOutage bool
	snapshots    []listSnapshot
	rewrites     []Rewrite
}

// listSnapshot is the instance list that applies from a point in time on.
type listSnapshot struct {
	publishedAt time.Time
	instances   []watch.Instance
}

// Rewrite replaces the addresses of an instance in the lists for the region View, so that
// clients there connect to it over a Link.
type Rewrite struct {
	View    ident.Region `json:"view"`
	Name    string       `json:"name"`
	Address string       `json:"address"`
	Peer    string       `json:"peer"`
}

// NewPlatform returns a Platform that is not started.
func NewPlatform(cfg PlatformConfig) *Platform {
	cfg.RateLimit = cmp.Or(cfg.RateLimit, 2000)
	return &Platform{cfg: cfg, values: newValueStore(cfg.RateLimit), listLag: cfg.ListLag.Duration()}
}

// Start starts the platform. It returns a KindListen error if it can't listen.
func (p *Platform) Start() error { return p.open(p.cfg.Listen, p.routes()) }

// Close stops the platform.
func (p *Platform) Close() { p.stop() }

// URL returns the base URL of both the configuration service and the instance list.
func (p *Platform) URL() string { return "http://" + p.Address() }

// PublishValue publishes a value and returns its revision. It returns a KindInvalid error for
// values above 1 MB.
func (p *Platform) PublishValue(name string, value []byte) (revision int, err error) {
	return p.values.set(name, value)
}

// SetConfigOutage sets whether the configuration service answers 503; the instance list still
// works.
func (p *Platform) SetConfigOutage(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configOutage = on
}

// SetOutage sets whether the configuration service and the instance list answer 503.
func (p *Platform) SetOutage(on bool) {
	p.mu.Lock()
	p.outage = on
	p.mu.Unlock()
	p.values.wakeWatches()
}

// SetStaleBy makes the configuration service serve the value of the given number of revisions
// ago; 0 means the latest.
func (p *Platform) SetStaleBy(revisions int) { p.values.setStale(revisions) }

// Calls returns the number of calls to the configuration service, and how many of them
// were rejected by the rate limit.
func (p *Platform) Calls() (all, limited int) { return p.values.callCounts() }

// SetListLag sets the age of the instance list that clients get.
func (p *Platform) SetListLag(s clock.Span) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listLag = s.Duration()
}

// PublishInstances publishes a new instance list.
func (p *Platform) PublishInstances(instances []watch.Instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshots = append(p.snapshots, listSnapshot{time.Now(), slices.Clone(instances)})
}

// SetRewrite adds an address replacement, or changes the one for the same view and instance.
func (p *Platform) SetRewrite(r Rewrite) {
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
	r.HandleFunc("/control", p.stats).Methods(http.MethodGet)
	return r
}

// configUnavailable reports whether the configuration service answers 503.
func (p *Platform) configUnavailable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outage || p.configOutage
}

// unavailable reports whether the whole platform answers 503.
func (p *Platform) unavailable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.outage
}

func (p *Platform) instances(w http.ResponseWriter, r *http.Request) {
	if p.unavailable() {
		writeError(w, http.StatusServiceUnavailable, "outage")
		return
	}
	if p.noListPublished() {
		// With an empty list, an entry would assume that it is the only one.
		writeError(w, http.StatusServiceUnavailable, "no instance list published yet")
		return
	}
	view := ident.Region(r.URL.Query().Get("view"))
	writeJSON(w, http.StatusOK, struct {
		Instances []watch.Instance `json:"instances"`
	}{p.listFor(view)})
}

// noListPublished reports whether no instance list has been published yet.
func (p *Platform) noListPublished() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.snapshots) == 0
}

// listFor returns the instance list as of one lag ago, with the addresses for the view.
// The first list is visible without a lag.
func (p *Platform) listFor(view ident.Region) []watch.Instance {
	p.mu.Lock()
	defer p.mu.Unlock()
	limit := time.Now().Add(-p.listLag)
	n := 0
	for n+1 < len(p.snapshots) && !p.snapshots[n+1].publishedAt.After(limit) {
		n++
	}
	out := slices.Clone(p.snapshots[n].instances)
	for i := range out {
		p.applyRewrites(view, &out[i])
	}
	return out
}

func (p *Platform) applyRewrites(view ident.Region, i *watch.Instance) {
	for _, r := range p.rewrites {
		if r.View == view && r.Name == i.Name {
			i.Address, i.Peer = r.Address, r.Peer
		}
	}
}

// PlatformControl is the body of POST /control of a platform. Absent fields
// change nothing.
type PlatformControl struct {
	Outage  *bool       `json:"outage"`
	StaleBy *int        `json:"stale"`
	ListLag *clock.Span `json:"lag"`
	// Value publishes a value of the configuration service.
	Value *Value `json:"value"`
	// Instances publishes an instance list.
	Instances []watch.Instance `json:"instances"`
	Rewrites  []Rewrite        `json:"rewrites"`
}

// Value is a named value of the configuration service.
type Value struct {
	Name string `json:"name"`
	Body []byte `json:"body"`
}

// PlatformStats is the response to GET /control of a platform.
type PlatformStats struct {
	Calls       int `json:"calls"`
	RateLimited int `json:"limited"`
}

func (p *Platform) control(w http.ResponseWriter, r *http.Request) {
	var c PlatformControl
	if !decodeControl(w, r, &c) {
		return
	}
	applyIfSet(c.Outage, p.SetOutage)
	applyIfSet(c.StaleBy, p.SetStaleBy)
	applyIfSet(c.ListLag, p.SetListLag)
	for _, r := range c.Rewrites {
		p.SetRewrite(r)
	}
	if c.Instances != nil {
		p.PublishInstances(c.Instances)
	}
	if c.Value == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if _, err := p.PublishValue(c.Value.Name, c.Value.Body); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) stats(w http.ResponseWriter, _ *http.Request) {
	all, limited := p.Calls()
	writeJSON(w, http.StatusOK, PlatformStats{Calls: all, RateLimited: limited})
}
