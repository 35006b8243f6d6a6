package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is the time between two entries that a runner writes.
const heartbeatInterval = 1200 * time.Millisecond

// run is one request that a runner has begun to work on.
type run struct {
	runner  *runner
	arrived time.Time
}

// runner is a stand-in of a runner.
type runner struct {
	names   names
	store   *store
	id      string
	service string
	zone    string
	// version is that of the software.
	version string
	slots   int
	// address is where it listens; empty selects a free port.
	address string
	// handle answers a request that is meant for this runner.
	handle func(w http.ResponseWriter, r *http.Request)

	born     int64
	listener net.Listener
	running  atomic.Int64
	mu       sync.Mutex
	sequence int
	conns    map[net.Conn]bool
	crashed  bool
}

// startRunner starts a runner that registers in the store.
func startRunner(r *runner) error {
	address := cmp.Or(r.address, "127.0.0.1:0")
	listener, err := listen(address)
	if err != nil {
		return err
	}
	r.listener, r.born, r.conns = listener, time.Now().UnixMilli(), make(map[net.Conn]bool)
	server := &http.Server{Handler: r, ReadHeaderTimeout: time.Minute, ConnState: r.trackConn}
	go func() { _ = server.Serve(listener) }()
	if _, err := r.beat(); err != nil {
		return err
	}
	go func() {
		for alive := true; alive; {
			time.Sleep(heartbeatInterval)
			alive, _ = r.beat() // an entry can always be encoded
		}
	}()
	return nil
}

func (r *runner) trackConn(conn net.Conn, state http.ConnState) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch state {
	case http.StateNew:
		r.conns[conn] = true
	case http.StateClosed:
		delete(r.conns, conn)
	}
}

// beat writes the entry of the runner, and reports whether it still runs.
func (r *runner) beat() (alive bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.crashed {
		return false, nil
	}
	r.sequence++
	_, err = r.store.put(r.names.Runners+r.id, map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": r.version, "slots": r.slots, "state": "ready",
		r.names.ColdField: 0, "seq": r.sequence, "born": r.born,
	})
	return true, err
}

// crash ends the runner at once: its channels are reset. The store removes the entry after three heartbeat intervals.
func (r *runner) crash() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.crashed = true
	_ = r.listener.Close() // it is open
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the other side may have closed the channel
		}
		_ = conn.Close()
	}
	time.AfterFunc(3*heartbeatInterval, func() { r.store.remove(r.names.Runners + r.id) })
}

// ServeHTTP answers health checks, and turns requests away that are meant for another runner.
func (r *runner) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	header := w.Header()
	header[r.names.Instance] = []string{r.id}
	header[r.names.Load] = []string{fmt.Sprintf("%d,0,%d", r.running.Load(), r.slots)}
	if request.URL.Path == healthPath {
		w.WriteHeader(http.StatusOK)
		return
	}
	if request.URL.Path == reportPath {
		r.report(w)
		return
	}
	header[r.names.Attempt] = request.Header[http.CanonicalHeaderKey(r.names.Attempt)]
	if target := request.Header.Get(r.names.Target); target != "" && target != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	r.running.Add(1)
	defer r.running.Add(-1)
	r.handle(w, request)
}

// report tells what the runner says of itself.
func (r *runner) report(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintf(w, `{"stage":"mixed","models":[],"busy":false,"seq":0,"waiting":0,"running":%d,"kv_used":0,"kv_total":359543,"handles":0,"born":%d}`,
		r.running.Load(), r.born) // the caller may have left
}
