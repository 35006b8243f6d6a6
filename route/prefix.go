package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// affine returns the index of the endpoint whose cache is likely to hold prefix p, or
// -1 if that has no slot or too much load. Endpoints are ranked by rendezvous hash, so
// that entries agree without talking and few prefixes move when an endpoint goes.
func affine(p ident.Prefix, m room, found []fleet.Candidate, usable, open []int) int {
	top := [affinityRanks]int{-1, -1}
	var scores [affinityRanks]uint64
	for _, i := range usable {
		if slow(&found[i]) {
			continue
		}
		s := score(p, found[i].Endpoint)
		switch {
		case top[0] < 0 || s > scores[0]:
			top[1], scores[1] = top[0], scores[0]
			top[0], scores[0] = i, s
		case top[1] < 0 || s > scores[1]:
			top[1], scores[1] = i, s
		}
	}
	for _, i := range top {
		if i >= 0 && slices.Contains(open, i) && m.balanced(&found[i]) {
			return i
		}
	}
	return -1
}

// balanced reports whether the load of c is within the bound for prefix affinity.
func (m *room) balanced(c *fleet.Candidate) bool {
	average := m.load / m.slots * float64(c.Slots)
	return c.Load <= affinityBound*average+1
}

// score returns the rendezvous hash of a prefix and an endpoint.
func score(p ident.Prefix, e ident.Endpoint) uint64 {
	x := xxhash.Sum64String(string(e)) ^ uint64(p)*0x9e3779b97f4a7c15
	// The finalizer of SplitMix64 spreads every input bit over the result.
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
