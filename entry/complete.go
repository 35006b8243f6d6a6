package entry

import (
	"context"
	"net/http"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// complete serves one completion.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	h, refusal := s.headOf(r)
	h.Service = ident.Service(r.Header.Get(caller.HeaderService))
	if h.Service == "" {
		h.Service = s.defaultService()
	}
	if refusal == nil {
		refusal = s.shell.admit(h)
	}
	if refusal != nil {
		s.refuse(w, h.Request, refusal)
		return
	}
	p, refusal := s.readPrompt(r)
	if refusal != nil {
		s.refuse(w, h.Request, refusal)
		return
	}
	f := s.shell.open(h.Request)
	if f == nil {
		s.refuse(w, h.Request, malformed("a request with this id is in progress"))
		return
	}
	defer s.shell.close(f)
	x := &exchange{server: s, flight: f, prompt: p, out: newOutput(w, h.Request, p.streams)}
	x.run(r.Context(), core.Arrived{
		Head: h, Prompt: p.tokens(), Answer: p.answer(), Prefix: p.prefix(),
		Fingerprint: fingerprint(h.Service, "", p.raw), Bytes: ident.Bytes(len(p.raw)),
	})
}

func (s *Server) readPrompt(r *http.Request) (*prompt, *core.Refusal) {
	limit := look(s.shell, bodyLimit)
	body, refusal := readBody(r, limit)
	if refusal != nil {
		return nil, refusal
	}
	p, err := parsePrompt(body)
	if err != nil {
		return nil, malformed(err.Error())
	}
	return p, nil
}

// exchange is one completion in progress: its tries and what the caller has received.
type exchange struct {
	server *Server
	flight *flight
	prompt *prompt
	out    *output
	tries  []*engineTry
}

// run carries out the core's actions until the request has ended.
func (x *exchange) run(ctx context.Context, a core.Arrived) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	shell := x.server.shell
	shell.apply(a)
	for {
		select {
		case <-ctx.Done():
			shell.apply(core.Gone{Request: x.flight.id})
			x.cancelAll()
			return
		case action := <-x.flight.actions:
			if x.carryOut(ctx, action) {
				return
			}
		}
	}
}

// carryOut returns true if the request has ended.
func (x *exchange) carryOut(ctx context.Context, action core.Action) bool {
	switch a := action.(type) {
	case core.Dispatch:
		x.start(ctx, a)
	case core.Cancel:
		x.cancel(a.Try)
	case core.Win:
		return x.pass(ctx, a.Try)
	case core.Refuse:
		x.out.refuse(x.server, &a.Refusal)
		return true
	}
	return false
}

func (x *exchange) find(number ident.Try) *engineTry {
	for i := len(x.tries) - 1; i >= 0; i-- {
		if x.tries[i].Try == number {
			return x.tries[i]
		}
	}
	return nil
}

func (x *exchange) cancel(number ident.Try) {
	if t := x.find(number); t != nil {
		t.abort(x.server)
	}
}

func (x *exchange) cancelAll() {
	for _, t := range x.tries {
		t.abort(x.server)
	}
}
