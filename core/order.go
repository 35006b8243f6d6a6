package core

import (
	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/gossip"
)

// planInterval is the interval between two checks for models that engines lack.
const planInterval = clock.Second

// planOrders orders models for engines. After a pause of the process it waits for one
// interval, in which it can learn that its state is out of date.
func (c *Core) planOrders(now clock.Time, paused bool) {
	if paused {
		c.lastPlanned = now
		return
	}
	if now.Sub(c.lastPlanned) < planInterval {
		return
	}
	c.lastPlanned = now
	if !c.mayOrder(now) {
		return
	}
	for _, o := range c.planner.Plan(now, c.planView()) {
		c.emit(Order{o})
	}
}

func (c *Core) mayOrder(now clock.Time) bool { return c.Ready(now) && !c.draining }

// MaySendOrder reports whether a model order may still be sent.
func (c *Core) MaySendOrder(now clock.Time, number assign.OrderNumber) bool {
	return c.mayOrder(now) && c.planner.MaySend(now, number, c.bundles.Current().Version)
}

func (c *Core) planView() assign.View {
	result := assign.View{
		Document: c.bundles.Current(),
		Live:     []assign.Member{{Entry: c.entry, Region: c.region}},
	}
	for _, m := range c.members {
		if m.State == gossip.Alive && m.Entry != c.entry {
			result.Live = append(result.Live, assign.Member{Entry: m.Entry, Region: m.Region})
		}
	}
	for _, t := range c.fleet.Targets() {
		result.Engines = append(result.Engines, assign.Engine{
			Endpoint: t.Endpoint, Address: t.Address, Service: t.Service, Region: t.Region,
			Leaving: c.fleet.State(t.Endpoint) == fleet.Leaving,
		})
	}
	return result
}
