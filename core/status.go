package core

import (
	"encoding/hex"

	"github.com/tanagerbridge/tanagerbridge/burn"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/status"
)

// Counts holds the event counts since the process started.
type Counts struct {
	// Dispatched counts the first attempts; Remote counts those of them that were sent to
	// another region.
	Dispatched         int64
	Remote             int64
	Completed          int64
	Retries            int64
	Hedges             int64
	Resumed            int64
	Refused            int64
	Failed             int64
	UnknownOutcomes    int64
	CallerDisconnected int64
	Crashes            int64
	// Misrouted counts the choices of a policy outside the allowed regions, which are
	// rejected.
	Misrouted int64
}

// Counters returns the counts by name, in a fixed order.
func (c *Core) Counters() []status.Counter {
	counts, orders := c.counts, c.planner.Counts()
	return []status.Counter{
		{Name: "dispatched", Value: counts.Dispatched},
		{Name: "away", Value: counts.Remote},
		{Name: "completed", Value: counts.Completed},
		{Name: "retries", Value: counts.Retries},
		{Name: "hedges", Value: counts.Hedges},
		{Name: "resumed", Value: counts.Resumed},
		{Name: "refused", Value: counts.Refused},
		{Name: "failed", Value: counts.Failed},
		{Name: "unknown", Value: counts.UnknownOutcomes},
		{Name: "gone", Value: counts.CallerDisconnected},
		{Name: "crashes", Value: counts.Crashes},
		{Name: "misrouted", Value: counts.Misrouted},
		{Name: "ordered", Value: orders.Accepted},
		{Name: "present", Value: orders.Present},
		{Name: "outdated", Value: orders.Stale},
		{Name: "deferred", Value: orders.Deferred},
		{Name: "unordered", Value: orders.Failed},
	}
}

// Status returns the state of this entry for operators.
func (c *Core) Status(now clock.Time) status.Status {
	identity := c.bundles.Identity()
	result := status.Status{
		Entry:       c.entry,
		Region:      c.region,
		Incarnation: c.incarnation,
		State:       c.state(now),
		Version:     identity.Version,
		Digest:      hex.EncodeToString(identity.Digest[:]),
		Requests:    c.requests.count(),
		Endpoints:   c.endpoints(now),
		Counters:    c.Counters(),
	}
	for _, m := range c.members {
		result.Members = append(result.Members, status.Member{
			Name: m.Entry, Region: m.Region, State: m.State, Incarnation: m.Incarnation,
		})
	}
	if doc := c.bundles.Current(); doc != nil {
		for _, v := range doc.Services {
			result.Queues = append(result.Queues, status.Queue{Service: v.Name, Waiting: c.queue.Waiting(v.Name)})
		}
	}
	return result
}

func (c *Core) state(now clock.Time) status.State {
	switch {
	case c.bundles.Current() == nil:
		return status.Starting
	case c.draining:
		return status.Draining
	case !c.Ready(now):
		return status.Unsynchronised
	default:
		return status.Ready
	}
}

// InProgress returns the number of waiting and running requests.
func (c *Core) InProgress() int { return c.requests.count() }

// Report returns the service-level burn report of this entry.
func (c *Core) Report(now clock.Time) burn.Report { return c.burn.Report(now) }

// PollTargets returns the endpoints whose load reports must be polled.
func (c *Core) PollTargets() []fleet.Target { return c.fleet.Targets() }

func (c *Core) endpoints(now clock.Time) []status.Endpoint {
	doc := c.bundles.Current()
	if doc == nil {
		return nil
	}
	var rows []status.Endpoint
	for _, t := range c.fleet.Targets() {
		rows = append(rows, status.Endpoint{
			Name: t.Endpoint, Service: t.Service, Region: t.Region, State: shownState(c.fleet.State(t.Endpoint)),
		})
	}
	for i := range rows {
		c.fillLoad(now, &rows[i])
	}
	return rows
}

// shownState returns the displayed state of an endpoint: live ones are shown as ready, as
// they report themselves.
func shownState(state fleet.State) string {
	if state == fleet.Live {
		return string(fleet.ConditionReady)
	}
	return string(state)
}

func (c *Core) fillLoad(now clock.Time, row *status.Endpoint) {
	for _, k := range c.fleet.Candidates(now, row.Service, row.Region) {
		if k.Endpoint == row.Name {
			row.Weight, row.Load, row.OwnAttempts = k.Weight, k.Load, k.OwnAttempts
		}
	}
}
