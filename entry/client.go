package entry

import (
	"context"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/sock"
)

const (
	// dialTimeout bounds connecting, which takes just over 100 ms between regions.
	dialTimeout = time.Second
	// maxIdleConns is the number of idle connections kept per endpoint.
	maxIdleConns = 32
	// maxResponseHeader bounds the header of a response, informational ones before it included.
	maxResponseHeader ident.Bytes = 64 << 10
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 30 * time.Second
)

// client sends requests to endpoints.
type client struct {
	// pooled reuses connections. It is for idempotent requests.
	pooled *http.Transport
	// unpooled opens a connection per request. On a reused connection that breaks,
	// http.Transport resends a request if the method or an idempotency header permits;
	// on a new connection it never does.
	unpooled *http.Transport
}

func newClient() *client {
	dialer := sock.Default().Dialer(dialTimeout)
	return &client{
		pooled: &http.Transport{
			DialContext: dialEndpoint(dialer), MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout: idleTimeout, DisableCompression: true, MaxResponseHeaderBytes: int64(maxResponseHeader),
		},
		unpooled: &http.Transport{
			DialContext: dialEndpoint(dialer), DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: int64(maxResponseHeader),
		},
	}
}

// send sends a request without following redirects. With once, the request is sent at
// most once.
func (c *client) send(req *http.Request, once bool) (*http.Response, error) {
	if once {
		req.GetBody = nil
		return roundTrip(c.unpooled, req)
	}
	return roundTrip(c.pooled, req)
}

func (c *client) close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// classifyError returns the outcome that an error of send implies. A failure to connect
// means that the endpoint has not run the request.
func classifyError(err error) (outcome fleet.Outcome, crashed bool) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fleet.Unreachable, errors.Is(err, syscall.ECONNREFUSED)
	}
	return fleet.Broken, isCrash(err)
}

// isCrash reports whether an error may be caused by a crashed process, as opposed to a
// timeout or a cancellation on this side.
func isCrash(err error) bool {
	if errors.Is(err, errBadStatus) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}
