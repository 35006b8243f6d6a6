package stream_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stream"
)

func ExampleReader() {
	var b bytes.Buffer
	_ = stream.Write(&b, stream.Event{ID: 1, Data: stream.AppendChunk(nil, "r1", "Hello", "")})
	_ = stream.Write(&b, stream.Event{ID: 2, Data: stream.AppendChunk(nil, "r1", "!", "stop")})
	_ = stream.Write(&b, stream.Event{Done: true})
	r := stream.NewReader(&b, "r1")
	for {
		e, err := r.Next()
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(e.ID, e.Content, e.FinishReason, e.Done)
	}
	// Output:
	// 1 Hello  false
	// 2 ! stop false
	// 0   true
	// EOF
}

func chunk(id int, request ident.Request, content string) string {
	return fmt.Sprintf("id: %d\ndata: %s\n\n", id, stream.AppendChunk(nil, request, content, ""))
}

const done = "data: [DONE]\n\n"

func read(r *stream.Reader) (string, error) {
	var text strings.Builder
	for {
		e, err := r.Next()
		if err != nil {
			return text.String(), err
		}
		text.WriteString(e.Content)
	}
}

// Guards against a stream that is accepted as complete although events are missing, repeated, cut
// off or belong to another request.
func TestReader(t *testing.T) {
	for name, c := range map[string]struct {
		in, text string
		kind     stream.Kind
	}{
		"complete":           {in: chunk(1, "r", "a") + chunk(2, "r", "b") + done, text: "ab"},
		"carriage returns":   {in: strings.ReplaceAll(chunk(1, "r", "a")+done, "\n", "\r\n"), text: "a"},
		"comments":           {in: ": wait\n\n" + chunk(1, "r", "a") + ": wait\n" + done, text: "a"},
		"numbered marker":    {in: chunk(1, "r", "a") + "id: 2\n" + done, text: "a"},
		"escapes":            {in: chunk(1, "r", "\"\n\u00e9\U0001f600") + done, text: "\"\n\u00e9\U0001f600"},
		"two data lines":     {in: "id: 1\ndata: {\"id\":\"r\",\ndata: \"choices\":[]}\n\n" + done},
		"null content":       {in: "id: 1\ndata: {\"id\":\"r\",\"choices\":[{\"delta\":{\"content\":null}}]}\n\n" + done},
		"crossed":            {in: chunk(1, "r", "a") + chunk(2, "other", "b") + done, text: "a", kind: stream.KindWrongRequest},
		"hidden id":          {in: "id: 1\ndata: {\"id\":\"other\",\"id\":\"r\"}\n\n" + done, kind: stream.KindMalformed},
		"id in escapes":      {in: "id: 1\ndata: {\"\\u0069d\":\"other\",\"id\":\"r\"}\n\n" + done, kind: stream.KindMalformed},
		"no id":              {in: "id: 1\ndata: {\"choices\":[]}\n\n" + done, kind: stream.KindMalformed},
		"first missing":      {in: chunk(2, "r", "b") + done, kind: stream.KindGap},
		"gap":                {in: chunk(1, "r", "a") + chunk(3, "r", "c") + done, text: "a", kind: stream.KindGap},
		"repeat":             {in: chunk(1, "r", "a") + chunk(1, "r", "a") + done, text: "a", kind: stream.KindGap},
		"gap before marker":  {in: chunk(1, "r", "a") + "id: 3\n" + done, text: "a", kind: stream.KindGap},
		"no number":          {in: "data: {\"id\":\"r\"}\n\n" + done, kind: stream.KindMalformed},
		"empty":              {kind: stream.KindTruncated},
		"no marker":          {in: chunk(1, "r", "a"), text: "a", kind: stream.KindTruncated},
		"cut within event":   {in: chunk(1, "r", "a") + chunk(2, "r", "b")[:20], text: "a", kind: stream.KindTruncated},
		"cut within marker":  {in: chunk(1, "r", "a") + "data: [DONE]\n", text: "a", kind: stream.KindTruncated},
		"not JSON":           {in: "id: 1\ndata: {\"id\":\"r\"\n\n" + done, kind: stream.KindMalformed},
		"not UTF-8":          {in: "id: 1\ndata: {\"id\":\"r\",\"x\":\"\xff\"}\n\n" + done, kind: stream.KindMalformed},
		"deep":               {in: "id: 1\ndata: {\"id\":\"r\",\"x\":" + strings.Repeat("[", 99) + strings.Repeat("]", 99) + "}\n\n", kind: stream.KindMalformed},
		"foreign type":       {in: "event: ping\n" + chunk(1, "r", "a") + done, kind: stream.KindMalformed},
		"one long line":      {in: "data: " + strings.Repeat("x", int(stream.MaxEvent)) + "\n\n" + done, kind: stream.KindTooLarge},
		"many lines":         {in: strings.Repeat(": x\n", int(stream.MaxEvent)/4+1), kind: stream.KindTooLarge},
		"error event":        {in: chunk(1, "r", "a") + "event: error\ndata: {}\n\n" + done, text: "a", kind: stream.KindAborted},
		"marker in an error": {in: "event: error\n" + done, kind: stream.KindAborted},
	} {
		t.Run(name, func(t *testing.T) {
			r := stream.NewReader(strings.NewReader(c.in), "r")
			text, err := read(r)
			require.Equal(t, c.text, text)
			require.Equal(t, c.kind, fault.KindOf[stream.Kind](err), "%v", err)
			require.Equal(t, c.kind == "", errors.Is(err, io.EOF) && !errors.As(err, new(*stream.Error)))
			_, again := r.Next()
			require.Equal(t, err, again, "an error is final")
		})
	}
}

