package fakes

import (
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gorilla/mux"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// stockLevels is the number of different results of a stock lookup.
const stockLevels = 100

// ServiceConfig configures a Service.
type ServiceConfig struct {
	Name   ident.Endpoint
	Region ident.Region
	// Listen is the address; the default is a loopback port chosen by the system.
	Listen string
	// Slots is the number of calls that run concurrently; the default is 16.
	Slots int
	// Latency is the duration of a call.
	Latency time.Duration
	// ReportLag is the age of the counts in load reports.
	ReportLag clock.Span
	// KeyHeader is the header with the idempotency key of an order; empty means no keys.
	// Keys is the set of keys that all instances share; with nil, every order is placed.
	KeyHeader string
	Keys      *IdempotencyKeys
	// Clock supplies the timestamps of the records; the default is a new system clock.
	Clock clock.Clock
}

// Service is a double of a plain service for stock lookups and orders. Placed orders
// survive a crash. It is safe for concurrent use.
type Service struct {
	httpServer
	cfg   ServiceConfig
	gauge *laggingGauge

	mu      sync.Mutex
	slots   chan struct{}
	running int
	waiting int
	leaving bool
	latency time.Duration
	faults  ServiceFaults
	calls   []Call
}

// ServiceFaults is the number of upcoming calls that get each fault. A call gets at most
// one fault.
type ServiceFaults struct {
	// DropBefore closes the connection after the request was read, before it takes effect.
	DropBefore int `json:"before"`
	// DropAfter closes the connection after the request took effect.
	DropAfter int `json:"after"`
	// Refuse answers the call with 503; it has no effect.
	Refuse int `json:"refuse"`
	// WrongRequest makes the response carry another request's id.
	WrongRequest int `json:"cross"`
}

// Call is a service's record of a call.
type Call struct {
	Request  ident.Request  `json:"request"`
	Endpoint ident.Endpoint `json:"endpoint"`
	Region   ident.Region   `json:"region"`
	Method   string         `json:"method"`
	// Order is the order number; empty for other calls.
	Order string `json:"order,omitempty"`
	// Query is the query of a stock lookup; empty for other calls.
	Query   string     `json:"query,omitempty"`
	Arrived clock.Time `json:"arrived"`
	// Placed is set if the order took effect.
	Placed bool `json:"placed"`
	// Key is the idempotency key of the order; empty if there is none.
	Key string `json:"key,omitempty"`
}

// PlacementCount is the number of placements for an order number or request id.
type PlacementCount struct {
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// ServiceStats is the response to GET /control of a plain service.
type ServiceStats struct {
	// Orders counts the placements by order number, Requests by request id.
	Orders   []PlacementCount `json:"orders"`
	Requests []PlacementCount `json:"requests"`
	Calls    []Call           `json:"calls"`
}

// OrderAnswer is the response to POST /orders.
type OrderAnswer struct {
	Order    string         `json:"order"`
	Request  ident.Request  `json:"request"`
	Endpoint ident.Endpoint `json:"endpoint"`
}

// StockAnswer is the response to GET /stock.
type StockAnswer struct {
	Query   string        `json:"query"`
	Stock   uint64        `json:"stock"`
	Request ident.Request `json:"request"`
}

// Stock returns the stock level that a lookup with the given query returns.
func Stock(query string) uint64 { return xxhash.Sum64String(query) % stockLevels }

// NewService returns a Service that is not started.
func NewService(cfg ServiceConfig) *Service {
	cfg.Slots = cmp.Or(cfg.Slots, 16)
	if cfg.Clock == nil {
		cfg.Clock = clock.NewSystem()
	}
	return &Service{
		cfg: cfg, gauge: newLaggingGauge(cfg.ReportLag), latency: cfg.Latency, slots: make(chan struct{}, cfg.Slots),
	}
}

// Start starts the service. It returns a KindListen error if it can't listen.
func (s *Service) Start() error { return s.open(s.cfg.Listen, s.routes()) }

// Close stops the service.
func (s *Service) Close() { s.stop() }

// Crash closes the listener and all connections at once.
func (s *Service) Crash() { s.stop() }

// Restart starts a crashed service at its previous address. It returns a KindListen error
// if the address can't be listened on again within 10 s.
func (s *Service) Restart() error { return s.reopen(s.routes()) }

// SetLeaving sets whether the service is leaving, in which state it refuses new calls.
func (s *Service) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// SetLatency sets the duration of a call.
func (s *Service) SetLatency(d clock.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d.Duration()
}

// InjectFaults sets the number of upcoming calls that get each fault.
func (s *Service) InjectFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Name returns the name of the service instance.
func (s *Service) Name() ident.Endpoint { return s.cfg.Name }

// Region returns the region of the service instance.
func (s *Service) Region() ident.Region { return s.cfg.Region }

// Slots returns the number of calls that run concurrently.
func (s *Service) Slots() int { return s.cfg.Slots }

// Calls returns a copy of the records of all calls, in order of arrival.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

func (s *Service) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/stock", s.stock).Methods(http.MethodGet)
	r.HandleFunc("/orders", s.order).Methods(http.MethodPost)
	r.HandleFunc("/v1/load", s.load).Methods(http.MethodGet)
	r.HandleFunc("/control", s.control).Methods(http.MethodPost)
	r.HandleFunc("/control", s.stats).Methods(http.MethodGet)
	return r
}

// ServiceControl is the body of POST /control of a plain service. Absent fields
// change nothing.
type ServiceControl struct {
	Latency *clock.Span    `json:"latency"`
	Leaving *bool          `json:"leaving"`
	Faults  *ServiceFaults `json:"faults"`
	// Crash makes the service crash 20 ms after the response to this request.
	Crash bool `json:"crash"`
	// RestartDelay is the delay between the crash and the restart; 0 means never.
	RestartDelay clock.Span `json:"restart"`
}

func (s *Service) control(w http.ResponseWriter, r *http.Request) {
	var c ServiceControl
	if !decodeControl(w, r, &c) {
		return
	}
	applyIfSet(c.Latency, s.SetLatency)
	applyIfSet(c.Leaving, s.SetLeaving)
	applyIfSet(c.Faults, s.InjectFaults)
	if c.Crash {
		time.AfterFunc(crashDelay, s.Crash)
	}
	if c.Crash && c.RestartDelay > 0 {
		time.AfterFunc(crashDelay+c.RestartDelay.Duration(), func() { _ = s.Restart() })
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) stats(w http.ResponseWriter, _ *http.Request) {
	calls := s.Calls()
	orders := countBy(calls, func(c Call) string { return c.Order })
	requests := countBy(calls, func(c Call) string { return string(c.Request) })
	writeJSON(w, http.StatusOK, ServiceStats{Orders: orders, Requests: requests, Calls: calls})
}

// CountPlacedOrders counts the placements at all given services by order number.
func CountPlacedOrders(services ...*Service) []PlacementCount {
	var calls []Call
	for _, s := range services {
		calls = append(calls, s.Calls()...)
	}
	return countBy(calls, func(c Call) string { return c.Order })
}

// countBy counts the placed orders by a key, in order of first appearance.
func countBy(calls []Call, key func(Call) string) []PlacementCount {
	var out []PlacementCount
	indexes := map[string]int{}
	for _, c := range calls {
		if !c.Placed {
			continue
		}
		i, ok := indexes[key(c)]
		if !ok {
			i = len(out)
			indexes[key(c)] = i
			out = append(out, PlacementCount{Key: key(c)})
		}
		out[i].Count++
	}
	return out
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	running, waiting, age := s.gauge.read()
	writeJSON(w, http.StatusOK, Load{
		State: s.currentState(), Slots: s.cfg.Slots, Running: running, Waiting: waiting, Age: age,
	})
}

func (s *Service) currentState() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return StateLeaving
	}
	return StateReady
}

