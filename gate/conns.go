package gate

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/memory"
	"github.com/tanagerbridge/tanagerbridge/relay"
)

// newConnWait is how long a draining instance waits for the first request on a new connection.
const newConnWait = 5 * clock.Second

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

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

// connOf returns the connection of a request from its context, nil if there is none.
func connOf(ctx context.Context) *trackedConn {
	conn, _ := ctx.Value(connKey{}).(*trackedConn)
	return conn
}

// tracker holds the open connections of callers and other instances.
type tracker struct {
	server *Server
	// mayEvict reports whether connections of others than callers may be evicted too.
	mayEvict bool
	mu       sync.Mutex
	conns    map[*trackedConn]struct{}
}

func newTracker(server *Server) *tracker {
	return &tracker{server: server, conns: make(map[*trackedConn]struct{})}
}

// trackedConn is an accepted connection that knows whether a request has begun to arrive and which
// side closed it. Unused connections are not closed but expire: net/http closes them when its read
// fails, so that a request that arrives at the same time is served.
type trackedConn struct {
	*net.TCPConn
	tracker *tracker
	// caller reports whether a caller opened the connection, not another instance.
	caller bool
	// account is what the connection holds.
	account *memory.Account
	// refused is set if there is no room for the connection.
	refused bool

	mu    sync.Mutex
	state http.ConnState
	// head counts the head that arrives.
	head arrivingHead
	// readSinceIdle is set once bytes have been read since the connection became idle, nextArrived if some had
	// arrived before, and pipelined counts the requests in a row that had arrived before the answer to the one before.
	readSinceIdle, nextArrived bool
	pipelined                  int
	// interrupted is set when the connection was evicted during a request, and cut if its answer is.
	interrupted, cut bool
	// received reports whether bytes have arrived since the connection was opened or became idle.
	received bool
	// early reports whether the first byte of the next request has arrived before the end of the current
	// one: net/http reads one byte while it handles a request.
	early bool
	// opened is when the connection was accepted.
	opened clock.Time
	timer  *time.Timer
	// expiring is the reason for which the connection expires, or "".
	expiring closeReason
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
	tracked := &trackedConn{TCPConn: tcp, tracker: t, caller: caller, opened: t.server.clock.Now()}
	account, ok := t.server.memory.Open(tracked.opened, !caller && !t.mayEvict, tracked.evict)
	tracked.account, tracked.refused = account, !ok
	return tracked
}

// trackedListener wraps the connections that it accepts.
type trackedListener struct {
	net.Listener
	tracker *tracker
	caller  bool
}

// Accept returns the next connection.
func (l trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tracked := l.tracker.track(conn, l.caller)
		if c, ok := tracked.(*trackedConn); !ok || !c.refused {
			return tracked, nil
		}
		l.tracker.server.metrics.connectionsRefused.Inc(1)
		_ = conn.Close() // all connections that are open serve requests
	}
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
	tracked.updateAccount(state)
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
	switch state {
	case http.StateActive:
		c.countPipelined(c.nextArrived || !c.readSinceIdle)
		c.early = false
		// A request that was buffered has been read without a further read of the connection.
		c.stopExpiry()
	case http.StateIdle:
		c.received, c.early = c.early, false
		arrived, _ := relay.Peek(c) // an error means that nothing has arrived
		c.head, c.readSinceIdle, c.nextArrived = arrivingHead{}, false, c.received || arrived > 0
		c.startTimer()
	}
}

// startTimer starts the timer of an idle connection. The caller holds mu.
func (c *trackedConn) startTimer() {
	changes := c.changes
	if c.received {
		c.timer = time.AfterFunc(headerTimeout, func() { c.expireHeader(changes) })
	} else if limit := c.tracker.idleTimeout(); c.caller && limit > 0 {
		c.timer = time.AfterFunc(limit, func() { c.expire(changes) })
	}
}

// expire ends the connection because of the idle timeout, unless its state has changed since.
func (c *trackedConn) expire(changes uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changes == changes {
		c.startExpiry(closedIdle)
	}
}

// expireHeader ends the connection because the rest of a request header has not arrived, unless its state
// has changed since.
func (c *trackedConn) expireHeader(changes uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changes == changes {
		c.received = false
		c.startExpiry(closedIdle)
	}
}

// expireUnused ends the connection of a draining instance if no request is expected on it.
func (c *trackedConn) expireUnused(now clock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state == http.StateIdle || c.state == http.StateNew && now.Sub(c.opened) > newConnWait {
		c.startExpiry(closedDrain)
	}
}

// startExpiry makes the pending read fail, unless a request has begun to arrive. The caller holds mu.
func (c *trackedConn) startExpiry(reason closeReason) {
	if c.received || c.expiring != "" {
		return
	}
	c.expiring = reason
	_ = c.TCPConn.SetReadDeadline(expired) // an error means that the connection is closed
}

