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
	// chunkBytes is how much of a stream is read at once.
	chunkBytes = 4 << 10
	// maxEvent bounds an event, in bytes.
	maxEvent = 1 << 20
)

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// stream passes events on as they arrive. Only whole events go to the caller while the
// stream could be resumed at another endpoint, since a broken one is sent again.
func (t *try) stream(ctx context.Context, answer *relay.Answer) result {
	f := t.f
	var pending []byte
	chunk := make([]byte, chunkBytes)
	for {
		n, err := answer.Read(chunk)
		if n > 0 {
			pending = append(pending, chunk[:n]...)
			if gone := t.pass(answer, &pending); gone != nil {
				t.end(pool.Canceled)
				f.done("left", http.StatusOK)
				return ended
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return t.complete(answer, pending)
		case err != nil || len(pending) > maxEvent:
			return t.broken(ctx, err)
		}
	}
}

// pass writes the whole events among the pending bytes.
func (t *try) pass(answer *relay.Answer, pending *[]byte) error {
	f := t.f
	end := bytes.LastIndex(*pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	events := (*pending)[:end]
	if id := lastID(events); id != "" {
		f.lastEvent = id
	}
	t.commit(answer)
	if err := f.write(events); err != nil {
		return err
	}
	*pending = append((*pending)[:0], (*pending)[end:]...)
	return nil
}

func (f *flight) write(b []byte) error {
	now := f.s.clock.Now()
	if f.written == 0 {
		f.first = now.Sub(f.arrived)
	} else {
		f.pause = max(f.pause, now.Sub(f.written))
	}
	f.written = now
	if _, err := f.writer.Write(b); err != nil {
		return err
	}
	return http.NewResponseController(f.writer).Flush()
}

// commit sends the head of the answer, once. A resumed stream keeps the first one.
func (t *try) commit(answer *relay.Answer) {
	t.first()
	f := t.f
	if f.committed {
		return
	}
	f.committed = true
	copyAnswerHeader(f.writer.Header(), answer.Header)
	f.s.closing(f.writer.Header())
	f.writer.WriteHeader(answer.StatusCode)
}

// complete ends a stream that the endpoint has ended.
func (t *try) complete(answer *relay.Answer, rest []byte) result {
	f := t.f
	t.commit(answer)
	t.end(pool.Done)
	if len(rest) > 0 {
		if err := f.write(rest); err != nil {
			f.done("left", http.StatusOK)
			return ended
		}
	}
	f.done("answered", answer.StatusCode)
	return ended
}

// lastID returns the id of the last event, or "" if none has one.
func lastID(events []byte) string {
	for len(events) > 0 {
		start := bytes.LastIndexByte(events[:len(events)-1], '\n') + 1
		line := events[start:]
		if bytes.HasPrefix(line, idField) {
			return string(bytes.TrimSpace(line[len(idField):]))
		}
		events = events[:start]
	}
	return ""
}
