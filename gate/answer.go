package gate

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
)

// heldAnswer is a complete answer of an endpoint.
type heldAnswer struct {
	status int
	header http.Header
	body   []byte
}

// answered handles the head of an answer and passes the answer on.
func (t *try) answered(ctx context.Context, answer *relay.Answer) result {
	f := t.f
	a := f.s.dialect.Answer(answer.StatusCode, answer.Header)
	if t.ticket != nil && a.Loaded {
		f.s.state.locked(func(p *pool.Pool, now clock.Time) { p.Load(now, t.place.local.Endpoint, a.Load) })
	}
	if notRun := a.NotRun || answer.Header.Get(caller.HeaderRan) == string(caller.RanNo); notRun {
		return t.refused(answer, a.Moved)
	}
	success := answer.StatusCode/100 == 2
	if success && !a.Signed {
		return t.broken(ctx, fault.Newf("answer", relay.Malformed, "success without a signature"))
	}
	if success && f.route.Stream {
		return t.stream(ctx, answer)
	}
	return t.whole(ctx, answer)
}

// refused handles an answer that says that the request was not run.
func (t *try) refused(answer *relay.Answer, moved bool) result {
	// The body of a refusal is of no use, but the connection is if it is read to its end.
	_, _ = answer.ReadAll(maxAnswerBytes)
	t.avoidPlace()
	if moved {
		t.end(pool.Moved)
	} else {
		t.end(pool.Full)
	}
	return again
}

// whole reads a complete answer before any of it is passed on, so that a request that may
// be repeated can be sent again if the answer is broken.
func (t *try) whole(ctx context.Context, answer *relay.Answer) result {
	f := t.f
	body, err := answer.ReadAll(maxAnswerBytes)
	if err != nil {
		return t.broken(ctx, err)
	}
	t.first()
	f.held = &heldAnswer{answer.StatusCode, answer.Header, body}
	f.unsure = true
	f.runs++
	if answer.StatusCode < http.StatusInternalServerError {
		t.end(pool.Done)
		f.deliverHeld()
		return ended
	}
	t.end(pool.Failed)
	t.avoidPlace()
	if f.repeatable() && !f.committed {
		return again
	}
	f.deliverHeld()
	return ended
}

// deliverHeld passes a complete answer of an endpoint on.
func (f *flight) deliverHeld() {
	if f.committed {
		f.abort("resumed stream failed")
		return
	}
	if promises(f.held.status) {
		// The status would say that the request was not run.
		f.fail(http.StatusBadGateway, "endpoint failed")
		return
	}
	h := f.writer.Header()
	copyAnswerHeader(h, f.held.header)
	h["Content-Length"] = []string{strconv.Itoa(len(f.held.body))}
	f.s.closing(h)
	f.writer.WriteHeader(f.held.status)
	if _, err := f.writer.Write(f.held.body); err != nil {
		f.done("left", f.held.status)
		return
	}
	f.done("answered", f.held.status)
}

// promises reports whether a status tells a caller that its request was not run.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyAnswerHeader copies what is not about one connection.
func copyAnswerHeader(to, from http.Header) {
	for name, values := range forwarded(from) {
		if !strings.HasPrefix(name, "Tanager-") {
			to[name] = values
		}
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // keeps the library from guessing one
	}
	if _, ok := to["Date"]; !ok {
		to["Date"] = nil
	}
}

// connectionHeaders are the headers that concern one connection, beside those that the
// Connection header names.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// forwarded returns the headers that are not about one connection. The values are shared.
func forwarded(h http.Header) http.Header {
	kept := make(http.Header, len(h))
	for name, values := range h {
		if !connectionHeaders[name] {
			kept[name] = values
		}
	}
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(kept, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return kept
}

func respond(w http.ResponseWriter, status int, ran caller.Ran, reason caller.Reason, message, request string) {
	body, err := json.Marshal(caller.Envelope{Error: caller.Refusal{
		Kind: reason, Ran: ran, Message: message, Request: ident.Request(request),
	}})
	if err != nil {
		body = nil // a refusal consists of texts and can always be encoded
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(caller.HeaderRan, string(ran))
	w.WriteHeader(status)
	_, _ = w.Write(body) // a caller that has left needs no answer
}

// refuse tells the caller that the request was not run and when to come back.
func (f *flight) refuse(reason string, after clock.Span) {
	if f.committed {
		f.abort(reason)
		return
	}
	f.last = reason
	f.s.dialect.Later(f.writer.Header(), min(after, max(minRetryAfter, f.left()/3)))
	f.s.closing(f.writer.Header())
	respond(f.writer, http.StatusServiceUnavailable, caller.RanNo, caller.ReasonOverload, reason, f.head.Attempt)
	f.done("refused", http.StatusServiceUnavailable)
}

// fail ends a request that may have run.
func (f *flight) fail(status int, reason string) {
	if f.committed {
		f.abort(reason)
		return
	}
	f.s.closing(f.writer.Header())
	respond(f.writer, status, caller.RanUnknown, caller.ReasonEndpoint, reason, f.head.Attempt)
	f.done("failed", status)
}

// abort cuts the answer off, so that it can't be taken for complete.
func (f *flight) abort(reason string) {
	f.last = reason
	f.done("broken", 0)
	panic(http.ErrAbortHandler)
}
