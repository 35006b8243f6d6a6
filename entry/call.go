package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/logs"
)

// maxAnswerSize bounds the response of a plain service, which is buffered until complete.
const maxAnswerSize ident.Bytes = 8 << 20

// handleCall serves a call of a plain service.
func (s *Server) handleCall(w http.ResponseWriter, r *http.Request) {
	head, refusal := s.readHead(r)
	rest := strings.TrimPrefix(r.URL.EscapedPath(), caller.PathCall)
	service, path, _ := strings.Cut(rest, "/")
	head.Service, head.Method, head.Path = ident.Service(service), r.Method, "/"+path
	body, ok := s.readRequest(w, r, head, refusal)
	if !ok {
		return
	}
	pending := s.register(w, head)
	if pending == nil {
		return
	}
	defer s.shell.unregister(pending)
	call := &plainCall{server: s, pending: pending, method: r.Method, target: head.Path, header: forwardedHeaders(r.Header), body: body}
	if r.URL.RawQuery != "" {
		call.target += "?" + r.URL.RawQuery
	}
	call.run(r.Context(), w, core.RequestArrived{
		Head: head, Fingerprint: fingerprint(head.Service, call.method+" "+call.target, body), Bytes: ident.Bytes(len(body)),
	})
	abortIfLeft(call.left)
}

// abortIfLeft aborts the response to a caller that has left. A caller that is there nevertheless must not
// take a response that has not been written for a complete one.
func abortIfLeft(left bool) {
	if left {
		panic(http.ErrAbortHandler)
	}
}

// plainCall is one call of a plain service in progress.
type plainCall struct {
	server  *Server
	pending *pendingRequest
	method  string
	target  string
	header  http.Header
	body    []byte
	cancels []attemptCancel
	// left reports whether the request ended because its caller has disconnected.
	left bool
}

type attemptCancel struct {
	number ident.Attempt
	cancel context.CancelFunc
}

func (p *plainCall) run(ctx context.Context, w http.ResponseWriter, arrived core.RequestArrived) {
	defer logs.RecoverPanic(p.server.log, "request", func() {
		p.server.countPanic()
		p.endDisconnected()
		p.server.refuse(w, p.pending.id, internalError())
	})
	p.server.shell.apply(arrived)
	for {
		select {
		case <-ctx.Done():
			p.endDisconnected()
			p.left = true
			return
		case action := <-p.pending.actions:
			if p.execute(ctx, w, action) {
				return
			}
		}
	}
}

// endDisconnected ends a request whose caller has disconnected or whose handler has failed, and
// processes the remaining actions.
func (p *plainCall) endDisconnected() {
	p.server.shell.apply(core.CallerDisconnected{Request: p.pending.id})
	p.pending.processRemaining(p.server.shell, p.cancel)
}

func (p *plainCall) execute(ctx context.Context, w http.ResponseWriter, action core.Action) bool {
	switch a := action.(type) {
	case core.Dispatch:
		p.startAttempt(ctx, a)
	case core.Cancel:
		p.cancel(a.Attempt)
	case core.Refuse:
		if a.Refusal.NotifyPeers {
			p.server.notifyPeers()
		}
		p.server.refuse(w, p.pending.id, &a.Refusal)
		return true
	case core.Deliver:
		p.writeAnswer(w, a.Answer)
		return true
	}
	return false
}

func (p *plainCall) cancel(number ident.Attempt) {
	for _, c := range p.cancels {
		if c.number == number {
			c.cancel()
		}
	}
}

// startAttempt starts an attempt in the background. A non-idempotent one continues after its caller
// has disconnected, since the ledger needs its outcome.
func (p *plainCall) startAttempt(ctx context.Context, dispatch core.Dispatch) {
	if dispatch.NonIdempotent {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, dispatch.FirstTimeout.Duration())
	p.cancels = append(p.cancels, attemptCancel{number: dispatch.Attempt, cancel: cancel})
	go func() {
		defer cancel()
		ended := p.attempt(ctx, dispatch)
		ended.Request, ended.Attempt = dispatch.Request, dispatch.Attempt
		p.server.shell.apply(ended)
	}()
}

