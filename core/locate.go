package core

import (
	"cmp"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// locateValidity is how long a caller may cache a Location. It is shorter than the time
// for which a draining entry still accepts requests.
const locateValidity = 2 * clock.Second

// Location tells a caller which entries to use.
type Location struct {
	Entries  []EntryAddress
	Validity clock.Span
	// Ticket is nil if the call is idempotent or this entry cannot run it.
	Ticket *ticket.Ticket
}

// EntryAddress is an entry with the address at which callers reach it.
type EntryAddress struct {
	Entry   ident.Entry
	Address string
	Region  ident.Region
}

// Locate returns the entries that may accept a request, best first.
func (c *Core) Locate(now clock.Time, head Head) (Location, *Refusal) {
	doc := c.bundles.Current()
	if doc == nil {
		return Location{}, newRefusal(caller.ReasonUnready, "the entry has no bundle yet", defaultRetryAfter)
	}
	resolved, refusal := c.lookUpCall(doc, head)
	if refusal != nil {
		return Location{}, refusal
	}
	location := Location{Entries: c.addressesOf(c.permittedEntries(now, resolved)), Validity: locateValidity}
	if resolved.nonIdempotent() && !c.draining && c.Ready(now) && c.permitted(resolved) {
		issued := c.Issue(now, head.Service, head.Home, resolved.service.Validity)
		location.Ticket = &issued
	}
	return location, nil
}

func (c *Core) permitted(resolved resolution) bool {
	return resolved.service.Transit || slices.Contains(resolved.allowedRegions, c.region)
}

// permittedEntries returns the live entries that may process the request's data. Those in
// this entry's region come first if the region is allowed, then those in other allowed
// regions. Entries of equal rank are shuffled to distribute callers.
func (c *Core) permittedEntries(now clock.Time, resolved resolution) []member.Member {
	var found []member.Member
	if c.permitted(resolved) && !c.draining && c.Ready(now) {
		found = append(found, c.self())
	}
	for _, m := range c.members {
		if m.Entry == c.entry || m.State != gossip.Alive {
			continue
		}
		if resolved.service.Transit || slices.Contains(resolved.allowedRegions, m.Region) {
			found = append(found, m)
		}
	}
	c.random.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	slices.SortStableFunc(found, func(a, b member.Member) int {
		return cmp.Compare(c.regionRank(resolved, a.Region), c.regionRank(resolved, b.Region))
	})
	return found
}

// regionRank is 0 for this entry's region if allowed, 1 for other allowed regions and 2
// for the rest.
func (c *Core) regionRank(resolved resolution, region ident.Region) int {
	allowed := slices.Contains(resolved.allowedRegions, region)
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
	return member.Member{Member: gossip.Member{
		Entry: c.entry, Incarnation: c.incarnation, State: gossip.Alive, Region: c.region,
	}}
}

// otherEntries returns the live entries other than this one.
func (c *Core) otherEntries() []member.Member {
	var found []member.Member
	for _, m := range c.members {
		if m.Entry != c.entry && m.State == gossip.Alive {
			found = append(found, m)
		}
	}
	return found
}

// EntryAddresses returns the entries of a refusal with their addresses.
func (c *Core) EntryAddresses(refusal Refusal) []EntryAddress { return c.addressesOf(refusal.Entries) }

func (c *Core) addressesOf(members []member.Member) []EntryAddress {
	var addresses []EntryAddress
	for _, m := range members {
		address, listed := c.addresses[m.Entry]
		switch {
		case listed:
			addresses = append(addresses, EntryAddress{Entry: m.Entry, Address: address, Region: m.Region})
		case m.Entry == c.entry:
			addresses = append(addresses, EntryAddress{Entry: c.entry, Address: c.address, Region: c.region})
		}
	}
	return addresses
}
