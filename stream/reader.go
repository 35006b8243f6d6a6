// Package stream reads and writes the server-sent events of a completion. A
// reader accepts only the events of its own request, in order, and reports the
// end only after the final marker.
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

// ContentType is the media type of a stream.
const ContentType = "text/event-stream"

// MaxEvent is the largest event that a Reader accepts. An event carries one
// token and is normally below 300 bytes; log probabilities may make it larger.
const MaxEvent ident.Bytes = 256 << 10

// Sizes of buffers, in bytes.
const (
	readSize  = 4 << 10
	eventSize = 512
	textSize  = 512
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Crossed: an event carries the id of another request.
	Crossed Kind = "crossed"
	// Gap: an event number is missing or repeated.
	Gap Kind = "gap"
	// Truncated: the stream ended without its final marker.
	Truncated Kind = "truncated"
	// Malformed: an event can't be parsed.
	Malformed Kind = "malformed"
	// Large: an event is larger than MaxEvent.
	Large Kind = "large"
	// Aborted: the sender ended the stream with an error event; the cause is an *Abort.
	Aborted Kind = "aborted"
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
	// ID is the number of the event; the first one is 1. It is 0 if the final
	// marker carries none.
	ID int
	// Data is the JSON of the event. What Next returns is valid until the next call.
	Data []byte
	// Content is the text of the event's token.
	Content string
	// Finish is the reason why the model stopped; it is empty before the last token.
	Finish string
	// Done says that this is the final marker.
	Done bool
}

// Reader reads the events of one request.
type Reader struct {
	in      *bufio.Reader
	request ident.Request
	last    int
	data    []byte
	texts   texts
	done    bool
	err     error
}

// NewReader returns a Reader for the events of request, the first of which has number 1.
func NewReader(in io.Reader, request ident.Request) *Reader {
	return ResumeReader(in, request, 0)
}

// ResumeReader returns a Reader for a stream that goes on after event number last.
func ResumeReader(in io.Reader, request ident.Request, last int) *Reader {
	return &Reader{
		in:      bufio.NewReaderSize(in, readSize),
		request: request,
		last:    last,
		data:    make([]byte, 0, eventSize),
	}
}

// Last returns the number of the last event that Next returned.
func (r *Reader) Last() int { return r.last }

// Pending reports whether the next event is read already, so that Next returns
// without waiting. It may report false for an event that is.
func (r *Reader) Pending() bool {
	held, _ := r.in.Peek(r.in.Buffered())
	before, _, ok := bytes.Cut(held, eventEnd)
	if !ok {
		return false
	}
	// Next waits for more after a comment.
	return bytes.HasPrefix(held, dataField) || bytes.Contains(before, dataLine)
}

// Next returns the next event. After the final marker, which is returned as an
// event with Done set, it returns io.EOF. Every other error is an *Error and
// final; the stream is broken and its answer incomplete.
func (r *Reader) Next() (Event, error) {
	if r.err != nil {
		return Event{}, r.err
	}
	e, err := r.next()
	if err != nil {
		r.err = err
		return Event{}, err
	}
	return e, nil
}

func (r *Reader) next() (Event, error) {
	if r.done {
		return Event{}, io.EOF
	}
	f, err := r.frame()
	if err != nil {
		return Event{}, err
	}
	if f.abort {
		return Event{}, fault.Wrap("read", Aborted, error(&Abort{Body: bytes.Clone(r.data)}))
	}
	if bytes.Equal(r.data, doneMarker) {
		return r.finish(f)
	}
	return r.event(f)
}

// finish handles the final marker. Its number is optional.
func (r *Reader) finish(f frame) (Event, error) {
	if f.numbered {
		if err := r.number(f.id); err != nil {
			return Event{}, err
		}
	}
	r.done = true
	return Event{ID: f.id, Data: r.data, Done: true}, nil
}

func (r *Reader) event(f frame) (Event, error) {
	c, ok := parse(r.data)
	if !ok {
		return Event{}, fault.Newf("read", Malformed, "event after %d is not a completion chunk", r.last)
	}
	if string(c.id) != string(r.request) {
		return Event{}, fault.Newf("read", Crossed, "event of request %q in the stream of %q", clip(string(c.id)), r.request)
	}
	if !f.numbered {
		return Event{}, fault.Newf("read", Malformed, "event after %d has no number", r.last)
	}
	if err := r.number(f.id); err != nil {
		return Event{}, err
	}
	return Event{ID: f.id, Data: r.data, Content: r.texts.keep(c.content), Finish: string(c.finish)}, nil
}

