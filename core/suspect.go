package core

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// suspectView is the view of a policy for a request that must run alone. Each entry of a
// region uses its own subset of the endpoints for such requests. With load reports alone,
// which are too old for this, two entries could both consider an endpoint idle, and a
// harmless suspect could then share it with the crashing request and crash again.
type suspectView struct {
	view
	// regionAllowed is set if this entry's region may run the request.
	regionAllowed bool
}

// Candidates returns this entry's subset of its region's endpoints. Endpoints of other
// regions are left to the entries there unless this region cannot run the request.
func (v suspectView) Candidates(service ident.Service, region ident.Region) []fleet.Candidate {
	found := v.view.Candidates(service, region)
	switch {
	case !v.regionAllowed:
		return found
	case region == v.core.region:
		return v.core.ownShare(found)
	case len(v.view.Candidates(service, v.core.region)) > 0:
		return nil
	default:
		return found
	}
}

// ownShare returns every n-th endpoint, where n is the number of live entries in the
// region, starting at this entry's index among their sorted names. With fewer endpoints
// than entries it returns all of them.
func (c *Core) ownShare(all []fleet.Candidate) []fleet.Candidate {
	names := []ident.Entry{c.entry}
	for _, m := range c.members {
		if m.Region == c.region && m.State == gossip.Alive && m.Entry != c.entry {
			names = append(names, m.Entry)
		}
	}
	if len(all) < len(names) {
		return all
	}
	slices.Sort(names)
	index := slices.Index(names, c.entry)
	var share []fleet.Candidate
	for i := range all {
		if i%len(names) == index {
			share = append(share, all[i])
		}
	}
	return share
}
