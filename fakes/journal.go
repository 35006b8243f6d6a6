package fakes

import (
	"strings"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Outcome is what became of a request at an engine.
type Outcome string

// Outcomes of a request.
const (
	Waiting   Outcome = "waiting"
	Running   Outcome = "running"
	Complete  Outcome = "complete"
	Cancelled Outcome = "cancelled"
	// Lost means that the engine crashed.
	Lost Outcome = "lost"
	// Refused means that the engine was leaving or loading; the request was not run.
	Refused Outcome = "refused"
)

// Record is what an engine remembers of one request. Times are those of the
// engine's clock; 0 means never.
type Record struct {
	Request ident.Request  `json:"request"`
	Engine  ident.Endpoint `json:"engine"`
	Region  ident.Region   `json:"region"`
	Arrived clock.Time     `json:"arrived"`
	Started clock.Time     `json:"started"`
	First   clock.Time     `json:"first"`
	Ended   clock.Time     `json:"ended"`
	// Tokens is the number of tokens generated.
	Tokens ident.Tokens `json:"tokens"`
	// Prompt is the hash of the prompt; see HashPrompt.
	Prompt  uint64  `json:"prompt"`
	Outcome Outcome `json:"outcome"`
	// Spent is the modelled slot time.
	Spent time.Duration `json:"spent"`
}

// EngineAccount is the answer to GET /control of an engine.
type EngineAccount struct {
	// Seconds is the modelled slot time used, in seconds.
	Seconds float64  `json:"seconds"`
	Records []Record `json:"records"`
}

// journal holds the records of one engine over its crashes.
type journal struct {
	engine ident.Endpoint
	region ident.Region
	clock  clock.Clock

	mu   sync.Mutex
	rows []Record
}

func newJournal(engine ident.Endpoint, region ident.Region, c clock.Clock) *journal {
	return &journal{engine: engine, region: region, clock: c}
}

// add opens a record and returns its index.
// callerID returns the id that the caller gave a request. Entries append "~" and a
// mark of their own to it, so that ids at endpoints are unique.
func callerID(r ident.Request) ident.Request {
	id, _, _ := strings.Cut(string(r), "~")
	return ident.Request(id)
}

func (l *journal) add(request ident.Request, prompt uint64, o Outcome) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock.Now()
	r := Record{Request: callerID(request), Engine: l.engine, Region: l.region, Arrived: now, Prompt: prompt, Outcome: o}
	if o == Refused {
		r.Ended = now
	}
	l.rows = append(l.rows, r)
	return len(l.rows) - 1
}

func (l *journal) start(i int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rows[i].Started = l.clock.Now()
	l.rows[i].Outcome = Running
}

// token counts one token; spent is the slot time so far.
func (l *journal) token(i int, spent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.rows[i]
	r.Tokens++
	r.Spent = spent
	if r.Tokens == 1 {
		r.First = l.clock.Now()
	}
}

func (l *journal) end(i int, o Outcome, spent time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.rows[i]
	r.Ended = l.clock.Now()
	r.Outcome = o
	r.Spent = spent
}

func (l *journal) records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.rows...)
}

func (l *journal) total() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	var sum time.Duration
	for i := range l.rows {
		sum += l.rows[i].Spent
	}
	return sum
}
