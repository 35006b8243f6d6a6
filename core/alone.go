package core

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
)

// suspectView is what a policy sees for a request that must run alone. Each entry of
// a region uses endpoints of its own for these, since load reports are too late to
// tell two entries apart that both take an endpoint for idle: an innocent suspect
// would then crash a second time beside the request that crashes endpoints.
type suspectView struct {
	view
	// home says that this entry's region may run the request.
	home bool
}

// Candidates returns this entry's part of its region's endpoints. Other regions are
// left to their own entries unless this region can't run the request.
func (v suspectView) Candidates(s ident.Service, region ident.Region) []fleet.Candidate {
	found := v.view.Candidates(s, region)
	switch {
	case !v.home:
		return found
	case region == v.c.region:
		return v.c.part(found)
	case len(v.view.Candidates(s, v.c.region)) > 0:
		return nil
	default:
		return found
	}
}

// part returns every n-th endpoint, for n live entries in the region, beginning at
// this entry's place among them. With fewer endpoints than entries it returns all.
func (c *Core) part(all []fleet.Candidate) []fleet.Candidate {
	names := []ident.Entry{c.entry}
	for _, m := range c.members {
		if m.Region == c.region && m.State == news.Alive && m.Entry != c.entry {
			names = append(names, m.Entry)
		}
	}
	if len(all) < len(names) {
		return all
	}
	slices.Sort(names)
	place := slices.Index(names, c.entry)
	var own []fleet.Candidate
	for i := range all {
		if i%len(names) == place {
			own = append(own, all[i])
		}
	}
	return own
}
