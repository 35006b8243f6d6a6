package fakes

import (
	"cmp"
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
	// chunkSize is the largest unit of transfer in bytes, and so the granularity at which
	// links share the bandwidth of a path.
	chunkSize = 16 << 10
	// maxChunksInFlight bounds the chunks in flight per connection and direction: 16 MB,
	// above the bandwidth-delay product of 12.5 MB at 2,000 Mbit/s and 50 ms.
	maxChunksInFlight = 1024
	// maxSendAhead bounds how far ahead of its transmission a connection may reserve the
	// bandwidth of a path, so that other connections get their share.
	maxSendAhead = 2 * time.Millisecond
	// dialTimeout bounds the connection setup to the target.
	dialTimeout = 5 * time.Second
)

// LinkConfig configures a Link.
type LinkConfig struct {
	// Listen is the address; the default is a loopback port chosen by the system.
	Listen string
	// Target is the address to which connections are forwarded.
	Target string
	// Forward carries the bytes from the client to the target, Reverse those from the target.
	Forward, Reverse *Path
}

// Link is a TCP proxy that simulates a network link: it forwards connections over two
// paths. Bytes stay in order and are pipelined, so that a delay does not limit throughput.
// It is safe for concurrent use.
type Link struct {
	cfg      LinkConfig
	listener net.Listener

	mu     sync.Mutex
	conns  map[*connection]struct{}
	closed bool
	bytes  ident.Bytes
}

// connection is a proxied connection with the sockets of both sides.
type connection struct {
	client, target *net.TCPConn
	closed         chan struct{}
	closeOnce      sync.Once
}

// NewLink returns a Link that is not started.
func NewLink(cfg LinkConfig) *Link { return &Link{cfg: cfg, conns: map[*connection]struct{}{}} }

// Start starts the link. It returns a KindListen error if it can't listen.
func (l *Link) Start() error {
	var lc net.ListenConfig
	listener, err := lc.Listen(context.Background(), "tcp", cmp.Or(l.cfg.Listen, loopbackAddress))
	if err != nil {
		return fault.Wrap("listen", KindListen, err)
	}
	l.listener = listener
	go l.accept()
	return nil
}

// Address returns the host:port that the link listens on.
func (l *Link) Address() string { return l.listener.Addr().String() }

// Bytes returns the number of bytes forwarded in both directions.
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
	for cn := range l.conns {
		cn.reset()
	}
}

func (l *Link) accept() {
	for {
		c, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.forward(&connection{client: c.(*net.TCPConn), closed: make(chan struct{})})
	}
}

// register adds a connection; it returns false if the link is closed.
func (l *Link) register(cn *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[cn] = struct{}{}
	return true
}

func (l *Link) unregister(cn *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, cn)
}

// forward connects to the target, which takes a round trip on the paths, and then copies
// bytes both ways until both directions have ended.
func (l *Link) forward(cn *connection) {
	defer cn.reset()
	if !l.register(cn) {
		return
	}
	defer l.unregister(cn)
	if !l.connect(cn) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.copyOneWay(cn, cn.client, cn.target, l.cfg.Forward) })
	wg.Go(func() { l.copyOneWay(cn, cn.target, cn.client, l.cfg.Reverse) })
	wg.Wait()
	cn.close(false)
}

// connect dials the target after the delay of one path and returns after that of the
// other, as a TCP handshake would. It returns false on failure or reset.
func (l *Link) connect(cn *connection) bool {
	if !sleepUntil(time.Now().Add(l.cfg.Forward.oneWayDelay()), cn.closed) || !l.waitForPath(cn, cn.client, l.cfg.Forward) {
		return false
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(context.Background(), "tcp", l.cfg.Target)
	if err != nil {
		return false
	}
	if !l.setTarget(cn, target.(*net.TCPConn)) {
		return false
	}
	return sleepUntil(time.Now().Add(l.cfg.Reverse.oneWayDelay()), cn.closed) && l.waitForPath(cn, target.(*net.TCPConn), l.cfg.Reverse)
}

// setTarget stores the target socket unless the connection was reset in the meantime, in
// which case it closes the socket and returns false.
func (l *Link) setTarget(cn *connection, target *net.TCPConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-cn.closed:
		_ = target.Close()
		return false
	default:
		cn.target = target
		return true
	}
}

// reset closes the connection with a TCP reset on both sides.
func (cn *connection) reset() { cn.close(true) }

// close closes both sides. Without a reset, bytes already written are still delivered.
func (cn *connection) close(reset bool) {
	cn.closeOnce.Do(func() {
		close(cn.closed)
		for _, c := range []*net.TCPConn{cn.client, cn.target} {
			if c != nil && reset {
				_ = c.SetLinger(0)
			}
			if c != nil {
				_ = c.Close()
			}
		}
	})
}

// chunk is a part of a byte stream in flight. Nil data means the end of the stream; failed
// means that reading the stream failed.
type chunk struct {
	data    []byte
	arrival time.Time
	failed  bool
}

// copyOneWay copies bytes from one socket to the other over a path.
func (l *Link) copyOneWay(cn *connection, from, to *net.TCPConn, p *Path) {
	queue := make(chan chunk, maxChunksInFlight)
	go l.readChunks(cn, from, p, queue)
	for c := range queue {
		if !sleepUntil(c.arrival, cn.closed) || !l.waitForPath(cn, from, p) {
			return
		}
		if !writeChunk(cn, to, c) {
			return
		}
	}
}

// waitForPath waits while a path is cut. It returns false if the connection is closed first, or if its sender has reset
// it meanwhile: the sender's kernel then no longer retransmits what the cut held up. The receiver sees the reset when the
// cut ends; on a network it may take until it sends something itself.
func (l *Link) waitForPath(cn *connection, from *net.TCPConn, p *Path) bool {
	waited, ok := p.waitWhileCut(cn.closed)
	if ok && waited && isReset(from) {
		cn.reset()
		return false
	}
	return ok
}

// writeChunk writes a chunk or passes on the end of the stream. It returns false if no
// chunk follows.
func writeChunk(cn *connection, to *net.TCPConn, c chunk) bool {
	if c.failed {
		cn.reset()
		return false
	}
	if c.data == nil {
		_ = to.CloseWrite()
		return false
	}
	if _, err := to.Write(c.data); err != nil {
		cn.reset()
		return false
	}
	return true
}

// readChunks reads a socket, reserves the path's bandwidth for the bytes read, and queues
// them with their arrival time.
func (l *Link) readChunks(cn *connection, from *net.TCPConn, p *Path, queue chan<- chunk) {
	defer close(queue)
	buffer := make([]byte, chunkSize)
	for {
		n, err := from.Read(buffer)
		var c chunk
		var lineFree time.Time
		c.arrival, lineFree = p.reserve(n)
		if n > 0 {
			c.data = append([]byte(nil), buffer[:n]...)
			l.countBytes(n)
		}
		if n > 0 && !enqueue(cn, queue, c) {
			return
		}
		if err != nil {
			end := chunk{arrival: c.arrival, failed: !isEOF(err)}
			enqueue(cn, queue, end)
			return
		}
		if !sleepUntil(lineFree.Add(-maxSendAhead), cn.closed) {
			return
		}
	}
}

// enqueue returns false if the connection is closed first.
func enqueue(cn *connection, queue chan<- chunk, c chunk) bool {
	select {
	case queue <- c:
		return true
	case <-cn.closed:
		return false
	}
}

func (l *Link) countBytes(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.bytes += ident.Bytes(n)
}

// isEOF reports whether a read error is the regular end of a stream.
func isEOF(err error) bool { return errors.Is(err, io.EOF) }
