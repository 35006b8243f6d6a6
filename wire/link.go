package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// clientConn is one connection of a client. The client's mutex guards users and used.
type clientConn struct {
	client  *Client
	address string
	users   int
	used    time.Time

	ready   chan struct{} // closed once conn or dialErr is set
	conn    net.Conn
	dialErr error
	slots   chan struct{}
	write   sync.Mutex

	mu           sync.Mutex
	lastID       uint64
	pending      map[uint64]chan envelope
	lastReceived time.Time
	closeErr     error
}

func newClientConn(client *Client, address string) *clientConn {
	return &clientConn{
		client: client, address: address, ready: make(chan struct{}),
		slots: make(chan struct{}, maxClientRequests), pending: make(map[uint64]chan envelope),
	}
}

func (c *clientConn) release() {
	c.client.mu.Lock()
	defer c.client.mu.Unlock()
	c.users--
	c.used = time.Now()
}

// run establishes the connection and starts its reader in a new goroutine, which needs
// a smaller stack than the handshake.
func (c *clientConn) run() {
	c.conn, c.dialErr = c.client.dial(c.address)
	if c.dialErr != nil {
		c.client.remove(c)
		close(c.ready)
		return
	}
	c.mu.Lock()
	if c.closeErr != nil {
		_ = c.conn.Close()
	}
	close(c.ready)
	c.mu.Unlock()
	go c.read()
	c.expire()
}

// expire closes the connection once its idle time has passed.
func (c *clientConn) expire() {
	recheck, removed := c.client.removeIfIdle(c)
	if removed {
		c.close(fault.New("call", KindClosed))
		return
	}
	c.mu.Lock()
	closeErr := c.closeErr
	c.mu.Unlock()
	if closeErr == nil {
		time.AfterFunc(recheck, c.expire)
	}
}

func (c *clientConn) read() {
	for {
		frame, err := readFrame(c.conn, func() { _ = c.conn.SetReadDeadline(time.Now().Add(frameTimeout)) })
		if err != nil {
			c.close(err)
			return
		}
		_ = c.conn.SetReadDeadline(time.Time{})
		message, err := decode(frame)
		if err != nil {
			c.close(err)
			return
		}
		c.deliver(message)
	}
}

// deliver passes a response to the waiting call. Responses to calls that have timed out
// are dropped.
func (c *clientConn) deliver(message envelope) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastReceived = time.Now()
	if reply, ok := c.pending[message.ID]; ok {
		delete(c.pending, message.ID)
		reply <- message
	}
}

func (c *clientConn) close(err error) {
	c.client.remove(c)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return
	}
	c.closeErr = err
	select {
	case <-c.ready:
		if c.conn != nil {
			_ = c.conn.Close()
		}
	default: // still dialling; run closes the connection
	}
	for id, reply := range c.pending {
		delete(c.pending, id)
		close(reply)
	}
}

func (c *clientConn) roundTrip(ctx context.Context, kind string, request any) ([]byte, error) {
	select {
	case c.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, fault.Wrap("call", KindBusy, ctx.Err())
	}
	defer func() { <-c.slots }()
	id, reply, err := c.register()
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := c.send(kind, id, request); err != nil {
		c.unregister(id)
		return nil, err
	}
	select {
	case message, ok := <-reply:
		if !ok {
			return nil, c.closedError()
		}
		return responseBody(message)
	case <-ctx.Done():
		c.unregister(id)
		c.closeIfSilent(start)
		return nil, fault.Wrap("call", KindTimeout, ctx.Err())
	}
}

func responseBody(message envelope) ([]byte, error) {
	if message.Kind != errorKind {
		return message.Body, nil
	}
	var failure errorBody
	if err := unmarshal(message.Body, &failure); err != nil {
		return nil, err
	}
	return nil, fault.Newf("call", failure.Kind, "%s", failure.Message)
}

func (c *clientConn) register() (uint64, chan envelope, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closeErr != nil {
		return 0, nil, fault.Wrap("call", KindClosed, c.closeErr)
	}
	c.lastID++
	reply := make(chan envelope, 1)
	c.pending[c.lastID] = reply
	return c.lastID, reply, nil
}

func (c *clientConn) unregister(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *clientConn) closedError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fault.Wrap("call", KindClosed, c.closeErr)
}

// closeIfSilent closes the connection if nothing has arrived on it since the call began
// and silenceTimeout has passed.
func (c *clientConn) closeIfSilent(start time.Time) {
	c.mu.Lock()
	silent := c.lastReceived.Before(start) && time.Since(start) >= silenceTimeout
	c.mu.Unlock()
	if silent {
		c.close(fault.New("call", KindTimeout))
	}
}

func (c *clientConn) send(kind string, id uint64, request any) error {
	frame, err := encode(kind, id, request)
	if err != nil {
		return err
	}
	c.write.Lock()
	defer c.write.Unlock()
	if err := writeFrame(c.conn, frame); err != nil {
		c.close(err)
		return err
	}
	return nil
}
