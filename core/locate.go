package core

import (
	"cmp"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// locateValidity is how long a caller may use an answer of locate. It is shorter
// than the time that a leaving entry still takes new requests.
const locateValidity = 2 * clock.Second

// Location is the answer to a caller that asks which entry to use.
type Location struct {
	Entries  []Place
	Validity clock.Span
	// Ticket is nil if the call is idempotent or this entry may not run it.
	Ticket *ticket.Ticket
}

// Place is an entry with the address at which callers reach it.
type Place struct {
	Entry   ident.Entry
	Address string
	Region  ident.Region
}

// Locate returns the entries that may take a request, the best first.
func (c *Core) Locate(now clock.Time, h Head) (Location, *Refusal) {
	doc := c.force.Current()
	if doc == nil {
		return Location{}, refused(caller.ReasonUnready, "the entry has no bundle yet", retryLater)
	}
	t, refusal := c.lookUp(doc, h)
	if refusal != nil {
		return Location{}, refusal
	}
	l := Location{Entries: c.places(c.located(now, t)), Validity: locateValidity}
	if t.once() && !c.draining && c.Ready(now) && c.permitted(t) {
		issued := c.Issue(now, h.Service, h.Home, t.service.Validity)
		l.Ticket = &issued
	}
	return l, nil
}

func (c *Core) permitted(t target) bool {
	return t.service.Transit || slices.Contains(t.allowed, c.region)
}

// located returns the live entries that may see the data, those of this entry's
// region first and in a random order within a region, which spreads callers.
func (c *Core) located(now clock.Time, t target) []member.Member {
	var found []member.Member
	if c.permitted(t) && !c.draining && c.Ready(now) {
		found = append(found, c.self())
	}
	for _, m := range c.members {
		if m.Entry == c.entry || m.State != news.Alive {
			continue
		}
		if t.service.Transit || slices.Contains(t.allowed, m.Region) {
			found = append(found, m)
		}
	}
	c.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b member.Member) int {
		return cmp.Compare(c.distance(t, a.Region), c.distance(t, b.Region))
	})
	return found
}

// distance orders regions: own and allowed, allowed, others.
func (c *Core) distance(t target, region ident.Region) int {
	allowed := slices.Contains(t.allowed, region)
	switch {
	case allowed && region == c.region:
		return 0
	case allowed:
		return 1
	default:
		return 2
	}
}

func (c *Core) self() member.Member {
	return member.Member{Member: news.Member{
		Entry: c.entry, Incarnation: c.incarnation, State: news.Alive, Region: c.region,
	}}
}

// others returns the live entries other than this one.
func (c *Core) others() []member.Member {
	var found []member.Member
	for _, m := range c.members {
		if m.Entry != c.entry && m.State == news.Alive {
			found = append(found, m)
		}
	}
	return found
}

// Places adds addresses to the entries of a refusal.
func (c *Core) Places(refusal Refusal) []Place { return c.places(refusal.Entries) }

func (c *Core) places(members []member.Member) []Place {
	var places []Place
	for _, m := range members {
		address, listed := c.addresses[m.Entry]
		switch {
		case listed:
			places = append(places, Place{Entry: m.Entry, Address: address, Region: m.Region})
		case m.Entry == c.entry:
			places = append(places, Place{Entry: c.entry, Address: c.address, Region: c.region})
		}
	}
	return places
}
