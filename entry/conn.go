package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/proto"
	"github.com/tanagerbridge/tanagerbridge/relay"
)

// endpointConn is a connection to an endpoint. It is reset instead of closed if the context of its exchange has ended, so
// that a request that was given up does not arrive later.
type endpointConn struct {
	*net.TCPConn
	exchange atomic.Pointer[exchange]
}

// errBadStatus is the error of a response with a status that no response to a request may have.
var errBadStatus = errors.New("invalid status")

// exchange is a request in progress.
type exchange struct {
	ctx context.Context
	// written is the write of the request; http.Transport may write it on more than one connection.
	written *proto.Upload
}

// dialEndpoint returns a function for http.Transport.DialContext.
func dialEndpoint(dialer *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tcp, ok := conn.(*net.TCPConn)
		if !ok {
			return conn, nil // unreachable: the network is tcp
		}
		return &endpointConn{TCPConn: tcp}, nil
	}
}

// Close closes the connection.
func (c *endpointConn) Close() error {
	if !c.givenUp() {
		return c.TCPConn.Close()
	}
	relay.Abort(c.TCPConn)
	return nil
}

func (c *endpointConn) givenUp() bool {
	current := c.exchange.Load()
	return current != nil && current.ctx.Err() != nil
}

// roundTrip sends a request and marks its connection as one with an exchange in progress until the response is complete.
// The body of a response without a length ends whole only if the request was written whole.
func roundTrip(transport *http.Transport, req *http.Request) (*http.Response, error) {
	current := &exchange{ctx: req.Context(), written: proto.NewUpload()}
	var conn atomic.Pointer[endpointConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if got, ok := info.Conn.(*endpointConn); ok {
			got.exchange.Store(current)
			conn.Store(got)
		}
	}, WroteRequest: func(info httptrace.WroteRequestInfo) {
		current.written.End(info.Err)
	}}
	resp, err := transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil || conn.Load() == nil {
		return resp, err
	}
	if resp.StatusCode < http.StatusOK || resp.StatusCode > proto.MaxStatus {
		_ = resp.Body.Close()
		return nil, errors.Wrap(errBadStatus, resp.Status)
	}
	body := &exchangeBody{ReadCloser: resp.Body, conn: conn.Load(), exchange: current}
	body.unframed = resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
	if resp.Body == http.NoBody {
		body.end()
	}
	resp.Body = body
	return resp, nil
}

// exchangeBody is the body of a response, with whose end the exchange ends.
type exchangeBody struct {
	io.ReadCloser
	conn     *endpointConn
	exchange *exchange
	// unframed is set if only the end of the connection ends the body.
	unframed bool
}

// Read implements io.Reader.
func (b *exchangeBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if b.unframed && !b.exchange.written.IsWhole(proto.UploadWait) {
			return n, io.ErrUnexpectedEOF
		}
		b.end()
	}
	return n, err
}

// end records that the exchange is complete; the connection may carry the next one already.
func (b *exchangeBody) end() { b.conn.exchange.CompareAndSwap(b.exchange, nil) }