func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	request := ident.Request(r.Header.Get(headerRequest))
	i := s.record(Call{Request: callerID(request), Method: r.Method, Query: r.URL.RawQuery})
	answer := StockAnswer{Query: r.URL.RawQuery, Stock: Stock(r.URL.RawQuery), Request: callerID(request)}
	s.respond(w, i, request, answer)
}

func (s *Service) order(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Order json.RawMessage `json:"order"`
	}
	raw, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := json.Unmarshal(raw, &body); err != nil || len(body.Order) == 0 {
		w.Header().Set(headerRequest, r.Header.Get(headerRequest))
		writeError(w, http.StatusBadRequest, "malformed order: requires an order number")
		return
	}
	request := ident.Request(r.Header.Get(headerRequest))
	order := string(bytes.Trim(body.Order, `"`))
	i := s.record(Call{Request: callerID(request), Method: r.Method, Order: order, Key: s.idempotencyKey(r)})
	s.respond(w, i, request, OrderAnswer{Order: order, Request: callerID(request), Endpoint: s.cfg.Name})
}

// respond executes a call with its injected fault and writes the response. The call takes
// effect even if the client has disconnected in the meantime.
func (s *Service) respond(w http.ResponseWriter, i int, request ident.Request, answer any) {
	if s.currentState() == StateLeaving {
		w.Header().Set(headerState, string(StateLeaving))
		writeError(w, http.StatusServiceUnavailable, "service does not accept calls: leaving")
		return
	}
	fault := s.takeFault()
	if fault.Refuse > 0 {
		writeError(w, http.StatusServiceUnavailable, "refused")
		return
	}
	if fault.DropBefore > 0 {
		panic(http.ErrAbortHandler)
	}
	s.execute(i)
	if fault.DropAfter > 0 {
		panic(http.ErrAbortHandler)
	}
	if fault.WrongRequest > 0 {
		request = "other-" + request
	}
	w.Header().Set(headerRequest, string(request))
	writeJSON(w, http.StatusOK, answer)
}

// execute occupies a slot for the latency of a call and then places the order, if the call
// is one.
func (s *Service) execute(i int) {
	s.adjustCounts(0, 1)
	s.slots <- struct{}{}
	s.adjustCounts(1, -1)
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	time.Sleep(latency)
	<-s.slots
	s.adjustCounts(-1, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.calls[i]
	c.Placed = c.Method == http.MethodPost && s.cfg.Keys.claim(c.Key)
}

func (s *Service) adjustCounts(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
	s.gauge.set(s.running, s.waiting)
}

// record appends the record of a call and returns its index.
func (s *Service) record(c Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Endpoint, c.Region, c.Arrived = s.cfg.Name, s.cfg.Region, s.cfg.Clock.Now()
	s.calls = append(s.calls, c)
	return len(s.calls) - 1
}

// takeFault returns the fault of the next call as the field that is 1, and decrements its
// counter.
func (s *Service) takeFault() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f := &s.faults; {
	case f.DropBefore > 0:
		f.DropBefore--
		return ServiceFaults{DropBefore: 1}
	case f.DropAfter > 0:
		f.DropAfter--
		return ServiceFaults{DropAfter: 1}
	case f.Refuse > 0:
		f.Refuse--
		return ServiceFaults{Refuse: 1}
	case f.WrongRequest > 0:
		f.WrongRequest--
		return ServiceFaults{WrongRequest: 1}
	}
	return ServiceFaults{}
}
