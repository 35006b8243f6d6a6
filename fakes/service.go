package fakes

import (
	"bytes"
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

// stockLevels is the number of different answers of a stock lookup.
const stockLevels = 100

// ServiceConfig constructs a Service.
type ServiceConfig struct {
	Name   ident.Endpoint
	Region ident.Region
	// Listen is the address; the default is a loopback port picked by the system.
	Listen string
	// Slots is how many calls run at once; the default is 16.
	Slots int
	// Latency is how long one call takes.
	Latency time.Duration
	// Lag is how old load reports are.
	Lag clock.Span
	// Dedupe names the header with the key by which orders are told apart, and Keys
	// holds the keys that all instances share. With nil, every order is placed.
	Dedupe string
	Keys   *Keys
	// Clock gives the times of the records; the default is a new system clock.
	Clock clock.Clock
}

// Service is a double of a plain service that looks up stock and takes orders.
// Placed orders survive a crash. It is safe for concurrent use.
type Service struct {
	host
	cfg   ServiceConfig
	gauge *gauge

	mu      sync.Mutex
	slots   chan struct{}
	running int
	waiting int
	leaving bool
	latency time.Duration
	faults  ServiceFaults
	calls   []Call
}

// ServiceFaults counts the calls that are still to be spoilt. One call gets one fault.
type ServiceFaults struct {
	// Before: the connection is dropped after the request was read, before it has an effect.
	Before int `json:"before"`
	// After: the connection is dropped after the request had its effect.
	After int `json:"after"`
	// Refuse: the call is answered with 503 and has no effect.
	Refuse int `json:"refuse"`
	// Cross: the answer carries another request's id.
	Cross int `json:"cross"`
}

// Call is what a Service remembers of one call.
type Call struct {
	Request  ident.Request  `json:"request"`
	Endpoint ident.Endpoint `json:"endpoint"`
	Region   ident.Region   `json:"region"`
	Method   string         `json:"method"`
	// Order is the order number, as text; empty for other calls.
	Order string `json:"order,omitempty"`
	// Query is the query of a stock lookup; empty for other calls.
	Query   string     `json:"query,omitempty"`
	Arrived clock.Time `json:"arrived"`
	// Placed says that the order took effect.
	Placed bool `json:"placed"`
	// Key is the key by which the order is told apart; empty without one.
	Key string `json:"key,omitempty"`
}

// Count is how often something was placed.
type Count struct {
	Key   string `json:"key"`
	Count int    `json:"count"`
}

// ServiceAccount is the answer to GET /control of a plain service.
type ServiceAccount struct {
	// Orders counts the placements by order number, Requests by request id.
	Orders   []Count `json:"orders"`
	Requests []Count `json:"requests"`
	Calls    []Call  `json:"calls"`
}

// OrderAnswer is the answer to POST /orders.
type OrderAnswer struct {
	Order    string         `json:"order"`
	Request  ident.Request  `json:"request"`
	Endpoint ident.Endpoint `json:"endpoint"`
}

// StockAnswer is the answer to GET /stock.
type StockAnswer struct {
	Query   string        `json:"query"`
	Stock   uint64        `json:"stock"`
	Request ident.Request `json:"request"`
}

// Stock returns the level that a lookup with the given query answers.
func Stock(query string) uint64 { return xxhash.Sum64String(query) % stockLevels }

// NewService returns a Service that is not started.
func NewService(cfg ServiceConfig) *Service {
	cfg.Slots = or(cfg.Slots, 16)
	if cfg.Clock == nil {
		cfg.Clock = clock.NewSystem()
	}
	return &Service{
		cfg: cfg, gauge: newGauge(cfg.Lag), latency: cfg.Latency, slots: make(chan struct{}, cfg.Slots),
	}
}

// Start listens.
func (s *Service) Start() error { return s.open(s.cfg.Listen, s.routes()) }

// Close ends the service.
func (s *Service) Close() { s.shut() }

// Crash closes the listener and cuts every connection at once.
func (s *Service) Crash() { s.shut() }

// Restart starts a crashed service at its old address.
func (s *Service) Restart() error { return s.reopen(s.routes()) }

// Leave sets whether the service refuses new work because it is leaving.
func (s *Service) Leave(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

// Delay sets how long one call takes.
func (s *Service) Delay(d clock.Span) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.latency = d.Duration()
}

// Spoil sets how many of the next calls get a fault.
func (s *Service) Spoil(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Name returns the name of the service instance.
func (s *Service) Name() ident.Endpoint { return s.cfg.Name }

// Region returns the region of the service instance.
func (s *Service) Region() ident.Region { return s.cfg.Region }

// Slots returns the number of slots.
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
	r.HandleFunc("/control", s.account).Methods(http.MethodGet)
	return r
}

// ServiceControl is the body of POST /control of a plain service. Absent fields
// change nothing.
type ServiceControl struct {
	Latency *clock.Span    `json:"latency"`
	Leaving *bool          `json:"leaving"`
	Faults  *ServiceFaults `json:"faults"`
	// Crash makes the service crash right after the answer to this call.
	Crash bool `json:"crash"`
	// Restart is when a crashed service comes back; 0 means never.
	Restart clock.Span `json:"restart"`
}

func (s *Service) control(w http.ResponseWriter, r *http.Request) {
	var c ServiceControl
	if !readControl(w, r, &c) {
		return
	}
	apply(c.Latency, s.Delay)
	apply(c.Leaving, s.Leave)
	apply(c.Faults, s.Spoil)
	if c.Crash {
		time.AfterFunc(crashPause, s.Crash)
	}
	if c.Crash && c.Restart > 0 {
		time.AfterFunc(crashPause+c.Restart.Duration(), func() { _ = s.Restart() })
	}
	w.WriteHeader(http.StatusNoContent)
}

func (s *Service) account(w http.ResponseWriter, _ *http.Request) {
	calls := s.Calls()
	orders := countBy(calls, func(c Call) string { return c.Order })
	requests := countBy(calls, func(c Call) string { return string(c.Request) })
	writeJSON(w, http.StatusOK, ServiceAccount{Orders: orders, Requests: requests, Calls: calls})
}

// Orders counts the placements by order number, over several services.
func Orders(services ...*Service) []Count {
	var calls []Call
	for _, s := range services {
		calls = append(calls, s.Calls()...)
	}
	return countBy(calls, func(c Call) string { return c.Order })
}

// countBy counts the placed calls by a key, in order of first appearance.
func countBy(calls []Call, key func(Call) string) []Count {
	var out []Count
	at := map[string]int{}
	for _, c := range calls {
		if !c.Placed {
			continue
		}
		i, ok := at[key(c)]
		if !ok {
			i = len(out)
			at[key(c)] = i
			out = append(out, Count{Key: key(c)})
		}
		out[i].Count++
	}
	return out
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	running, waiting, age := s.gauge.read()
	writeJSON(w, http.StatusOK, Load{
		State: s.status(), Slots: s.cfg.Slots, Running: running, Waiting: waiting, Age: age,
	})
}

func (s *Service) status() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		return StateLeaving
	}
	return StateReady
}

