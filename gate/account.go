package gate

import (
	"bytes"
	"net/http"
	"os"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/memory"
)

const (
	// callerMemoryDivisor limits what callers hold to 1/callerMemoryDivisor of the process's memory, and
	// defaultCallerBytes applies if the settings specify no memory.
	callerMemoryDivisor = 4
	defaultCallerBytes  = 256 << 20
	// callerConnPercent is the part of the process's descriptors that connections of callers and other instances may
	// take, and defaultCallerConns applies if the settings specify none. The rest is for endpoints, files and listeners.
	callerConnPercent  = 60
	defaultCallerConns = 20_000
	// maxHeadFields bounds the header fields of a request; a head of 16 KiB of ordinary fields has about 300.
	maxHeadFields = 512
	// fieldBytes is what a field takes beside its bytes, which are kept twice: strings, a slice and a map entry.
	// uncountedHead is the part of a head without a charge: most heads are shorter and are not counted.
	fieldBytes    = 256
	uncountedHead = 8 << 10
	// uncountedAnswer is the part of an answer that is not counted while it is written.
	uncountedAnswer = 16 << 10
	// leastProgress in leastProgressSpan is what a body and the reading of an answer must move. Callers on the slowest
	// links move ten times that; a stream counts only while a write to its caller waits.
	leastProgress     = 4 << 10
	leastProgressSpan = 15 * clock.Second
	// maxPipelined is how many requests in a row may arrive before the answer to the one before; the connection is
	// closed after the next answer. Clients that pipeline send a few; each one costs work before its answer is read.
	maxPipelined = 64
	// sideIdleTimeout and sideTransfer bound connections to the readiness and directory addresses: between two requests,
	// and for one request.
	sideIdleTimeout = 60 * time.Second
	sideTransfer    = 10 * time.Second
	// refusedHeadWrite bounds the write of the refusal of a head, which fits into an empty send buffer: only a caller that
	// does not read delays it.
	refusedHeadWrite = 100 * time.Millisecond
)

// closedEvicted: other callers need what the connection holds, or it is too slow.
const closedEvicted closeReason = "evicted"

// refusedHead is the answer to a head with too many fields.
const refusedHead = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n" +
	caller.HeaderRan + ": " + string(caller.RanNo) + "\r\n\r\n"

// newCallerMemory returns the budget of what callers hold.
func newCallerMemory(settings Settings) *memory.Budget {
	config := memory.Config{
		Bytes: defaultCallerBytes, Connections: defaultCallerConns, LeastBytes: leastProgress, LeastSpan: leastProgressSpan,
	}
	if settings.MemoryLimit > 0 {
		config.Bytes = int64(settings.MemoryLimit) / callerMemoryDivisor
	}
	if settings.DescriptorLimit > 0 {
		config.Connections = max(1, settings.DescriptorLimit*callerConnPercent/100)
	}
	return memory.NewBudget(config)
}

// arrivingHead counts the head that arrives on a connection.
type arrivingHead struct {
	bytes, lines int
	// text is set once the current line is not empty, begun after the first line that is not, and ended after the empty
	// line that ends the head: net/http skips empty lines before a head.
	text, begun, ended bool
	// held is what has been added to the account.
	held int64
}

// add counts the next bytes. Those after the head are ignored.
func (h *arrivingHead) add(b []byte) {
	for len(b) > 0 && !h.ended {
		line, rest, isEnd := bytes.Cut(b, []byte{'\n'})
		h.bytes += len(line) + 1
		h.text = h.text || len(bytes.TrimRight(line, "\r")) > 0
		if isEnd {
			h.lines++
			h.ended = h.begun && !h.text
			h.begun = h.begun || h.text
			h.text = false
		}
		b = rest
	}
}

// growth returns what the head holds beyond the last call.
func (h *arrivingHead) growth() int64 {
	cost := max(0, int64(2*h.bytes+fieldBytes*h.lines)-uncountedHead)
	grown := cost - h.held
	h.held = cost
	return grown
}

