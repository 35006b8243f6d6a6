package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

const (
	readBuffer = 4 << 10
	// maxBuffer is the largest request buffer that is kept for reuse.
	maxBuffer = 64 << 10
)

// conn is one connection to an endpoint. It carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// until is when the connection must not be used any more.
	until time.Time
	// keep is the idle time that the endpoint allows.
	keep time.Duration
	idle time.Time
}

func dial(ctx context.Context, address string) (*conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout/time.Millisecond))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
	raw, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap("dial", Unsent, err)
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, readBuffer), keep: defaultIdle}, nil
}

// sound reports whether an idle connection is still open and silent. Bytes that come
// without a request belong to no request.
func (c *conn) sound() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, failed := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = failed == unix.EAGAIN
		return true
	})
	return err == nil && open
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, readBuffer); return &b }}

// send writes a request. It returns a function that tells whether all of it was written.
func (c *conn) send(r *Request) (finish func() error, err error) {
	buffer := buffers.Get().(*[]byte)
	head := appendHead((*buffer)[:0], r)
	if len(r.Body) < concurrentBody {
		head = append(head, r.Body...)
		n, err := c.Write(head)
		if cap(head) <= maxBuffer {
			*buffer = head
			buffers.Put(buffer)
		}
		if err != nil {
			return nil, writeError(n, err)
		}
		return func() error { return nil }, nil
	}
	n, err := c.Write(head)
	*buffer = head
	buffers.Put(buffer)
	if err != nil {
		return nil, writeError(n, err)
	}
	done := make(chan error, 1)
	go func() {
		_, err := c.Write(r.Body)
		done <- err
	}()
	return func() error {
		select {
		case err := <-done:
			return err
		default:
			return fault.New("send", Broken)
		}
	}, nil
}

func writeError(n int, err error) error {
	if n == 0 {
		return fault.Wrap("send", Unsent, err)
	}
	return fault.Wrap("send", Broken, err)
}

func appendHead(b []byte, r *Request) []byte {
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut || r.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// receive reads the head of the answer to r and skips answers that belong to others.
func (c *conn) receive(r *Request) (*http.Response, error) {
	for range maxStray {
		answer, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
		if err != nil {
			return nil, fault.Wrap("receive", Broken, err)
		}
		if answer.StatusCode < http.StatusOK {
			continue
		}
		if r.Belongs == nil || r.Belongs(answer.Header) {
			return answer, nil
		}
		if answer.Close {
			return nil, fault.Newf("receive", Malformed, "answer to another request")
		}
		if _, err := io.CopyN(io.Discard, answer.Body, maxStrayBytes); err == nil {
			return nil, fault.Newf("receive", Malformed, "long answer to another request")
		}
	}
	return nil, fault.Newf("receive", Malformed, "too many answers to other requests")
}

// learn takes what an answer says about how long the connection is kept.
func (c *conn) learn(h http.Header) {
	c.keep = defaultIdle
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && strings.EqualFold(name, "timeout") {
			c.keep = min(defaultIdle, max(0, time.Duration(seconds)*time.Second-idleMargin))
		}
	}
}