func (s *Service) stock(w http.ResponseWriter, r *http.Request) {
	request := ident.Request(r.Header.Get(headerRequest))
	i := s.note(Call{Request: callerID(request), Method: r.Method, Query: r.URL.RawQuery})
	answer := StockAnswer{Query: r.URL.RawQuery, Stock: Stock(r.URL.RawQuery), Request: callerID(request)}
	s.serve(w, i, request, answer)
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
		writeError(w, http.StatusBadRequest, "want an order number")
		return
	}
	request := ident.Request(r.Header.Get(headerRequest))
	order := string(bytes.Trim(body.Order, `"`))
	i := s.note(Call{Request: callerID(request), Method: r.Method, Order: order, Key: s.keyOf(r)})
	s.serve(w, i, request, OrderAnswer{Order: order, Request: callerID(request), Endpoint: s.cfg.Name})
}

// serve runs one call: it refuses, drops, delays or answers. The call takes
// effect even if the caller has gone in the meantime.
func (s *Service) serve(w http.ResponseWriter, i int, request ident.Request, answer any) {
	if s.status() == StateLeaving {
		w.Header().Set(headerState, string(StateLeaving))
		writeError(w, http.StatusServiceUnavailable, "the service is leaving")
		return
	}
	fault := s.takeFault()
	if fault.Refuse > 0 {
		writeError(w, http.StatusServiceUnavailable, "refused")
		return
	}
	if fault.Before > 0 {
		panic(http.ErrAbortHandler)
	}
	s.work(i)
	if fault.After > 0 {
		panic(http.ErrAbortHandler)
	}
	if fault.Cross > 0 {
		request = "other-" + request
	}
	w.Header().Set(headerRequest, string(request))
	writeJSON(w, http.StatusOK, answer)
}

// work takes a slot for one latency and then places the order, if it is one.
func (s *Service) work(i int) {
	s.shift(0, 1)
	s.slots <- struct{}{}
	s.shift(1, -1)
	s.mu.Lock()
	latency := s.latency
	s.mu.Unlock()
	time.Sleep(latency)
	<-s.slots
	s.shift(-1, 0)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &s.calls[i]
	c.Placed = c.Method == http.MethodPost && s.cfg.Keys.first(c.Key)
}

func (s *Service) shift(running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += running
	s.waiting += waiting
	s.gauge.set(s.running, s.waiting)
}

// note opens a record and returns its index.
func (s *Service) note(c Call) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.Endpoint, c.Region, c.Arrived = s.cfg.Name, s.cfg.Region, s.cfg.Clock.Now()
	s.calls = append(s.calls, c)
	return len(s.calls) - 1
}

// takeFault picks the fault of one call: the field that is 1.
func (s *Service) takeFault() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch f := &s.faults; {
	case f.Before > 0:
		f.Before--
		return ServiceFaults{Before: 1}
	case f.After > 0:
		f.After--
		return ServiceFaults{After: 1}
	case f.Refuse > 0:
		f.Refuse--
		return ServiceFaults{Refuse: 1}
	case f.Cross > 0:
		f.Cross--
		return ServiceFaults{Cross: 1}
	}
	return ServiceFaults{}
}
