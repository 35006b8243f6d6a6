package fakes

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// loopback lets the system pick a port.
const loopback = "127.0.0.1:0"

// relistenLimit bounds how long a restart tries to get its old port back: the
// system may have lent the port to an outgoing connection in the meantime.
const relistenLimit = 10 * time.Second

// host is an HTTP server that can be killed and started again at its address.
type host struct {
	mu      sync.Mutex
	address string
	server  *http.Server
}

// open listens on the address used before, or else on listen.
func (h *host) open(listen string, handler http.Handler) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil {
		return nil
	}
	if listen == "" {
		listen = loopback
	}
	if h.address != "" {
		listen = h.address
	}
	var lc net.ListenConfig
	l, err := lc.Listen(context.Background(), "tcp", listen)
	if err != nil {
		return fault.Wrap("listen", KindListen, err)
	}
	h.address = l.Addr().String()
	h.server = &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	go serve(h.server, l)
	return nil
}

func serve(s *http.Server, l net.Listener) {
	_ = s.Serve(l) // ends with ErrServerClosed when the host is closed
}

// reopen is open with retries.
func (h *host) reopen(handler http.Handler) error {
	limit := time.Now().Add(relistenLimit)
	for {
		err := h.open("", handler)
		if err == nil || time.Now().After(limit) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// shut closes the listener and cuts every connection.
func (h *host) shut() {
	h.mu.Lock()
	s := h.server
	h.server = nil
	h.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// Address returns the host:port that the double listens on; it stays the same
// over a restart.
func (h *host) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

// writeJSON sends v with the given status.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeError sends an error body with a message.
func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{message})
}

// readControl decodes the body of a POST /control strictly.
func readControl(w http.ResponseWriter, r *http.Request, control any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<20))
	d.DisallowUnknownFields()
	if err := d.Decode(control); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
