package gate

import (
	"context"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/store"
)

const (
	// refreshTimeout bounds the wait for a list that is read now, and for a record that is asked for at the same
	// time. refreshInterval bounds the rate of such reads: many streams may be resumed at once, and one read serves
	// all that waited for it.
	refreshTimeout  = 250 * clock.Millisecond
	refreshInterval = 100 * clock.Millisecond
)

// refreshList brings the list up to a time and reports whether it is complete as of then. Instances that otherwise
// query others read the store too: the answer of another one may be older.
func (s *Server) refreshList(ctx context.Context, until clock.Time) bool {
	select {
	case s.refreshing <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-s.refreshing }()
	if s.state.listRead() >= until {
		return true // read for a request that waited before this one
	}
	if pause := s.refreshedAt.Add(refreshInterval).Sub(s.clock.Now()); pause > 0 && !clock.Sleep(ctx, pause) {
		return false
	}
	s.refreshedAt = s.clock.Now()
	position := s.state.listPosition()
	if !position.Known() {
		return false
	}
	update, err := store.ReadChanges(ctx, s.source, s.refreshedAt, s.source.EndpointPrefix(), position)
	if err != nil {
		s.log.Info("reading the list for a resumed stream failed", zap.Error(err))
		return false
	}
	s.state.applyOwnList(update)
	return s.state.listRead() >= until
}
