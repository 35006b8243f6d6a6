package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// streamFault is the injected fault of a stream.
type streamFault int

const (
	faultNone streamFault = iota
	faultWrongRequest
	faultTruncate
	faultAbort
	faultRepeat
	faultEndlessHeader
	faultEndlessLine
	faultEndlessInformational
	faultEndlessEvent
	faultEndlessTokens
)

// eventsBeforeWrongRequest is the number of correct events of a stream with faultWrongRequest.
const eventsBeforeWrongRequest = 2

// eventWriter writes the events of one connection, including its injected fault. Event N
// carries token N-1 of the job.
type eventWriter struct {
	w     io.Writer
	job   *job
	sent  int
	fault streamFault
	flush func()
}

// writeUpTo writes the events up to the given event number, and the final [DONE] if done.
// It returns true if the response is complete.
func (ew *eventWriter) writeUpTo(tokens int, done bool) bool {
	faultAt := (ew.job.totalTokens - ew.job.firstToken + 1) / 2
	for ew.sent < tokens {
		if ew.sent >= faultAt && ew.fault == faultTruncate {
			return true
		}
		if ew.sent >= faultAt && ew.fault == faultAbort {
			ew.abort()
		}
		ew.sent++
		ew.writeEvent()
		if ew.fault == faultRepeat {
			ew.writeEvent()
		}
	}
	if done && ew.fault == faultAbort {
		ew.abort()
	}
	if done && ew.fault != faultTruncate {
		_, _ = io.WriteString(ew.w, "data: [DONE]\n\n")
	}
	return done
}

// abort closes the connection after a flush; without the flush, the number of events
// that the client receives would depend on how many tokens were due at once.
func (ew *eventWriter) abort() {
	ew.flush()
	panic(http.ErrAbortHandler)
}

func (ew *eventWriter) writeEvent() {
	request, hash := ew.job.request, ew.job.promptHash
	if ew.fault == faultWrongRequest && ew.sent > eventsBeforeWrongRequest {
		request, hash = "other-"+request, hash+1
	}
	k := ew.job.firstToken + ew.sent - 1
	finish := "null"
	if k == ew.job.totalTokens-1 {
		finish = `"stop"`
	}
	_, _ = fmt.Fprintf(ew.w, "id: %d\ndata: {\"id\":%s,\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n",
		ew.sent, encodeRequestID(request), Token(hash, k), finish)
}

func encodeRequestID(r ident.Request) []byte {
	encoded, _ := json.Marshal(string(r)) // encoding a string does not fail
	return encoded
}
