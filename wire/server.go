package wire

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

const (
	// maxConcurrent bounds the requests in progress per connection.
	maxConcurrent = 16
	// maxHandled bounds the requests that a server counts. It frees one only after the answer
	// was written, when a client within its bound may already have sent the next.
	maxHandled = 2 * maxConcurrent
	// maxConnections bounds the memory for connections of one server: at the scale
	// target a node has about 50.
	maxConnections = 512
	// maxHandshakes bounds the handshakes in progress, which unauthenticated peers can cause.
	maxHandshakes = 64

	handshakeTime = 5 * time.Second
	// frameTime bounds the transfer of one frame; 2 MB take 0.2 s at 100 Mbit/s.
	frameTime = 10 * time.Second
	// silence is how long a server keeps a connection without requests; clients
	// close theirs earlier.
	silence = 90 * time.Second
	// retryTime is the wait after a failed accept, such as too many open files.
	retryTime = 50 * time.Millisecond
)

// Peer is the other side of a connection. All processes of a fleet share one key, so
// the address is all that is known about it.
type Peer struct {
	Address string
}

// ServerConfig describes a server.
type ServerConfig struct {
	Secrets Secrets
	// Metrics receives the counters wire.unknown, wire.refused, wire.malformed and
	// wire.busy; nil keeps them in a registry of the server's own.
	Metrics metrics.Registry
}

// Server answers requests of other processes.
type Server struct {
	tls        *tls.Config
	handshakes chan struct{}

	unknown, refused, malformed, busy metrics.Counter

	mu          sync.Mutex
	handlers    map[string]handler
	connections map[net.Conn]struct{}
	closed      bool
	cancel      context.CancelFunc
	wait        sync.WaitGroup
}

type handler func(ctx context.Context, p Peer, body []byte) (any, error)

// NewServer returns a server without handlers.
func NewServer(c ServerConfig) (*Server, error) {
	k, err := newKeys(c.Secrets)
	if err != nil {
		return nil, err
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	return &Server{
		tls:         k.server(),
		handshakes:  make(chan struct{}, maxHandshakes),
		unknown:     metrics.GetOrRegisterCounter("wire.unknown", c.Metrics),
		refused:     metrics.GetOrRegisterCounter("wire.refused", c.Metrics),
		malformed:   metrics.GetOrRegisterCounter("wire.malformed", c.Metrics),
		busy:        metrics.GetOrRegisterCounter("wire.busy", c.Metrics),
		handlers:    make(map[string]handler),
		connections: make(map[net.Conn]struct{}),
	}, nil
}

// Handle answers requests of one kind with fn. An *Error that fn returns reaches the
// asker with its kind, any other error with the kind Failed.
func Handle[Q, A any](s *Server, kind string, fn func(context.Context, Peer, Q) (A, error)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handlers[kind] = func(ctx context.Context, p Peer, body []byte) (any, error) {
		var q Q
		if err := unmarshal(body, &q); err != nil {
			return nil, err
		}
		return fn(ctx, p, q)
	}
}

// Serve accepts connections until the context ends or Close is called.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	context.AfterFunc(ctx, func() { _ = l.Close() })
	for {
		conn, err := l.Accept()
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			s.Close()
			return nil
		case err != nil:
			time.Sleep(retryTime)
		case !s.admit(conn):
			s.refused.Inc(1)
			_ = conn.Close()
		default:
			go s.accept(ctx, conn)
		}
	}
}

// Close ends Serve and all connections, cancels the requests in progress and waits for them.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.cancel != nil {
		s.cancel()
	}
	for c := range s.connections {
		_ = c.Close()
	}
	s.mu.Unlock()
	s.wait.Wait()
}

// Connections returns how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.connections)
}

func (s *Server) admit(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.connections) >= maxConnections {
		return false
	}
	s.connections[conn] = struct{}{}
	s.wait.Add(1)
	return true
}

