package fakes

import (
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// EngineConfig constructs an Engine. Zero values are replaced by defaults.
type EngineConfig struct {
	Name   ident.Endpoint
	Region ident.Region
	// Listen is the address; the default is a loopback port picked by the system.
	Listen string
	// Slots is how many requests are generated at once; the default is 8.
	Slots int
	// Prefill is the time per prompt token that is not cached; the default is 250 µs.
	Prefill time.Duration
	// Gap is the time between tokens; the default is 20 ms.
	Gap time.Duration
	// Memory is the number of prompt blocks that the prefix cache holds; the default is 4096.
	Memory int
	// Block is the number of tokens in a block; the default is 16.
	Block int
	// Lag is how old load reports are.
	Lag clock.Span
	// Keep is how long a stream without a connection is kept; the default is 2 s.
	Keep clock.Span
	// Load is how long the engine reports that it is loading after each start.
	Load clock.Span
	// Reboot is how long after a crash caused by a request the engine comes
	// back; 0 means that it stays down.
	Reboot clock.Span
	// Flat makes the engine ignore priorities.
	Flat bool
	// Models tells which models the engine has and how it loads others.
	Models ModelConfig
	// Clock gives the times of the records; the default is a new system clock.
	Clock clock.Clock
}

func (c EngineConfig) withDefaults() EngineConfig {
	c.Slots = or(c.Slots, 8)
	c.Prefill = or(c.Prefill, 250*time.Microsecond)
	c.Gap = or(c.Gap, 20*time.Millisecond)
	c.Memory = or(c.Memory, 4096)
	c.Block = or(c.Block, 16)
	c.Keep = or(c.Keep, 2*clock.Second)
	if c.Clock == nil {
		c.Clock = clock.NewSystem()
	}
	return c
}

func or[T comparable](v, preset T) T {
	var zero T
	if v == zero {
		return preset
	}
	return v
}

// Engine is a double of a model engine with continuous batching, a prefix cache
// and resumable streams. It is safe for concurrent use.
type Engine struct {
	host
	cfg EngineConfig
	log *journal

	state   sync.Mutex
	process *process // nil while crashed
	ready   time.Time
	leaving bool
	slow    float64
	marker  string
	delay   time.Duration
	faults  EngineFaults
	// started says that the engine was started before.
	started   bool
	deferrals int
	ordered   []OrderRecord
}

// EngineFaults counts the streams that are still to be spoilt. One stream gets
// one fault.
type EngineFaults struct {
	// Cross: from its third event on, the stream carries another request's id and text.
	Cross int `json:"cross"`
	// Truncate: the response ends cleanly after half of the tokens, without the final marker.
	Truncate int `json:"truncate"`
	// Break: the connection breaks after half of the tokens.
	Break int `json:"break"`
	// Repeat: each event is sent twice.
	Repeat int `json:"repeat"`
}

// NewEngine returns an Engine that is not started.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{cfg: cfg, log: newJournal(cfg.Name, cfg.Region, cfg.Clock), slow: 1}
}

// Start listens.
func (e *Engine) Start() error {
	e.boot()
	return e.open(e.cfg.Listen, e.routes())
}

// Close ends the engine; what is in progress counts as lost.
func (e *Engine) Close() { e.Crash() }

// boot gives the engine a fresh state with a cold cache.
func (e *Engine) boot() {
	e.state.Lock()
	defer e.state.Unlock()
	if e.process != nil {
		return
	}
	e.process = newProcess(e, !e.started)
	e.started = true
	e.ready = time.Now().Add(e.cfg.Load.Duration())
}

// Crash closes the listener and cuts every connection at once. What was in
// progress and the cache are lost.
func (e *Engine) Crash() {
	e.state.Lock()
	p := e.process
	e.process = nil
	e.state.Unlock()
	if p != nil {
		p.kill()
	}
	e.shut()
}

// Restart starts a crashed engine at its old address, with a cold cache and, unless
// it preloads them, without models.
func (e *Engine) Restart() error {
	e.boot()
	return e.reopen(e.routes())
}

// crashFor crashes the engine and restarts it after the given span, if positive.
func (e *Engine) crashFor(down clock.Span) {
	e.Crash()
	if down > 0 {
		time.AfterFunc(down.Duration(), func() { _ = e.Restart() })
	}
}

// Slow sets the factor that multiplies the time between tokens.
func (e *Engine) Slow(factor float64) {
	e.state.Lock()
	defer e.state.Unlock()
	e.slow = max(factor, 0.01)
}

// Leave sets whether the engine refuses new work because it is leaving.
func (e *Engine) Leave(leaving bool) {
	e.state.Lock()
	defer e.state.Unlock()
	e.leaving = leaving
}

// Mark makes the engine crash when it begins to generate for a prompt that
// contains the text; "" turns that off.
func (e *Engine) Mark(text string) {
	e.state.Lock()
	defer e.state.Unlock()
	e.marker = text
}

// Delay sets how long each answer is held back.
func (e *Engine) Delay(s clock.Span) {
	e.state.Lock()
	defer e.state.Unlock()
	e.delay = s.Duration()
}

// Spoil sets how many of the next streams get a fault.
func (e *Engine) Spoil(f EngineFaults) {
	e.state.Lock()
	defer e.state.Unlock()
	e.faults = f
}

// Name returns the name of the engine.
func (e *Engine) Name() ident.Endpoint { return e.cfg.Name }

// Region returns the region of the engine.
func (e *Engine) Region() ident.Region { return e.cfg.Region }

// Slots returns the number of slots.
func (e *Engine) Slots() int { return e.cfg.Slots }

// Records returns a copy of the records of all requests, in order of arrival.
func (e *Engine) Records() []Record { return e.log.records() }

// Spent returns the slot time used so far: prefill and tokens at the modelled
// pace, wasted work included.
func (e *Engine) Spent() time.Duration { return e.log.total() }

func (e *Engine) current() *process {
	e.state.Lock()
	defer e.state.Unlock()
	return e.process
}

func (e *Engine) gap() time.Duration {
	e.state.Lock()
	defer e.state.Unlock()
	return time.Duration(float64(e.cfg.Gap) * e.slow)
}

func (e *Engine) status() State {
	e.state.Lock()
	defer e.state.Unlock()
	if e.leaving {
		return StateLeaving
	}
	if time.Now().Before(e.ready) {
		return StateLoading
	}
	return StateReady
}

func (e *Engine) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/chat/completions", e.complete).Methods(http.MethodPost)
	r.HandleFunc("/v1/streams/{request}", e.resume).Methods(http.MethodGet)
	r.HandleFunc("/v1/streams/{request}", e.cancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/orders", e.orders).Methods(http.MethodPost)
	r.HandleFunc("/v1/load", e.load).Methods(http.MethodGet)
	r.HandleFunc("/control", e.control).Methods(http.MethodPost)
	r.HandleFunc("/control", e.account).Methods(http.MethodGet)
	return r
}
