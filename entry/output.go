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

// completionWriter writes a completion to the caller, as a stream or as one JSON document.
// Only the handler writes; attempts read the progress concurrently.
type completionWriter struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	request    ident.Request
	streaming  bool

	mu           sync.Mutex
	sent         progress
	text         strings.Builder
	headerSent   bool
	finishReason string
	// renameBuffer is the reused buffer of replaceID.
	renameBuffer []byte
}

// progress is the part of an answer that was sent to the caller.
type progress struct {
	// lastEventID is the number of the last event; events are numbered from 1 in each answer.
	lastEventID int
	tokens      ident.Tokens
	bytes       int
	text        string
	firstToken  clock.Time
	lastToken   clock.Time
}

// meanTokenInterval returns the mean time between two tokens, or 0 for fewer than two.
func (p progress) meanTokenInterval() clock.Span {
	if p.tokens < 2 {
		return 0
	}
	return p.lastToken.Sub(p.firstToken) / clock.Span(p.tokens-1)
}

func newCompletionWriter(w http.ResponseWriter, id ident.Request, streaming bool) *completionWriter {
	return &completionWriter{w: w, controller: http.NewResponseController(w), request: id, streaming: streaming}
}

func (o *completionWriter) progress() progress {
	o.mu.Lock()
	defer o.mu.Unlock()
	result := o.sent
	result.text = o.text.String()
	return result
}

// length returns the tokens of the answer so far and its size.
func (o *completionWriter) length() (ident.Tokens, ident.Bytes) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.sent.tokens, ident.Bytes(o.sent.bytes)
}

// finished reports whether the answer's finish reason was received.
func (o *completionWriter) finished() bool { return o.finishReason != "" }

// writeEvent forwards an event. Events of a continued answer are numbered after those
// already sent. If more is set, the next event is already available and the event is not
// flushed: a burst of tokens then needs a single write.
func (o *completionWriter) writeEvent(event stream.Event, engineID ident.Request, now clock.Time, more bool) error {
	o.recordEvent(event, now)
	if !o.streaming {
		if event.Done {
			return o.writeCompletion()
		}
		return nil
	}
	if !o.headerSent {
		o.writeHeader(stream.ContentType)
	}
	if event.Done {
		event.ID = 0
	} else {
		event.ID = o.sent.lastEventID
		event.Data = o.replaceID(event.Data, engineID)
	}
	if err := stream.Write(o.w, event); err != nil || more {
		return err
	}
	return o.controller.Flush()
}

// flush sends the events that writeEvent has not flushed because the next one was expected.
func (o *completionWriter) flush() {
	if o.streaming && o.headerSent {
		_ = o.controller.Flush()
	}
}

// replaceID replaces the first occurrence of the engine's request id with the caller's.
func (o *completionWriter) replaceID(data []byte, engineID ident.Request) []byte {
	before, after, found := bytes.Cut(data, []byte(engineID))
	if !found {
		return data
	}
	o.renameBuffer = append(o.renameBuffer[:0], before...)
	o.renameBuffer = append(o.renameBuffer, o.request...)
	o.renameBuffer = append(o.renameBuffer, after...)
	return o.renameBuffer
}

func (o *completionWriter) recordEvent(event stream.Event, now clock.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if event.Done {
		return
	}
	o.sent.lastEventID++
	o.sent.bytes += len(event.Data)
	if event.FinishReason != "" {
		o.finishReason = event.FinishReason
	}
	if event.Content == "" {
		return
	}
	o.text.WriteString(event.Content)
	o.sent.tokens++
	o.sent.lastToken = now
	if o.sent.firstToken == 0 {
		o.sent.firstToken = now
	}
}

func (o *completionWriter) writeHeader(contentType string) {
	o.headerSent = true
	header := o.w.Header()
	header.Set("Content-Type", contentType)
	header.Set("Cache-Control", "no-store")
	header.Set(caller.HeaderRequest, string(o.request))
	header.Set(caller.HeaderRan, string(caller.RanYes))
	o.w.WriteHeader(http.StatusOK)
}

// completion is the response to a request without streaming.
type completion struct {
	ID      ident.Request `json:"id"`
	Object  string        `json:"object"`
	Choices []choice      `json:"choices"`
}

type choice struct {
	Index   int               `json:"index"`
	Message completionMessage `json:"message"`
	Finish  string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (o *completionWriter) writeCompletion() error {
	o.writeHeader("application/json")
	return json.NewEncoder(o.w).Encode(completion{
		ID: o.request, Object: "chat.completion",
		Choices: []choice{{Message: completionMessage{Role: "assistant", Content: o.text.String()}, Finish: o.finishReason}},
	})
}

// writeRefusal ends the response with an error: as a status before the first event, as an
// error event after it.
func (o *completionWriter) writeRefusal(server *Server, refusal *core.Refusal) {
	if refusal.NotifyPeers {
		server.notifyPeers()
	}
	if !o.headerSent {
		server.refuse(o.w, o.request, refusal)
		return
	}
	body, err := json.Marshal(server.envelope(o.request, refusal))
	if err != nil {
		return
	}
	if stream.WriteError(o.w, body) == nil {
		_ = o.controller.Flush()
	}
}

// writeErrorAnswer forwards an engine's error response, unless events were sent already.
func (o *completionWriter) writeErrorAnswer(_ *Server, answer ledger.Answer) {
	if o.headerSent {
		return
	}
	o.headerSent = true
	o.w.Header().Set("Content-Type", "application/json")
	o.w.Header().Set(caller.HeaderRequest, string(o.request))
	o.w.WriteHeader(answer.Status)
	_, _ = o.w.Write(answer.Body)
}
