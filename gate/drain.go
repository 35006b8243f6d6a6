package gate

import (
	"context"
	"net/http"
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
	// cutOffMargin is how long before the kill requests in progress are cut off, and answerMargin how long
	// before that they are answered instead.
	cutOffMargin = 300 * clock.Millisecond
	answerMargin = 300 * clock.Millisecond
	// needTargets is the time that a request may need, as a multiple of its route's target.
	needTargets = 4
)

// Drain shuts the instance down gracefully: it withdraws from the directory, keeps serving new
// requests for a short time, completes the requests in progress and closes the server.
func (s *Server) Drain(ctx context.Context) {
	grace := s.settings.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	end := s.clock.Now().Add(grace - cutOffMargin)
	s.answerBy.Store(int64(end.Add(-answerMargin)))
	s.draining.Store(true)
	answerAll := time.AfterFunc((grace - cutOffMargin - answerMargin).Duration(), s.endRequests)
	defer answerAll.Stop()
	s.log.Info("draining", zap.Int64("active", s.metrics.active.Count()), zap.Int64("grace", int64(grace)))
	s.announce(mesh.Leaving)
	clock.Sleep(ctx, min(drainLinger, grace/2))
	if !s.awaitQuiet(ctx, grace/quietWaitDivisor) {
		s.refusing.Store(true)
		s.awaitQuiet(ctx, grace/quietWaitDivisor)
	}
	s.refusing.Store(true)
	s.announce(mesh.Closed)
	s.stopListening(ctx)
	ctx, cancel := context.WithTimeout(ctx, max(0, end.Sub(s.clock.Now())).Duration())
	defer cancel()
	if !s.conns.closeUnused(ctx) {
		s.log.Warn("requests cut off", zap.Int("active", s.conns.cutOff()))
	}
	s.Close()
	s.log.Info("stopped")
}

// refusesLate reports whether an instance that drains refuses a request because it may not end in time. A
// request that can be repeated elsewhere is taken.
func (s *Server) refusesLate(request *inflight) bool {
	if !s.draining.Load() || request.route.Repeatable() {
		return false
	}
	need := min(request.remaining(), needTargets*request.route.TargetLatency)
	return s.clock.Now().Add(need).After(clock.Time(s.answerBy.Load()))
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
		for i, c := range conns {
			conns[i] = s.conns.track(c, server == s.callerServer)
		}
		serveConns(server, l.Addr(), conns)
	}
	// All connections must be known before the unused ones are closed.
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
		s.updateMembers()
	}
}

// setConnectionClose asks the caller to open a new connection, which leads to another instance, if
// this instance is draining.
func (s *Server) setConnectionClose(header http.Header) {
	if s.draining.Load() {
		header["Connection"] = []string{"close"}
	}
}
