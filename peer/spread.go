package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/wire"
)

const (
	// coalesce is how long a push waits for more news.
	coalesce = 50 * time.Millisecond
	// maxPushes bounds the pushes in progress: each may need a new connection.
	maxPushes = 32

	// fetchTime bounds one fetch: 1 MB takes 0.1 s at 100 Mbit/s, on a link that others use.
	fetchTime = 5 * time.Second
	// refetch is the wait after a bundle was fetched and offered. A peer that keeps naming
	// it has one that this entry rejects.
	refetch = clock.Minute
	// retryFetch is the wait after a failed fetch.
	retryFetch = 500 * clock.Millisecond
	// maxFetches bounds the bundles that are remembered as fetched.
	maxFetches = 64
)

// Push sends the news to all live members at once, together with other news of the
// next 50 ms. It does not wait.
func (n *Node) Push() {
	select {
	case n.urgent <- struct{}{}:
	default:
	}
}

func (n *Node) push(ctx context.Context) {
	slots := make(chan struct{}, maxPushes)
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.urgent:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(coalesce):
		}
		// News that came during the wait is part of this push.
		select {
		case <-n.urgent:
		default:
		}
		for _, m := range n.Live() {
			n.pushTo(ctx, m.Entry, slots)
		}
	}
}

// pushTo pushes to one member. While a push to it is in progress, further ones are
// merged into one that follows, so a member that hangs costs one slot.
func (n *Node) pushTo(ctx context.Context, to ident.Entry, slots chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, busy := n.pushes[to]; busy {
		n.pushes[to] = true
		return
	}
	n.pushes[to] = false
	n.wait.Go(func() {
		for again := true; again; {
			n.pushOnce(ctx, to, slots)
			again = n.pushed(to) && ctx.Err() == nil
		}
	})
}

func (n *Node) pushOnce(ctx context.Context, to ident.Entry, slots chan struct{}) {
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-slots }()
	n.mu.Lock()
	if _, busy := n.pushes[to]; busy {
		n.pushes[to] = false // what is sent from here on has all news so far
	}
	n.mu.Unlock()
	ctx, cancel := n.limit(ctx)
	defer cancel()
	n.meter.pushes.Inc(1)
	if err := n.ping(ctx, to, 0); err != nil {
		n.meter.unpushed.Inc(1)
		n.c.Log.Debug("push", zap.String("to", string(to)), zap.Error(err))
	}
}

func (n *Node) pushed(to ident.Entry) (again bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	again = n.pushes[to]
	if !again {
		delete(n.pushes, to)
	}
	return again
}

// fetches holds when a bundle may be fetched again.
type fetches map[news.Bundle]clock.Time

func (f fetches) begin(now clock.Time, b news.Bundle) bool {
	for old, at := range f {
		if at.Before(now) {
			delete(f, old)
		}
	}
	if _, ok := f[b]; ok || len(f) >= maxFetches {
		return false
	}
	f[b] = now.Add(refetch)
	return true
}

// compare fetches a peer's bundle if it is newer than the one in force here. It also
// fetches one with the same version and another digest, so that the conflict is counted.
func (n *Node) compare(from ident.Entry, theirs news.Bundle) {
	ours := n.c.Core.News().Bundle
	if theirs.Version == 0 || theirs.Version < ours.Version || theirs == ours {
		return
	}
	n.mu.Lock()
	begin := n.fetches.begin(n.now(), theirs)
	n.mu.Unlock()
	if begin {
		n.wait.Go(func() { n.fetch(from, theirs) })
	}
}

func (n *Node) fetch(from ident.Entry, b news.Bundle) {
	log := n.c.Log.With(zap.String("from", string(from)), zap.Uint64("version", uint64(b.Version)))
	encoded, err := n.download(from)
	if err != nil {
		n.mu.Lock()
		n.fetches[b] = n.now().Add(retryFetch)
		n.mu.Unlock()
		n.meter.unfetched.Inc(1)
		log.Warn("fetch", zap.Error(err))
		return
	}
	n.meter.fetches.Inc(1)
	n.c.Core.Offer(encoded)
	log.Info("fetched")
}

func (n *Node) download(from ident.Entry) ([]byte, error) {
	address, ok := n.address(from)
	if !ok {
		return nil, fault.Newf("fetch", Unreachable, "%s has no address", from)
	}
	ctx, cancel := context.WithTimeout(context.Background(), fetchTime)
	defer cancel()
	g, err := wire.Call[fetch, given](ctx, n.client, address, fetchKind, fetch{})
	if err != nil {
		return nil, fault.Wrap("fetch", Unreachable, err)
	}
	if len(g.Bundle) == 0 {
		return nil, fault.Newf("fetch", Unreachable, "%s has no bundle", from)
	}
	return g.Bundle, nil
}

func (n *Node) fetched(context.Context, wire.Peer, fetch) (given, error) {
	return given{Bundle: n.c.Core.Bundle()}, nil
}
