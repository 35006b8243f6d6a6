package gate

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// closeReason says why this instance closed a connection.
type closeReason string

const (
	// closedIdle: the connection exceeded the idle timeout of the routing table.
	closedIdle closeReason = "idle"
	// closedDrain: the instance drains, and the connection carried no request.
	closedDrain closeReason = "drain"
	// closedCutOff: the grace period was over.
	closedCutOff closeReason = "cut off"
)

// connKey is the key of the *trackedConn in the context of a request.
type connKey struct{}

// tracker holds the open connections of callers and other instances.
type tracker struct {
	server *Server
	mu     sync.Mutex
	conns  map[*trackedConn]struct{}
	// draining reports whether connections without a request are being closed.
	draining atomic.Bool
}

func newTracker(server *Server) *tracker {
	return &tracker{server: server, conns: make(map[*trackedConn]struct{})}
}

// trackedConn is an accepted connection that knows whether a request has begun to arrive and which
// side closed it.
type trackedConn struct {
	*net.TCPConn
	tracker *tracker
	// caller reports whether a caller opened the connection, not another instance.
	caller bool

	mu    sync.Mutex
	state http.ConnState
	// received reports whether bytes have arrived since the connection was opened or became idle.
	received bool
	timer    *time.Timer
	// changes counts the changes of state, so that a timer that fires late has no effect.
	changes uint64
	closed  closeReason
}

// track wraps an accepted connection.
func (t *tracker) track(conn net.Conn, caller bool) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn // unreachable: all listeners are TCP listeners
	}
	return &trackedConn{TCPConn: tcp, tracker: t, caller: caller}
}

// trackedListener wraps the connections that it accepts.
type trackedListener struct {
	net.Listener
	tracker *tracker
	caller  bool
}

// Accept returns the next connection.
func (l trackedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.tracker.track(conn, l.caller), nil
}

// attach makes a server report the state of its connections to the tracker.
func (t *tracker) attach(server *http.Server) {
	server.ConnState = t.connStateChanged
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
}

func (t *tracker) connStateChanged(conn net.Conn, state http.ConnState) {
	tracked, ok := conn.(*trackedConn)
	if !ok {
		return
	}
	if tracked.caller && (state == http.StateNew || state == http.StateActive) {
		t.server.lastArrival.Store(int64(t.server.clock.Now()))
	}
	t.mu.Lock()
	switch state {
	case http.StateNew:
		t.conns[tracked] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, tracked)
	}
	t.mu.Unlock()
	tracked.setState(state)
}

// idleTimeout returns how long a caller's connection may be idle; 0 means no limit.
func (t *tracker) idleTimeout() time.Duration {
	if table := t.server.state.table.Load(); table != nil {
		return table.Bounds.IdleTimeout.Duration()
	}
	return 0
}

func (c *trackedConn) setState(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = state
	if c.timer != nil {
		c.timer.Stop()
		c.timer = nil
	}
	c.changes++
	if state != http.StateIdle {
		return
	}
	c.received = false
	if limit := c.tracker.idleTimeout(); c.caller && limit > 0 {
		changes := c.changes
		c.timer = time.AfterFunc(limit, func() { c.expire(changes) })
	}
}

func (c *trackedConn) expire(changes uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changes != changes {
		return
	}
	c.recordClose(closedIdle)
	_ = c.TCPConn.Close() // the caller may have closed it already
}

// Read reads from the connection.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if n > 0 {
		c.mu.Lock()
		c.received = true
		c.mu.Unlock()
	}
	return n, err
}

// Close closes the connection.
func (c *trackedConn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tracker.draining.Load() && (c.state == http.StateNew || c.state == http.StateIdle) {
		c.recordClose(closedDrain)
	}
	return c.TCPConn.Close()
}

// recordClose records that this instance closes the connection. Only connections on which a request
// has begun to arrive are logged.
func (c *trackedConn) recordClose(reason closeReason) {
	if c.closed != "" {
		return
	}
	c.closed = reason
	c.tracker.server.metrics.recordClose(reason)
	if c.received {
		c.tracker.server.metrics.closedInRequest.Inc(1)
		c.tracker.server.log.Info("connection closed during a request", zap.String("remote", c.RemoteAddr().String()), zap.String("reason", string(reason)))
	}
}

// cutOff records that the connections that are still open are closed, and returns how many of them carry
// a request.
func (t *tracker) cutOff() (busy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		c.mu.Lock()
		if c.state == http.StateActive {
			busy++
		}
		if c.closed == "" {
			c.closed = closedCutOff // the request is logged when it ends
			t.server.metrics.recordClose(closedCutOff)
		}
		c.mu.Unlock()
	}
	return busy
}

// closedBy returns which side closed the connection of a request whose context has ended: "caller", or
// why this instance did.
func closedBy(ctx context.Context) string {
	conn, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return ""
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed == "" {
		return "caller"
	}
	return string(conn.closed)
}
