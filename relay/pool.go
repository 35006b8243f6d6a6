package relay

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/proto"
)

// Config holds the settings of a Pool.
type Config struct {
	// Address is the endpoint's IP:PORT.
	Address string
	// OnOpen is called for each new connection; it may be nil.
	OnOpen func()
	// Memory bounds the buffered bodies and long headers; nil means no common limit.
	Memory *Memory
}

// Pool holds the connections to one endpoint. It is safe for concurrent use.
type Pool struct {
	config Config
	mu     sync.Mutex
	idle   []*conn
	open   int
	closed bool
}

// NewPool returns a Pool without connections.
func NewPool(config Config) *Pool { return &Pool{config: config} }

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// Close closes the idle connections; those in use are closed after their response.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		p.discardLocked(c)
	}
	p.idle = nil
}

// CloseIdle closes connections that have been idle for too long.
func (p *Pool) CloseIdle(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.After(c.expires) {
			p.discardLocked(c)
			continue
		}
		kept = append(kept, c)
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

func (p *Pool) discard(connection *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discardLocked(connection)
}

func (p *Pool) discardLocked(connection *conn) {
	p.open--
	// The endpoint may have closed the connection already; an error needs no handling.
	_ = connection.Close()
}

// abort closes a connection on which an exchange is in progress.
func (p *Pool) abort(connection *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open--
	Abort(connection.TCPConn)
}

// take returns a connection that has been idle for at most maxIdle, or a new one that is established within
// a timeout. The most recently used connection is preferred, so that surplus ones expire. Errors have kind
// KindUnsent.
func (p *Pool) take(ctx context.Context, maxIdle, timeout time.Duration) (*conn, error) {
	for {
		connection := p.popIdle(maxIdle)
		if connection == nil {
			break
		}
		if connection.usable() {
			return connection, nil
		}
		p.discard(connection)
	}
	connection, err := dial(ctx, p.config.Address, timeout, p.config.Memory)
	if err != nil {
		return nil, err
	}
	if p.config.OnOpen != nil {
		p.config.OnOpen()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++
	return connection, nil
}

func (p *Pool) popIdle(maxIdle time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if n := len(p.idle); n > 0 {
		connection := p.idle[n-1]
		if now.After(connection.expires) || now.Sub(connection.idleSince) > maxIdle {
			return nil
		}
		p.idle = p.idle[:n-1]
		return connection
	}
	return nil
}

func (p *Pool) put(connection *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || connection.keepAlive <= 0 {
		p.discardLocked(connection)
		return
	}
	connection.idleSince = time.Now()
	connection.expires = connection.idleSince.Add(connection.keepAlive)
	p.idle = append(p.idle, connection)
}

// Do sends a request and returns the response header; the caller must close the EndpointResponse.
// Only connections that have been idle for at most maxIdle are reused. When ctx ends, the
// connection is reset at any stage of the exchange, which lets the endpoint stop its work. Errors
// have kind KindUnsent if the request was certainly not run, or KindWithheld if Request.Proceed
// stopped it.
func (p *Pool) Do(ctx context.Context, request *Request, maxIdle time.Duration) (*EndpointResponse, error) {
	if err := request.check(); err != nil {
		return nil, err
	}
	connection, err := p.take(ctx, maxIdle, cmp.Or(request.ConnectTimeout, dialTimeout))
	if err != nil {
		return nil, err
	}
	if err := ctx.Err(); err != nil {
		p.put(connection)
		return nil, fault.Wrap("send", KindUnsent, err)
	}
	if request.Proceed != nil && !request.Proceed(connection.describe()) {
		p.put(connection)
		return nil, fault.New("send", KindWithheld)
	}
	stopCancel := context.AfterFunc(ctx, func() { Abort(connection.TCPConn) })
	fail := func(err error) (*EndpointResponse, error) {
		stopCancel()
		connection.limit.release()
		p.abort(connection)
		return nil, err
	}
	upload, err := connection.send(request)
	if err != nil {
		return fail(err)
	}
	response, err := connection.receive(request)
	if err != nil {
		return fail(err)
	}
	connection.updateKeepAlive(response.Header)
	return &EndpointResponse{Response: response, pool: p, conn: connection, aborted: ctx.Err, stopCancel: stopCancel, upload: upload}, nil
}

// EndpointResponse is a response whose body has not been read yet.
type EndpointResponse struct {
	*http.Response
	pool *Pool
	conn *conn
	// aborted returns an error once the connection is reset from this side.
	aborted    func() error
	stopCancel func() bool
	upload     *proto.Upload
	complete   bool
	reserved   int64
	once       sync.Once
}

// Read reads from the body. io.EOF means that the response is complete; other errors have kind
// KindBroken or KindMalformed.
func (r *EndpointResponse) Read(b []byte) (int, error) {
	n, err := r.Body.Read(b)
	switch {
	case err == nil:
		return n, nil
	case errors.Is(err, io.EOF) && !r.endsWhole():
		return n, fault.Newf("read", KindBroken, "connection ends before the request was written whole")
	case errors.Is(err, io.EOF):
		r.complete = true
		return n, io.EOF
	default:
		return n, r.conn.limit.readError("read", err)
	}
}

// endsWhole reports whether the end of the body is the end of the response. The end of the connection is only if the
// request was written whole: a write may get the reset of a connection, and the read then finds an ordinary end.
func (r *EndpointResponse) endsWhole() bool {
	framed := r.ContentLength >= 0 || len(r.TransferEncoding) > 0 || r.Body == http.NoBody
	return framed || r.upload.IsWhole(proto.UploadWait) && r.aborted() == nil
}

// ReadAll returns the complete body, which may have at most limit bytes. The bytes count in
// Config.Memory until Close. Errors have kind KindBroken, KindMalformed or KindTooLarge.
func (r *EndpointResponse) ReadAll(limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, fault.Newf("read", KindTooLarge, "body of %d bytes", r.ContentLength)
	}
	// Segments instead of a growing buffer, which would hold up to three times the body.
	var segments [][]byte
	total := int64(0)
	for {
		size := min(limit+1-total, r.segmentBytes(total))
		if err := r.Reserve(total + size); err != nil {
			return nil, err
		}
		segment := make([]byte, size)
		n, err := io.ReadFull(r, segment)
		segments, total = append(segments, segment[:n]), total+int64(n)
		switch {
		case total > limit:
			return nil, fault.New("read", KindTooLarge)
		case r.complete && len(segments) == 1:
			return segments[0], nil
		case r.complete:
			return bytes.Join(segments, nil), nil
		case err != nil:
			return nil, err
		}
	}
}

// segmentBytes returns the size of the next segment of a body of which total bytes have been read.
func (r *EndpointResponse) segmentBytes(total int64) int64 {
	switch {
	case total > 0:
		return maxSegmentBytes
	case r.ContentLength >= 0:
		return min(r.ContentLength+1, maxSegmentBytes) // the read beyond the end finds the end
	default:
		return minSegmentBytes
	}
}

// Reserve counts the given number of bytes of the body, which the caller keeps, in Config.Memory until Close,
// except for the first ones. Errors have kind KindTooLarge.
func (r *EndpointResponse) Reserve(size int64) error {
	for size > uncountedBodyBytes+r.reserved {
		if !r.pool.config.Memory.reserve(reserveBytes) {
			return fault.Newf("read", KindTooLarge, "%w for a body of %d bytes", errNoMemory, size)
		}
		r.reserved += reserveBytes
	}
	return nil
}

// Discard reads a body that is not needed, so that the connection can be reused. If the body is long
// or slow, Close closes the connection.
func (r *EndpointResponse) Discard() {
	if err := r.conn.SetReadDeadline(time.Now().Add(discardTimeout)); err != nil {
		return
	}
	// An error leaves the response incomplete, so that the connection is not reused.
	_, _ = io.CopyN(io.Discard, r, maxDiscardBytes)
	if err := r.conn.SetReadDeadline(time.Time{}); err != nil {
		r.complete = false
	}
}

// Close returns the connection to the pool. It closes the connection instead if the endpoint asked for that or surplus
// bytes have arrived, and resets it if the response is incomplete or the request was not fully written.
func (r *EndpointResponse) Close() {
	r.once.Do(func() {
		r.pool.config.Memory.release(r.reserved)
		r.conn.limit.release()
		stopped := r.stopCancel()
		switch {
		case !stopped || !r.complete || !r.upload.IsWhole(0):
			r.pool.abort(r.conn)
		case r.Response.Close || r.conn.reader.Buffered() > 0:
			r.pool.discard(r.conn)
		default:
			r.pool.put(r.conn)
		}
	})
}
