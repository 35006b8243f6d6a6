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

// buffers holds *[]byte buffers, so that an event is written without an allocation and with a
// single write.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, eventBufferBytes)
	return &b
}}

// Write writes an event with a single call of out.Write. Data is written as it is; the caller is
// responsible for the request id in it. The final marker needs no Data. Data with a carriage
// return gives an error of kind KindMalformed.
func Write(out io.Writer, event Event) error {
	if event.Done {
		return writeEvent(out, "", event.ID, doneMarker)
	}
	return writeEvent(out, "", event.ID, event.Data)
}

// WriteError ends a stream with an error event that has the given JSON body. A Reader reports it
// as KindAborted and never as content.
func WriteError(out io.Writer, body []byte) error {
	return writeEvent(out, "error", 0, body)
}

func writeEvent(out io.Writer, event string, id int, data []byte) error {
	if bytes.IndexByte(data, '\r') >= 0 {
		return fault.Newf("write", KindMalformed, "data contains a carriage return")
	}
	pooled := buffers.Get().(*[]byte)
	defer buffers.Put(pooled)
	b := (*pooled)[:0]
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
	*pooled = b
	_, err := out.Write(b)
	return err
}

// appendData appends one data line per line of data.
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

// AppendChunk appends the JSON of an event that carries one token. An empty finishReason is written as
// null.
func AppendChunk(b []byte, request ident.Request, content, finishReason string) []byte {
	b = append(b, `{"id":`...)
	b = appendString(b, string(request))
	b = append(b, `,"choices":[{"index":0,"delta":{"content":`...)
	b = appendString(b, content)
	b = append(b, `},"finish_reason":`...)
	if finishReason == "" {
		b = append(b, "null"...)
	} else {
		b = appendString(b, finishReason)
	}
	return append(b, "}]}"...)
}

func appendString(b []byte, text string) []byte {
	if needsNoEscape(text) {
		b = append(b, '"')
		b = append(b, text...)
		return append(b, '"')
	}
	quoted, err := json.Marshal(text)
	if err != nil {
		return append(b, `""`...) // unreachable: a string can always be encoded
	}
	return append(b, quoted...)
}

// needsNoEscape reports whether text can be written to JSON without escapes.
func needsNoEscape(text string) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c >= 0x80 {
			return false
		}
	}
	return true
}
