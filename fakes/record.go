package fakes

import (
	"strings"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Outcome is the state or the result of a request at an engine.
type Outcome string

// Outcomes of a request.
const (
	Waiting   Outcome = "waiting"
	Running   Outcome = "running"
	Complete  Outcome = "complete"
	Cancelled Outcome = "cancelled"
	// Lost means that the engine crashed before the request was complete.
	Lost Outcome = "lost"
	// Refused means that the request was not run because the engine was leaving, loading or
	// without a model.
	Refused Outcome = "refused"
)

// Record is an engine's record of a request. Times are taken from the engine's clock; 0
// means that the event has not happened.
type Record struct {
	Request    ident.Request  `json:"request"`
	Engine     ident.Endpoint `json:"engine"`
	Region     ident.Region   `json:"region"`
	Arrived    clock.Time     `json:"arrived"`
	Started    clock.Time     `json:"started"`
	FirstToken clock.Time     `json:"first"`
	Ended      clock.Time     `json:"ended"`
	// Tokens is the number of tokens generated.
	Tokens ident.Tokens `json:"tokens"`
	// PromptHash is the hash of the prompt; see HashPrompt.
	PromptHash uint64  `json:"prompt"`
	Outcome    Outcome `json:"outcome"`
	// SlotTime is the simulated slot time.
	SlotTime time.Duration `json:"spent"`
}

// EngineStats is the response to GET /control of an engine.
type EngineStats struct {
	// SlotSeconds is the total simulated slot time in seconds.
	SlotSeconds float64  `json:"seconds"`
	Records     []Record `json:"records"`
}

// requestLog holds the records of all requests of an engine. It survives crashes.
type requestLog struct {
	engine ident.Endpoint
	region ident.Region
	clock  clock.Clock

	mu      sync.Mutex
	entries []Record
}

func newRequestLog(engine ident.Endpoint, region ident.Region, c clock.Clock) *requestLog {
	return &requestLog{engine: engine, region: region, clock: c}
}

// callerID returns the request id that the caller chose. Entries append "~" and a suffix
// of their own to it, so that ids are unique at endpoints.
func callerID(r ident.Request) ident.Request {
	id, _, _ := strings.Cut(string(r), "~")
	return ident.Request(id)
}

// add appends a record and returns its index.
func (l *requestLog) add(request ident.Request, prompt uint64, o Outcome) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	r := Record{Request: callerID(request), Engine: l.engine, Region: l.region, Arrived: now, PromptHash: prompt, Outcome: o}
	if o == Refused {
		r.Ended = now
	}
	l.entries = append(l.entries, r)
	return len(l.entries) - 1
}

func (l *requestLog) start(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries[i].Started = l.clock.Now()
	l.entries[i].Outcome = Running
}

// addToken counts a generated token; slotTime is the slot time so far.
func (l *requestLog) addToken(i int, slotTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.entries[i]
	r.Tokens++
	r.SlotTime = slotTime
	if r.Tokens == 1 {
		r.FirstToken = l.clock.Now()
	}
}

func (l *requestLog) end(i int, o Outcome, slotTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.entries[i]
	r.Ended = l.clock.Now()
	r.Outcome = o
	r.SlotTime = slotTime
}

func (l *requestLog) records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.entries...)
}

func (l *requestLog) slotTime() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum time.Duration
	for i := range l.entries {
		sum += l.entries[i].SlotTime
	}
	return sum
}
