package entry

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
)

// maxAnswer bounds the answer of a plain service, which is held until it is whole.
const maxAnswer ident.Bytes = 8 << 20

// call serves one call of a plain service.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	h, refusal := s.headOf(r)
	rest := strings.TrimPrefix(r.URL.EscapedPath(), caller.PathCall)
	service, path, _ := strings.Cut(rest, "/")
	h.Service, h.Method, h.Path = ident.Service(service), r.Method, "/"+path
	body, ok := s.receive(w, r, h, refusal)
	if !ok {
		return
	}
	f := s.enter(w, h)
	if f == nil {
		return
	}
	defer s.shell.close(f)
	p := &plainCall{server: s, flight: f, method: r.Method, target: h.Path, header: forwarded(r.Header), body: body}
	if r.URL.RawQuery != "" {
		p.target += "?" + r.URL.RawQuery
	}
	p.run(r.Context(), w, core.Arrived{
		Head: h, Fingerprint: fingerprint(h.Service, p.method+" "+p.target, body), Bytes: ident.Bytes(len(body)),
	})
}

// plainCall is one call of a plain service in progress.
type plainCall struct {
	server  *Server
	flight  *flight
	method  string
	target  string
	header  http.Header
	body    []byte
	cancels []cancelTry
}

type cancelTry struct {
	number ident.Try
	cancel context.CancelFunc
}

func (p *plainCall) run(ctx context.Context, w http.ResponseWriter, a core.Arrived) {
	shell := p.server.shell
	shell.apply(a)
	for {
		select {
		case <-ctx.Done():
			shell.apply(core.Gone{Request: p.flight.id})
			p.drain()
			return
		case action := <-p.flight.actions:
			if p.carryOut(ctx, w, action) {
				return
			}
		}
	}
}

// drain carries out the cancellations that follow the caller's departure.
func (p *plainCall) drain() {
	for {
		select {
		case action := <-p.flight.actions:
			switch a := action.(type) {
			case core.Cancel:
				p.cancel(a.Try)
			case core.Dispatch:
				p.server.shell.unsent(a)
			}
		default:
			return
		}
	}
}

func (p *plainCall) carryOut(ctx context.Context, w http.ResponseWriter, action core.Action) bool {
	switch a := action.(type) {
	case core.Dispatch:
		p.start(ctx, a)
	case core.Cancel:
		p.cancel(a.Try)
	case core.Refuse:
		if a.Refusal.Tell {
			p.server.tellPeers()
		}
		p.server.refuse(w, p.flight.id, &a.Refusal)
		return true
	case core.Deliver:
		p.deliver(w, a.Answer)
		return true
	}
	return false
}

func (p *plainCall) cancel(number ident.Try) {
	for _, c := range p.cancels {
		if c.number == number {
			c.cancel()
		}
	}
}

// start begins a try. A non-idempotent one goes on when its caller leaves, since
// its outcome must be known to the ledger.
func (p *plainCall) start(ctx context.Context, d core.Dispatch) {
	if d.Once {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, d.Begin.Duration())
	p.cancels = append(p.cancels, cancelTry{number: d.Try, cancel: cancel})
	go func() {
		defer cancel()
		e := p.attempt(ctx, d)
		e.Request, e.Try = d.Request, d.Try
		p.server.shell.apply(e)
	}()
}

func (p *plainCall) attempt(ctx context.Context, d core.Dispatch) core.Ended {
	req, err := http.NewRequestWithContext(ctx, p.method, "http://"+d.Address+p.target, bytes.NewReader(p.body))
	if err != nil {
		return core.Ended{Outcome: fleet.Refused}
	}
	req.Header = p.header.Clone()
	req.Header.Set(caller.HeaderRequest, string(p.flight.wire(d.Try)))
	if d.Dedupe != "" {
		req.Header.Set(d.Dedupe, d.Key)
	}
	if !p.server.shell.confirm(d) {
		return core.Ended{Outcome: fleet.Refused}
	}
	resp, err := p.server.client.send(req, d.Once)
	if err != nil {
		outcome, crashed := verdictOf(err)
		p.server.log.Warn("call broke", zap.String("request", string(d.Request)), zap.String("endpoint", string(d.Endpoint)), zap.Error(err))
		return core.Ended{Outcome: outcome, Crashed: crashed}
	}
	defer func() { _ = resp.Body.Close() }()
	return p.read(d, resp)
}

func (p *plainCall) read(d core.Dispatch, resp *http.Response) core.Ended {
	if state := resp.Header.Get(headerState); state != "" && resp.StatusCode == http.StatusServiceUnavailable {
		return core.Ended{Outcome: fleet.Refused, Leaving: state == "leaving"}
	}
	if id := resp.Header.Get(caller.HeaderRequest); id != string(p.flight.wire(d.Try)) {
		p.server.crossed(d, id)
		return core.Ended{Outcome: fleet.Broken}
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(maxAnswer)+1))
	if err != nil || len(body) > int(maxAnswer) {
		return core.Ended{Outcome: fleet.Broken, Crashed: err != nil && isCrash(err)}
	}
	return core.Ended{
		Outcome: fleet.Complete, Received: ident.Bytes(len(body)),
		Answer: ledger.Answer{Status: resp.StatusCode, Header: forwarded(resp.Header), Body: body},
	}
}

func (p *plainCall) deliver(w http.ResponseWriter, a ledger.Answer) {
	for name, values := range a.Header {
		w.Header()[textproto.CanonicalMIMEHeaderKey(name)] = values
	}
	w.Header().Set(caller.HeaderRequest, string(p.flight.id))
	w.Header().Set(caller.HeaderRan, string(caller.RanYes))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// unforwarded lists headers that concern one connection or the gateway itself.
// The idempotency headers would let http.Transport send a request again.
var unforwarded = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Content-Length", "Idempotency-Key", "X-Idempotency-Key",
	caller.HeaderTicket, caller.HeaderHome, caller.HeaderCaller, caller.HeaderAttempt,
	caller.HeaderService, caller.HeaderRan, caller.HeaderRequest,
}

// forwarded returns the headers that are passed on, in either direction.
func forwarded(h http.Header) http.Header {
	out := make(http.Header, len(h))
	listed := strings.Split(h.Get("Connection"), ",")
	for name, values := range h {
		if slices.Contains(unforwarded, name) || listedIn(listed, name) {
			continue
		}
		out[name] = values
	}
	return out
}

func listedIn(names []string, name string) bool {
	return slices.ContainsFunc(names, func(n string) bool {
		return strings.EqualFold(strings.TrimSpace(n), name)
	})
}
