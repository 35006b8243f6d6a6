package core

import (
	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/news"
)

// planPeriod is the time between two looks at what models engines lack.
const planPeriod = clock.Second

// plan orders models for engines. A process that was stopped waits one period, in
// which it learns that it is out of date.
func (c *Core) plan(now clock.Time, paused bool) {
	if paused {
		c.planned = now
		return
	}
	if now.Sub(c.planned) < planPeriod {
		return
	}
	c.planned = now
	if !c.mayOrder(now) {
		return
	}
	for _, o := range c.planner.Plan(now, c.planView()) {
		c.act(Order{o})
	}
}

func (c *Core) mayOrder(now clock.Time) bool { return c.Ready(now) && !c.draining }

// ConfirmOrder tells whether a model order may still be sent.
func (c *Core) ConfirmOrder(now clock.Time, n assign.Number) bool {
	return c.mayOrder(now) && c.planner.Confirm(now, n, c.force.Current().Version)
}

func (c *Core) planView() assign.View {
	v := assign.View{
		Document: c.force.Current(),
		Live:     []assign.Member{{Entry: c.entry, Region: c.region}},
	}
	for _, m := range c.members {
		if m.State == news.Alive && m.Entry != c.entry {
			v.Live = append(v.Live, assign.Member{Entry: m.Entry, Region: m.Region})
		}
	}
	for _, t := range c.fleet.Targets() {
		v.Runners = append(v.Runners, assign.Runner{
			Endpoint: t.Endpoint, Address: t.Address, Service: t.Service, Region: t.Region,
			Leaving: c.fleet.State(t.Endpoint) == fleet.Leaving,
		})
	}
	return v
}
