package gate

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/mesh"
	"github.com/tanagerbridge/tanagerbridge/store"
)

const (
	// syncInterval is the interval at which the readers are queried.
	syncInterval = 500 * clock.Millisecond
	// startupRetry and maxStartupRetry bound the wait between two attempts to get the first data. It
	// doubles with each, since at first many instances ask the few that have the data.
	startupRetry    = 30 * clock.Millisecond
	maxStartupRetry = 500 * clock.Millisecond
)

func newStartupBackoff() clock.Backoff {
	return clock.Backoff{First: startupRetry, Last: maxStartupRetry}
}

// randomAround returns a random span from half to one and a half of the given one.
func randomAround(span clock.Span) clock.Span {
	return span/2 + clock.Span(rand.Int64N(int64(span)))
}

// regionPeers returns the other instances of this region that are ready.
func (s *Server) regionPeers() []mesh.Record {
	return slices.DeleteFunc(s.node.Alive(), func(r mesh.Record) bool { return r.Region != s.settings.Region })
}

// readerPolicy returns the policy for this instance.
func (s *Server) readerPolicy() readerPolicy {
	return readerPolicy{self: s.settings.Name, seed: slices.Contains(s.settings.Seeds, s.node.Address()), startupDelay: s.startupDelay}
}

// readsStore reports whether this instance reads the store itself now.
func (s *Server) readsStore() bool {
	return s.clock.Now().Before(clock.Time(s.directUntil.Load())) || s.readerPolicy().reads(namesOf(s.regionPeers()))
}

func namesOf(records []mesh.Record) (names []ident.Entry) {
	for _, r := range records {
		names = append(names, r.Name)
	}
	return names
}

// followList keeps the list of endpoints up to date: by reading the store, or by querying an
// instance that does, which also tells changes of the configuration.
func (s *Server) followList(ctx context.Context, follower *store.Follower) {
	retry := newStartupBackoff()
	for ctx.Err() == nil {
		switch {
		case !s.state.listed.Load():
			s.fetchFirstList(ctx, follower, &retry)
		case s.readsStore():
			follower.Resume(s.state.listPosition())
			follower.Step(ctx)
		case s.syncWithReaders(ctx):
			clock.Sleep(ctx, syncInterval)
		default:
			s.directUntil.Store(int64(s.clock.Now().Add(directSpan)))
		}
	}
}

// fetchFirstList gets the list from another instance, if there is one, or from the store.
func (s *Server) fetchFirstList(ctx context.Context, follower *store.Follower, retry *clock.Backoff) {
	peers := s.regionPeers()
	switch {
	case len(peers) > 0 && s.syncFrom(ctx, peers[s.randomUint64()%uint64(len(peers))], firstLimits(s.settings)):
	case s.mayReadFirst(peers):
		follower.Step(ctx)
	case len(peers) > 0:
		clock.Sleep(ctx, randomAround(retry.Next()))
	default:
		clock.Sleep(ctx, startupRetry)
	}
}

// mayReadFirst reports whether this instance, which has no data, may read the store already. ready
// are the other instances of the region that have data.
func (s *Server) mayReadFirst(ready []mesh.Record) bool {
	return s.readerPolicy().readsFirst(s.clock.Now().Sub(s.started), namesOf(s.node.StartingInRegion()), namesOf(ready))
}

// followControl keeps the configuration up to date while this instance reads the store.
func (s *Server) followControl(ctx context.Context, follower *store.Follower) {
	for ctx.Err() == nil {
		switch known := s.state.table.Load() != nil; {
		case known && !s.readsStore():
			clock.Sleep(ctx, syncInterval/2)
		case !known && !s.mayReadFirst(s.regionPeers()):
			clock.Sleep(ctx, startupRetry)
		default:
			follower.Resume(s.state.controlPosition())
			follower.Step(ctx)
		}
	}
}

// syncWithReaders queries a reader of the store and, if that fails, another one. It reports whether
// the data are as fresh as those of the store.
func (s *Server) syncWithReaders(ctx context.Context) bool {
	peers := s.regionPeers()
	for _, name := range s.readerPolicy().sources(namesOf(peers), s.randomUint64()) {
		index := slices.IndexFunc(peers, func(r mesh.Record) bool { return r.Name == name })
		if index >= 0 && s.syncFrom(ctx, peers[index], freshLimits(s.settings)) {
			s.state.recordAnswer()
			return true
		}
	}
	return false
}
