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

// ModelConfig configures the models of an Engine.
type ModelConfig struct {
	// Names are the models that are loaded at the first start. If it is nil, the engine
	// does not report models and accepts any request.
	Names []string
	// Preload loads these models after a restart too; without it, a restarted engine has none.
	Preload bool
	// LoadingTime is the time that loading a model takes in addition to the transfer from the store.
	LoadingTime clock.Span
	// Store is the weight store that models are loaded from, Size the size of a model in
	// bytes. Without a Store, there is no transfer time.
	Store *WeightStore
	Size  ident.Bytes
	// ChecksFence makes the engine reject model orders with a lower fencing number than it has seen.
	ChecksFence bool
}

// ModelOrder is the body of POST /v1/orders.
type ModelOrder struct {
	Kind  string        `json:"kind"`
	Model string        `json:"model"`
	Fence ident.Version `json:"fence"`
}

// OrderRecord is an engine's record of a model order. It survives crashes.
type OrderRecord struct {
	ModelOrder
	// Status is the HTTP status of the response.
	Status int
}

// modelSet holds the models of an engine process. It is lost in a crash.
type modelSet struct {
	cfg    ModelConfig
	region ident.Region
	cancel context.CancelFunc
	ctx    context.Context

	mu           sync.Mutex
	loaded       []string
	loading      []string
	highestFence ident.Version
}

func newModelSet(cfg ModelConfig, region ident.Region, firstStart bool) *modelSet {
	s := &modelSet{cfg: cfg, region: region}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	if firstStart || cfg.Preload {
		s.loaded = slices.Clone(cfg.Names)
	}
	return s
}

// snapshot returns the loaded and loading models; loaded is nil if the engine does not
// report models.
func (s *modelSet) snapshot() (loaded *[]string, loading []string) {
	if s.cfg.Names == nil {
		return nil, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	all := append([]string{}, s.loaded...)
	return &all, slices.Clone(s.loading)
}

// empty reports whether the engine can run no request because no model is loaded.
func (s *modelSet) empty() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.cfg.Names != nil && len(s.loaded) == 0
}

// handleOrder starts loading the ordered model if necessary and returns the HTTP status of
// the response.
func (s *modelSet) handleOrder(o ModelOrder) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.ChecksFence && o.Fence < s.highestFence {
		return http.StatusConflict
	}
	s.highestFence = max(s.highestFence, o.Fence)
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
	if s.cfg.Store != nil && !s.cfg.Store.Load(s.ctx, s.region, s.cfg.Size) {
		return
	}
	if !sleepUntil(time.Now().Add(s.cfg.LoadingTime.Duration()), s.ctx.Done()) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loading = slices.DeleteFunc(s.loading, func(m string) bool { return m == model })
	s.loaded = append(s.loaded, model)
}

func (e *Engine) orders(w http.ResponseWriter, r *http.Request) {
	var o ModelOrder
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16))
	decoder.DisallowUnknownFields()
	p := e.currentProcess()
	switch err := decoder.Decode(&o); {
	case p == nil:
		panic(http.ErrAbortHandler)
	case err != nil || o.Kind != "load" || o.Model == "":
		writeError(w, http.StatusBadRequest, "malformed model order: requires kind \"load\" and a model")
		return
	}
	status := http.StatusServiceUnavailable
	if e.currentState() == StateReady && !e.takeDeferral() {
		status = p.models.handleOrder(o)
	}
	e.mu.Lock()
	e.orderRecords = append(e.orderRecords, OrderRecord{ModelOrder: o, Status: status})
	e.mu.Unlock()
	writeJSON(w, status, struct{}{})
}

// DeferOrders makes the engine answer the given number of model orders with 503.
func (e *Engine) DeferOrders(orders int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.deferralsLeft = orders
}

func (e *Engine) takeDeferral() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.deferralsLeft == 0 {
		return false
	}
	e.deferralsLeft--
	return true
}

// ModelOrders returns a copy of the records of all model orders, in order of arrival.
func (e *Engine) ModelOrders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orderRecords)
}

// Models returns the loaded models; nil while the engine is down.
func (e *Engine) Models() []string {
	p := e.currentProcess()
	if p == nil {
		return nil
	}
	p.models.mu.Lock()
	defer p.models.mu.Unlock()
	return slices.Clone(p.models.loaded)
}
