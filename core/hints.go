package core

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
)

// hints holds the last load summary of each service and region. They come from
// other entries and may be old; the policy judges their age.
type hints struct {
	rows []hint
}

type hint struct {
	load news.Load
	at   clock.Time
}

func (h *hints) put(now clock.Time, l news.Load) {
	at := now - clock.Time(l.Age)
	for i := range h.rows {
		row := &h.rows[i]
		if row.load.Service != l.Service || row.load.Region != l.Region {
			continue
		}
		if at.After(row.at) {
			row.load, row.at = l, at
		}
		return
	}
	h.rows = append(h.rows, hint{load: l, at: at})
}

func (h *hints) get(now clock.Time, s ident.Service, region ident.Region) (news.Load, bool) {
	for _, row := range h.rows {
		if row.load.Service == s && row.load.Region == region {
			l := row.load
			l.Age = now.Sub(row.at)
			return l, true
		}
	}
	return news.Load{}, false
}

func (v view) Remote(s ident.Service, region ident.Region) (news.Load, bool) {
	return v.c.hints.get(v.now, s, region)
}

// News returns what this entry tells its peers; the shell adds the members.
func (c *Core) News(now clock.Time) news.News {
	return news.News{
		From:        c.entry,
		Incarnation: c.incarnation,
		Region:      c.region,
		Bundle:      c.force.Mark(),
		Departures:  c.fleet.Departures(now),
		Accusations: c.suspects.Accusations(now),
		Loads:       c.loads(now),
	}
}

func (c *Core) loads(now clock.Time) []news.Load {
	loads := c.fleet.Loads(now)
	for i := range loads {
		l := &loads[i]
		l.Waiting = c.queue.Waiting(l.Service)
		if l.Slots > 0 {
			l.Wait = clock.Span(l.Waiting) * c.sizes.hold(l.Service) / clock.Span(l.Slots)
		}
	}
	return loads
}

func (c *Core) heard(now clock.Time, n news.News) {
	if c.fleet.Hear(now, n.Departures) {
		c.act(Push{})
	}
	if c.suspects.Hear(now, n.Accusations) {
		c.pumpAll(now)
	}
	for _, l := range n.Loads {
		if l.Region != c.region {
			c.hints.put(now, l)
		}
	}
}
