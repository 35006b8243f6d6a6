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
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// tickPeriod is how often the core checks deadlines.
	tickPeriod = 50 * clock.Millisecond
	// pollPeriod is how often an endpoint of the own region is asked for its load; a
	// leaving endpoint must be noticed within 3 s.
	pollPeriod = clock.Second
	// remotePolls is how many polls of the own region fall on one of another region.
	remotePolls = 2
	// pollers bounds the polls in progress.
	pollers = 32
	// reportBytes bounds a load report.
	reportBytes = 64 << 10
	// listPeriod is the time between two reads of the list, which lags anyway.
	listPeriod = 5 * clock.Second
	// listRow is the least time between two reads for each instance on the list; it
	// bounds what they take to 1.7 KB/s.
	listRow = 90 * clock.Millisecond
	// peerBundleLimit is how long a new entry waits for its peers' bundle; a megabyte
	// takes 0.1 s on the thinnest link.
	peerBundleLimit = 2 * clock.Second
	// bundleWatchers is how many entries of a region wait on the configuration service.
	bundleWatchers = 2
)

func bodyLimit(c *core.Core, _ clock.Time) ident.Bytes { return c.BodyLimit() }

func (s *Server) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod.Duration())
	defer ticker.Stop()
	for {
		s.shell.apply(core.Tick{})
		s.shell.apply(core.Peers{Live: s.node.Live(), Ready: s.node.Ready()})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// watchBundle offers what the configuration service holds to the bundle in force.
func (s *Server) watchBundle(ctx context.Context) {
	values := watch.NewValues(watch.ValuesConfig{
		URL: s.settings.Platform.Values, Name: s.settings.Platform.Value, Seed: randomNumber(),
		Watching: s.watching,
	})
	s.awaitPeers(ctx)
	_ = values.Run(ctx, func(encoded []byte) {
		if s.offer(encoded) {
			s.node.Push()
		}
	})
}

// awaitPeers waits until the peers had time to hand over the bundle that they have
// in force. Without it, a new process could take another document under the same
// version from the configuration service and differ from all others.
func (s *Server) awaitPeers(ctx context.Context) {
	var end clock.Time
	for ctx.Err() == nil && s.shell.force.Current() == nil {
		now := s.clock.Now()
		if end == 0 && s.node.Ready() {
			if len(s.node.Live()) == 0 {
				return
			}
			end = now.Add(peerBundleLimit)
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

// watching tells whether this entry is one of the few of its region that watch.
func (s *Server) watching() bool {
	var live []ident.Entry
	for _, m := range s.node.Live() {
		if m.Region == s.settings.Region && m.State == news.Alive {
			live = append(live, m.Entry)
		}
	}
	if !slices.Contains(live, s.settings.Name) {
		live = append(live, s.settings.Name)
	}
	return slices.Contains(watch.Watchers(s.settings.Platform.Value, live, bundleWatchers), s.settings.Name)
}

// offer takes in a signed bundle from the platform or a peer and tells whether it
// came into force.
func (s *Server) offer(encoded []byte) bool {
	change, err := s.shell.force.Offer(encoded)
	if err != nil {
		s.offerFailed(err)
		return false
	}
	if change.New == change.Old {
		return false
	}
	s.log.Info("bundle in force", zap.Uint64("version", uint64(change.New)), zap.Uint64("old", uint64(change.Old)))
	s.shell.apply(core.Bundled{})
	return true
}

func (s *Server) offerFailed(err error) {
	kind := fault.KindOf[bundle.Kind](err)
	if kind == bundle.KindStale {
		return
	}
	s.metrics.bundleRefused(kind)
	s.log.Error("bundle refused", zap.String("kind", string(kind)), zap.Error(err))
}

func (s *Server) watchList(ctx context.Context) {
	for period := listPeriod; ctx.Err() == nil; {
		period = s.readList(ctx, period)
	}
}

// readList reads the list until its size asks for another period, which it returns.
func (s *Server) readList(ctx context.Context, period clock.Span) clock.Span {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	next := period
	list := watch.NewList(watch.ListConfig{
		URL: s.settings.Platform.List, View: s.settings.Region, Seed: randomNumber(), Period: period,
	})
	_ = list.Run(ctx, func(instances []watch.Instance) {
		s.node.Sync(instances)
		s.shell.apply(core.Listed{Instances: instances})
		if wanted := listSpan(len(instances)); wanted > 2*period || 2*wanted < period {
			next = wanted
			cancel()
		}
	})
	return next
}

// listSpan returns the period for a list of n instances, each of which has 150 bytes.
func listSpan(n int) clock.Span { return max(listPeriod, clock.Span(n)*listRow) }

// pollEndpoints asks the endpoints for their load reports.
func (s *Server) pollEndpoints(ctx context.Context) {
	ticker := time.NewTicker(pollPeriod.Duration())
	defer ticker.Stop()
	plan := newPollPlan(s.settings.Name, s.settings.Region)
	for round := 0; ; round++ {
		s.pollRound(ctx, plan.next(round, look(s.shell, pollTargets)))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) pollRound(ctx context.Context, turns []*pollTurn) {
	ctx, cancel := context.WithTimeout(ctx, pollPeriod.Duration())
	defer cancel()
	slots := make(chan struct{}, pollers)
	var polls sync.WaitGroup
	for _, t := range turns {
		slots <- struct{}{}
		polls.Go(func() {
			defer func() { <-slots }()
			if s.poll(ctx, t.target) {
				t.failed = 0
			} else {
				t.failed++
			}
		})
	}
	polls.Wait()
	for _, region := range silentRegions(s.settings.Region, turns) {
		s.log.Warn("region does not answer", zap.String("other", string(region)))
		s.shell.apply(core.Unreached{Region: region})
	}
}

// silentEndpoints is how many endpoints of a region must have been polled in vain for
// the region to count as unreached.
const silentEndpoints = 2

// silentRegions returns the other regions of which several endpoints were polled and
// none answered.
func silentRegions(own ident.Region, turns []*pollTurn) []ident.Region {
	var regions []ident.Region
	for _, t := range turns {
		if t.target.Region != own && !slices.Contains(regions, t.target.Region) {
			regions = append(regions, t.target.Region)
		}
	}
	return slices.DeleteFunc(regions, func(r ident.Region) bool {
		polled := 0
		for _, t := range turns {
			if t.target.Region != r {
				continue
			}
			if t.failed == 0 {
				return true
			}
			polled++
		}
		return polled < silentEndpoints
	})
}

func pollTargets(c *core.Core, _ clock.Time) []fleet.Target { return c.PollTargets() }

// poll reads one report and tells whether it came.
func (s *Server) poll(ctx context.Context, e fleet.Target) bool {
	report, err := s.loadOf(ctx, e.Address)
	if err != nil {
		if ctx.Err() != nil && errors.Is(ctx.Err(), context.Canceled) {
			return false
		}
		s.shell.apply(core.Missed{Endpoint: e.Endpoint, Refused: errors.Is(err, syscall.ECONNREFUSED)})
		return false
	}
	s.shell.apply(core.Reported{Endpoint: e.Endpoint, Report: report})
	return true
}

// load is an endpoint's report as it stands on the wire.
type load struct {
	State    string         `json:"state"`
	Slots    int            `json:"slots"`
	Running  int            `json:"running"`
	Waiting  int            `json:"waiting"`
	Age      clock.Span     `json:"age"`
	Prefixes []ident.Prefix `json:"prefixes"`
	// Models is nil if the endpoint doesn't tell its models.
	Models  *[]string `json:"models"`
	Loading []string  `json:"loading"`
}

func (s *Server) loadOf(ctx context.Context, address string) (fleet.Report, error) {
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
	var l load
	if err := json.NewDecoder(io.LimitReader(resp.Body, reportBytes)).Decode(&l); err != nil {
		return fleet.Report{}, errors.Wrap(err, "load report")
	}
	report := fleet.Report{
		Age: l.Age, State: fleet.Condition(l.State), Slots: l.Slots, Running: l.Running,
		Waiting: l.Waiting, Prefixes: l.Prefixes, Loading: l.Loading,
	}
	if l.Models != nil {
		report.Lists, report.Models = true, *l.Models
	}
	return report, nil
}
