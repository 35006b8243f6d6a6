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
	// maxClientRequests bounds the requests that a client has in progress per connection.
	maxClientRequests = 16
	// maxServerRequests bounds the requests in progress per connection at the server. The
	// server releases a slot only after writing the response, when a client within its
	// limit may already have sent the next request.
	maxServerRequests = 2 * maxClientRequests
	// maxConnections bounds the memory for the connections of one server; at the target
	// scale a node has about 50.
	maxConnections = 512
	// maxHandshakes bounds the handshakes in progress, which unauthenticated peers can start.
	maxHandshakes = 64

	handshakeTimeout = 5 * time.Second
	// frameTimeout bounds the transfer of one frame; 2 MB take 0.2 s at 100 Mbit/s.
	frameTimeout = 10 * time.Second
	// idleTimeout is how long a server keeps a connection without requests; it exceeds
	// the idle time of clients, so that they close first.
	idleTimeout = 90 * time.Second
	// acceptRetryDelay is the delay after a failed accept, such as with too many open files.
	acceptRetryDelay = 50 * time.Millisecond
)

// Peer is the remote end of a connection. All processes of a fleet share one key, so
// only its address is known.
type Peer struct {
	Address string
}

// ServerConfig configures a server.
type ServerConfig struct {
	Secrets Secrets
	// Metrics receives the counters wire.unknown, wire.refused, wire.malformed and
	// wire.busy; nil uses a private registry.
	Metrics metrics.Registry
}

// Server handles requests of other processes of the fleet.
type Server struct {
	tls        *tls.Config
	handshakes chan struct{}

	unknown, refused, malformed, busy metrics.Counter

	mu          sync.Mutex
	handlers    map[string]handler
	connections map[net.Conn]struct{}
	closed      bool
	cancel      context.CancelFunc
	tasks       sync.WaitGroup
}

type handler func(ctx context.Context, p Peer, body []byte) (any, error)

// NewServer returns a server without handlers. The error has kind KindInvalidSecret if a fleet
// secret is unusable.
func NewServer(config ServerConfig) (*Server, error) {
	keys, err := newKeySet(config.Secrets)
	if err != nil {
		return nil, err
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	return &Server{
		tls:         keys.server(),
		handshakes:  make(chan struct{}, maxHandshakes),
		unknown:     metrics.GetOrRegisterCounter("wire.unknown", config.Metrics),
		refused:     metrics.GetOrRegisterCounter("wire.refused", config.Metrics),
		malformed:   metrics.GetOrRegisterCounter("wire.malformed", config.Metrics),
		busy:        metrics.GetOrRegisterCounter("wire.busy", config.Metrics),
		handlers:    make(map[string]handler),
		connections: make(map[net.Conn]struct{}),
	}, nil
}

// Handle registers fn as the handler of one kind of request. An *Error returned by fn
// reaches the client with its kind, any other error with kind KindHandlerFailed.
func Handle[Q, A any](server *Server, kind string, fn func(context.Context, Peer, Q) (A, error)) {
	server.mu.Lock()
	defer server.mu.Unlock()
	server.handlers[kind] = func(ctx context.Context, p Peer, body []byte) (any, error) {
		var request Q
		if err := unmarshal(body, &request); err != nil {
			return nil, err
		}
		return fn(ctx, p, request)
	}
}

// Serve accepts connections on the listener until ctx ends or Close is called; it then returns nil.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.mu.Lock()
	s.cancel = cancel
	s.mu.Unlock()
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	for {
		conn, err := listener.Accept()
		switch {
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			s.Close()
			return nil
		case err != nil:
			time.Sleep(acceptRetryDelay)
		case !s.admit(conn):
			s.refused.Inc(1)
			_ = conn.Close()
		default:
			go s.accept(ctx, conn)
		}
	}
}

// Close ends Serve, closes all connections, cancels the requests in progress and waits
// for their handlers.
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
	s.tasks.Wait()
}

