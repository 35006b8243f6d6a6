package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strings"
	"sync"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/stream"
)

// output is the caller's side of a completion. The handler writes; tries read the progress.
type output struct {
	w       http.ResponseWriter
	flush   *http.ResponseController
	request ident.Request
	streams bool

	mu    sync.Mutex
	sent  progress
	text  strings.Builder
	begun bool
	ended string
	// renamed is the buffer of rename.
	renamed []byte
}

// progress is how much of an answer the caller has received.
type progress struct {
	// event is the number of the last event; events are numbered from 1 for each caller.
	event  int
	tokens ident.Tokens
	bytes  int
	text   string
	first  clock.Time
	last   clock.Time
}

// between returns the mean time between two tokens.
func (p progress) between() clock.Span {
	if p.tokens < 2 {
		return 0
	}
	return p.last.Sub(p.first) / clock.Span(p.tokens-1)
}

func newOutput(w http.ResponseWriter, id ident.Request, streams bool) *output {
	return &output{w: w, flush: http.NewResponseController(w), request: id, streams: streams}
}

func (o *output) progress() progress {
	o.mu.Lock()
	defer o.mu.Unlock()
	p := o.sent
	p.text = o.text.String()
	return p
}

// finished tells whether the last token of the answer was sent.
func (o *output) finished() bool { return o.ended != "" }

// event passes one event on. Events of a continued answer get the numbers that
// follow those already sent. An event goes out at once unless the next one, which
// then takes it along, is at hand: after a burst of tokens one write is enough.
func (o *output) event(e stream.Event, wire ident.Request, now clock.Time, more bool) error {
	o.note(e, now)
	if !o.streams {
		if e.Done {
			return o.whole()
		}
		return nil
	}
	if !o.begun {
		o.begin(stream.ContentType)
	}
	if e.Done {
		e.ID = 0
	} else {
		e.ID = o.sent.event
		e.Data = o.rename(e.Data, wire)
	}
	if err := stream.Write(o.w, e); err != nil || more {
		return err
	}
	return o.flush.Flush()
}

// release sends what an event left behind for the next one, which did not come.
func (o *output) release() {
	if o.streams && o.begun {
		_ = o.flush.Flush()
	}
}

// rename puts the caller's request id in the place of the one that the engine knows.
func (o *output) rename(data []byte, wire ident.Request) []byte {
	before, after, found := bytes.Cut(data, []byte(wire))
	if !found {
		return data
	}
	o.renamed = append(o.renamed[:0], before...)
	o.renamed = append(o.renamed, o.request...)
	o.renamed = append(o.renamed, after...)
	return o.renamed
}

func (o *output) note(e stream.Event, now clock.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if e.Done {
		return
	}
	o.sent.event++
	o.sent.bytes += len(e.Data)
	if e.Finish != "" {
		o.ended = e.Finish
	}
	if e.Content == "" {
		return
	}
	o.text.WriteString(e.Content)
	o.sent.tokens++
	o.sent.last = now
	if o.sent.first == 0 {
		o.sent.first = now
	}
}

func (o *output) begin(contentType string) {
	o.begun = true
	h := o.w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Cache-Control", "no-store")
	h.Set(caller.HeaderRequest, string(o.request))
	h.Set(caller.HeaderRan, string(caller.RanYes))
	o.w.WriteHeader(http.StatusOK)
}

// completion is the answer to a request that asked for no stream.
type completion struct {
	ID      ident.Request `json:"id"`
	Object  string        `json:"object"`
	Choices []choice      `json:"choices"`
}

type choice struct {
	Index   int    `json:"index"`
	Message reply  `json:"message"`
	Finish  string `json:"finish_reason"`
}

type reply struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (o *output) whole() error {
	o.begin("application/json")
	return json.NewEncoder(o.w).Encode(completion{
		ID: o.request, Object: "chat.completion",
		Choices: []choice{{Message: reply{Role: "assistant", Content: o.text.String()}, Finish: o.ended}},
	})
}

// refuse ends the answer with an error: a status before the first event, an error event after it.
func (o *output) refuse(s *Server, r *core.Refusal) {
	if r.Tell {
		s.tellPeers()
	}
	if !o.begun {
		s.refuse(o.w, o.request, r)
		return
	}
	body, err := json.Marshal(s.envelope(o.request, r))
	if err != nil {
		return
	}
	if stream.WriteError(o.w, body) == nil {
		_ = o.flush.Flush()
	}
}

// final passes on an engine's own error.
func (o *output) final(_ *Server, a ledger.Answer) {
	if o.begun {
		return
	}
	o.begun = true
	o.w.Header().Set("Content-Type", "application/json")
	o.w.Header().Set(caller.HeaderRequest, string(o.request))
	o.w.WriteHeader(a.Status)
	_, _ = o.w.Write(a.Body)
}
