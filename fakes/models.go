package fakes

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// ModelConfig tells how an Engine deals with models.
type ModelConfig struct {
	// Names are the models that the engine has when it first starts. If it is nil,
	// the engine doesn't tell its models and takes any request.
	Names []string
	// Preload says that a restarted engine has these models too; without it, it has none.
	Preload bool
	// Loading is the time that a load takes besides what the store needs.
	Loading clock.Span
	// Store is where models come from, Size what one takes; nil means no store.
	Store *Store
	Size  ident.Bytes
	// Fence makes the engine refuse orders with a lower fencing number than it has seen.
	Fence bool
}

// ModelOrder is the body of POST /v1/orders.
type ModelOrder struct {
	Kind  string        `json:"kind"`
	Model string        `json:"model"`
	Fence ident.Version `json:"fence"`
}

// OrderRecord is what an engine remembers of one model order over its crashes.
type OrderRecord struct {
	ModelOrder
	// Status is the HTTP status of the answer.
	Status int
}

// modelSet holds the models of an engine process; a crash loses it.
type modelSet struct {
	cfg    ModelConfig
	region ident.Region
	stop   context.CancelFunc
	life   context.Context

	mu      sync.Mutex
	loaded  []string
	loading []string
	fence   ident.Version
}

func newModelSet(cfg ModelConfig, region ident.Region, first bool) *modelSet {
	s := &modelSet{cfg: cfg, region: region}
	s.life, s.stop = context.WithCancel(context.Background())
	if first || cfg.Preload {
		s.loaded = slices.Clone(cfg.Names)
	}
	return s
}

// lists returns the loaded and loading models; loaded is nil if the engine doesn't tell.
func (s *modelSet) lists() (loaded *[]string, loading []string) {
	if s.cfg.Names == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	all := append([]string{}, s.loaded...)
	return &all, slices.Clone(s.loading)
}

// empty tells whether no request can be run.
func (s *modelSet) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.Names != nil && len(s.loaded) == 0
}

// take carries out an order and returns the status of the answer.
func (s *modelSet) take(o ModelOrder) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.Fence && o.Fence < s.fence {
		return http.StatusConflict
	}
	s.fence = max(s.fence, o.Fence)
	if slices.Contains(s.loaded, o.Model) {
		return http.StatusOK
	}
	if !slices.Contains(s.loading, o.Model) {
		s.loading = append(s.loading, o.Model)
		go s.load(o.Model)
	}
	return http.StatusAccepted
}

func (s *modelSet) load(model string) {
	if s.cfg.Store != nil && !s.cfg.Store.Load(s.life, s.region, s.cfg.Size) {
		return
	}
	if !sleep(time.Now().Add(s.cfg.Loading.Duration()), s.life.Done()) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = slices.DeleteFunc(s.loading, func(m string) bool { return m == model })
	s.loaded = append(s.loaded, model)
}

func (e *Engine) orders(w http.ResponseWriter, r *http.Request) {
	var o ModelOrder
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	d.DisallowUnknownFields()
	p := e.current()
	switch err := d.Decode(&o); {
	case p == nil:
		panic(http.ErrAbortHandler)
	case err != nil || o.Kind != "load" || o.Model == "":
		writeError(w, http.StatusBadRequest, "want kind load and a model")
		return
	}
	status := http.StatusServiceUnavailable
	if e.status() == StateReady && !e.takeDeferral() {
		status = p.models.take(o)
	}
	e.state.Lock()
	e.ordered = append(e.ordered, OrderRecord{ModelOrder: o, Status: status})
	e.state.Unlock()
	writeJSON(w, status, struct{}{})
}

// Defer makes the engine answer the next model orders with 503.
func (e *Engine) Defer(orders int) {
	e.state.Lock()
	defer e.state.Unlock()
	e.deferrals = orders
}

func (e *Engine) takeDeferral() bool {
	e.state.Lock()
	defer e.state.Unlock()
	if e.deferrals == 0 {
		return false
	}
	e.deferrals--
	return true
}

// Orders returns a copy of the records of all model orders, in order of arrival.
func (e *Engine) Orders() []OrderRecord {
	e.state.Lock()
	defer e.state.Unlock()
	return slices.Clone(e.ordered)
}

// Models returns the models that the engine has loaded; none while it is down.
func (e *Engine) Models() []string {
	p := e.current()
	if p == nil {
		return nil
	}
	p.models.mu.Lock()
	defer p.models.mu.Unlock()
	return slices.Clone(p.models.loaded)
}
