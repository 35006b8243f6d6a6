package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// spoil is the fault of one stream.
type spoil int

const (
	spoilNone spoil = iota
	spoilCross
	spoilTruncate
	spoilBreak
	spoilRepeat
)

// crossAfter is the number of correct events of a stream with crossed answers.
const crossAfter = 2

// eventWriter writes the events of one connection. Event N carries token N-1 of
// the job.
type eventWriter struct {
	w     io.Writer
	job   *job
	sent  int
	spoil spoil
	flush func()
}

// upTo sends the events up to the given one, and the final marker if done. It
// returns true if the response is over.
func (o *eventWriter) upTo(tokens int, done bool) bool {
	half := (o.job.total - o.job.first + 1) / 2
	for o.sent < tokens {
		if o.sent >= half && o.spoil == spoilTruncate {
			return true
		}
		if o.sent >= half && o.spoil == spoilBreak {
			o.abort()
		}
		o.sent++
		o.event()
		if o.spoil == spoilRepeat {
			o.event()
		}
	}
	if done && o.spoil == spoilBreak {
		o.abort()
	}
	if done && o.spoil != spoilTruncate {
		_, _ = io.WriteString(o.w, "data: [DONE]\n\n")
	}
	return done
}

// abort breaks the connection after what was written has left; without the flush, the
// number of events that arrive would depend on how many tokens were due at once.
func (o *eventWriter) abort() {
	o.flush()
	panic(http.ErrAbortHandler)
}

func (o *eventWriter) event() {
	request, hash := o.job.request, o.job.hash
	if o.spoil == spoilCross && o.sent > crossAfter {
		request, hash = "other-"+request, hash+1
	}
	k := o.job.first + o.sent - 1
	finish := "null"
	if k == o.job.total-1 {
		finish = `"stop"`
	}
	_, _ = fmt.Fprintf(o.w, "id: %d\ndata: {\"id\":%s,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n",
		o.sent, quoted(request), Token(hash, k), finish)
}

func quoted(r ident.Request) []byte {
	b, _ := json.Marshal(string(r)) // a string always encodes
	return b
}