// stopExpiry withdraws an expiry. The caller holds mu.
func (c *trackedConn) stopExpiry() {
	if c.expiring == "" {
		return
	}
	c.expiring = ""
	var end time.Time
	if c.state != http.StateActive {
		end = time.Now().Add(headerTimeout) // the expiry has replaced the deadline that net/http had set
	}
	_ = c.TCPConn.SetReadDeadline(end) // an error means that the connection is closed
}

// SetReadDeadline sets the deadline of reads, unless the connection expires.
func (c *trackedConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.expiring != "" || c.interrupted {
		return nil
	}
	return c.TCPConn.SetReadDeadline(deadline)
}

// Read reads from the connection.
func (c *trackedConn) Read(b []byte) (int, error) {
	n, err := c.receive(b)
	if n > 0 && !c.recordArrived(b[:n]) {
		return 0, errHeadRefused
	}
	return n, err
}

// receive reads from the connection and notes that a request has begun to arrive.
func (c *trackedConn) receive(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 && c.expiring != "" && errors.Is(err, os.ErrDeadlineExceeded) {
		if n = c.readArrived(b); n == 0 {
			c.recordClose(c.expiring)
			return 0, err
		}
		err = nil
	}
	c.readSinceIdle = c.readSinceIdle || n > 0 && c.state != http.StateActive
	if n > 0 && c.state == http.StateActive && len(b) == 1 {
		c.early = true // only the read of net/http beside a handler has this size
	}
	if n > 0 && !c.received {
		c.received = true
		c.stopExpiry()
		if c.state == http.StateIdle {
			// net/http sets its own deadline only after the first four bytes of a request.
			_ = c.TCPConn.SetReadDeadline(time.Now().Add(headerTimeout)) // an error is returned by the next read
		}
	}
	return n, err
}

// readArrived returns the number of bytes that had arrived before the connection expired, which it
// reads without waiting.
func (c *trackedConn) readArrived(b []byte) (n int) {
	if len(b) == 0 || c.TCPConn.SetReadDeadline(time.Time{}) != nil {
		return 0
	}
	raw, err := c.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Read(func(fd uintptr) bool {
		n, _ = unix.Read(int(fd), b) // without data or after an error, nothing has arrived
		return true
	})
	return max(0, n)
}

// recordClose records that this instance closes the connection. Only connections on which a request
// has begun to arrive are logged.
func (c *trackedConn) recordClose(reason closeReason) {
	if c.closed != "" {
		return
	}
	c.closed = reason
	c.tracker.server.metrics.recordClose(reason)
	if c.received && c.state != http.StateActive { // the end of an active request is logged
		c.tracker.server.metrics.closedInRequest.Inc(1)
		c.tracker.server.log.Info("connection closed during a request", zap.String("remote", c.remote()), zap.String("reason", string(reason)))
	}
}

// remoteClosed reports whether the other side has closed the connection. net/http notices that too, but in a
// goroutine of its own, which a busy process runs late.
func (c *trackedConn) remoteClosed() bool {
	arrived, err := relay.Peek(c)
	return arrived == 0 && err == nil || errors.Is(err, unix.ECONNRESET)
}

// remote returns the address of the other side, or "" if the connection was reset before it was accepted.
func (c *trackedConn) remote() string {
	if address := c.RemoteAddr(); address != nil {
		return address.String()
	}
	return ""
}

// closeUnused ends the connections on which no request is expected, waits until all others have ended
// too, and reports whether that happened before ctx ended.
func (t *tracker) closeUnused(ctx context.Context) bool {
	for {
		open := t.open()
		if len(open) == 0 {
			return true
		}
		now := t.server.clock.Now()
		for _, c := range open {
			c.expireUnused(now)
		}
		if !clock.Sleep(ctx, quietPollInterval) {
			return false
		}
	}
}

func (t *tracker) open() []*trackedConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Collect(maps.Keys(t.conns))
}

// cutOff records that the connections that are still open are closed, and returns how many of them carry
// a request.
func (t *tracker) cutOff() (busy int) {
	for _, c := range t.open() {
		if c.recordCutOff() {
			busy++
		}
	}
	return busy
}

// recordCutOff records that the connection is closed at the end of the grace period, and reports whether
// it carries a request.
func (c *trackedConn) recordCutOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordClose(closedCutOff)
	return c.state == http.StateActive || c.received
}

// closedBy returns which side closed the connection of a request whose context has ended: "caller", or
// why this instance did.
func closedBy(ctx context.Context) string {
	conn := connOf(ctx)
	if conn == nil {
		return ""
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.closed == "" {
		return "caller"
	}
	return string(conn.closed)
}
