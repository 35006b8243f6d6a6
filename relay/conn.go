package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/proto"
	"github.com/tanagerbridge/tanagerbridge/sock"
)

const (
	readBufferBytes = 4 << 10
	// maxBufferBytes is the capacity in bytes up to which a request buffer is reused.
	maxBufferBytes = 64 << 10
	// headerEnds are the characters that end a header field, or that endpoints may take for its end.
	headerEnds = "\r\n\x00"
)

// conn is one connection to an endpoint. It carries one request at a time.
type conn struct {
	*net.TCPConn
	limit  *limitedReader
	reader *bufio.Reader
	// expires is when the connection must not be used any more.
	expires time.Time
	// keepAlive is the idle time that the endpoint allows.
	keepAlive time.Duration
	idleSince time.Time
}

func dial(ctx context.Context, address string, timeout time.Duration, memory *Memory) (*conn, error) {
	raw, err := sock.Forward().Dialer(timeout).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fault.Wrap("dial", KindUnsent, err)
	}
	tcp, ok := raw.(*net.TCPConn)
	if !ok {
		return nil, fault.Newf("dial", KindUnsent, "%T is no TCP connection", raw) // unreachable: the network is tcp
	}
	limit := &limitedReader{conn: raw, memory: memory}
	return &conn{TCPConn: tcp, limit: limit, reader: bufio.NewReaderSize(limit, readBufferBytes), keepAlive: defaultIdle}, nil
}

// Abort ends a connection on which an exchange is in progress. The reset discards what the kernel has not sent yet: after
// an ordinary close the rest of the request would still arrive, and a peer that does not read would not be told of the
// end. The end of the sending side goes before it where nothing is unsent, as either packet may be lost. Abort may be
// called at the same time as the other methods of the connection.
func Abort(connection *net.TCPConn) {
	// The peer may have ended the connection already; errors need no handling.
	_ = connection.CloseWrite()
	_ = connection.SetLinger(0)
	_ = connection.Close()
}

// describe returns what identifies the connection in the log.
func (c *conn) describe() Connection {
	port := 0
	if address, ok := c.LocalAddr().(*net.TCPAddr); ok {
		port = address.Port
	}
	return Connection{LocalPort: port, Reused: !c.idleSince.IsZero()}
}

// usable reports whether an idle connection is still open and has no unread data. Bytes that
// arrive without a request in progress belong to no request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	_, err := Peek(c.TCPConn)
	return errors.Is(err, unix.EAGAIN)
}

// Peek returns the number of bytes, up to 1, that have arrived on a socket and are not read yet; 0 is the end of what
// the other side sends. It does not wait: without any bytes the error is EAGAIN. Others are those of recv. A read
// that is in progress is not disturbed.
func Peek(socket syscall.Conn) (arrived int, err error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		arrived, _, failed = unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	if err != nil {
		return 0, err
	}
	return max(0, arrived), failed
}

var buffers = sync.Pool{New: func() any { b := make([]byte, 0, readBufferBytes); return &b }}

// send writes a request. The returned upload is the part that is still being written, nil if there is none.
// Errors have kind KindUnsent or KindBroken.
func (c *conn) send(request *Request) (*proto.Upload, error) {
	buffer := buffers.Get().(*[]byte)
	head := appendHeader((*buffer)[:0], request)
	apart := len(request.Body) >= concurrentBodyBytes
	if !apart {
		head = append(head, request.Body...)
	}
	written, err := c.Write(head)
	if cap(head) <= maxBufferBytes {
		*buffer = head
		buffers.Put(buffer)
	}
	switch {
	case err != nil:
		return nil, writeError(written, err)
	case apart:
		return startUpload(c, request.Body), nil
	}
	return nil, nil //nolint:nilnil // a nil upload has been written
}

func writeError(written int, err error) error {
	if written == 0 {
		return fault.Wrap("send", KindUnsent, err)
	}
	return fault.Wrap("send", KindBroken, err)
}

