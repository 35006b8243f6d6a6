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
)

const (
	// dialLimit bounds the making of a connection; between regions it takes a
	// little over 100 ms.
	dialLimit = time.Second
	// idleConnections is how many idle connections are kept for each endpoint.
	idleConnections = 32
	idleLimit       = 30 * time.Second
)

// client holds the connections to endpoints.
type client struct {
	// repeatable keeps connections open for idempotent requests.
	repeatable *http.Transport
	// once makes a connection for each request. http.Transport sends a request again
	// by itself when a reused connection breaks and the method or an idempotency
	// header lets it; on a fresh connection it never does.
	once *http.Transport
}

func newClient() *client {
	dialer := &net.Dialer{Timeout: dialLimit, KeepAlive: idleLimit}
	return &client{
		repeatable: &http.Transport{
			DialContext: dialer.DialContext, MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout: idleLimit, DisableCompression: true,
		},
		once: &http.Transport{
			DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true,
		},
	}
}

// send sends one request and follows no redirect.
func (c *client) send(req *http.Request, once bool) (*http.Response, error) {
	if once {
		req.GetBody = nil
		return c.once.RoundTrip(req)
	}
	return c.repeatable.RoundTrip(req)
}

func (c *client) close() {
	c.repeatable.CloseIdleConnections()
	c.once.CloseIdleConnections()
}

// verdictOf tells what an error of send says about the request: an error while
// the connection was being made means that the endpoint has not run it.
func verdictOf(err error) (outcome fleet.Outcome, crashed bool) {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fleet.Unreachable, errors.Is(err, syscall.ECONNREFUSED)
	}
	return fleet.Broken, isCrash(err)
}

// isCrash tells whether an error is one that a dying process causes, in contrast
// to a timeout or an end on this side.
func isCrash(err error) bool {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		return false
	}
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}
