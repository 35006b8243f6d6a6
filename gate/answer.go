package gate

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
)

// bufferedResponse is a complete response of an endpoint.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
}

// handleResponse evaluates the header of a response and forwards the response to the caller.
func (a *attempt) handleResponse(ctx context.Context, response *relay.EndpointResponse) result {
	inflight := a.inflight
	parsed := inflight.server.protocol.ResponseMeta(response.StatusCode, response.Header)
	a.recordStatement(parsed)
	if a.statesNotRun(response, parsed) {
		return a.handleRefusal(response, parsed.Moved)
	}
	inflight.unframed = isUnframed(response)
	success := response.StatusCode/100 == 2
	if success && !parsed.Signed {
		return a.handleFailure(ctx, fault.Newf("answer", relay.KindMalformed, "success response without a signature"))
	}
	if form := formOfStream(response); success && inflight.route.Stream {
		switch {
		case inflight.headerSent && form != inflight.streamForm:
			return a.handleFailure(ctx, fault.Newf("answer", relay.KindMalformed, "response does not continue the stream"))
		case inflight.placement.Build != "" && a.buildOf(response) != inflight.placement.Build:
			return a.handleFailure(ctx, fault.Newf("answer", relay.KindMalformed, "stream goes on at another version of the software"))
		case form.isStream:
			inflight.streamForm = form
			return a.relayStream(ctx, response)
		}
	}
	return a.relayBuffered(ctx, response)
}

// statesNotRun reports whether a response states that the request was not run. Each kind of
// destination is believed only in its own form.
func (a *attempt) statesNotRun(response *relay.EndpointResponse, parsed ResponseMeta) bool {
	if a.destination.hop != nil {
		ran := response.Header[caller.HeaderRan]
		return isOwnRefusal(response.StatusCode) && len(ran) == 1 && ran[0] == string(caller.RanNo)
	}
	return parsed.NotRun
}

// isOwnRefusal reports whether this is a status that instances give to requests that have not run.
func isOwnRefusal(status int) bool {
	switch status {
	case http.StatusBadRequest, http.StatusUnauthorized, http.StatusNotFound, http.StatusRequestEntityTooLarge, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleRefusal handles a response which states that the request was not run.
func (a *attempt) handleRefusal(response *relay.EndpointResponse, moved bool) result {
	response.Discard()
	a.excludeDestination()
	if moved {
		a.recordEnd(pool.Moved)
	} else {
		a.recordEnd(pool.Refused)
		a.recordFull()
	}
	return resultRetry
}

// relayBuffered reads the complete response before any of it is forwarded, so that a repeatable
// request can be sent again if the response is cut off.
func (a *attempt) relayBuffered(ctx context.Context, response *relay.EndpointResponse) result {
	inflight := a.inflight
	body, err := response.ReadAll(maxResponseBytes)
	if err != nil {
		return a.handleFailure(ctx, err)
	}
	a.recordFirstByte()
	inflight.buffered = &bufferedResponse{response.StatusCode, response.Header, body}
	inflight.mayHaveRun = true
	inflight.runs++
	if response.StatusCode < http.StatusInternalServerError {
		inflight.generated = response.StatusCode/100 == 2
		a.recordEnd(pool.Complete)
		inflight.deliverBuffered()
		return resultDone
	}
	a.recordEnd(pool.Failed)
	a.excludeDestination()
	if inflight.repeatable() && !inflight.headerSent {
		return resultRetry
	}
	inflight.deliverBuffered()
	return resultDone
}

// deliverBuffered forwards a complete response of an endpoint.
func (f *inflight) deliverBuffered() {
	if f.headerSent {
		f.abort("resumed stream failed")
		return
	}
	if impliesNotRun(f.buffered.status) {
		// The status would tell the caller that the request was not run.
		f.fail(http.StatusBadGateway, "endpoint failed")
		return
	}
	header := f.writer.Header()
	copyResponseHeader(header, f.buffered.header)
	f.addHopHeader(header)
	header["Content-Length"] = []string{strconv.Itoa(len(f.buffered.body))}
	f.server.setConnectionClose(header)
	f.renewWrite()
	f.beginAnswer(len(f.buffered.body))
	f.writer.WriteHeader(f.buffered.status)
	if _, err := f.writer.Write(f.buffered.body); err != nil {
		f.leave(f.buffered.status)
	}
	f.finish("answered", f.buffered.status)
}

// impliesNotRun reports whether a status tells a caller that its request was not run.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// copyResponseHeader copies the end-to-end header fields of an endpoint's response, without those
// of the system itself.
func copyResponseHeader(to, from http.Header) {
	for name, values := range endToEndHeader(from) {
		if !strings.HasPrefix(name, "Tanager-") {
			to[name] = values
		}
	}
	if _, ok := to["Content-Type"]; !ok {
		to["Content-Type"] = nil // prevents net/http from guessing one
	}
	if _, ok := to["Date"]; !ok {
		to["Date"] = nil
	}
}

// hopByHopHeaders are the header fields that apply to a single connection, beside those listed in
// the Connection header.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
}

// endToEndHeader returns the header without hop-by-hop fields. The values are shared with the
// argument.
func endToEndHeader(header http.Header) http.Header {
	kept := make(http.Header, len(header))
	for name, values := range header {
		if !hopByHopHeaders[name] {
			kept[name] = values
		}
	}
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(kept, http.CanonicalHeaderKey(strings.TrimSpace(name)))
		}
	}
	return kept
}

