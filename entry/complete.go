package entry

import (
	"context"
	"net/http"
	"slices"

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
	body, ok := s.receive(w, r, h, refusal)
	if !ok {
		return
	}
	p, err := parsePrompt(body)
	if err != nil {
		s.refuse(w, h.Request, malformed(err.Error()))
		return
	}
	f := s.enter(w, h)
	if f == nil {
		return
	}
	defer s.shell.close(f)
	x := &exchange{server: s, flight: f, prompt: p, out: newOutput(w, h.Request, p.streams)}
	x.run(r.Context(), core.Arrived{
		Head: h, Prompt: p.tokens(), Answer: p.answer(), Prefix: p.prefix(),
		Fingerprint: fingerprint(h.Service, "", p.raw), Bytes: ident.Bytes(len(p.raw)),
	})
}

// receive admits a request and reads its body. If it may not go on, it gets its
// refusal and receive returns false.
func (s *Server) receive(w http.ResponseWriter, r *http.Request, h core.Head, refusal *core.Refusal) ([]byte, bool) {
	if refusal == nil {
		refusal = s.shell.admit(h)
	}
	var body []byte
	if refusal == nil {
		body, refusal = readBody(r, look(s.shell, bodyLimit))
		refusal = s.shell.truthful(h, refusal)
	}
	if refusal != nil {
		s.refuse(w, h.Request, refusal)
		return nil, false
	}
	return body, true
}

// enter registers a request. It refuses one whose id is in progress and returns nil.
func (s *Server) enter(w http.ResponseWriter, h core.Head) *flight {
	f := s.shell.open(h.Request)
	if f == nil {
		s.refuse(w, h.Request, s.shell.truthful(h, malformed("a request with this id is in progress")))
	}
	return f
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
	for _, t := range slices.Backward(x.tries) {
		if t.Try == number {
			return t
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
