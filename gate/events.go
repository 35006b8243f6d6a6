package gate

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
)

const (
	// readChunkBytes is the size of one read from a stream.
	readChunkBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 128 << 10
)

var (
	eventEnd = []byte("\n\n")
	idPrefix = []byte("id:")
)

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
			if writeErr := a.forwardEvents(response, &pending); writeErr != nil {
				a.recordEnd(pool.Cancelled)
				inflight.finish("left", http.StatusOK)
				return resultDone
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return a.finishStream(response, pending)
		case err != nil:
			return a.handleFailure(ctx, err)
		case len(pending) > maxEventBytes:
			return a.handleFailure(ctx, fault.Newf("read", relay.KindTooLarge, "event of more than %d bytes", maxEventBytes))
		}
	}
}

// forwardEvents writes the complete events among the pending bytes and removes them from pending.
func (a *attempt) forwardEvents(response *relay.EndpointResponse, pending *[]byte) error {
	inflight := a.inflight
	end := bytes.LastIndex(*pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	events := (*pending)[:end]
	if id := lastEventID(events); id != "" {
		inflight.lastEventID = id
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
		f.firstOutput, f.firstEventDelay = now, now.Sub(f.arrived)
	} else {
		f.longestPause = max(f.longestPause, now.Sub(f.lastWrite))
	}
	f.lastWrite, f.generated = now, true
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
	copyResponseHeader(inflight.writer.Header(), response.Header)
	inflight.server.setConnectionClose(inflight.writer.Header())
	inflight.writer.WriteHeader(response.StatusCode)
}

// finishStream completes a stream that the endpoint has ended.
func (a *attempt) finishStream(response *relay.EndpointResponse, rest []byte) result {
	inflight := a.inflight
	a.sendHeader(response)
	a.recordEnd(pool.Complete)
	if len(rest) > 0 {
		if err := inflight.writeEvents(rest); err != nil {
			inflight.finish("left", http.StatusOK)
			return resultDone
		}
	}
	inflight.finish("answered", response.StatusCode)
	return resultDone
}

// lastEventID returns the id of the last event that has one, or "".
func lastEventID(events []byte) string {
	for len(events) > 0 {
		start := bytes.LastIndexByte(events[:len(events)-1], '\n') + 1
		line := events[start:]
		if bytes.HasPrefix(line, idPrefix) {
			return string(bytes.TrimSpace(line[len(idPrefix):]))
		}
		events = events[:start]
	}
	return ""
}
