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

// loopbackAddress lets the system choose a port.
const loopbackAddress = "127.0.0.1:0"

// relistenTimeout bounds the attempts to listen on the previous port after a restart. The
// system may have assigned the port to an outgoing connection in the meantime.
const relistenTimeout = 10 * time.Second

// httpServer is an HTTP server that can be stopped and restarted at the same address.
type httpServer struct {
	mu      sync.Mutex
	address string
	server  *http.Server
}

// open listens on the previously used address, or on listen if there is none, and starts
// serving. It does nothing if the server is already running.
func (h *httpServer) open(listen string, handler http.Handler) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.server != nil {
		return nil
	}
	if listen == "" {
		listen = loopbackAddress
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
	_ = s.Serve(l) // returns ErrServerClosed after stop
}

// reopen calls open on the previous address and retries until relistenTimeout.
func (h *httpServer) reopen(handler http.Handler) error {
	limit := time.Now().Add(relistenTimeout)
	for {
		err := h.open("", handler)
		if err == nil || time.Now().After(limit) {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// stop closes the listener and all connections.
func (h *httpServer) stop() {
	h.mu.Lock()
	s := h.server
	h.server = nil
	h.mu.Unlock()
	if s != nil {
		_ = s.Close()
	}
}

// Address returns the host:port on which the server listens. It does not change with a
// restart.
func (h *httpServer) Address() string {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.address
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// writeError sends a JSON body with an error message.
func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, struct {
		Error string `json:"error"`
	}{message})
}

// decodeControl decodes the body of a POST /control. It rejects unknown fields with 400
// and then returns false.
func decodeControl(w http.ResponseWriter, r *http.Request, control any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, 4<<20))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(control); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}