// Connections returns the number of open connections.
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
	s.tasks.Add(1)
	return true
}

func (s *Server) release(conn net.Conn) {
	_ = conn.Close()
	s.mu.Lock()
	delete(s.connections, conn)
	s.mu.Unlock()
	s.tasks.Done()
}

// accept performs the handshake in a goroutine of its own, which needs a larger stack
// than the goroutine that reads frames for the life of the connection.
func (s *Server) accept(ctx context.Context, conn net.Conn) {
	secure := tls.Server(conn, s.tls)
	if err := s.handshake(ctx, secure); err != nil {
		s.refused.Inc(1)
		s.release(conn)
		return
	}
	go s.serve(ctx, conn, secure)
}

func (s *Server) handshake(ctx context.Context, secure *tls.Conn) error {
	select {
	case s.handshakes <- struct{}{}:
	default:
		return fault.New("handshake", KindBusy)
	}
	defer func() { <-s.handshakes }()
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	return secure.HandshakeContext(ctx)
}

// serverConn is one connection of a server.
type serverConn struct {
	server *Server
	peer   Peer
	conn   net.Conn
	write  sync.Mutex
	slots  chan struct{}
}

func (s *Server) serve(ctx context.Context, raw, secure net.Conn) {
	defer s.release(raw)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	session := &serverConn{
		server: s, peer: Peer{Address: raw.RemoteAddr().String()}, conn: secure,
		slots: make(chan struct{}, maxServerRequests),
	}
	for {
		err := session.readRequest(ctx)
		if err == nil {
			continue
		}
		if fault.KindOf[Kind](err) != KindClosed {
			s.malformed.Inc(1)
		}
		return
	}
}

// readRequest reads one request and starts its handler. Any error ends the connection.
func (c *serverConn) readRequest(ctx context.Context) error {
	_ = c.conn.SetReadDeadline(time.Now().Add(idleTimeout))
	frame, err := readFrame(c.conn, func() { _ = c.conn.SetReadDeadline(time.Now().Add(frameTimeout)) })
	if err != nil {
		return err
	}
	message, err := decode(frame)
	if err != nil {
		return err
	}
	if message.Proto != Version {
		return c.sendError(message, fault.Newf("handle", KindProtocolMismatch, "protocol version %d is not supported, want %d", message.Proto, Version))
	}
	c.server.mu.Lock()
	fn := c.server.handlers[message.Kind]
	c.server.mu.Unlock()
	if fn == nil {
		c.server.unknown.Inc(1)
		return c.sendError(message, fault.Newf("handle", KindUnknown, "no handler for kind %.32q", message.Kind))
	}
	select {
	case c.slots <- struct{}{}:
	default:
		c.server.busy.Inc(1)
		return c.sendError(message, fault.Newf("handle", KindBusy, "%d requests are in progress on this connection", maxServerRequests))
	}
	c.server.tasks.Go(func() {
		defer func() { <-c.slots }()
		c.handle(ctx, message, fn)
	})
	return nil
}

func (c *serverConn) handle(ctx context.Context, message envelope, fn handler) {
	response, err := fn(ctx, c.peer, message.Body)
	if err == nil {
		err = c.send(responseKind(response), message.ID, response)
		if fault.KindOf[Kind](err) == KindClosed {
			return
		}
	}
	if err == nil {
		return
	}
	if c.sendError(message, err) != nil || fault.KindOf[Kind](err) == KindMalformed {
		_ = c.conn.Close()
	}
}

func (c *serverConn) sendError(message envelope, err error) error {
	kind := fault.KindOf[Kind](err)
	if kind == "" {
		kind = KindHandlerFailed
	}
	return c.send(errorKind, message.ID, errorBody{Kind: kind, Message: err.Error()})
}

func (c *serverConn) send(kind string, id uint64, body any) error {
	frame, err := encode(kind, id, body)
	if err != nil {
		return err
	}
	c.write.Lock()
	defer c.write.Unlock()
	return writeFrame(c.conn, frame)
}
