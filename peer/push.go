package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/wire"
)

const (
	// pushDelay is how long a push is delayed to include further updates.
	pushDelay = 50 * time.Millisecond
	// maxPushes bounds the concurrent pushes, since each may open a new connection.
	maxPushes = 32

	// fetchTimeout bounds a bundle fetch: 1 MB takes 0.1 s at 100 Mbit/s, but the link is
	// shared.
	fetchTimeout = 5 * time.Second
	// refetchDelay is the time before a fetched bundle is fetched again. If a peer still
	// announces it, this entry has rejected it.
	refetchDelay = clock.Minute
	// fetchRetryDelay is the delay after a failed fetch.
	fetchRetryDelay = 500 * clock.Millisecond
	// maxFetchTimes bounds the recently fetched bundles that are tracked.
	maxFetchTimes = 64
)

// PushGossip sends the current gossip to all live members ahead of the next probes, after 50 ms
// in which further updates are included. It does not block.
func (n *Node) PushGossip() {
	select {
	case n.pushRequests <- struct{}{}:
	default:
	}
}

func (n *Node) pushLoop(ctx context.Context) {
	slots := make(chan struct{}, maxPushes)
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.pushRequests:
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pushDelay):
		}
		// Updates that were requested during the delay are part of this push.
		select {
		case <-n.pushRequests:
		default:
		}
		for _, m := range n.Live() {
			n.startPush(ctx, m.Entry, slots)
		}
	}
}

// startPush pushes to one member. Requests during a push to it are coalesced into one
// that follows, so an unresponsive member takes one slot only.
func (n *Node) startPush(ctx context.Context, to ident.Entry, slots chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, busy := n.pushes[to]; busy {
		n.pushes[to] = true
		return
	}
	n.pushes[to] = false
	n.tasks.Go(func() {
		for again := true; again; {
			n.sendPush(ctx, to, slots)
			again = n.finishPush(to) && ctx.Err() == nil
		}
	})
}

func (n *Node) sendPush(ctx context.Context, to ident.Entry, slots chan struct{}) {
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-slots }()
	n.mu.Lock()
	if _, busy := n.pushes[to]; busy {
		n.pushes[to] = false // the message sent below includes all updates so far
	}
	n.mu.Unlock()
	ctx, cancel := n.withProbeTimeout(ctx)
	defer cancel()
	n.counters.pushes.Inc(1)
	if err := n.sendPing(ctx, to, 0); err != nil {
		n.counters.unpushed.Inc(1)
		n.config.Log.Debug("push failed", zap.String("to", string(to)), zap.Error(err))
	}
}

func (n *Node) finishPush(to ident.Entry) (again bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	again = n.pushes[to]
	if !again {
		delete(n.pushes, to)
	}
	return again
}

// fetchTimes maps fetched bundles to the time from which they may be fetched again.
type fetchTimes map[gossip.Bundle]clock.Time

func (f fetchTimes) reserve(now clock.Time, bundle gossip.Bundle) bool {
	for old, readyAt := range f {
		if readyAt.Before(now) {
			delete(f, old)
		}
	}
	if _, ok := f[bundle]; ok || len(f) >= maxFetchTimes {
		return false
	}
	f[bundle] = now.Add(refetchDelay)
	return true
}

// fetchIfNewer fetches a peer's bundle if its version is newer than the one in force. It
// also fetches one with the same version and another digest, so that the conflict is counted.
func (n *Node) fetchIfNewer(from ident.Entry, theirs gossip.Bundle) {
	ours := n.config.Delegate.Gossip().Bundle
	if theirs.Version == 0 || theirs.Version < ours.Version || theirs == ours {
		return
	}
	n.mu.Lock()
	begin := n.fetchTimes.reserve(n.now(), theirs)
	n.mu.Unlock()
	if begin {
		n.tasks.Go(func() { n.fetchBundle(from, theirs) })
	}
}

func (n *Node) fetchBundle(from ident.Entry, bundle gossip.Bundle) {
	log := n.config.Log.With(zap.String("from", string(from)), zap.Uint64("version", uint64(bundle.Version)))
	encoded, err := n.downloadBundle(from)
	if err != nil {
		n.mu.Lock()
		n.fetchTimes[bundle] = n.now().Add(fetchRetryDelay)
		n.mu.Unlock()
		n.counters.unfetched.Inc(1)
		log.Warn("bundle fetch failed", zap.Error(err))
		return
	}
	n.counters.fetches.Inc(1)
	n.config.Delegate.OfferBundle(encoded)
	log.Info("bundle fetched")
}

func (n *Node) downloadBundle(from ident.Entry) ([]byte, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	reply, err := call[fetchRequest, fetchReply](ctx, n, "fetch", from, fetchKind, fetchRequest{})
	if err != nil {
		return nil, err
	}
	if len(reply.Bundle) == 0 {
		return nil, fault.Newf("fetch", KindUnreachable, "%s has no bundle", from)
	}
	return reply.Bundle, nil
}

func (n *Node) handleFetch(context.Context, wire.Peer, fetchRequest) (fetchReply, error) {
	return fetchReply{Bundle: n.config.Delegate.Bundle()}, nil
}
