package gate

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
)

const (
	// readChunkBytes is the size of one read from a stream.
	readChunkBytes = 4 << 10
	// maxEventBytes bounds the size of one event.
	maxEventBytes = 1 << 20
)

var (
	eventEnd = []byte("\n\n")
	idPrefix = []byte("id:")
)

// relayStream forwards events as they arrive. Only complete events are forwarded, since a partial
// one would be sent again if the stream is resumed at another endpoint.
func (t *attempt) relayStream(ctx context.Context, answer *relay.Answer) result {
	inflight := t.inflight
	var pending []byte
	chunk := make([]byte, readChunkBytes)
	for {
		n, err := answer.Read(chunk)
		if n > 0 {
			pending = append(pending, chunk[:n]...)
			if writeErr := t.forwardEvents(answer, &pending); writeErr != nil {
				t.recordEnd(pool.Canceled)
				inflight.finish("left", http.StatusOK)
				return resultDone
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return t.finishStream(answer, pending)
		case err != nil || len(pending) > maxEventBytes:
			return t.handleFailure(ctx, err)
		}
	}
}

// forwardEvents writes the complete events among the pending bytes and removes them from pending.
func (t *attempt) forwardEvents(answer *relay.Answer, pending *[]byte) error {
	inflight := t.inflight
	end := bytes.LastIndex(*pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	events := (*pending)[:end]
	if id := lastEventID(events); id != "" {
		inflight.lastEvent = id
	}
	t.sendHeader(answer)
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
	f.lastWrite = now
	if _, err := f.writer.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(f.writer).Flush()
}

// sendHeader sends the response header to the caller once. A resumed stream keeps the first one.
func (t *attempt) sendHeader(answer *relay.Answer) {
	t.recordFirstByte()
	inflight := t.inflight
	if inflight.headerSent {
		return
	}
	inflight.headerSent = true
	copyResponseHeader(inflight.writer.Header(), answer.Header)
	inflight.server.setConnectionClose(inflight.writer.Header())
	inflight.writer.WriteHeader(answer.StatusCode)
}

// finishStream completes a stream that the endpoint has ended.
func (t *attempt) finishStream(answer *relay.Answer, rest []byte) result {
	inflight := t.inflight
	t.sendHeader(answer)
	t.recordEnd(pool.Done)
	if len(rest) > 0 {
		if err := inflight.writeEvents(rest); err != nil {
			inflight.finish("left", http.StatusOK)
			return resultDone
		}
	}
	inflight.finish("answered", answer.StatusCode)
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
