package fakes

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
)

// sendEndless answers a request with bytes that do not end until the caller closes the connection or
// the engine stops.
func (e *Engine) sendEndless(ctx context.Context, w http.ResponseWriter, p *process, j *job, fault streamFault) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer conn.Close() //nolint:errcheck // the connection is broken on purpose
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + headerRequest + ": " + string(j.request) + "\r\n"
	switch fault {
	case faultEndlessHeader:
		flood(conn, p, head, func(n int) string { return fmt.Sprintf("X-Filler-%d: %s\r\n", n, strings.Repeat("x", 100)) })
	case faultEndlessLine:
		flood(conn, p, head+"X-Filler: ", func(int) string { return strings.Repeat("x", 1000) })
	case faultEndlessInformational:
		flood(conn, p, "", func(int) string { return "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n" })
	case faultEndlessEvent:
		flood(conn, p, head+"\r\nid: 1\ndata: ", func(int) string { return strings.Repeat("x", 1000) })
	case faultEndlessTokens:
		writer := &eventWriter{job: j}
		flood(conn, p, head+"\r\n", func(int) string {
			var event strings.Builder
			writer.w = &event
			writer.sent++
			writer.writeEvent()
			return event.String()
		})
	default:
	}
}

// flood writes pieces until the connection or the process ends.
func flood(conn net.Conn, p *process, start string, piece func(n int) string) {
	_, err := io.WriteString(conn, start)
	for n := 0; err == nil; n++ {
		select {
		case <-p.done:
			return
		default:
		}
		_, err = io.WriteString(conn, piece(n))
	}
}
