package gate

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/mesh"
)

const (
	// defaultGrace is the grace period if the settings specify none.
	defaultGrace = 10 * clock.Second
	// drainLinger is how long a leaving instance keeps accepting requests. Callers may use a
	// directory response for up to three times its validity, but the callers of the region must
	// not be left without an instance for long.
	drainLinger = 2 * clock.Second
	// minQuiet is the time without a new connection or request after which the instance closes its
	// listener: a connection that is still being established from another region would be reset.
	minQuiet = 300 * clock.Millisecond
	// quietWaitDivisor limits the wait for minQuiet to 1/quietWaitDivisor of the grace period, once
	// while callers are served and once more while they are refused.
	quietWaitDivisor = 8
	// quietPollInterval is the interval between checks whether minQuiet has passed.
	quietPollInterval = 50 * clock.Millisecond
	// trackingTime is the time that a server has for registering the last connections.
	trackingTime = 50 * clock.Millisecond
	// cutOffMargin is how long before the kill requests in progress are cut off.
	cutOffMargin = 300 * clock.Millisecond
)

// Drain shuts the instance down gracefully: it withdraws from the directory, keeps serving new
// requests for a short time, completes the requests in progress and closes the server.
func (s *Server) Drain(ctx context.Context) {
	grace := s.settings.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	end := s.clock.Now().Add(grace - cutOffMargin)
	s.draining.Store(true)
	s.log.Info("draining", zap.Int64("active", s.metrics.active.Count()), zap.Int64("grace", int64(grace)))
	s.announce(mesh.Leaving)
	clock.Sleep(ctx, min(drainLinger, grace/2))
	if !s.awaitQuiet(ctx, grace/quietWaitDivisor) {
		s.refusing.Store(true)
		s.awaitQuiet(ctx, grace/quietWaitDivisor)
	}
	s.announce(mesh.Closed)
	s.stopListening(ctx)
	ctx, cancel := context.WithTimeout(ctx, max(0, end.Sub(s.clock.Now())).Duration())
	defer cancel()
	var group sync.WaitGroup
	for _, server := range []*http.Server{s.callerServer, s.hopServer} {
		group.Go(func() {
			if err := server.Shutdown(ctx); err != nil {
				s.log.Warn("requests cut off", zap.Int64("active", s.metrics.active.Count()), zap.Error(err))
			}
		})
	}
	group.Wait()
	s.Close()
	s.log.Info("stopped")
}

// stopListening makes the servers for callers and instances accept no further connections. Those that
// were opened before are served.
func (s *Server) stopListening(ctx context.Context) {
	for i, l := range s.listeners {
		server := s.servers[i]
		if server != s.callerServer && server != s.hopServer {
			continue
		}
		conns, err := stopAccepting(l)
		if err != nil {
			s.log.Info("new connections may be reset", zap.String("address", l.Addr().String()), zap.Error(err))
		}
		serveConns(server, l.Addr(), conns)
	}
	// The servers must know all connections before they are shut down.
	clock.Sleep(ctx, trackingTime)
}

// awaitQuiet waits until there was no new connection or request for minQuiet, but not longer than
// limit, and reports whether that happened.
func (s *Server) awaitQuiet(ctx context.Context, limit clock.Span) bool {
	started := s.clock.Now()
	for now := started; now.Sub(started) < limit; now = s.clock.Now() {
		if now.Sub(max(started, clock.Time(s.lastArrival.Load()))) >= minQuiet {
			return true
		}
		clock.Sleep(ctx, quietPollInterval)
	}
	return false
}

// announce publishes the state of this instance to the other instances.
func (s *Server) announce(state mesh.State) {
	if s.node.State() != state {
		s.node.SetState(state)
	}
}

// setConnectionClose asks the caller to open a new connection, which leads to another instance, if
// this instance is draining.
func (s *Server) setConnectionClose(header http.Header) {
	if s.draining.Load() {
		header["Connection"] = []string{"close"}
	}
}

// idleConns closes callers' connections that exceed the idle timeout of the routing table in
// force.
type idleConns struct {
	server *Server
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConns(server *Server) *idleConns {
	return &idleConns{server: server, timers: make(map[net.Conn]*time.Timer)}
}

func (i *idleConns) connStateChanged(conn net.Conn, state http.ConnState) {
	if state == http.StateNew || state == http.StateActive {
		i.server.lastArrival.Store(int64(i.server.clock.Now()))
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if timer := i.timers[conn]; timer != nil {
		timer.Stop()
		delete(i.timers, conn)
	}
	if state != http.StateIdle {
		return
	}
	if limit := i.idleTimeout(); limit > 0 {
		i.timers[conn] = time.AfterFunc(limit, func() { i.expire(conn) })
	}
}

func (i *idleConns) idleTimeout() time.Duration {
	if table := i.server.state.table.Load(); table != nil {
		return table.Bounds.IdleTimeout.Duration()
	}
	return 0
}

func (i *idleConns) expire(conn net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[conn] == nil {
		return
	}
	delete(i.timers, conn)
	_ = conn.Close() // the caller may have closed it already
}
