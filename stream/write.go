package stream

import (
	"bytes"
	"encoding/json"
	"io"
	"strconv"
	"sync"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// buffers holds *[]byte, so that an event is written without allocation and in
// one call of the writer.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, eventSize)
	return &b
}}

// Write writes e as one event with a single call of out.Write. It writes Data as
// it is; the request id in it is up to the caller. The final marker needs no Data.
func Write(out io.Writer, e Event) error {
	if e.Done {
		return write(out, "", e.ID, doneMarker)
	}
	return write(out, "", e.ID, e.Data)
}

// WriteError ends a stream with an error event. Body is the JSON of an error
// body; a Reader reports it as Aborted and never as part of an answer.
func WriteError(out io.Writer, body []byte) error {
	return write(out, "error", 0, body)
}

func write(out io.Writer, event string, id int, data []byte) error {
	if bytes.IndexByte(data, '\r') >= 0 {
		return fault.Newf("write", Malformed, "carriage return in the data")
	}
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	b := (*p)[:0]
	if event != "" {
		b = append(b, "event: "...)
		b = append(b, event...)
		b = append(b, '\n')
	}
	if id > 0 {
		b = append(b, "id: "...)
		b = strconv.AppendInt(b, int64(id), 10)
		b = append(b, '\n')
	}
	b = appendData(b, data)
	b = append(b, '\n')
	*p = b
	_, err := out.Write(b)
	return err
}

// appendData writes a data line for each line of data.
func appendData(b, data []byte) []byte {
	for more := true; more; {
		var line []byte
		line, data, more = bytes.Cut(data, newline)
		b = append(b, "data: "...)
		b = append(b, line...)
		b = append(b, '\n')
	}
	return b
}

var newline = []byte("\n")

// AppendChunk appends the JSON of an event that carries one token. An empty
// finish is written as null.
func AppendChunk(b []byte, request ident.Request, content, finish string) []byte {
	b = append(b, `{"id":`...)
	b = appendString(b, string(request))
	b = append(b, `,"choices":[{"index":0,"delta":{"content":`...)
	b = appendString(b, content)
	b = append(b, `},"finish_reason":`...)
	if finish == "" {
		b = append(b, "null"...)
	} else {
		b = appendString(b, finish)
	}
	return append(b, "}]}"...)
}

func appendString(b []byte, s string) []byte {
	if plain(s) {
		b = append(b, '"')
		b = append(b, s...)
		return append(b, '"')
	}
	quoted, err := json.Marshal(s)
	if err != nil {
		return append(b, `""`...) // not reached: a string can always be encoded
	}
	return append(b, quoted...)
}

// plain reports whether s needs no escapes.
func plain(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x80 {
			return false
		}
	}
	return true
}
