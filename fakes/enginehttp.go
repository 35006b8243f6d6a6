package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// EngineControl is the body of POST /control of an engine. Absent fields change nothing.
type EngineControl struct {
	Slow    *float64      `json:"slow"`
	Leaving *bool         `json:"leaving"`
	Marker  *string       `json:"marker"`
	Delay   *clock.Span   `json:"delay"`
	Faults  *EngineFaults `json:"faults"`
	// Crash makes the engine crash right after the answer to this call.
	Crash bool `json:"crash"`
	// Restart is when a crashed engine comes back; 0 means never.
	Restart clock.Span `json:"restart"`
}

// crashPause lets the answer to a control call leave before the connection is cut.
const crashPause = 20 * time.Millisecond

func (e *Engine) control(w http.ResponseWriter, r *http.Request) {
	var c EngineControl
	if !readControl(w, r, &c) {
		return
	}
	apply(c.Slow, e.Slow)
	apply(c.Leaving, e.Leave)
	apply(c.Marker, e.Mark)
	apply(c.Delay, e.Delay)
	apply(c.Faults, e.Spoil)
	if c.Crash {
		time.AfterFunc(crashPause, func() { e.crashFor(c.Restart) })
	}
	w.WriteHeader(http.StatusNoContent)
}

func apply[T any](v *T, set func(T)) {
	if v != nil {
		set(*v)
	}
}

func (e *Engine) account(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, EngineAccount{Seconds: e.Spent().Seconds(), Records: e.Records()})
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	p := e.current()
	if p == nil {
		panic(http.ErrAbortHandler)
	}
	running, waiting, age := p.gauge.read()
	models, loading := p.models.lists()
	writeJSON(w, http.StatusOK, Load{
		State: e.status(), Slots: e.cfg.Slots, Running: running, Waiting: waiting, Age: age, Prefixes: p.prefixes(),
		Models: models, Loading: loading,
	})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	request := ident.Request(r.Header.Get(headerRequest))
	c, head, err := readCompletion(r.Body)
	if err != nil || request == "" {
		writeError(w, http.StatusBadRequest, "want a request id and a completion")
		return
	}
	urgency, _ := strconv.Atoi(r.Header.Get(headerPriority)) // absent means 0
	if e.cfg.Flat {
		urgency = 0
	}
	j := newJob(request, urgency, c, head)
	if s := e.status(); s != StateReady {
		e.log.add(request, j.hash, Refused)
		w.Header().Set(headerState, string(s))
		writeError(w, http.StatusServiceUnavailable, "the engine is "+string(s))
		return
	}
	p := e.current()
	if p != nil && p.models.empty() {
		e.log.add(request, j.hash, Refused)
		w.Header().Set(headerState, string(StateLoading))
		writeError(w, http.StatusServiceUnavailable, "the engine has no model")
		return
	}
	if p == nil || !p.submit(j) {
		panic(http.ErrAbortHandler)
	}
	if c.Stream {
		e.follow(r.Context(), w, p, j, 0)
		return
	}
	e.collect(r.Context(), w, p, j)
}

// readCompletion decodes a request and names its prompt for load reports.
func readCompletion(body io.Reader) (*Completion, ident.Prefix, error) {
	raw, err := io.ReadAll(io.LimitReader(body, 16<<20))
	if err != nil {
		return nil, 0, err
	}
	var c Completion
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, 0, err
	}
	var encoded struct {
		Messages []json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(raw, &encoded); err != nil {
		return nil, 0, err
	}
	return &c, headOf(encoded.Messages), nil
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(or(r.Header.Get(headerResume), "0"))
	p := e.current()
	if err != nil || p == nil {
		writeError(w, http.StatusBadRequest, "malformed Last-Event-ID")
		return
	}
	j := p.find(ident.Request(mux.Vars(r)["request"]))
	if j == nil {
		writeError(w, http.StatusNotFound, "unknown stream")
		return
	}
	e.follow(r.Context(), w, p, j, after)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	p := e.current()
	var j *job
	if p != nil {
		j = p.find(ident.Request(mux.Vars(r)["request"]))
	}
	if j == nil {
		writeError(w, http.StatusNotFound, "unknown stream")
		return
	}
	p.drop(j)
	w.WriteHeader(http.StatusNoContent)
}

// follow streams the events after the given one.
func (e *Engine) follow(ctx context.Context, w http.ResponseWriter, p *process, j *job, after int) {
	j.attach()
	defer p.abandon(j)
	e.hold(ctx)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerRequest, string(j.request))
	w.WriteHeader(http.StatusOK)
	flush := func() { _ = http.NewResponseController(w).Flush() }
	out := &eventWriter{w: w, job: j, sent: after, spoil: e.takeFault(), flush: flush}
	for {
		tokens, done, changed := j.progress()
		end := out.upTo(tokens, done)
		flush()
		if end {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-j.cancelled:
			panic(http.ErrAbortHandler)
		case <-p.dead:
			panic(http.ErrAbortHandler)
		}
	}
}

// collect answers a request without streaming.
func (e *Engine) collect(ctx context.Context, w http.ResponseWriter, p *process, j *job) {
	j.attach()
	defer p.abandon(j)
	e.hold(ctx)
	for {
		_, done, changed := j.progress()
		if done {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-j.cancelled:
			panic(http.ErrAbortHandler)
		case <-p.dead:
			panic(http.ErrAbortHandler)
		}
	}
	var text strings.Builder
	for k := j.first; k < j.total; k++ {
		text.WriteString(Token(j.hash, k))
	}
	w.Header().Set(headerRequest, string(j.request))
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"id":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}]}`,
		string(j.request), text.String())
}

func (e *Engine) hold(ctx context.Context) {
	e.state.Lock()
	d := e.delay
	e.state.Unlock()
	if d <= 0 {
		return
	}
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// takeFault picks the fault of the next stream.
func (e *Engine) takeFault() spoil {
	e.state.Lock()
	defer e.state.Unlock()
	for _, f := range []struct {
		left *int
		kind spoil
	}{
		{&e.faults.Cross, spoilCross},
		{&e.faults.Truncate, spoilTruncate},
		{&e.faults.Break, spoilBreak},
		{&e.faults.Repeat, spoilRepeat},
	} {
		if *f.left > 0 {
			*f.left--
			return f.kind
		}
	}
	return spoilNone
}
