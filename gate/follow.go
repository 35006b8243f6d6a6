package gate

import (
	"context"
	"math/rand/v2"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/mesh"
	"github.com/tanagerbridge/tanagerbridge/store"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// storeReaderCount is how many instances of a region read the store; the others query them. Calls
	// to the store are rate-limited and billed.
	storeReaderCount = 3
	// syncInterval is the interval at which the readers are queried.
	syncInterval = 500 * clock.Millisecond
	// directSpan is how long an instance reads the store itself after its queries have failed.
	directSpan = 2 * clock.Second
	// A new instance takes the first data from another one of its region. It waits discoveryTime to
	// learn of others. If it is none of those that read first, it waits startupPatience, and a random
	// part of startupSpread, before it reads the store itself: if all did so at once after a loss of
	// all instances, the links to the store would be overloaded.
	discoveryTime   = 250 * clock.Millisecond
	startupPatience = 2 * clock.Second
	startupSpread   = 2 * clock.Second
	// startupRetry and maxStartupRetry bound the wait between two attempts to get the first data. It
	// doubles with each, since at first many instances ask the few that have the data.
	startupRetry    = 30 * clock.Millisecond
	maxStartupRetry = 500 * clock.Millisecond
)

// backoff is the wait before the next attempt; it doubles with each one.
type backoff struct {
	next clock.Span
}

// nextSpan returns the next wait, which is random around the current one.
func (b *backoff) nextSpan() clock.Span {
	span := max(startupRetry, b.next)
	b.next = min(maxStartupRetry, 2*span)
	return span/2 + clock.Span(rand.Int64N(int64(span)))
}

// regionPeers returns the other instances of this region that are ready.
func (s *Server) regionPeers() []mesh.Record {
	return slices.DeleteFunc(s.node.Alive(), func(r mesh.Record) bool { return r.Region != s.settings.Region })
}

// storeReaders returns the instances of the region that read the store, as far as this one knows.
func (s *Server) storeReaders(peers []mesh.Record) []ident.Entry {
	names := []ident.Entry{s.settings.Name}
	for _, r := range peers {
		names = append(names, r.Name)
	}
	return watch.Rendezvous("list", names, storeReaderCount)
}

// readsStore reports whether this instance reads the store itself now.
func (s *Server) readsStore() bool {
	return s.clock.Now().Before(clock.Time(s.directUntil.Load())) || slices.Contains(s.storeReaders(s.regionPeers()), s.settings.Name)
}

// followList keeps the list of endpoints up to date: by reading the store, or by querying an
// instance that does, which also tells changes of the configuration.
func (s *Server) followList(ctx context.Context, follower *store.Follower) {
	var retry backoff
	for ctx.Err() == nil {
		switch {
		case !s.state.listed.Load():
			s.fetchFirstList(ctx, follower, &retry)
		case s.readsStore():
			follower.Resume(s.state.listRevision())
			follower.Step(ctx)
		case s.syncWithReaders(ctx):
			clock.Sleep(ctx, syncInterval)
		default:
			s.directUntil.Store(int64(s.clock.Now().Add(directSpan)))
		}
	}
}

// fetchFirstList gets the list from another instance, if there is one, or from the store.
func (s *Server) fetchFirstList(ctx context.Context, follower *store.Follower, retry *backoff) {
	peers := s.regionPeers()
	switch {
	case len(peers) > 0 && s.syncFrom(ctx, peers[s.randomUint64()%uint64(len(peers))], s.freshLimits()):
	case s.mayReadFirst():
		follower.Step(ctx)
	case len(peers) > 0:
		clock.Sleep(ctx, retry.nextSpan())
	default:
		clock.Sleep(ctx, startupRetry)
	}
}

// mayReadFirst reports whether a new instance may read the store already. The seeds do so at once:
// there are few of them, and others learn of them first.
func (s *Server) mayReadFirst() bool {
	if slices.Contains(s.settings.Seeds, s.node.Address()) {
		return true
	}
	elapsed := s.clock.Now().Sub(s.started)
	starting := s.node.StartingInRegion()
	switch {
	case elapsed < discoveryTime:
		return false
	case elapsed > startupPatience+s.startupDelay:
		return true
	case len(starting) == 0:
		return len(s.regionPeers()) == 0
	default:
		return slices.Contains(s.storeReaders(starting), s.settings.Name)
	}
}

// followControl keeps the configuration up to date while this instance reads the store.
func (s *Server) followControl(ctx context.Context, follower *store.Follower) {
	for ctx.Err() == nil {
		switch known := s.state.table.Load() != nil; {
		case known && !s.readsStore():
			clock.Sleep(ctx, syncInterval/2)
		case !known && !s.mayReadFirst():
			clock.Sleep(ctx, startupRetry)
		default:
			follower.Resume(s.state.controlRevision())
			follower.Step(ctx)
		}
	}
}

// syncWithReaders queries a reader of the store and, if that fails, another one. It reports whether
// the data are as fresh as those of the store.
func (s *Server) syncWithReaders(ctx context.Context) bool {
	peers := s.regionPeers()
	readers := s.storeReaders(peers)
	first := int(s.randomUint64() % uint64(len(readers)))
	for n := range min(2, len(readers)) {
		name := readers[(first+n)%len(readers)]
		index := slices.IndexFunc(peers, func(r mesh.Record) bool { return r.Name == name })
		if index >= 0 && s.syncFrom(ctx, peers[index], s.freshLimits()) {
			s.state.recordAnswer()
			return true
		}
	}
	return false
}
