package gate

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/memory"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
)

const (
	// readChunkBytes is the size of one read from a stream.
	readChunkBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 128 << 10
	// eventStreamType is the media type of streams.
	eventStreamType = "text/event-stream"
)

var (
	idPrefix  = []byte("id:")
	headStart = []byte("HTTP/1.")
)

// streamForm is how the body of a response is to be read. A resumed stream must have the form of its
// beginning.
type streamForm struct {
	isStream bool
	// mediaType is empty if the endpoint doesn't state it.
	mediaType string
	encoding  string
}

func formOfStream(response *relay.EndpointResponse) streamForm {
	mediaType, _, _ := strings.Cut(response.Header.Get("Content-Type"), ";")
	mediaType = strings.ToLower(strings.TrimSpace(mediaType))
	return streamForm{
		isStream:  response.StatusCode == http.StatusOK && (mediaType == "" || mediaType == eventStreamType),
		mediaType: mediaType, encoding: response.Header.Get("Content-Encoding"),
	}
}

// relayStream forwards events as they arrive. Only complete events are forwarded, since a partial
// one would be sent again if the stream is resumed at another endpoint.
func (a *attempt) relayStream(ctx context.Context, response *relay.EndpointResponse) result {
	inflight := a.inflight
	var pending []byte
	chunk := make([]byte, readChunkBytes)
	for {
		n, err := response.Read(chunk)
		if n > 0 {
			pending = append(pending, chunk[:n]...)
			if containsHead(pending) {
				return a.handleFailure(ctx, fault.Newf("read", relay.KindMalformed, "another response inside a stream"))
			}
			if writeErr := a.forwardEvents(response, &pending); writeErr != nil {
				a.recordEnd(pool.Cancelled)
				inflight.leave(http.StatusOK)
				return resultDone
			}
		}
		if reserveErr := response.Reserve(int64(len(pending))); reserveErr != nil {
			return a.handleFailure(ctx, reserveErr)
		}
		switch {
		case errors.Is(err, io.EOF):
			return a.finishStream(ctx, response, pending)
		case err != nil:
			return a.handleFailure(ctx, err)
		case len(pending) > maxEventBytes:
			return a.handleFailure(ctx, fault.Newf("read", relay.KindTooLarge, "event of more than %d bytes", maxEventBytes))
		}
	}
}

// containsHead reports whether a line of a stream begins another response: a stream that ends with
// its connection does not show where additional bytes of the endpoint begin.
func containsHead(pending []byte) bool {
	for start := 0; ; {
		index := bytes.Index(pending[start:], headStart)
		if index < 0 {
			return false
		}
		start += index
		if start == 0 || isLineEnd(pending[start-1]) {
			return true
		}
		start += len(headStart)
	}
}

// forwardEvents writes the complete events among the pending bytes and removes them from pending.
func (a *attempt) forwardEvents(response *relay.EndpointResponse, pending *[]byte) error {
	inflight := a.inflight
	end := completeEvents(*pending)
	if end == 0 {
		return nil
	}
	events := (*pending)[:end]
	if id := lastEventID(events); id != "" {
		inflight.lastEventID = id
	}
	if a.firstOutput == 0 {
		a.firstOutput = inflight.server.clock.Now()
		a.beginStream(response)
	}
	a.sendHeader(response)
	if err := inflight.writeEvents(events); err != nil {
		return err
	}
	*pending = append((*pending)[:0], (*pending)[end:]...)
	return nil
}

func (f *inflight) writeEvents(events []byte) error {
	now := f.server.clock.Now()
	if f.lastWrite == 0 {
		f.firstEventDelay = now.Sub(f.arrived)
	} else {
		f.longestPause = max(f.longestPause, now.Sub(f.lastWrite))
	}
	f.lastWrite, f.generated = now, true
	f.enter(memory.Answer) // until the caller, or its socket, has taken the events
	defer f.enter(memory.Running)
	if _, err := f.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(f.writer).Flush()
}

// sendHeader sends the response header to the caller once. A resumed stream keeps the first one.
func (a *attempt) sendHeader(response *relay.EndpointResponse) {
	a.recordFirstByte()
	inflight := a.inflight
	if inflight.headerSent {
		return
	}
	inflight.headerSent = true
	header := inflight.writer.Header()
	copyResponseHeader(header, response.Header)
	inflight.addHopHeader(header)
	inflight.server.setConnectionClose(header)
	inflight.writer.WriteHeader(response.StatusCode)
}

// finishStream handles the end of a stream. One that ends inside an event has been broken off. So has
// one that the end of the connection ended without any event: its end does not tell whether it is whole.
func (a *attempt) finishStream(ctx context.Context, response *relay.EndpointResponse, rest []byte) result {
	switch {
	case len(rest) > 0:
		return a.handleFailure(ctx, fault.Newf("read", relay.KindBroken, "stream ends inside an event"))
	case a.inflight.unframed && a.firstOutput == 0:
		return a.handleFailure(ctx, fault.Newf("read", relay.KindBroken, "connection ends before the first event"))
	}
	a.sendHeader(response)
	a.recordEnd(pool.Complete)
	a.inflight.recordDuration()
	a.inflight.finish("answered", response.StatusCode)
	return resultDone
}

// isUnframed reports whether only the end of the endpoint's connection ends a response.
func isUnframed(response *relay.EndpointResponse) bool {
	return response.ContentLength < 0 && len(response.TransferEncoding) == 0 || response.Header.Get(headerUnframed) != ""
}

// lastEventID returns the id of the last event that has one, or "".
func lastEventID(events []byte) string {
	for len(events) > 0 {
		start := bytes.LastIndexAny(events[:len(events)-1], "\r\n") + 1
		line := events[start:]
		if bytes.HasPrefix(line, idPrefix) {
			return string(bytes.TrimSpace(line[len(idPrefix):]))
		}
		events = events[:start]
	}
	return ""
}

// completeEvents returns the length of the complete events at the start of a stream's pending bytes. An
// event ends with an empty line; lines end with LF, CR LF or CR.
func completeEvents(pending []byte) int {
	for end := len(pending); end > 0; end-- {
		var line int // where the last line end before end starts
		switch {
		case pending[end-1] == '\n' && end > 1 && pending[end-2] == '\r':
			line = end - 2
		case isLineEnd(pending[end-1]):
			line = end - 1
		default:
			continue
		}
		if line > 0 && !isLineEnd(pending[line-1]) {
			continue
		}
		if end == len(pending) && pending[end-1] == '\r' && line > 0 && pending[line-1] == '\n' {
			continue // the first half of CR LF
		}
		return end
	}
	return 0
}

func isLineEnd(c byte) bool { return c == '\n' || c == '\r' }
