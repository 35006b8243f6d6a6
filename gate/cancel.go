package gate

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
)

const (
	// cancelPath is the path at which an instance cancels a request that it has passed on: cancelPath + id of the send.
	cancelPath = "/tanager/cancel/"
	// endTimeout bounds the wait of the other instance until a cancelled request has ended there, and cancelTimeout one
	// cancellation beyond the round trips to that instance: a new connection takes two. cancelTries is how often a
	// request is cancelled without an answer.
	endTimeout    = 200 * clock.Millisecond
	cancelTimeout = 300 * clock.Millisecond
	cancelTries   = 2
	// cancelledRetention is how long a cancelled send that has not arrived is remembered, and maxCancelled bounds their
	// number.
	cancelledRetention = 15 * clock.Second
	maxCancelled       = 16384
	// maxCancelBytes bounds the response to a cancellation.
	maxCancelBytes = 1 << 10
)

// sendID identifies one send of a request, in the log and at another instance.
type sendID string

// newSendID returns an id that no other send has.
func (s *Server) newSendID() sendID { return sendID(strconv.FormatUint(s.randomUint64(), 36)) }

// hopRequests holds the requests that other instances have passed on to this one. It is safe for concurrent use.
type hopRequests struct {
	clock clock.Clock
	mu    sync.Mutex
	// running holds the requests in progress, and cancelled when sends were cancelled that had not arrived.
	running   map[sendID]*hopRequest
	cancelled map[sendID]clock.Time
}

// hopRequest is a request in progress that another instance has passed on.
type hopRequest struct {
	cancel context.CancelFunc
	// ended is closed once neither this instance nor an endpoint works on the request for it any more.
	ended chan struct{}
}

func newHopRequests(c clock.Clock) *hopRequests {
	return &hopRequests{clock: c, running: make(map[sendID]*hopRequest), cancelled: make(map[sendID]clock.Time)}
}

// begin records a request that has arrived, and reports whether it may run: it may not if its send was cancelled
// before. The returned function records its end.
func (p *hopRequests) begin(id sendID, cancel context.CancelFunc) (end func(), ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, cancelled := p.cancelled[id]; cancelled {
		return nil, false
	}
	if p.running[id] != nil {
		return func() {}, true // all sends of a build without ids have the same one
	}
	request := &hopRequest{cancel: cancel, ended: make(chan struct{})}
	p.running[id] = request
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.running, id)
		close(request.ended)
	}, true
}

// cancel cancels a send and reports whether it has ended, or can't begin any more, before ctx ends.
func (p *hopRequests) cancel(ctx context.Context, id sendID) bool {
	request, refused := p.findOrRefuse(id)
	if request == nil {
		return refused
	}
	request.cancel()
	select {
	case <-request.ended:
		return true
	case <-ctx.Done():
		return false
	}
}

// findOrRefuse returns the request of a send that is in progress. If there is none, the send will be refused when it
// arrives; it reports whether there is room to remember that.
func (p *hopRequests) findOrRefuse(id sendID) (request *hopRequest, refused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if request := p.running[id]; request != nil {
		return request, false
	}
	now := p.clock.Now()
	if len(p.cancelled) >= maxCancelled {
		maps.DeleteFunc(p.cancelled, func(_ sendID, at clock.Time) bool { return now.Sub(at) > cancelledRetention })
	}
	if len(p.cancelled) >= maxCancelled {
		return nil, false
	}
	p.cancelled[id] = now
	return nil, true
}

// serveCancel answers an instance that cancels a request that it has passed on.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), endTimeout.Duration())
	defer cancel()
	if !s.hopRequests.cancel(ctx, sendID(strings.TrimPrefix(r.RequestURI, cancelPath))) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// cancelHop cancels a failed send at the other instance, and reports whether no endpoint works on it any more. An
// endpoint of this region notices the end of its connection, but another instance may not be able to, or be late.
func (a *attempt) cancelHop() bool {
	f := a.inflight
	if a.destination.hop == nil || !f.route.Stream && !f.placement.Engine {
		return true // only model engines must not work on a request at the same time
	}
	a.cancel(nil) // ends the connection first, so that the other instance doesn't wait for it to be read
	began := f.server.clock.Now()
	var err error
	for range cancelTries {
		if err = a.requestCancel(); err == nil || f.request.Context().Err() != nil {
			break
		}
	}
	f.server.metrics.recordCancel(err == nil)
	f.server.log.Info("cancelled at another instance", zap.String("request", f.meta.AttemptID), zap.String("to", a.destinationName()),
		zap.String("id", string(a.id)), zap.Bool("ended", err == nil), zap.Int64("took", int64(f.server.clock.Now().Sub(began))), zap.Error(err))
	return err == nil
}

// requestCancel cancels the send at the other instance. Without an error, that one has ended it.
func (a *attempt) requestCancel() error {
	f := a.inflight
	limit := cancelTimeout + 2*a.destination.hop.roundTrip
	ctx, stop := context.WithTimeout(f.request.Context(), min(limit, max(0, f.remaining())).Duration())
	defer stop()
	_, err := f.server.callInstance(ctx, http.MethodDelete, a.destination.hop.address, cancelPath+string(a.id), maxCancelBytes)
	return err
}