// Guards against an event larger than the read buffer that is cut off.
func TestLargeEvent(t *testing.T) {
	long := strings.Repeat("word ", 4000)
	text, err := read(stream.NewReader(strings.NewReader(chunk(1, "r", long)+done), "r"))
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, long, text)
}

// Guards against a resumed stream that repeats or omits an event.
func TestResume(t *testing.T) {
	r := stream.ResumeReader(strings.NewReader(chunk(8, "r", "x")+done), "r", 7)
	text, err := read(r)
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, "x", text)
	require.Equal(t, 8, r.LastID())
}

// Guards against an error event that a caller takes for content, and against data that contains a
// forged end of event.
func TestWrite(t *testing.T) {
	var b bytes.Buffer
	require.NoError(t, stream.WriteError(&b, []byte("{\"error\":\n{\"kind\":\"endpoint\"}}")))
	require.Equal(t, "event: error\ndata: {\"error\":\ndata: {\"kind\":\"endpoint\"}}\n\n", b.String())
	_, err := stream.NewReader(&b, "r").Next()
	var a *stream.Abort
	require.ErrorAs(t, err, &a)
	require.JSONEq(t, `{"error":{"kind":"endpoint"}}`, string(a.Body))
	err = stream.Write(io.Discard, stream.Event{ID: 1, Data: []byte("a\r\rdata: [DONE]")})
	require.Equal(t, stream.KindMalformed, fault.KindOf[stream.Kind](err))
}

// Guards against a token that is held back while the reader waits for the next one.
func TestBuffered(t *testing.T) {
	whole := chunk(2, "r", "b")
	for name, c := range map[string]struct {
		next    string
		pending bool
	}{
		"whole event":      {whole, true},
		"marker":           {done, true},
		"data first":       {"data: {}\nid: 2\n\n", true},
		"nothing":          {"", false},
		"part of an event": {whole[:len(whole)-1], false},
		"comment":          {": data: wait\n\n", false},
		"comment, event":   {": wait\n\n" + whole, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := stream.NewReader(strings.NewReader(chunk(1, "r", "a")+c.next), "r")
			require.False(t, r.Buffered())
			_, err := r.Next()
			require.NoError(t, err)
			require.Equal(t, c.pending, r.Buffered())
		})
	}
}

// Guards against a token whose text changes while later events are read.
func TestContentsStay(t *testing.T) {
	var b bytes.Buffer
	var wanted, got []string
	for i := range 400 {
		wanted = append(wanted, strings.Repeat("x", i*i%700)+fmt.Sprint(i))
		b.WriteString(chunk(i+1, "r", wanted[i]))
	}
	r := stream.NewReader(&b, "r")
	for range wanted {
		e, err := r.Next()
		require.NoError(t, err)
		got = append(got, e.Content)
	}
	require.Equal(t, wanted, got)
}

// Guards against allocations that grow with the JSON around a token or with the number of tokens:
// short tokens share their memory.
func TestReaderAllocations(t *testing.T) {
	const events = 1000
	var b bytes.Buffer
	for i := range events {
		b.WriteString(chunk(i+1, "request-0123456789", "a longer token"))
	}
	r := stream.NewReader(&b, "request-0123456789")
	per := testing.AllocsPerRun(events-1, func() {
		if _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
	})
	require.Less(t, per, 0.5)
}

// Guards against a panic on hostile input, against accepting invalid JSON and against an event
// whose meaning changes when it is written and read again.
func FuzzReader(f *testing.F) {
	f.Add(chunk(1, "r", "a") + done)
	f.Add("id: 1\ndata: {\"id\":\"r\",\"x\":[1e5,-0.1,true,null,{\"a\":\"\\u00e9\"}]}\n\n" + done)
	f.Add("event: error\ndata: {}\n\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := stream.NewReader(strings.NewReader(in), "r")
		for {
			e, err := r.Next()
			if err != nil {
				return
			}
			if e.Done {
				continue
			}
			require.True(t, json.Valid(e.Data))
			var b bytes.Buffer
			require.NoError(t, stream.Write(&b, e))
			again, err := stream.ResumeReader(&b, "r", e.ID-1).Next()
			require.NoError(t, err)
			require.Equal(t, e, again)
		}
	})
}
