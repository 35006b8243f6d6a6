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

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/logs"
)

const (
	// pollPeriod is how often endpoints of the own region are polled for their load; a
	// leaving endpoint must be detected within 3 s.
	pollPeriod = clock.Second
	// remotePollRounds is the poll period of endpoints of other regions, in rounds.
	remotePollRounds = 2
	// maxConcurrentPolls bounds the polls in progress.
	maxConcurrentPolls = 32
	// maxReportBytes bounds the size of a load report.
	maxReportBytes = 64 << 10
)

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
