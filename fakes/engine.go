package fakes

import (
	"cmp"
	"net/http"
	"sync"
	"time"

	"github.com/gorilla/mux"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// EngineConfig configures an Engine. Zero values are replaced by defaults.
type EngineConfig struct {
	Name   ident.Endpoint
	Region ident.Region
	// Listen is the address; the default is a loopback port chosen by the system.
	Listen string
	// Slots is the number of requests that are generated concurrently; the default is 8.
	Slots int
	// PrefillPerToken is the processing time per uncached prompt token; the default is 250 µs.
	PrefillPerToken time.Duration
	// TokenInterval is the time between tokens; the default is 20 ms.
	TokenInterval time.Duration
	// CacheBlocks is the capacity of the prefix cache in prompt blocks; the default is 4096.
	CacheBlocks int
	// BlockTokens is the number of tokens in a block; the default is 16.
	BlockTokens int
	// ReportLag is the age of the counts and prefixes in load reports.
	ReportLag clock.Span
	// StreamRetention is how long a finished request, or one without a connection, can be resumed;
	// the default is 2 s.
	StreamRetention clock.Span
	// LoadingTime is how long the engine reports the state loading after each start.
	LoadingTime clock.Span
	// RestartDelay is the delay before the engine restarts after a crash caused by a request;
	// 0 means that it stays down.
	RestartDelay clock.Span
	// IgnorePriority makes the engine ignore request priorities.
	IgnorePriority bool
	// Models configures the models of the engine and how it loads others.
	Models ModelConfig
	// Clock supplies the timestamps of the records; the default is a new system clock.
	Clock clock.Clock
}

func (c EngineConfig) withDefaults() EngineConfig {
	c.Slots = cmp.Or(c.Slots, 8)
	c.PrefillPerToken = cmp.Or(c.PrefillPerToken, 250*time.Microsecond)
	c.TokenInterval = cmp.Or(c.TokenInterval, 20*time.Millisecond)
	c.CacheBlocks = cmp.Or(c.CacheBlocks, 4096)
	c.BlockTokens = cmp.Or(c.BlockTokens, 16)
	c.StreamRetention = cmp.Or(c.StreamRetention, 2*clock.Second)
	if c.Clock == nil {
		c.Clock = clock.NewSystem()
	}
	return c
}

// Engine is a double of a model engine with continuous batching, a prefix cache
// and resumable streams. It is safe for concurrent use.
type Engine struct {
	httpServer
	cfg        EngineConfig
	requestLog *requestLog

	mu          sync.Mutex
	process     *process // nil while crashed
	readyAt     time.Time
	leaving     bool
	slowdown    float64
	crashMarker string
	answerDelay time.Duration
	faults      EngineFaults
	// started is set by the first start; a restart may begin without models.
	started       bool
	deferralsLeft int // model orders still to be answered with 503
	orderRecords  []OrderRecord
}

// EngineFaults is the number of upcoming streams that get each fault. A stream gets at
// most one fault.
type EngineFaults struct {
	// WrongRequest makes the stream carry another request's id and text from its third event on.
	WrongRequest int `json:"cross"`
	// Truncate ends the response cleanly after half of the tokens, without the final [DONE].
	Truncate int `json:"truncate"`
	// Abort aborts the connection after half of the tokens.
	Abort int `json:"break"`
	// Repeat sends each event twice.
	Repeat int `json:"repeat"`
	// EndlessHeader answers with header lines without end, EndlessLine with one line without end.
	EndlessHeader int `json:"header"`
	EndlessLine   int `json:"line"`
	// EndlessInformational answers with informational responses without end.
	EndlessInformational int `json:"informational"`
	// EndlessEvent sends one event without end, EndlessTokens valid events without end.
	EndlessEvent  int `json:"event"`
	EndlessTokens int `json:"tokens"`
}

// NewEngine returns an Engine that is not started.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	return &Engine{cfg: cfg, requestLog: newRequestLog(cfg.Name, cfg.Region, cfg.Clock), slowdown: 1}
}

// Start starts the engine. It returns a KindListen error if it can't listen.
func (e *Engine) Start() error {
	e.startProcess()
	return e.open(e.cfg.Listen, e.routes())
}

// Close stops the engine; requests in progress are recorded as Lost.
func (e *Engine) Close() { e.Crash() }

// startProcess creates the engine's process with an empty cache unless one is running.
func (e *Engine) startProcess() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		return
	}
	e.process = newProcess(e, !e.started)
	e.started = true
	e.readyAt = time.Now().Add(e.cfg.LoadingTime.Duration())
}

// Crash closes the listener and all connections at once. Requests in progress and the
// cache are lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	p := e.process
	e.process = nil
	e.mu.Unlock()
	if p != nil {
		p.kill()
	}
	e.stop()
}

// Restart starts a crashed engine at its previous address with an empty cache and,
// without ModelConfig.Preload, without models. It returns a KindListen error if the
// address can't be listened on again within 10 s.
func (e *Engine) Restart() error {
	e.startProcess()
	return e.reopen(e.routes())
}

// crashAndRestart crashes the engine and restarts it after the delay down, if positive.
func (e *Engine) crashAndRestart(down clock.Span) {
	e.Crash()
	if down > 0 {
		time.AfterFunc(down.Duration(), func() { _ = e.Restart() })
	}
}

// SetSlowdown sets the factor by which the time between tokens is multiplied; the minimum is 0.01.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = max(factor, 0.01)
}

// SetLeaving sets whether the engine is leaving, in which state it refuses new requests.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// SetCrashMarker makes the engine crash when it starts generating for a prompt that contains the
// text; "" disables this.
func (e *Engine) SetCrashMarker(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashMarker = text
}

// SetAnswerDelay sets the delay before the response to each completion request.
func (e *Engine) SetAnswerDelay(s clock.Span) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answerDelay = s.Duration()
}

// InjectFaults sets the number of upcoming streams that get each fault.
func (e *Engine) InjectFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Name returns the endpoint name of the engine.
func (e *Engine) Name() ident.Endpoint { return e.cfg.Name }

// Region returns the region of the engine.
func (e *Engine) Region() ident.Region { return e.cfg.Region }

// Slots returns the number of requests that are generated concurrently.
func (e *Engine) Slots() int { return e.cfg.Slots }

// Records returns a copy of the records of all requests, in order of arrival.
func (e *Engine) Records() []Record { return e.requestLog.records() }

// SlotTime returns the slot time used so far: prefill and token generation at the
// configured speed, including work for cancelled and lost requests.
func (e *Engine) SlotTime() time.Duration { return e.requestLog.slotTime() }

func (e *Engine) currentProcess() *process {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// tokenInterval returns the time between tokens, including the slowdown.
func (e *Engine) tokenInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(e.cfg.TokenInterval) * e.slowdown)
}

func (e *Engine) currentState() State {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		return StateLeaving
	}
	if time.Now().Before(e.readyAt) {
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
	r.HandleFunc("/control", e.stats).Methods(http.MethodGet)
	return r
}
