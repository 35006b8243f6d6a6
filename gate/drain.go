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
	// defaultGrace is the time to stop if the settings name none.
	defaultGrace = 10 * clock.Second
	// linger is how long a leaving instance still takes requests: callers use an answer of
	// the directory for up to three times its validity, but those of the region must not be
	// without an instance for long.
	linger = 2 * clock.Second
	// quietSpan is how long after that no caller must have come before the instance stops to
	// listen: a connection that is still being opened from another region would be reset.
	quietSpan = 300 * clock.Millisecond
	// quietPart is the part of the time to stop, as a divisor, for which quiet is awaited while
	// callers are served, and once more while they are refused.
	quietPart = 8
	// quietStep is the pause between two looks.
	quietStep = 50 * clock.Millisecond
	// lastMoment is how long before the kill what is still in progress is cut off.
	lastMoment = 300 * clock.Millisecond
)

// Drain leaves: the instance takes no part in the directory any more, still serves what
// comes for a short time, finishes what is in progress and ends.
func (s *Server) Drain(ctx context.Context) {
	grace := s.settings.Grace
	if grace == 0 {
		grace = defaultGrace
	}
	end := s.clock.Now().Add(grace - lastMoment)
	s.draining.Store(true)
	s.log.Info("draining", zap.Int64("active", s.metrics.active.Count()), zap.Int64("grace", int64(grace)))
	s.announce(mesh.Leaving)
	clock.Sleep(ctx, min(linger, grace/2))
	if !s.awaitQuiet(ctx, grace/quietPart) {
		s.refusing.Store(true)
		s.awaitQuiet(ctx, grace/quietPart)
	}
	s.announce(mesh.Closed)
	ctx, cancel := context.WithTimeout(ctx, max(0, end.Sub(s.clock.Now())).Duration())
	defer cancel()
	var group sync.WaitGroup
	for _, server := range []*http.Server{s.callers, s.hops} {
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

// awaitQuiet waits until no caller has come for quietSpan, for at most the given time, and
// tells whether it was quiet.
func (s *Server) awaitQuiet(ctx context.Context, most clock.Span) bool {
	began := s.clock.Now()
	for now := began; now.Sub(began) < most; now = s.clock.Now() {
		if now.Sub(max(began, clock.Time(s.came.Load()))) >= quietSpan {
			return true
		}
		clock.Sleep(ctx, quietStep)
	}
	return false
}

// announce tells the other instances of this one's state.
func (s *Server) announce(state mesh.State) {
	if s.node.State() != state {
		s.node.SetState(state)
	}
}

// closing asks the caller to open its next connection elsewhere.
func (s *Server) closing(h http.Header) {
	if s.draining.Load() {
		h["Connection"] = []string{"close"}
	}
}

// idleConns closes callers' connections that have been idle for longer than the table in
// force allows.
type idleConns struct {
	s      *Server
	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleConns(s *Server) *idleConns {
	return &idleConns{s: s, timers: make(map[net.Conn]*time.Timer)}
}

func (i *idleConns) changed(c net.Conn, state http.ConnState) {
	if state == http.StateNew || state == http.StateActive {
		i.s.came.Store(int64(i.s.clock.Now()))
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if t := i.timers[c]; t != nil {
		t.Stop()
		delete(i.timers, c)
	}
	if state != http.StateIdle {
		return
	}
	if limit := i.limit(); limit > 0 {
		i.timers[c] = time.AfterFunc(limit, func() { i.expire(c) })
	}
}

func (i *idleConns) limit() time.Duration {
	if t := i.s.state.table.Load(); t != nil {
		return t.Bounds.IdleTimeout.Duration()
	}
	return 0
}

func (i *idleConns) expire(c net.Conn) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.timers[c] == nil {
		return
	}
	delete(i.timers, c)
	_ = c.Close() // the caller may have closed it before
}