func writeError(w http.ResponseWriter, status int, ran caller.Ran, reason caller.Reason, message, request string) {
	body, err := json.Marshal(caller.Envelope{Error: caller.Refusal{
		Reason: reason, Ran: ran, Message: message, Request: ident.Request(request),
	}})
	if err != nil {
		body = nil // unreachable: the envelope consists of strings
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set(caller.HeaderRan, string(ran))
	w.WriteHeader(status)
	_, _ = w.Write(body) // an error only means that the caller has disconnected
}

// refuse tells the caller that the request was not run and when to retry.
func (f *inflight) refuse(reason string, after clock.Span) {
	if f.headerSent {
		f.abort(reason)
		return
	}
	f.refuseWith(http.StatusServiceUnavailable, caller.ReasonOverload, reason, min(after, max(minRetryAfter, f.remaining()/3)))
}

// refuseWith is refuse with a status, before a response header has been sent.
func (f *inflight) refuseWith(status int, kind caller.Reason, reason string, after clock.Span) {
	f.refundQuota()
	f.lastOutcome = reason
	f.server.protocol.SetRetryAfter(f.writer.Header(), after)
	f.server.setConnectionClose(f.writer.Header())
	f.renewWrite()
	writeError(f.writer, status, caller.RanNo, kind, reason, f.meta.AttemptID)
	f.finish("refused", status)
}

// fail ends a request that may have run.
func (f *inflight) fail(status int, reason string) {
	if f.headerSent {
		f.abort(reason)
		return
	}
	f.server.setConnectionClose(f.writer.Header())
	f.renewWrite()
	writeError(f.writer, status, caller.RanUnknown, caller.ReasonEndpoint, reason, f.meta.AttemptID)
	f.finish("failed", status)
}

// leave ends the request of a caller that has disconnected. The caller may have closed its sending side
// only and still read, and a handler that returns ends a response as complete, with an empty success
// if nothing has been written.
func (f *inflight) leave(status int) {
	f.finish("left", status)
	f.cutOff()
}

// abort cuts the response off so that the caller cannot take it for complete.
func (f *inflight) abort(reason string) {
	f.lastOutcome = reason
	f.finish("broken", 0)
	f.cutOff()
}

// cutOff ends the caller's connection before the end of the response. A caller of HTTP/1.0 gets no
// chunks and takes the end of the connection for the end of the response, so that it needs a reset.
func (f *inflight) cutOff() {
	if !f.request.ProtoAtLeast(1, 1) {
		f.resetConnection()
	}
	panic(http.ErrAbortHandler)
}

func (f *inflight) resetConnection() {
	conn, _, err := http.NewResponseController(f.writer).Hijack()
	if err != nil {
		f.server.log.Warn("resetting the caller's connection failed", zap.Error(err))
		return
	}
	if tcp, ok := conn.(interface{ SetLinger(seconds int) error }); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	_ = conn.Close()
}
