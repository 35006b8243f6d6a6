package core

import (
	"encoding/hex"

	"github.com/tanagerbridge/tanagerbridge/burn"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/status"
)

// Counts counts what the core did since the process started.
type Counts struct {
	Dispatched int64
	Away       int64
	Completed  int64
	Retries    int64
	Hedges     int64
	Resumed    int64
	Refused    int64
	Failed     int64
	Unknown    int64
	Gone       int64
	Crashes    int64
	// Misrouted counts choices of a policy outside the allowed regions; they are not carried out.
	Misrouted int64
}

// Counters lists the counts with their names, in a fixed order.
func (c *Core) Counters() []status.Counter {
	k, o := c.counts, c.planner.Counts()
	return []status.Counter{
		{Name: "dispatched", Value: k.Dispatched},
		{Name: "away", Value: k.Away},
		{Name: "completed", Value: k.Completed},
		{Name: "retries", Value: k.Retries},
		{Name: "hedges", Value: k.Hedges},
		{Name: "resumed", Value: k.Resumed},
		{Name: "refused", Value: k.Refused},
		{Name: "failed", Value: k.Failed},
		{Name: "unknown", Value: k.Unknown},
		{Name: "gone", Value: k.Gone},
		{Name: "crashes", Value: k.Crashes},
		{Name: "misrouted", Value: k.Misrouted},
		{Name: "ordered", Value: o.Accepted},
		{Name: "present", Value: o.Present},
		{Name: "outdated", Value: o.Stale},
		{Name: "deferred", Value: o.Later},
		{Name: "unordered", Value: o.Failed},
	}
}

// Status returns what operators see of this entry.
func (c *Core) Status(now clock.Time) status.Status {
	mark := c.force.Mark()
	s := status.Status{
		Entry:       c.entry,
		Region:      c.region,
		Incarnation: c.incarnation,
		State:       c.state(now),
		Version:     mark.Version,
		Digest:      hex.EncodeToString(mark.Digest[:]),
		Requests:    c.requests.count(),
		Endpoints:   c.endpoints(now),
		Counters:    c.Counters(),
	}
	for _, m := range c.members {
		s.Members = append(s.Members, status.Member{
			Name: m.Entry, Region: m.Region, State: m.State, Incarnation: m.Incarnation,
		})
	}
	if doc := c.force.Current(); doc != nil {
		for _, v := range doc.Services {
			s.Queues = append(s.Queues, status.Queue{Service: v.Name, Waiting: c.queue.Waiting(v.Name)})
		}
	}
	return s
}

func (c *Core) state(now clock.Time) status.State {
	switch {
	case c.force.Current() == nil:
		return status.Starting
	case c.draining:
		return status.Draining
	case !c.Ready(now):
		return status.Unsynchronised
	default:
		return status.Ready
	}
}

// InProgress returns the number of requests that wait or run.
func (c *Core) InProgress() int { return c.requests.count() }

// Report returns the service-level burn of this entry.
func (c *Core) Report(now clock.Time) burn.Report { return c.burn.Report(now) }

// PollTargets returns the endpoints whose load reports should be read.
func (c *Core) PollTargets() []fleet.Target { return c.fleet.Targets() }

func (c *Core) endpoints(now clock.Time) []status.Endpoint {
	doc := c.force.Current()
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

// shownState names an endpoint's state as it reports it itself where it can.
func shownState(s fleet.State) string {
	if s == fleet.Live {
		return string(fleet.ConditionReady)
	}
	return string(s)
}

func (c *Core) fillLoad(now clock.Time, row *status.Endpoint) {
	for _, k := range c.fleet.Candidates(now, row.Service, row.Region) {
		if k.Endpoint == row.Name {
			row.Weight, row.Load, row.Mine = k.Weight, k.Load, k.Mine
		}
	}
}