// recordArrived counts bytes that have been read, and reports false if the connection must end because of them.
func (c *trackedConn) recordArrived(b []byte) bool {
	now := c.tracker.server.clock.Now()
	c.account.Move(now, len(b))
	c.mu.Lock()
	if c.state == http.StateActive {
		c.mu.Unlock()
		return true
	}
	c.head.add(b)
	grown, lines := c.head.growth(), c.head.lines
	c.mu.Unlock()
	c.account.Enter(now, memory.Head)
	if lines > maxHeadFields && (c.caller || c.tracker.mayEvict) {
		c.tracker.server.metrics.headsRefused.Inc(1)
		c.tracker.server.log.Info("head refused", zap.String("remote", c.remote()), zap.Int("lines", lines))
		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(refusedHeadWrite))
		_, _ = c.TCPConn.Write([]byte(refusedHead)) // the caller may have left
		return false
	}
	return grown == 0 || c.account.Hold(now, grown)
}

// errHeadRefused is a timeout, because net/http closes the connection after one without writing an answer of its own.
var errHeadRefused = os.ErrDeadlineExceeded

// Write writes to the connection.
func (c *trackedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	if n > 0 {
		c.account.Move(c.tracker.server.clock.Now(), n)
	}
	return n, err
}

// updateAccount follows the state of the connection. The account is released here alone: at the end of each request and
// of the connection.
func (c *trackedConn) updateAccount(state http.ConnState) {
	now := c.tracker.server.clock.Now()
	switch state {
	case http.StateActive:
		c.account.Enter(now, memory.Body)
	case http.StateIdle:
		c.account.Reset(now)
	case http.StateClosed, http.StateHijacked:
		c.account.Close(now)
	}
}

// evict interrupts the connection in a phase: a request that arrives is refused, an answer is cut off.
func (c *trackedConn) evict(phase memory.Phase, cause memory.Cause) {
	server := c.tracker.server
	server.metrics.recordEviction(string(cause))
	server.log.Info("caller evicted", zap.String("remote", c.remote()), zap.String("phase", string(phase)), zap.String("cause", string(cause)))
	c.mu.Lock()
	defer c.mu.Unlock()
	if phase == memory.Idle {
		c.startExpiry(closedEvicted)
		return
	}
	c.interrupted = true
	_ = c.TCPConn.SetReadDeadline(expired) // an error means that the connection is closed
	if phase == memory.Answer {
		c.cut = true
		_ = c.TCPConn.SetWriteDeadline(expired)
	}
}

// SetWriteDeadline sets the deadline of writes, unless the reading of an answer was interrupted.
func (c *trackedConn) SetWriteDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut {
		return nil
	}
	return c.TCPConn.SetWriteDeadline(deadline)
}

// countPipelined counts a request that arrived before the answer to the one before.
func (c *trackedConn) countPipelined(arrivedBefore bool) {
	if !arrivedBefore {
		c.pipelined = 0
		return
	}
	c.pipelined++
}

// endsAfterAnswer reports whether the connection of a request is to be closed after its answer.
func endsAfterAnswer(r *http.Request) bool {
	conn := connOf(r.Context())
	if conn == nil {
		return false
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	return conn.pipelined >= maxPipelined
}

// account returns the account of the request's connection, nil if it has none.
func (f *inflight) account() *memory.Account {
	if conn := connOf(f.request.Context()); conn != nil {
		return conn.account
	}
	return nil
}

// enter begins a phase of the request, and reports false if its connection was evicted.
func (f *inflight) enter(phase memory.Phase) bool {
	return f.account().Enter(f.server.clock.Now(), phase)
}

// beginRunning lets the request run from now on, or refuses it if its connection was evicted meanwhile.
func (f *inflight) beginRunning() bool {
	if f.enter(memory.Running) {
		return true
	}
	f.refuseEvicted()
	return false
}

// refuseEvicted refuses a request whose connection was evicted while it arrived.
func (f *inflight) refuseEvicted() {
	f.writer.Header().Set("Connection", "close")
	f.refuse("evicted", memoryRetryAfter)
}

// beginAnswer counts an answer that the caller has to read.
func (f *inflight) beginAnswer(size int) {
	f.enter(memory.Answer)
	if counted := size - uncountedAnswer; counted > 0 {
		// Without room the answer is written all the same: it is in memory already.
		if account := f.account(); !account.Hold(f.server.clock.Now(), int64(counted)) {
			account.Record(int64(counted))
		}
	}
}
