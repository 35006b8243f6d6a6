package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// link is one connection of a client. The client's lock guards users and used.
type link struct {
	c       *Client
	address string
	users   int
	used    time.Time

	made    chan struct{} // closed once conn or failure is set
	conn    net.Conn
	failure error
	slots   chan struct{}
	write   sync.Mutex

	mu      sync.Mutex
	last    uint64
	pending map[uint64]chan envelope
	heard   time.Time
	ended   error
}

func newLink(c *Client, address string) *link {
	return &link{
		c: c, address: address, made: make(chan struct{}),
		slots: make(chan struct{}, maxConcurrent), pending: make(map[uint64]chan envelope),
	}
}

func (l *link) release() {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	l.users--
	l.used = time.Now()
}

// run makes the connection and hands it to a goroutine that needs only a small stack.
func (l *link) run() {
	l.conn, l.failure = l.c.dial(l.address)
	if l.failure != nil {
		l.c.forget(l)
		close(l.made)
		return
	}
	l.mu.Lock()
	if l.ended != nil {
		_ = l.conn.Close()
	}
	close(l.made)
	l.mu.Unlock()
	go l.read()
	l.expire()
}

// expire closes the connection once it has been idle for long enough.
func (l *link) expire() {
	again, retired := l.c.retire(l)
	if retired {
		l.close(fault.New("call", Closed))
		return
	}
	l.mu.Lock()
	ended := l.ended
	l.mu.Unlock()
	if ended == nil {
		time.AfterFunc(again, l.expire)
	}
}

func (l *link) read() {
	for {
		frame, err := readFrame(l.conn, func() { _ = l.conn.SetReadDeadline(time.Now().Add(frameTime)) })
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
		l.pass(e)
	}
}

// pass hands an answer to its caller. Answers that nobody waits for any more are dropped.
func (l *link) pass(e envelope) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = time.Now()
	if wait, ok := l.pending[e.ID]; ok {
		delete(l.pending, e.ID)
		wait <- e
	}
}

func (l *link) close(err error) {
	l.c.forget(l)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != nil {
		return
	}
	l.ended = err
	select {
	case <-l.made:
		if l.conn != nil {
			_ = l.conn.Close()
		}
	default: // run closes it
	}
	for id, wait := range l.pending {
		delete(l.pending, id)
		close(wait)
	}
}

func (l *link) ask(ctx context.Context, kind string, q any) ([]byte, error) {
	select {
	case l.slots <- struct{}{}:
	case <-ctx.Done():
		return nil, fault.Wrap("call", Busy, ctx.Err())
	}
	defer func() { <-l.slots }()
	id, wait, err := l.enter()
	if err != nil {
		return nil, err
	}
	start := time.Now()
	if err := l.send(kind, id, q); err != nil {
		l.leave(id)
		return nil, err
	}
	select {
	case e, ok := <-wait:
		if !ok {
			return nil, l.lost()
		}
		return open(e)
	case <-ctx.Done():
		l.leave(id)
		l.abandon(start)
		return nil, fault.Wrap("call", Timeout, ctx.Err())
	}
}

func open(e envelope) ([]byte, error) {
	if e.Kind != problemKind {
		return e.Body, nil
	}
	var p problem
	if err := unmarshal(e.Body, &p); err != nil {
		return nil, err
	}
	return nil, fault.Newf("call", p.Kind, "%s", p.Message)
}

func (l *link) enter() (uint64, chan envelope, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended != nil {
		return 0, nil, fault.Wrap("call", Closed, l.ended)
	}
	l.last++
	wait := make(chan envelope, 1)
	l.pending[l.last] = wait
	return l.last, wait, nil
}

func (l *link) leave(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

func (l *link) lost() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return fault.Wrap("call", Closed, l.ended)
}

// abandon closes the connection if nothing at all has arrived on it since the call began.
func (l *link) abandon(start time.Time) {
	l.mu.Lock()
	silent := l.heard.Before(start) && time.Since(start) >= stall
	l.mu.Unlock()
	if silent {
		l.close(fault.New("call", Timeout))
	}
}

func (l *link) send(kind string, id uint64, q any) error {
	frame, err := encode(kind, id, q)
	if err != nil {
		return err
	}
	l.write.Lock()
	defer l.write.Unlock()
	_ = l.conn.SetWriteDeadline(time.Now().Add(frameTime))
	if _, err := l.conn.Write(frame); err != nil {
		err = fault.Wrap("write", Closed, err)
		l.close(err)
		return err
	}
	return nil
}
