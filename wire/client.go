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
)

// Defaults of ClientConfig.
const (
	// DefaultDial covers the three round trips of a new connection, with one lost packet.
	DefaultDial = 2 * clock.Second
	// DefaultIdle keeps connections that are probed once a cycle, about 15 s at 390 nodes.
	DefaultIdle = 60 * clock.Second
	// DefaultConnections bounds the memory for connections; the least recently used go first.
	DefaultConnections = 64
)

// stall is how long a connection may be silent while an answer is due. After that it is
// closed when the call gives up: a cut link can leave a connection that never recovers.
const stall = time.Second

// ClientConfig describes a client. Values that are zero take their defaults.
type ClientConfig struct {
	Secrets Secrets
	// Dial bounds the time to make a connection, handshake included.
	Dial clock.Span
	// Idle is how long a connection is kept after its last use.
	Idle clock.Span
	// Connections is how many connections are kept. More are made if all are in use.
	Connections int
}

// Client keeps one connection to each address that is in use.
type Client struct {
	c      ClientConfig
	tls    *tls.Config
	ctx    context.Context // ends the dials in progress on Close
	cancel context.CancelFunc

	mu     sync.Mutex
	links  map[string]*link
	closed bool
}

// NewClient returns a client without connections.
func NewClient(c ClientConfig) (*Client, error) {
	k, err := newKeys(c.Secrets)
	if err != nil {
		return nil, err
	}
	if c.Dial == 0 {
		c.Dial = DefaultDial
	}
	if c.Idle == 0 {
		c.Idle = DefaultIdle
	}
	if c.Connections == 0 {
		c.Connections = DefaultConnections
	}
	made := &Client{c: c, tls: k.client(), links: make(map[string]*link)}
	made.ctx, made.cancel = context.WithCancel(context.Background())
	return made, nil
}

// Call sends a request to an address and waits for its answer. Kind Unreachable means
// that nothing was sent.
func Call[Q, A any](ctx context.Context, c *Client, address, kind string, q Q) (A, error) {
	var a A
	body, err := c.call(ctx, address, kind, q)
	if err != nil {
		return a, err
	}
	return a, unmarshal(body, &a)
}

func (c *Client) call(ctx context.Context, address, kind string, q any) ([]byte, error) {
	l, err := c.link(address)
	if err != nil {
		return nil, err
	}
	defer l.release()
	select {
	case <-l.made:
	case <-ctx.Done():
		return nil, fault.Wrap("dial", Unreachable, ctx.Err())
	}
	if l.failure != nil {
		return nil, l.failure
	}
	return l.ask(ctx, kind, q)
}

// Close ends all connections; calls in progress fail.
func (c *Client) Close() {
	c.cancel()
	c.mu.Lock()
	c.closed = true
	links := c.links
	c.links = make(map[string]*link)
	c.mu.Unlock()
	for _, l := range links {
		l.close(fault.New("call", Closed))
	}
}

// Connections returns how many connections are open or being made.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.links)
}

// link returns the connection to an address, marked as in use.
func (c *Client) link(address string) (*link, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, fault.New("call", Closed)
	}
	l := c.links[address]
	if l == nil {
		c.evict()
		l = newLink(c, address)
		c.links[address] = l
		go l.run()
	}
	l.users++
	l.used = time.Now()
	return l, nil
}

// evict closes the connection that has been idle for longest if there are too many.
func (c *Client) evict() {
	if len(c.links) < c.c.Connections {
		return
	}
	var oldest *link
	for _, l := range c.links {
		if l.users == 0 && (oldest == nil || l.used.Before(oldest.used)) {
			oldest = l
		}
	}
	if oldest != nil {
		delete(c.links, oldest.address)
		go oldest.close(fault.New("call", Closed))
	}
}

func (c *Client) forget(l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
}

// retire forgets l if it has been idle for long enough, else it says when to look again.
func (c *Client) retire(l *link) (again time.Duration, retired bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	rest := c.c.Idle.Duration() - time.Since(l.used)
	if l.users > 0 || rest > 0 {
		return max(rest, time.Second), false
	}
	if c.links[l.address] == l {
		delete(c.links, l.address)
	}
	return 0, true
}

func (c *Client) dial(address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(c.ctx, c.c.Dial.Duration())
	defer cancel()
	var d net.Dialer
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap("dial", Unreachable, err)
	}
	secure := tls.Client(raw, c.tls)
	if err := secure.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		var own *Error
		if errors.As(err, &own) {
			return nil, fault.Wrap("dial", Unauthenticated, err)
		}
		return nil, fault.Wrap("dial", Unreachable, err)
	}
	return secure, nil
}
