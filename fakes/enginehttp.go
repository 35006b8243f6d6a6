package fakes

import (
	"cmp"
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
	Slowdown    *float64      `json:"slow"`
	Leaving     *bool         `json:"leaving"`
	CrashMarker *string       `json:"marker"`
	AnswerDelay *clock.Span   `json:"delay"`
	Faults      *EngineFaults `json:"faults"`
	// Crash makes the engine crash 20 ms after the response to this request.
	Crash bool `json:"crash"`
	// RestartDelay is the delay before the crashed engine restarts; 0 means never.
	RestartDelay clock.Span `json:"restart"`
}

// crashDelay lets the response to a control request be sent before the connections are
// closed.
const crashDelay = 20 * time.Millisecond

func (e *Engine) control(w http.ResponseWriter, r *http.Request) {
	var c EngineControl
	if !decodeControl(w, r, &c) {
		return
	}
	applyIfSet(c.Slowdown, e.SetSlowdown)
	applyIfSet(c.Leaving, e.SetLeaving)
	applyIfSet(c.CrashMarker, e.SetCrashMarker)
	applyIfSet(c.AnswerDelay, e.SetAnswerDelay)
	applyIfSet(c.Faults, e.InjectFaults)
	if c.Crash {
		time.AfterFunc(crashDelay, func() { e.crashAndRestart(c.RestartDelay) })
	}
	w.WriteHeader(http.StatusNoContent)
}

// applyIfSet calls set with the value of an optional field, if present.
func applyIfSet[T any](v *T, set func(T)) {
	if v != nil {
		set(*v)
	}
}

func (e *Engine) stats(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, EngineStats{SlotSeconds: e.SlotTime().Seconds(), Records: e.Records()})
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	p := e.currentProcess()
	if p == nil {
		panic(http.ErrAbortHandler)
	}
	running, waiting, age := p.gauge.read()
	models, loading := p.models.snapshot()
	writeJSON(w, http.StatusOK, Load{
		State: e.currentState(), Slots: e.cfg.Slots, Running: running, Waiting: waiting, Age: age, Prefixes: p.prefixes(),
		Models: models, Loading: loading,
	})
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request) {
	request := ident.Request(r.Header.Get(headerRequest))
	completion, prefix, err := readCompletion(r.Body)
	if err != nil || request == "" {
		writeError(w, http.StatusBadRequest, "request without X-Request-Id or with a malformed completion body")
		return
	}
	urgency, _ := strconv.Atoi(r.Header.Get(headerPriority)) // absent means 0
	if e.cfg.IgnorePriority {
		urgency = 0
	}
	j := newJob(request, urgency, completion, prefix)
	if s := e.currentState(); s != StateReady {
		e.requestLog.add(request, j.promptHash, Refused)
		w.Header().Set(headerState, string(s))
		writeError(w, http.StatusServiceUnavailable, "engine does not accept requests: state "+string(s))
		return
	}
	p := e.currentProcess()
	if p != nil && p.models.empty() {
		e.requestLog.add(request, j.promptHash, Refused)
		w.Header().Set(headerState, string(StateLoading))
		writeError(w, http.StatusServiceUnavailable, "engine does not accept requests: no model loaded")
		return
	}
	if p == nil || !p.submit(j) {
		panic(http.ErrAbortHandler)
	}
	if completion.Stream {
		e.streamEvents(r.Context(), w, p, j, 0)
		return
	}
	e.answerWhole(r.Context(), w, p, j)
}

// readCompletion decodes a request and returns it with the prefix of its prompt. The
// prefix covers the messages as they were encoded by the sender.
func readCompletion(body io.Reader) (*CompletionRequest, ident.Prefix, error) {
	raw, err := io.ReadAll(io.LimitReader(body, 16<<20))
	if err != nil {
		return nil, 0, err
	}
	var completion CompletionRequest
	if err := json.Unmarshal(raw, &completion); err != nil {
		return nil, 0, err
	}
	var encoded struct {
		Messages []json.RawMessage `json:"messages"`
	}
	if err := json.Unmarshal(raw, &encoded); err != nil {
		return nil, 0, err
	}
	return &completion, prefixOf(encoded.Messages), nil
}

