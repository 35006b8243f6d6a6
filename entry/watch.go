package entry

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// listPeriod is the minimum time between reads of the list, which lags anyway.
	listPeriod = 5 * clock.Second
	// listPeriodPerInstance times the length of the list is the time between reads of a
	// long list; it limits the traffic to 1.7 KB/s.
	listPeriodPerInstance = 90 * clock.Millisecond
	// peerBundleTimeout is how long a new entry waits for its peers' bundle; a megabyte
	// takes 0.1 s on the slowest link.
	peerBundleTimeout = 2 * clock.Second
	// bundleWatchers is how many entries per region watch the configuration service.
	bundleWatchers = 2
)

// watchBundle reads signed bundles from the configuration service and pushes new ones.
func (s *Server) watchBundle(ctx context.Context) {
	reader := watch.NewValueReader(watch.ValueReaderConfig{
		URL: s.settings.Platform.ConfigURL, Name: s.settings.Platform.BundleName, Seed: randomNumber(),
		IsWatcher: s.isWatcher,
	})
	s.awaitPeerBundle(ctx)
	_ = reader.Run(ctx, func(encoded []byte) {
		if s.offerBundle(encoded) {
			s.node.PushGossip()
		}
	})
}

// awaitPeerBundle waits for a bundle from the peers, at most peerBundleTimeout after the
// node is ready. Without it, a new process could read a different document with the same
// version from the configuration service and conflict with all others.
func (s *Server) awaitPeerBundle(ctx context.Context) {
	var end clock.Time
	for ctx.Err() == nil && s.shell.bundles.Current() == nil {
		now := s.clock.Now()
		if end == 0 && s.node.Ready() {
			if len(s.node.Live()) == 0 {
				return
			}
			end = now.Add(peerBundleTimeout)
		}
		if end != 0 && now.After(end) {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(tickPeriod.Duration()):
		}
	}
}

// isWatcher reports whether this entry is one of its region's bundle watchers.
func (s *Server) isWatcher() bool {
	var live []ident.Entry
	for _, m := range s.node.Live() {
		if m.Region == s.settings.Region && m.State == gossip.Alive {
			live = append(live, m.Entry)
		}
	}
	if !slices.Contains(live, s.settings.Name) {
		live = append(live, s.settings.Name)
	}
	return slices.Contains(watch.Rendezvous(s.settings.Platform.BundleName, live, bundleWatchers), s.settings.Name)
}

// offerBundle validates a signed bundle from the platform or a peer and reports whether it
// came into force.
func (s *Server) offerBundle(encoded []byte) bool {
	change, err := s.shell.bundles.Offer(encoded)
	if err != nil {
		s.reportOfferError(err)
		return false
	}
	if change.New == change.Old {
		return false
	}
	s.log.Info("bundle in force", zap.Uint64("version", uint64(change.New)), zap.Uint64("old", uint64(change.Old)))
	s.shell.apply(core.BundleChanged{})
	return true
}

func (s *Server) reportOfferError(err error) {
	kind := fault.KindOf[bundle.Kind](err)
	if kind == bundle.KindStale {
		return
	}
	s.metrics.countBundleRefusal(kind)
	s.log.Error("bundle refused", zap.String("kind", string(kind)), zap.Error(err))
}

func (s *Server) watchList(ctx context.Context) {
	for period := listPeriod; ctx.Err() == nil; {
		period = s.readList(ctx, period)
	}
}

// readList reads the list with the given period until its length requires another one,
// which it returns.
func (s *Server) readList(ctx context.Context, period clock.Span) clock.Span {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := period
	list := watch.NewListReader(watch.ListReaderConfig{
		URL: s.settings.Platform.InstancesURL, View: s.settings.Region, Seed: randomNumber(), Period: period,
	})
	_ = list.Run(ctx, func(instances []watch.Instance) {
		s.node.Sync(instances)
		s.shell.apply(core.InstancesListed{Instances: instances})
		if wanted := listPeriodFor(len(instances)); wanted > 2*period || 2*wanted < period {
			next = wanted
			cancel()
		}
	})
	return next
}

// listPeriodFor returns the period for a list of n instances of about 150 bytes each.
func listPeriodFor(n int) clock.Span { return max(listPeriod, clock.Span(n)*listPeriodPerInstance) }
