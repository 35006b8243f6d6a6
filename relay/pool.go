package relay

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// Config configures a Pool.
type Config struct {
	// Address is the endpoint's IP:PORT.
	Address string
	// Opened is called for each new connection; it may be nil.
	Opened func()
}

// Pool keeps the connections to one endpoint. It is safe for concurrent use.
type Pool struct {
	config Config
	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// NewPool returns a Pool without connections.
func NewPool(c Config) *Pool { return &Pool{config: c} }

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections; those in use are closed after their answer.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.discardLocked(c)
	}
	p.idle = nil
}

// Trim closes connections that have been idle for too long.
func (p *Pool) Trim(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.until) {
			p.discardLocked(c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

func (p *Pool) discard(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(c)
}

func (p *Pool) discardLocked(c *conn) {
	p.open--
	// The endpoint may have closed it before; there is nothing to do about an error.
	_ = c.Close()
}

// take returns a connection that has been idle for at most idle, or a new one. The most
// recently used one comes first, so that the others can run out.
func (p *Pool) take(ctx context.Context, idle time.Duration) (*conn, error) {
	for {
		c := p.pop(idle)
		if c == nil {
			break
		}
		if c.sound() {
			return c, nil
		}
		p.discard(c)
	}
	c, err := dial(ctx, p.config.Address)
	if err != nil {
		return nil, err
	}
	if p.config.Opened != nil {
		p.config.Opened()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	return c, nil
}

func (p *Pool) pop(idle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if n := len(p.idle); n > 0 {
		c := p.idle[n-1]
		if now.After(c.until) || now.Sub(c.idle) > idle {
			return nil
		}
		p.idle = p.idle[:n-1]
		return c
	}
	return nil
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || c.keep <= 0 {
		p.discardLocked(c)
		return
	}
	c.idle = time.Now()
	c.until = c.idle.Add(c.keep)
	p.idle = append(p.idle, c)
}

// Do sends a request and returns the head of its answer. Only a connection that has been
// idle for at most idle is reused. The answer must be closed. The context ends the
// exchange at any time by closing the connection, which lets the endpoint stop its work.
// Errors have kind Unsent if the request was certainly not run.
func (p *Pool) Do(ctx context.Context, r *Request, idle time.Duration) (*Answer, error) {
	c, err := p.take(ctx, idle)
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		p.put(c)
		return nil, fault.Wrap("send", Unsent, err)
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	fail := func(err error) (*Answer, error) {
		stop()
		p.discard(c)
		return nil, err
	}
	finish, err := c.send(r)
	if err != nil {
		return fail(err)
	}
	head, err := c.receive(r)
	if err != nil {
		return fail(err)
	}
	c.learn(head.Header)
	return &Answer{Response: head, pool: p, conn: c, stop: stop, finish: finish}, nil
}

// Answer is an answer whose body is still to be read.
type Answer struct {
	*http.Response
	pool   *Pool
	conn   *conn
	stop   func() bool
	finish func() error
	whole  bool
	once   sync.Once
}

// Read reads from the body. io.EOF means that the answer is complete.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF):
		a.whole = true
		return n, io.EOF
	default:
		return n, fault.Wrap("read", Broken, err)
	}
}

// ReadAll returns the complete body. Kinds of error: Broken and TooLarge.
func (a *Answer) ReadAll(limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fault.New("read", TooLarge)
	}
	return body, nil
}

// Close gives the connection back, or closes it if the answer is not complete, the
// request was not written to its end or more bytes than the answer have arrived.
func (a *Answer) Close() {
	a.once.Do(func() {
		stopped := a.stop()
		if stopped && a.whole && !a.Response.Close && a.conn.reader.Buffered() == 0 && a.finish() == nil {
			a.pool.put(a.conn)
			return
		}
		a.pool.discard(a.conn)
	})
}