func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(cmp.Or(r.Header.Get(headerResume), "0"))
	p := e.currentProcess()
	if err != nil || p == nil {
		writeError(w, http.StatusBadRequest, "malformed Last-Event-ID or engine not running")
		return
	}
	j := p.find(ident.Request(mux.Vars(r)["request"]))
	if j == nil {
		writeError(w, http.StatusNotFound, "unknown stream")
		return
	}
	e.streamEvents(r.Context(), w, p, j, after)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	p := e.currentProcess()
	var j *job
	if p != nil {
		j = p.find(ident.Request(mux.Vars(r)["request"]))
	}
	if j == nil {
		writeError(w, http.StatusNotFound, "unknown stream")
		return
	}
	p.cancel(j)
	w.WriteHeader(http.StatusNoContent)
}

// streamEvents streams the events after the given event number until the job or the
// connection ends.
func (e *Engine) streamEvents(ctx context.Context, w http.ResponseWriter, p *process, j *job, after int) {
	j.attach()
	defer p.release(j)
	e.waitAnswerDelay(ctx)
	fault := e.takeFault()
	if fault >= faultEndlessHeader {
		e.sendEndless(ctx, w, p, j, fault)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set(headerRequest, string(j.request))
	w.WriteHeader(http.StatusOK)
	flush := func() { _ = http.NewResponseController(w).Flush() }
	writer := &eventWriter{w: w, job: j, sent: after, fault: fault, flush: flush}
	for {
		tokens, done, changed := j.progress()
		end := writer.writeUpTo(tokens, done)
		flush()
		if end {
			return
		}
		if !awaitChange(ctx, p, j, changed) {
			return
		}
	}
}

// awaitChange waits for a change of the job. It returns false if ctx ends first, and aborts the connection if the
// job is cancelled or the process ends.
func awaitChange(ctx context.Context, p *process, j *job, changed <-chan struct{}) bool {
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	case <-j.cancelled:
	case <-p.done:
	}
	panic(http.ErrAbortHandler)
}

// answerWhole sends the complete answer of a job in a single response.
func (e *Engine) answerWhole(ctx context.Context, w http.ResponseWriter, p *process, j *job) {
	j.attach()
	defer p.release(j)
	e.waitAnswerDelay(ctx)
	for {
		_, done, changed := j.progress()
		if done {
			break
		}
		if !awaitChange(ctx, p, j, changed) {
			return
		}
	}
	var text strings.Builder
	for k := j.firstToken; k < j.totalTokens; k++ {
		text.WriteString(Token(j.promptHash, k))
	}
	w.Header().Set(headerRequest, string(j.request))
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"id":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}]}`,
		string(j.request), text.String())
}

func (e *Engine) waitAnswerDelay(ctx context.Context) {
	e.mu.Lock()
	delay := e.answerDelay
	e.mu.Unlock()
	if delay <= 0 {
		return
	}
	select {
	case <-time.After(delay):
	case <-ctx.Done():
	}
}

// takeFault returns the fault of the next stream and decrements its counter.
func (e *Engine) takeFault() streamFault {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range []struct {
		remaining *int
		kind      streamFault
	}{
		{&e.faults.WrongRequest, faultWrongRequest},
		{&e.faults.Truncate, faultTruncate},
		{&e.faults.Abort, faultAbort},
		{&e.faults.Repeat, faultRepeat},
		{&e.faults.EndlessHeader, faultEndlessHeader},
		{&e.faults.EndlessLine, faultEndlessLine},
		{&e.faults.EndlessInformational, faultEndlessInformational},
		{&e.faults.EndlessEvent, faultEndlessEvent},
		{&e.faults.EndlessTokens, faultEndlessTokens},
	} {
		if *f.remaining > 0 {
			*f.remaining--
			return f.kind
		}
	}
	return faultNone
}
