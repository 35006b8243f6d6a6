package entry

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/logs"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// tickPeriod is how often the core checks deadlines.
	tickPeriod = 50 * clock.Millisecond
	// pollPeriod is how often endpoints of the own region are polled for their load; a
	// leaving endpoint must be detected within 3 s.
	pollPeriod = clock.Second
	// remotePollRounds is the poll period of endpoints of other regions, in rounds.
	remotePollRounds = 2
	// maxConcurrentPolls bounds the polls in progress.
	maxConcurrentPolls = 32
	// maxReportBytes bounds the size of a load report.
	maxReportBytes = 64 << 10
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

func bodyLimit(c *core.Core, _ clock.Time) ident.Bytes { return c.BodyLimit() }

func (s *Server) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod.Duration())
	defer ticker.Stop()
	for {
		s.shell.apply(core.Tick{})
		s.shell.apply(core.MembersUpdated{Live: s.node.Live(), Ready: s.node.Ready()})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

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

// pollEndpoints polls the endpoints for their load reports until ctx is cancelled.
func (s *Server) pollEndpoints(ctx context.Context) {
	ticker := time.NewTicker(pollPeriod.Duration())
	defer ticker.Stop()
	schedule := newPollSchedule(s.settings.Name, s.settings.Region)
	for round := 0; ; round++ {
		s.pollRound(ctx, schedule.next(round, withCore(s.shell, pollTargets)))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) pollRound(ctx context.Context, due []*pollState) {
	ctx, cancel := context.WithTimeout(ctx, pollPeriod.Duration())
	defer cancel()
	slots := make(chan struct{}, maxConcurrentPolls)
	var polls sync.WaitGroup
	for _, t := range due {
		slots <- struct{}{}
		polls.Go(func() {
			defer func() { <-slots }()
			if s.pollEndpoint(ctx, t.target) {
				t.failures = 0
			} else {
				t.failures++
			}
		})
	}
	polls.Wait()
	for _, region := range silentRegions(s.settings.Region, due) {
		s.log.Warn("no endpoint of region answers", zap.String("other", string(region)))
		s.shell.apply(core.RegionUnreachable{Region: region})
	}
}

// minSilentEndpoints is how many polled endpoints of a region must have failed for the
// region to count as unreachable.
const minSilentEndpoints = 2

// silentRegions returns the other regions in which at least minSilentEndpoints endpoints
// were polled and none answered.
func silentRegions(own ident.Region, due []*pollState) []ident.Region {
	var regions []ident.Region
	for _, t := range due {
		if t.target.Region != own && !slices.Contains(regions, t.target.Region) {
			regions = append(regions, t.target.Region)
		}
	}
	return slices.DeleteFunc(regions, func(r ident.Region) bool {
		polled := 0
		for _, t := range due {
			if t.target.Region != r {
				continue
			}
			if t.failures == 0 {
				return true
			}
			polled++
		}
		return polled < minSilentEndpoints
	})
}

func pollTargets(c *core.Core, _ clock.Time) []fleet.Target { return c.PollTargets() }

// pollEndpoint reads a load report, applies the result to the core and reports whether the
// poll succeeded.
func (s *Server) pollEndpoint(ctx context.Context, target fleet.Target) bool {
	report, err := s.fetchLoad(ctx, target.Address)
	if err != nil {
		if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
			return false
		}
		s.shell.apply(core.ReportMissed{Endpoint: target.Endpoint, Refused: errors.Is(err, syscall.ECONNREFUSED)})
		return false
	}
	s.shell.apply(core.LoadReported{Endpoint: target.Endpoint, Report: report})
	return true
}

// loadReport is the JSON encoding of an endpoint's load report.
type loadReport struct {
	State    string         `json:"state"`
	Slots    int            `json:"slots"`
	Running  int            `json:"running"`
	Waiting  int            `json:"waiting"`
	Age      clock.Span     `json:"age"`
	Prefixes []ident.Prefix `json:"prefixes"`
	// Models is nil if the endpoint doesn't report its models.
	Models  *[]string `json:"models"`
	Loading []string  `json:"loading"`
}

func (s *Server) fetchLoad(ctx context.Context, address string) (report fleet.Report, err error) {
	defer logs.RecoverPanic(s.log, "load report", func() {
		s.countPanic()
		err = errors.New("load report: internal error")
	})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/load", http.NoBody)
	if err != nil {
		return fleet.Report{}, err
	}
	resp, err := s.client.send(req, false)
	if err != nil {
		return fleet.Report{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fleet.Report{}, errors.Errorf("load report: status %d", resp.StatusCode)
	}
	var decoded loadReport
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&decoded); err != nil {
		return fleet.Report{}, errors.Wrap(err, "load report")
	}
	report = fleet.Report{
		Age: decoded.Age, State: fleet.Condition(decoded.State), Slots: decoded.Slots, Running: decoded.Running,
		Waiting: decoded.Waiting, Prefixes: decoded.Prefixes, Loading: decoded.Loading,
	}
	if decoded.Models != nil {
		report.ListsModels, report.Models = true, *decoded.Models
	}
	return report, nil
}
