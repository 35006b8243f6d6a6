package fakes

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// chunkSize is the largest unit of transfer; links with much in flight share
	// the bandwidth of a path at this grain.
	chunkSize = 16 << 10
	// inFlight bounds the chunks of one connection and direction that are on the
	// way: 16 MB, above the 12.5 MB that 2,000 Mbit/s hold in 50 ms.
	inFlight = 1024
	// sendAhead bounds how far ahead of the line one connection may book it, so
	// that others get their share.
	sendAhead = 2 * time.Millisecond
	// dialLimit bounds the connection to the target.
	dialLimit = 5 * time.Second
)

// LinkConfig constructs a Link.
type LinkConfig struct {
	// Listen is the address; the default is a loopback port picked by the system.
	Listen string
	// Target is the address that connections lead to.
	Target string
	// Forth carries what the dialling side sends, Back the answers.
	Forth, Back *Path
}

// Link is a TCP proxy that carries connections over two paths. It keeps the
// order of bytes; bytes are pipelined, so that a delay does not limit throughput.
// It is safe for concurrent use.
type Link struct {
	cfg      LinkConfig
	listener net.Listener

	mu     sync.Mutex
	conns  map[*relay]struct{}
	closed bool
	bytes  ident.Bytes
}

// relay is one connection through a link: both of its sockets.
type relay struct {
	near, far *net.TCPConn
	stop      chan struct{}
	once      sync.Once
}

// NewLink returns a Link that is not started.
func NewLink(cfg LinkConfig) *Link { return &Link{cfg: cfg, conns: map[*relay]struct{}{}} }

// Start listens.
func (l *Link) Start() error {
	var lc net.ListenConfig
	n, err := lc.Listen(context.Background(), "tcp", or(l.cfg.Listen, loopback))
	if err != nil {
		return fault.Wrap("listen", KindListen, err)
	}
	l.listener = n
	go l.accept()
	return nil
}

// Address returns the host:port that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Bytes returns the number of bytes carried, both ways.
func (l *Link) Bytes() ident.Bytes {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes
}

// Close stops listening and resets all connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	_ = l.listener.Close()
	l.Reset()
}

// Reset resets all connections.
func (l *Link) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for r := range l.conns {
		r.reset()
	}
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.carry(&relay{near: c.(*net.TCPConn), stop: make(chan struct{})})
	}
}

func (l *Link) enter(r *relay) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[r] = struct{}{}
	return true
}

func (l *Link) leave(r *relay) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, r)
}

// carry connects to the target, which takes a round trip on the paths, and
// then moves bytes both ways until both directions have ended.
func (l *Link) carry(r *relay) {
	defer r.reset()
	if !l.enter(r) {
		return
	}
	defer l.leave(r)
	if !l.connect(r) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.pump(r, r.near, r.far, l.cfg.Forth) })
	wg.Go(func() { l.pump(r, r.far, r.near, l.cfg.Back) })
	wg.Wait()
	r.end(false)
}

func (l *Link) connect(r *relay) bool {
	if !sleep(time.Now().Add(l.cfg.Forth.latency()), r.stop) || !l.cfg.Forth.pass(r.stop) {
		return false
	}
	d := net.Dialer{Timeout: dialLimit}
	far, err := d.DialContext(context.Background(), "tcp", l.cfg.Target)
	if err != nil {
		return false
	}
	if !l.join(r, far.(*net.TCPConn)) {
		return false
	}
	return sleep(time.Now().Add(l.cfg.Back.latency()), r.stop) && l.cfg.Back.pass(r.stop)
}

// join completes a relay unless it was reset in the meantime.
func (l *Link) join(r *relay, far *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-r.stop:
		_ = far.Close()
		return false
	default:
		r.far = far
		return true
	}
}

// reset ends the connection with a reset on both sides.
func (r *relay) reset() { r.end(true) }

// end closes both sides. Without a reset, what was written is still delivered.
func (r *relay) end(reset bool) {
	r.once.Do(func() {
		close(r.stop)
		for _, c := range []*net.TCPConn{r.near, r.far} {
			if c != nil && reset {
				_ = c.SetLinger(0)
			}
			if c != nil {
				_ = c.Close()
			}
		}
	})
}

// chunk is a piece of a stream on its way. No data means the end of the stream.
type chunk struct {
	data    []byte
	arrival time.Time
	failed  bool
}

// pump moves bytes from one socket to the other over a path.
func (l *Link) pump(r *relay, from, to *net.TCPConn, p *Path) {
	line := make(chan chunk, inFlight)
	go l.feed(r, from, p, line)
	for c := range line {
		if !sleep(c.arrival, r.stop) || !p.pass(r.stop) {
			return
		}
		if !deliver(r, to, c) {
			return
		}
	}
}

func deliver(r *relay, to *net.TCPConn, c chunk) bool {
	if c.failed {
		r.reset()
		return false
	}
	if c.data == nil {
		_ = to.CloseWrite()
		return false
	}
	if _, err := to.Write(c.data); err != nil {
		r.reset()
		return false
	}
	return true
}

// feed reads a socket and books what it read on the path.
func (l *Link) feed(r *relay, from *net.TCPConn, p *Path, line chan<- chunk) {
	defer close(line)
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		var c chunk
		var free time.Time
		c.arrival, free = p.reserve(n)
		if n > 0 {
			c.data = append([]byte(nil), buffer[:n]...)
			l.count(n)
		}
		if n > 0 && !put(r, line, c) {
			return
		}
		if err != nil {
			end := chunk{arrival: c.arrival, failed: !isEnd(err)}
			put(r, line, end)
			return
		}
		if !sleep(free.Add(-sendAhead), r.stop) {
			return
		}
	}
}

func put(r *relay, line chan<- chunk, c chunk) bool {
	select {
	case line <- c:
		return true
	case <-r.stop:
		return false
	}
}

func (l *Link) count(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += ident.Bytes(n)
}

// isEnd reports whether a read error is the orderly end of a stream.
func isEnd(err error) bool { return errors.Is(err, io.EOF) }
