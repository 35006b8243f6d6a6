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
	// minQuiet is the time without a new connection or request after which the instance closes its
	// listener: a connection that is still being established from another region would be reset.
	minQuiet = 300 * clock.Millisecond
	// quietPollInterval is the interval between checks whether minQuiet has passed.
	quietPollInterval = 50 * clock.Millisecond
	// trackingTime is the time that a server has for registering the last connections.
	trackingTime = 50 * clock.Millisecond
)

// Drain shuts the instance down gracefully: it withdraws from the directory, keeps serving new
// requests for a short time, completes the requests in progress and closes the server.
func (s *Server) Drain(ctx context.Context) {
	plan := newSchedule(s.signalledAt(), s.settings.Grace)
	s.schedule.Store(&plan)
	answerAll := time.AfterFunc(max(0, plan.answerBy.Sub(s.clock.Now())).Duration(), s.endRequests)
	defer answerAll.Stop()
	now := s.clock.Now()
	s.log.Info("draining", zap.Int64("active", s.metrics.active.Count()), zap.Int64("grace", int64(s.settings.Grace)),
		zap.Int64("refuse_in", int64(plan.refuseFrom.Sub(now))), zap.Int64("answer_in", int64(plan.answerBy.Sub(now))))
	s.announce(mesh.Leaving)
	clock.Sleep(ctx, plan.lingerUntil.Sub(s.clock.Now()))
	if !s.awaitQuiet(ctx, plan.refuseFrom) {
		s.refusing.Store(true)
		s.awaitQuiet(ctx, plan.refuseFrom.Add(plan.refuseFrom.Sub(plan.lingerUntil)))
	}
	s.refusing.Store(true)
	s.announce(mesh.Closed)
	ctx, cancel := context.WithTimeout(ctx, max(0, plan.cutOffAt.Sub(s.clock.Now())).Duration())
	defer cancel()
	if !s.endConnections(ctx) {
		s.log.Warn("requests cut off", zap.Int("active", s.conns.cutOff()))
	}
	s.Close()
	s.log.Info("stopped")
}

// draining reports whether the instance shuts down.
func (s *Server) draining() bool { return s.schedule.Load() != nil }

// signalledAt returns the earliest time at which the stop signal may have been sent: a process that stood
// still handles it late.
func (s *Server) signalledAt() clock.Time {
	return min(s.clock.Now(), clock.Time(s.lastTick.Load()))
}

// refuses reports whether a leaving instance refuses a request that has just arrived.
func (s *Server) refuses(request *inflight) bool {
	plan := s.schedule.Load()
	return plan != nil && !plan.accepts(s.clock.Now(), request.need())
}

// leavesTooSoon reports whether a leaving instance would probably cut a request off that is sent now.
func (s *Server) leavesTooSoon(request *inflight) bool {
	plan := s.schedule.Load()
	return plan != nil && !plan.fits(s.clock.Now(), request.need())
}

// endConnections ends the connections of callers and then those of other instances, and reports whether all had ended
// before ctx did. The other instances can cancel the requests that are still in progress until then.
func (s *Server) endConnections(ctx context.Context) bool {
	for _, server := range []*http.Server{s.callerServer, s.hopServer} {
		s.stopListening(ctx, server)
		if !s.conns.closeUnused(ctx) {
			return false
		}
	}
	return true
}

// stopListening makes a server accept no further connections. Those that were opened before are served.
func (s *Server) stopListening(ctx context.Context, server *http.Server) {
	for i, l := range s.listeners {
		if server != s.servers[i] {
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

// awaitQuiet waits until there was no new connection or request for minQuiet, but not beyond
// limit, and reports whether that happened.
func (s *Server) awaitQuiet(ctx context.Context, limit clock.Time) bool {
	started := s.clock.Now()
	for now := started; now.Before(limit); now = s.clock.Now() {
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
	if s.draining() {
		header["Connection"] = []string{"close"}
	}
}
