// Package stream reads and writes the server-sent events of a completion. A Reader accepts only
// the events of its own request, in order, and reports the end only after the final marker.
package stream

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// ContentType is the media type of an event stream.
const ContentType = "text/event-stream"

// MaxEvent is the size of the largest event that a Reader accepts. An event carries one token and
// normally has less than 300 bytes; log probabilities may make it larger.
const MaxEvent ident.Bytes = 256 << 10

// Buffer sizes in bytes.
const (
	readBufferBytes  = 4 << 10
	eventBufferBytes = 512
	textBlockBytes   = 512
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindWrongRequest: an event carries the id of another request.
	KindWrongRequest Kind = "crossed"
	// KindGap: an event number is missing or repeated.
	KindGap Kind = "gap"
	// KindTruncated: the stream ended without its final marker.
	KindTruncated Kind = "truncated"
	// KindMalformed: an event is invalid.
	KindMalformed Kind = "malformed"
	// KindTooLarge: an event exceeds MaxEvent.
	KindTooLarge Kind = "large"
	// KindAborted: the sender ended the stream with an error event; the cause is an *Abort.
	KindAborted Kind = "aborted"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Abort is the content of an error event.
type Abort struct {
	// Body is the JSON of the event.
	Body []byte
}

// Error returns the JSON text of the event.
func (a *Abort) Error() string { return string(a.Body) }

// Event is one event of a stream.
type Event struct {
	// ID is the number of the event, starting at 1. It is 0 for a final marker without a number.
	ID int
	// Data is the JSON of the event. The data returned by Next is valid until the next call.
	Data []byte
	// Content is the text of the event's token.
	Content string
	// FinishReason is the reason why the model stopped; it is empty before the last token.
	FinishReason string
	// Done reports whether this is the final marker.
	Done bool
}

// Reader reads the events of one request.
type Reader struct {
	in      *bufio.Reader
	request ident.Request
	lastID  int
	data    []byte
	texts   textArena
	done    bool
	err     error
}

// NewReader returns a Reader for the events of a request, starting with number 1.
func NewReader(in io.Reader, request ident.Request) *Reader {
	return ResumeReader(in, request, 0)
}

// ResumeReader returns a Reader for a stream that continues after event number last.
func ResumeReader(in io.Reader, request ident.Request, last int) *Reader {
	return &Reader{
		in:      bufio.NewReaderSize(in, readBufferBytes),
		request: request,
		lastID:  last,
		data:    make([]byte, 0, eventBufferBytes),
	}
}

// LastID returns the number of the last event that Next returned.
func (r *Reader) LastID() int { return r.lastID }

// Buffered reports whether the next event is buffered completely, so that Next returns without
// waiting. False negatives are possible.
func (r *Reader) Buffered() bool {
	held, _ := r.in.Peek(r.in.Buffered())
	before, _, ok := bytes.Cut(held, eventEnd)
	if !ok {
		return false
	}
	// After a comment without data, Next would wait for more.
	return bytes.HasPrefix(held, dataField) || bytes.Contains(before, dataLine)
}

// Next returns the next event. After the final marker, which is returned as an event with Done
// set, it returns io.EOF. Any other error is an *Error and is returned by all further calls; the
// stream is then broken and its content incomplete.
func (r *Reader) Next() (Event, error) {
	if r.err != nil {
		return Event{}, r.err
	}
	event, err := r.next()
	if err != nil {
		r.err = err
		return Event{}, err
	}
	return event, nil
}

func (r *Reader) next() (Event, error) {
	if r.done {
		return Event{}, io.EOF
	}
	fields, err := r.frame()
	if err != nil {
		return Event{}, err
	}
	if fields.abort {
		return Event{}, fault.Wrap("read", KindAborted, error(&Abort{Body: bytes.Clone(r.data)}))
	}
	if bytes.Equal(r.data, doneMarker) {
		return r.finalMarker(fields)
	}
	return r.event(fields)
}

// finalMarker handles the final marker, whose number is optional.
func (r *Reader) finalMarker(fields frame) (Event, error) {
	if fields.numbered {
		if err := r.checkNumber(fields.id); err != nil {
			return Event{}, err
		}
	}
	r.done = true
	return Event{ID: fields.id, Data: r.data, Done: true}, nil
}

func (r *Reader) event(fields frame) (Event, error) {
	parsed, ok := parse(r.data)
	if !ok {
		return Event{}, fault.Newf("read", KindMalformed, "event after %d is not a completion chunk", r.lastID)
	}
	if string(parsed.id) != string(r.request) {
		return Event{}, fault.Newf("read", KindWrongRequest, "event of request %q in the stream of %q", clip(string(parsed.id)), r.request)
	}
	if !fields.numbered {
		return Event{}, fault.Newf("read", KindMalformed, "event after %d has no number", r.lastID)
	}
	if err := r.checkNumber(fields.id); err != nil {
		return Event{}, err
	}
	return Event{ID: fields.id, Data: r.data, Content: r.texts.store(parsed.content), FinishReason: string(parsed.finishReason)}, nil
}

func (r *Reader) checkNumber(id int) error {
	if id != r.lastID+1 {
		return fault.Newf("read", KindGap, "got event %d after event %d", id, r.lastID)
	}
	r.lastID = id
	return nil
}

// textArena allocates the strings of the tokens. Tokens are short, so many of them share one block
// of memory; separate strings would be the only allocation per token.
type textArena struct {
	block strings.Builder
}

// store returns b as a string.
func (a *textArena) store(b []byte) string {
	if len(b) > a.block.Cap()-a.block.Len() {
		a.block = strings.Builder{}
		a.block.Grow(max(textBlockBytes, len(b)))
	}
	start := a.block.Len()
	a.block.Write(b)
	return a.block.String()[start:]
}

// clip limits the length of external text in an error message.
func clip(text string) string {
	const maxBytes = 64
	if len(text) > maxBytes {
		return text[:maxBytes]
	}
	return text
}

// frame holds the fields of an event other than its data.
type frame struct {
	id       int
	numbered bool
	abort    bool
}

// frame reads the lines of one event and stores its data in r.data.
func (r *Reader) frame() (frame, error) {
	var fields frame
	r.data = r.data[:0]
	hasData := false
	remaining := int(MaxEvent)
	for {
		line, err := r.line(&remaining)
		if err != nil {
			return fields, err
		}
		if len(line) > 0 {
			if err := r.field(&fields, line, &hasData); err != nil {
				return fields, err
			}
			continue
		}
		if hasData {
			return fields, nil
		}
		// An event without data, such as a keep-alive comment, is skipped.
		fields, remaining = frame{}, int(MaxEvent)
	}
}

// field processes one non-empty line.
func (r *Reader) field(fields *frame, line []byte, hasData *bool) error {
	name, value, _ := bytes.Cut(line, colon)
	value = bytes.TrimPrefix(value, space)
	switch string(name) {
	case "data":
		if *hasData {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		*hasData = true
	case "id":
		id, ok := parseNumber(value)
		if !ok || fields.numbered {
			return fault.Newf("read", KindMalformed, "invalid event number %q", clip(string(value)))
		}
		fields.id, fields.numbered = id, true
	case "event":
		fields.abort = string(value) == "error"
		if !fields.abort && string(value) != "message" {
			return fault.Newf("read", KindMalformed, "unexpected event type %q", clip(string(value)))
		}
	}
	return nil
}

// line returns the next line without its end and subtracts its length from remaining. The line is
// valid until the next read.
func (r *Reader) line(remaining *int) ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.longLine(line, *remaining)
	}
	if err != nil {
		return nil, connectionError(err)
	}
	*remaining -= len(line)
	if *remaining < 0 {
		return nil, tooLargeError()
	}
	line = bytes.TrimSuffix(line[:len(line)-1], carriageReturn)
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, fault.Newf("read", KindMalformed, "carriage return within a line")
	}
	return line, nil
}

// longLine reads the rest of a line that exceeds the read buffer, up to limit bytes.
func (r *Reader) longLine(first []byte, limit int) ([]byte, error) {
	line := bytes.Clone(first)
	for len(line) <= limit {
		part, err := r.in.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, tooLargeError()
}

func tooLargeError() error {
	return fault.Newf("read", KindTooLarge, "event exceeds %d bytes", MaxEvent)
}

// connectionError wraps an error of the connection as KindTruncated.
func connectionError(err error) error {
	var known *Error
	if errors.As(err, &known) {
		return err
	}
	return fault.Wrap("read", KindTruncated, err)
}

// parseNumber parses a decimal number of at most nine digits.
func parseNumber(b []byte) (int, bool) {
	if len(b) == 0 || len(b) > 9 {
		return 0, false
	}
	value := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		value = value*10 + int(c-'0')
	}
	return value, true
}

var (
	doneMarker     = []byte("[DONE]")
	eventEnd       = []byte("\n\n")
	dataField      = []byte("data:")
	dataLine       = []byte("\ndata:")
	colon          = []byte(":")
	space          = []byte(" ")
	carriageReturn = []byte("\r")
)