func (r *Reader) number(id int) error {
	if id != r.last+1 {
		return fault.Newf("read", Gap, "event %d after event %d", id, r.last)
	}
	r.last = id
	return nil
}

// texts makes the strings of the tokens. Tokens are short, so that many share one
// block of memory: a string of its own for each was the only allocation per token.
type texts struct {
	block strings.Builder
}

// keep returns b as a string.
func (t *texts) keep(b []byte) string {
	if len(b) > t.block.Cap()-t.block.Len() {
		t.block = strings.Builder{}
		t.block.Grow(max(textSize, len(b)))
	}
	start := t.block.Len()
	t.block.Write(b)
	return t.block.String()[start:]
}

// clip bounds foreign text in an error message.
func clip(s string) string {
	const most = 64
	if len(s) > most {
		return s[:most]
	}
	return s
}

// frame is what precedes the data of an event.
type frame struct {
	id       int
	numbered bool
	abort    bool
}

// frame reads the lines of one event and leaves its data in r.data.
func (r *Reader) frame() (frame, error) {
	var f frame
	r.data = r.data[:0]
	present := false
	left := int(MaxEvent)
	for {
		line, err := r.line(&left)
		if err != nil {
			return f, err
		}
		if len(line) > 0 {
			if err := r.field(&f, line, &present); err != nil {
				return f, err
			}
			continue
		}
		if present {
			return f, nil
		}
		// An event without data, such as a comment that keeps the connection open, is skipped.
		f, left = frame{}, int(MaxEvent)
	}
}

// field takes in one non-empty line.
func (r *Reader) field(f *frame, line []byte, present *bool) error {
	name, value, _ := bytes.Cut(line, colon)
	value = bytes.TrimPrefix(value, space)
	switch string(name) {
	case "data":
		if *present {
			r.data = append(r.data, '\n')
		}
		r.data = append(r.data, value...)
		*present = true
	case "id":
		id, ok := number(value)
		if !ok || f.numbered {
			return fault.Newf("read", Malformed, "event number %q", clip(string(value)))
		}
		f.id, f.numbered = id, true
	case "event":
		f.abort = string(value) == "error"
		if !f.abort && string(value) != "message" {
			return fault.Newf("read", Malformed, "event type %q", clip(string(value)))
		}
	}
	return nil
}

// line returns the next line without its end and takes its length off left. The
// line is valid until the next read.
func (r *Reader) line(left *int) ([]byte, error) {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.longLine(line, *left)
	}
	if err != nil {
		return nil, broken(err)
	}
	*left -= len(line)
	if *left < 0 {
		return nil, tooLarge()
	}
	line = bytes.TrimSuffix(line[:len(line)-1], carriage)
	if bytes.IndexByte(line, '\r') >= 0 {
		return nil, fault.Newf("read", Malformed, "carriage return within a line")
	}
	return line, nil
}

// longLine collects a line that doesn't fit into the read buffer, up to most bytes.
func (r *Reader) longLine(first []byte, most int) ([]byte, error) {
	line := bytes.Clone(first)
	for len(line) <= most {
		part, err := r.in.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, tooLarge()
}

func tooLarge() error { return fault.Newf("read", Large, "event of more than %d bytes", MaxEvent) }

// broken turns an error of the connection into one of this package.
func broken(err error) error {
	var e *Error
	if errors.As(err, &e) {
		return err
	}
	return fault.Wrap("read", Truncated, err)
}

// number parses a decimal number of at most nine digits.
func number(b []byte) (int, bool) {
	if len(b) == 0 || len(b) > 9 {
		return 0, false
	}
	n := 0
	for _, c := range b {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = n*10 + int(c-'0')
	}
	return n, true
}

var (
	doneMarker = []byte("[DONE]")
	eventEnd   = []byte("\n\n")
	dataField  = []byte("data:")
	dataLine   = []byte("\ndata:")
	colon      = []byte(":")
	space      = []byte(" ")
	carriage   = []byte("\r")
)
