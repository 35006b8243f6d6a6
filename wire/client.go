package wire

import (
	"context"
	"crypto/tls"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/sock"
)

// Defaults of ClientConfig.
const (
	// DefaultDialTimeout allows for the three round trips of a new connection and one lost packet.
	DefaultDialTimeout = 2 * clock.Second
	// DefaultIdleTimeout exceeds the interval between probes on a connection, about 15 s at 390 nodes.
	DefaultIdleTimeout = 60 * clock.Second
	// DefaultMaxConnections bounds the memory for connections; the least recently used is evicted.
	DefaultMaxConnections = 64
)

// silenceTimeout is how long a connection may receive nothing while a response is due. After
// that it is closed when the call times out: after a network cut a TCP connection may never
// recover.
const silenceTimeout = time.Second

// ClientConfig configures a client. Zero values take their defaults.
type ClientConfig struct {
	Secrets Secrets
	// DialTimeout bounds the time to establish a connection, including the TLS handshake.
	DialTimeout clock.Span
	// IdleTimeout is how long a connection is kept open after its last use.
	IdleTimeout clock.Span
	// MaxConnections is the maximum number of open connections. It is exceeded if all are in use.
	MaxConnections int
}

// Client maintains one connection per address. It is safe for concurrent use.
type Client struct {
	config ClientConfig
	tls    *tls.Config
	ctx    context.Context // cancels dials in progress on Close
	cancel context.CancelFunc

	mu     sync.Mutex
	conns  map[string]*clientConn
	closed bool
}

// NewClient returns a client without connections. The error has kind KindInvalidSecret if a fleet
// secret is unusable.
func NewClient(config ClientConfig) (*Client, error) {
	keys, err := newKeySet(config.Secrets)
	if err != nil {
		return nil, err
	}
	if config.DialTimeout == 0 {
		config.DialTimeout = DefaultDialTimeout
	}
	if config.IdleTimeout == 0 {
		config.IdleTimeout = DefaultIdleTimeout
	}
	if config.MaxConnections == 0 {
		config.MaxConnections = DefaultMaxConnections
	}
	client := &Client{config: config, tls: keys.client(), conns: make(map[string]*clientConn)}
	client.ctx, client.cancel = context.WithCancel(context.Background())
	return client, nil
}

// Call sends a request to an address and waits for its response. An error of kind
// KindUnreachable means that nothing was sent.
func Call[Q, A any](ctx context.Context, client *Client, address, kind string, request Q) (A, error) {
	var response A
	body, err := client.call(ctx, address, kind, request)
	if err != nil {
		return response, err
	}
	return response, unmarshal(body, &response)
}

func (c *Client) call(ctx context.Context, address, kind string, request any) ([]byte, error) {
	conn, err := c.acquire(address)
	if err != nil {
		return nil, err
	}
	defer conn.release()
	select {
	case <-conn.ready:
	case <-ctx.Done():
		return nil, fault.Wrap("dial", KindUnreachable, ctx.Err())
	}
	if conn.dialErr != nil {
		return nil, conn.dialErr
	}
	return conn.roundTrip(ctx, kind, request)
}

// Close closes all connections; calls in progress fail with kind KindClosed.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.conns = make(map[string]*clientConn)
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close(fault.New("call", KindClosed))
	}
}

// Connections returns the number of connections that are open or being established.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// acquire returns the connection to an address and marks it as in use. The caller
// must release it.
func (c *Client) acquire(address string) (*clientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fault.New("call", KindClosed)
	}
	conn := c.conns[address]
	if conn == nil {
		c.evict()
		conn = newClientConn(c, address)
		c.conns[address] = conn
		go conn.run()
	}
	conn.users++
	conn.used = time.Now()
	return conn, nil
}

// evict closes the least recently used idle connection if the limit is reached.
func (c *Client) evict() {
	if len(c.conns) < c.config.MaxConnections {
		return
	}
	var oldest *clientConn
	for _, conn := range c.conns {
		if conn.users == 0 && (oldest == nil || conn.used.Before(oldest.used)) {
			oldest = conn
		}
	}
	if oldest != nil {
		delete(c.conns, oldest.address)
		go oldest.close(fault.New("call", KindClosed))
	}
}

func (c *Client) remove(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.address] == conn {
		delete(c.conns, conn.address)
	}
}

// removeIfIdle removes conn if its idle time has passed; otherwise it returns the delay until
// the next check.
func (c *Client) removeIfIdle(conn *clientConn) (recheck time.Duration, removed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	remaining := c.config.IdleTimeout.Duration() - time.Since(conn.used)
	if conn.users > 0 || remaining > 0 {
		return max(remaining, time.Second), false
	}
	if c.conns[conn.address] == conn {
		delete(c.conns, conn.address)
	}
	return 0, true
}

func (c *Client) dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.config.DialTimeout.Duration())
	defer cancel()
	raw, err := sock.Default().Dialer(0).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap("dial", KindUnreachable, err)
	}
	secure := tls.Client(raw, c.tls)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		var wireErr *Error
		if errors.As(err, &wireErr) {
			return nil, fault.Wrap("dial", KindUnauthenticated, err)
		}
		return nil, fault.Wrap("dial", KindUnreachable, err)
	}
	return secure, nil
}