// check returns an error of kind KindUnsent if a header field would end its line early: what follows would be
// taken for other fields, or for the body.
func (r *Request) check() error {
	for name, values := range r.Header {
		if strings.ContainsAny(name, headerEnds) || slices.ContainsFunc(values, func(v string) bool { return strings.ContainsAny(v, headerEnds) }) {
			return fault.Newf("send", KindUnsent, "header field %.64q contains a line break or NUL", name)
		}
	}
	return nil
}

func appendHeader(b []byte, request *Request) []byte {
	b = append(b, request.Method...)
	b = append(b, ' ')
	b = append(b, request.URI...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, request.Host...)
	b = append(b, "\r\n"...)
	for name, values := range request.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(request.Body) > 0 || request.Method == http.MethodPost || request.Method == http.MethodPut || request.Method == http.MethodPatch {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(request.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// receive reads the header of the response to the request and skips responses to other requests.
// Errors have kind KindBroken, KindMalformed or KindTooLarge.
func (c *conn) receive(request *Request) (*http.Response, error) {
	c.limit.setLimit(maxHeadBytes)
	defer c.limit.clearLimit()
	for range maxStrayResponses {
		c.limit.framing.reset()
		buffered, _ := c.reader.Peek(c.reader.Buffered()) // never more than there is, so that there is no error
		c.limit.framing.add(buffered)
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, c.limit.readError("receive", err)
		}
		if err := c.limit.framing.check(response); err != nil {
			return nil, err
		}
		if merged(response) {
			return nil, fault.Newf("receive", KindMalformed, "the headers of two responses are merged")
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		match := MatchOwn
		if request.Match != nil {
			match = request.Match(response.Header)
		}
		switch {
		case match == MatchOwn:
			return response, nil
		case match == MatchUnknown:
			return nil, fault.Newf("receive", KindMalformed, "response does not say which request it answers")
		case response.Close:
			return nil, fault.Newf("receive", KindMalformed, "response to another request")
		}
		if err := c.skipBody(response); err != nil {
			return nil, err
		}
	}
	return nil, fault.Newf("receive", KindMalformed, "too many responses to other requests")
}

// merged reports whether the line of a header contains another status line. The response before it was
// then cut off inside that line, so that its status or its header fields belong to another request.
func merged(response *http.Response) bool {
	if containsStatusLine(response.Status) {
		return true
	}
	for _, values := range response.Header {
		if slices.ContainsFunc(values, containsStatusLine) {
			return true
		}
	}
	return false
}

// containsStatusLine reports whether a text contains the start of a status line: the version and
// a status code.
func containsStatusLine(text string) bool {
	for {
		_, rest, found := strings.Cut(text, "HTTP/1.")
		if !found {
			return false
		}
		if len(rest) > 4 && isDigit(rest[0]) && rest[1] == ' ' && isDigit(rest[2]) && isDigit(rest[3]) && isDigit(rest[4]) {
			return true
		}
		text = rest
	}
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// skipBody reads the body of a response to another request.
func (c *conn) skipBody(response *http.Response) error {
	c.limit.clearLimit()
	defer c.limit.setLimit(maxHeadBytes)
	defer c.limit.release()
	_, err := io.CopyN(io.Discard, response.Body, maxStrayBytes)
	switch {
	case err == nil:
		return fault.Newf("receive", KindTooLarge, "oversized response to another request")
	case !errors.Is(err, io.EOF):
		return c.limit.readError("receive", err)
	}
	return nil
}

// updateKeepAlive takes the keep-alive time from a response header.
func (c *conn) updateKeepAlive(header http.Header) {
	c.keepAlive = defaultIdle
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		seconds, err := strconv.Atoi(value)
		if err == nil && strings.EqualFold(name, "timeout") {
			c.keepAlive = min(defaultIdle, max(0, time.Duration(seconds)*time.Second-idleMargin))
		}
	}
}
