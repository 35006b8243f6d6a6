package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// endpoint plays one sound endpoint.
type endpoint struct {
	world    *world
	id       string
	service  string
	zone     string
	version  string
	listener net.Listener
	born     int64
	// answer writes the response to a request and reports whether the connection is kept.
	answer func(r *http.Request, c net.Conn) bool
}

// bodyHeader holds the body of a request that an endpoint has read.
const bodyHeader = "Rig-Body"

var lastEndpoint atomic.Int64

func (w *world) newEndpoint(service, zone string) (*endpoint, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // the process ends it
	if err != nil {
		return nil, err
	}
	e := &endpoint{
		world: w, id: fmt.Sprintf("i-%08x", 0x5d6e5400+lastEndpoint.Add(1)), service: service, zone: zone, version: "v1",
		listener: listener, born: time.Now().UnixMilli(), answer: answerShortly,
	}
	go e.accept()
	return e, nil
}

// addEndpoint starts an endpoint and publishes its entry.
func (w *world) addEndpoint(service, zone string, answer func(r *http.Request, c net.Conn) bool) (*endpoint, error) {
	e, err := w.newEndpoint(service, zone)
	if err != nil {
		return nil, err
	}
	e.answer = answer
	return e, e.publish()
}

// publish writes the entry of the endpoint.
func (e *endpoint) publish() error {
	return e.world.store.put(names["servers"]+e.id, e.entry())
}

// entry returns what the endpoint publishes.
func (e *endpoint) entry() map[string]any {
	return map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": e.version, "slots": 48,
		"state": "ready", names["coldField"]: 0, "seq": 1, "born": e.born, "stage": "mixed",
	}
}

func (e *endpoint) accept() {
	for {
		conn, err := e.listener.Accept()
		if err != nil {
			return
		}
		go e.serve(conn)
	}
}

func (e *endpoint) serve(conn net.Conn) {
	defer conn.Close() //nolint:errcheck // the connection is no longer used
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Header.Set(bodyHeader, string(body))
		if !e.handle(r, conn) {
			return
		}
	}
}

// handle answers one request as a sound endpoint does.
func (e *endpoint) handle(r *http.Request, conn net.Conn) bool {
	id := r.Header.Get(names["attempt"])
	switch {
	case r.URL.Path == "/healthz":
		return send(conn, "HTTP/1.1 200 OK\r\n"+names["instance"]+": "+e.id+"\r\n"+names["load"]+": 0,0,48\r\nContent-Length: 0\r\n\r\n")
	case r.Header.Get(names["target"]) != e.id:
		return send(conn, "HTTP/1.1 421 Misdirected Request\r\n"+names["attempt"]+": "+id+"\r\n"+names["instance"]+": "+e.id+"\r\nContent-Length: 0\r\n\r\n")
	case id == "":
		return send(conn, "HTTP/1.1 400 Bad Request\r\n"+names["notRun"]+": 1\r\nContent-Length: 0\r\n\r\n")
	}
	e.world.note("%s runs %s %s %s", e.id, id, r.Method, r.RequestURI)
	return e.answer(r, conn)
}

func send(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

// answerShortly answers with a complete body after the time that a short call takes.
func answerShortly(r *http.Request, conn net.Conn) bool {
	time.Sleep(20 * time.Millisecond)
	return send(conn, signedHead(r)+"Content-Type: application/json\r\nContent-Length: 12\r\n\r\n{\"done\":true")
}

// signedHead returns the first lines of a successful response.
func signedHead(r *http.Request) string {
	return "HTTP/1.1 200 OK\r\n" + names["attempt"] + ": " + r.Header.Get(names["attempt"]) + "\r\n" + names["signature"] + ": 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
}