func (p *plainCall) attempt(ctx context.Context, dispatch core.Dispatch) (ended core.AttemptEnded) {
	defer logs.RecoverPanic(p.server.log, "attempt", func() {
		p.server.countPanic()
		ended.Outcome = fleet.Broken
	})
	req, err := http.NewRequestWithContext(ctx, p.method, "http://"+dispatch.Address+p.target, bytes.NewReader(p.body))
	if err != nil {
		return core.AttemptEnded{Outcome: fleet.Refused}
	}
	req.Header = p.header.Clone()
	req.Header.Set(caller.HeaderRequest, string(p.pending.endpointID(dispatch.Attempt)))
	if dispatch.KeyHeader != "" {
		req.Header.Set(dispatch.KeyHeader, dispatch.Key)
	}
	if !p.server.shell.maySend(dispatch) {
		return core.AttemptEnded{Outcome: fleet.Refused}
	}
	resp, err := p.server.client.send(req, dispatch.NonIdempotent)
	if err != nil {
		outcome, crashed := classifyError(err)
		p.server.log.Warn("call attempt failed", zap.String("request", string(dispatch.Request)), zap.String("endpoint", string(dispatch.Endpoint)), zap.Error(err))
		return core.AttemptEnded{Outcome: outcome, Crashed: crashed}
	}
	defer func() { _ = resp.Body.Close() }()
	return p.readResponse(dispatch, resp)
}

func (p *plainCall) readResponse(dispatch core.Dispatch, resp *http.Response) core.AttemptEnded {
	own := p.pending.endpointID(dispatch.Attempt)
	state, id := resp.Header.Get(headerState), resp.Header.Get(caller.HeaderRequest)
	if state != "" && resp.StatusCode == http.StatusServiceUnavailable && !answersOther(resp, own) {
		return core.AttemptEnded{Outcome: fleet.Refused, Leaving: state == "leaving"}
	}
	if id == "" || answersOther(resp, own) {
		p.server.reportWrongRequest(dispatch, id)
		return core.AttemptEnded{Outcome: fleet.Broken}
	}
	body, err := readAnswer(resp, maxAnswerSize)
	if err != nil {
		return core.AttemptEnded{Outcome: fleet.Broken, Crashed: !errors.Is(err, errLongAnswer) && isCrash(err)}
	}
	return core.AttemptEnded{
		Outcome: fleet.Complete, AnswerSize: ident.Bytes(len(body)),
		Answer: ledger.Answer{Status: resp.StatusCode, Header: forwardedHeaders(resp.Header), Body: body},
	}
}

// errLongAnswer is the error of a body that exceeds its limit.
var errLongAnswer = errors.New("body is too long")

// readAnswer returns the complete body of a response.
func readAnswer(resp *http.Response, limit ident.Bytes) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err == nil && len(body) > int(limit) {
		err = errLongAnswer
	}
	return body, err
}

// answersOther reports whether a response names another attempt than the given one, or several. A refusal may name none.
func answersOther(resp *http.Response, own ident.Request) bool {
	return slices.ContainsFunc(resp.Header.Values(caller.HeaderRequest), func(id string) bool { return id != string(own) })
}

func (p *plainCall) writeAnswer(w http.ResponseWriter, answer ledger.Answer) {
	for name, values := range answer.Header {
		w.Header()[textproto.CanonicalMIMEHeaderKey(name)] = values
	}
	w.Header().Set(caller.HeaderRequest, string(p.pending.id))
	w.Header().Set(caller.HeaderRan, string(caller.RanYes))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// unforwardedHeaders lists hop-by-hop headers and those of the gateway itself. The
// idempotency headers are dropped since they would let http.Transport resend a request.
var unforwardedHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Idempotency-Key", "X-Idempotency-Key",
	caller.HeaderTicket, caller.HeaderHome, caller.HeaderCaller, caller.HeaderAttempt,
	caller.HeaderService, caller.HeaderRan, caller.HeaderRequest,
}

// forwardedHeaders returns the headers to forward, for requests and responses alike.
func forwardedHeaders(header http.Header) http.Header {
	result := make(http.Header, len(header))
	connectionOptions := strings.Split(header.Get("Connection"), ",")
	for name, values := range header {
		if slices.Contains(unforwardedHeaders, name) || containsFold(connectionOptions, name) {
			continue
		}
		result[name] = values
	}
	return result
}

func containsFold(names []string, name string) bool {
	return slices.ContainsFunc(names, func(n string) bool {
		return strings.EqualFold(strings.TrimSpace(n), name)
	})
}
