package entry

import (
	"context"
	"net/http"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/logs"
)

// handleComplete serves a completion.
func (s *Server) handleComplete(w http.ResponseWriter, r *http.Request) {
	head, refusal := s.readHead(r)
	head.Service = ident.Service(r.Header.Get(caller.HeaderService))
	if head.Service == "" {
		head.Service = s.defaultService()
	}
	body, ok := s.readRequest(w, r, head, refusal)
	if !ok {
		return
	}
	parsed, err := parsePrompt(body)
	if err != nil {
		s.refuse(w, head.Request, malformed(err.Error()))
		return
	}
	pending := s.register(w, head)
	if pending == nil {
		return
	}
	defer s.shell.unregister(pending)
	call := &engineCall{server: s, pending: pending, prompt: parsed, writer: newCompletionWriter(w, head.Request, parsed.streaming)}
	call.run(r.Context(), core.RequestArrived{
		Head: head, PromptTokens: parsed.tokens(), MaxTokens: parsed.answerLimit(), Prefix: parsed.prefix(),
		Fingerprint: fingerprint(head.Service, "", parsed.body), Bytes: ident.Bytes(len(parsed.body)),
	})
	abortIfLeft(call.left)
}

// readRequest admits a request and reads its body. If either fails, it answers with the
// refusal and returns false.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, head core.Head, refusal *core.Refusal) ([]byte, bool) {
	if refusal == nil {
		refusal = s.shell.admit(head)
	}
	var body []byte
	if refusal == nil {
		body, refusal = readBody(r, withCore(s.shell, bodyLimit))
		refusal = s.shell.correctRan(head, refusal)
	}
	if refusal != nil {
		s.refuse(w, head.Request, refusal)
		return nil, false
	}
	return body, true
}

// register registers a request. If its id is already in progress, it refuses the request
// and returns nil.
func (s *Server) register(w http.ResponseWriter, head core.Head) *pendingRequest {
	pending := s.shell.register(head.Request)
	if pending == nil {
		s.refuse(w, head.Request, s.shell.correctRan(head, malformed("a request with this id is in progress")))
	}
	return pending
}

// engineCall is one completion in progress: its attempts and the caller's response.
type engineCall struct {
	server   *Server
	pending  *pendingRequest
	prompt   *prompt
	writer   *completionWriter
	attempts []*engineAttempt
	// left reports whether the request ended because its caller has disconnected.
	left bool
}

// run executes the core's actions until the request has ended.
func (x *engineCall) run(ctx context.Context, arrived core.RequestArrived) {
	defer logs.RecoverPanic(x.server.log, "request", func() {
		x.server.countPanic()
		x.endDisconnected()
		x.writer.writeRefusal(x.server, internalError())
	})
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	x.server.shell.apply(arrived)
	for {
		select {
		case <-ctx.Done():
			x.endDisconnected()
			x.left = true
			return
		case action := <-x.pending.actions:
			if x.execute(ctx, action) {
				return
			}
		}
	}
}

// execute executes an action and reports whether the request has ended.
func (x *engineCall) execute(ctx context.Context, action core.Action) bool {
	switch a := action.(type) {
	case core.Dispatch:
		x.startAttempt(ctx, a)
	case core.Cancel:
		x.cancel(a.Attempt)
	case core.Forward:
		return x.relayEvents(ctx, a.Attempt)
	case core.Refuse:
		x.writer.writeRefusal(x.server, &a.Refusal)
		return true
	}
	return false
}

func (x *engineCall) findAttempt(number ident.Attempt) *engineAttempt {
	for _, t := range slices.Backward(x.attempts) {
		if t.Attempt == number {
			return t
		}
	}
	return nil
}

func (x *engineCall) cancel(number ident.Attempt) {
	if t := x.findAttempt(number); t != nil {
		t.abort(x.server)
	}
}

func bodyLimit(c *core.Core, _ clock.Time) ident.Bytes { return c.BodyLimit() }