func (s *Server) drop(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	delete(s.connections, conn)
	s.mu.Unlock()
	s.wait.Done()
}

// accept does the handshake in a goroutine of its own: it needs a larger stack than
// the reading of frames, which is kept for the life of the connection.
func (s *Server) accept(ctx context.Context, conn net.Conn) {
	secure := tls.Server(conn, s.tls)
	if err := s.handshake(ctx, secure); err != nil {
		s.refused.Inc(1)
		s.drop(conn)
		return
	}
	go s.serve(ctx, conn, secure)
}

func (s *Server) handshake(ctx context.Context, secure *tls.Conn) error {
	select {
	case s.handshakes <- struct{}{}:
	default:
		return fault.New("handshake", Busy)
	}
	defer func() { <-s.handshakes }()
	ctx, cancel := context.WithTimeout(ctx, handshakeTime)
	defer cancel()
	return secure.HandshakeContext(ctx)
}

// session is one connection of a server.
type session struct {
	s     *Server
	peer  Peer
	conn  net.Conn
	write sync.Mutex
	slots chan struct{}
}

func (s *Server) serve(ctx context.Context, raw, secure net.Conn) {
	defer s.drop(raw)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	n := &session{
		s: s, peer: Peer{Address: raw.RemoteAddr().String()}, conn: secure,
		slots: make(chan struct{}, maxHandled),
	}
	for {
		err := n.next(ctx)
		if err == nil {
			continue
		}
		if fault.KindOf[Kind](err) != Closed {
			s.malformed.Inc(1)
		}
		return
	}
}

// next reads one request and starts its handler. Any error ends the connection.
func (n *session) next(ctx context.Context) error {
	_ = n.conn.SetReadDeadline(time.Now().Add(silence))
	frame, err := readFrame(n.conn, func() { _ = n.conn.SetReadDeadline(time.Now().Add(frameTime)) })
	if err != nil {
		return err
	}
	e, err := decode(frame)
	if err != nil {
		return err
	}
	if e.Proto != Version {
		return n.refuse(e, fault.Newf("handle", Proto, "version %d, %d spoken here", e.Proto, Version))
	}
	n.s.mu.Lock()
	fn := n.s.handlers[e.Kind]
	n.s.mu.Unlock()
	if fn == nil {
		n.s.unknown.Inc(1)
		return n.refuse(e, fault.Newf("handle", Unknown, "kind %.32q", e.Kind))
	}
	select {
	case n.slots <- struct{}{}:
	default:
		n.s.busy.Inc(1)
		return n.refuse(e, fault.Newf("handle", Busy, "%d requests in progress", maxHandled))
	}
	n.s.wait.Go(func() {
		defer func() { <-n.slots }()
		n.handle(ctx, e, fn)
	})
	return nil
}

func (n *session) handle(ctx context.Context, e envelope, fn handler) {
	a, err := fn(ctx, n.peer, e.Body)
	if err == nil {
		err = n.send(answerKind(a), e.ID, a)
		if fault.KindOf[Kind](err) == Closed {
			return
		}
	}
	if err == nil {
		return
	}
	if n.refuse(e, err) != nil || fault.KindOf[Kind](err) == Malformed {
		_ = n.conn.Close()
	}
}

func (n *session) refuse(e envelope, err error) error {
	kind := fault.KindOf[Kind](err)
	if kind == "" {
		kind = Failed
	}
	return n.send(problemKind, e.ID, problem{Kind: kind, Message: err.Error()})
}

func (n *session) send(kind string, id uint64, body any) error {
	frame, err := encode(kind, id, body)
	if err != nil {
		return err
	}
	n.write.Lock()
	defer n.write.Unlock()
	_ = n.conn.SetWriteDeadline(time.Now().Add(frameTime))
	if _, err := n.conn.Write(frame); err != nil {
		return fault.Wrap("write", Closed, err)
	}
	return nil
}
