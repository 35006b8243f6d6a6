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

func newClientConn(c *Client, address string) *clientConn {
	return &clientConn{
		client: c, address: address, ready: make(chan struct{}),
		slots: make(chan struct{}, maxClientRequests), pending: make(map[uint64]chan envelope),
	}
}

func (l *clientConn) release() {
	l.client.mu.Lock()
	defer l.client.mu.Unlock()
	l.users--
	l.used = time.Now()
}

// run establishes the connection and starts its reader in a new goroutine, which needs
// a smaller stack than the handshake.
func (l *clientConn) run() {
	l.conn, l.dialErr = l.client.dial(l.address)
	if l.dialErr != nil {
		l.client.remove(l)
		close(l.ready)
		return
	}
	l.mu.Lock()
	if l.closeErr != nil {
		_ = l.conn.Close()
	}
	close(l.ready)
	l.mu.Unlock()
	go l.read()
	l.expire()
}

// expire closes the connection once its idle time has passed.
func (l *clientConn) expire() {
	again, retired := l.client.removeIfIdle(l)
	if retired {
		l.close(fault.New("call", Closed))
		return
	}
	l.mu.Lock()
	ended := l.closeErr
	l.mu.Unlock()
	if ended == nil {
		time.AfterFunc(again, l.expire)
	}
}

func (l *clientConn) read() {
	for {
		frame, err := readFrame(l.conn, func() { _ = l.conn.SetReadDeadline(time.Now().Add(frameTimeout)) })
		if err != nil {
			l.close(err)
			return
		}
		_ = l.conn.SetReadDeadline(time.Time{})
		e, err := decode(frame)
		if err != nil {
			l.close(err)
			return
		}
		l.deliver(e)
	}
}

// deliver passes a response to the waiting call. Responses to calls that have timed out
// are dropped.
func (l *clientConn) deliver(e envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastReceived = time.Now()
	if wait, ok := l.pending[e.ID]; ok {
		delete(l.pending, e.ID)
		wait <- e
	}
}

func (l *clientConn) close(err error) {
	l.client.remove(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeErr != nil {
		return
	}
	l.closeErr = err
	select {
	case <-l.ready:
		if l.conn != nil {
			_ = l.conn.Close()
		}
	default: // still dialling; run closes the connection
	}
	for id, wait := range l.pending {
		delete(l.pending, id)
		close(wait)
	}
}

func (l *clientConn) roundTrip(ctx context.Context, kind string, q any) ([]byte, error) {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, fault.Wrap("call", Busy, ctx.Err())
	}
	defer func() { <-l.slots }()
	id, wait, err := l.register()
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := l.send(kind, id, q); err != nil {
		l.unregister(id)
		return nil, err
	}
	select {
	case e, ok := <-wait:
		if !ok {
			return nil, l.closedError()
		}
		return answerBody(e)
	case <-ctx.Done():
		l.unregister(id)
		l.closeIfSilent(start)
		return nil, fault.Wrap("call", Timeout, ctx.Err())
	}
}

func answerBody(e envelope) ([]byte, error) {
	if e.Kind != errorKind {
		return e.Body, nil
	}
	var p errorBody
	if err := unmarshal(e.Body, &p); err != nil {
		return nil, err
	}
	return nil, fault.Newf("call", p.Kind, "%s", p.Message)
}

func (l *clientConn) register() (uint64, chan envelope, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closeErr != nil {
		return 0, nil, fault.Wrap("call", Closed, l.closeErr)
	}
	l.lastID++
	wait := make(chan envelope, 1)
	l.pending[l.lastID] = wait
	return l.lastID, wait, nil
}

func (l *clientConn) unregister(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

func (l *clientConn) closedError() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fault.Wrap("call", Closed, l.closeErr)
}

// closeIfSilent closes the connection if nothing has arrived on it since the call began
// and silenceTimeout has passed.
func (l *clientConn) closeIfSilent(start time.Time) {
	l.mu.Lock()
	silent := l.lastReceived.Before(start) && time.Since(start) >= silenceTimeout
	l.mu.Unlock()
	if silent {
		l.close(fault.New("call", Timeout))
	}
}

func (l *clientConn) send(kind string, id uint64, q any) error {
	frame, err := encode(kind, id, q)
	if err != nil {
		return err
	}
	l.write.Lock()
	defer l.write.Unlock()
	_ = l.conn.SetWriteDeadline(time.Now().Add(frameTimeout))
	if _, err := l.conn.Write(frame); err != nil {
		err = fault.Wrap("write", Closed, err)
		l.close(err)
		return err
	}
	return nil
}
