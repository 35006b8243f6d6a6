package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// affinityTarget returns the index of the endpoint whose cache is likely to hold prefix,
// or -1 if it has no free slot or too much load. Endpoints are ranked by rendezvous
// hashing, so entries agree without communication and few prefixes move when an endpoint
// disappears.
func affinityTarget(prefix ident.Prefix, capacity regionCapacity, candidates []fleet.Candidate, usable, free []int) int {
	top := [affinityRanks]int{-1, -1}
	var scores [affinityRanks]uint64
	for _, i := range usable {
		if isSlow(&candidates[i]) {
			continue
		}
		score := rendezvousScore(prefix, candidates[i].Endpoint)
		switch {
		case top[0] < 0 || score > scores[0]:
			top[1], scores[1] = top[0], scores[0]
			top[0], scores[0] = i, score
		case top[1] < 0 || score > scores[1]:
			top[1], scores[1] = i, score
		}
	}
	for _, i := range top {
		if i >= 0 && slices.Contains(free, i) && capacity.balanced(&candidates[i]) {
			return i
		}
	}
	return -1
}

// balanced reports whether the load of the candidate is within the bound for prefix
// affinity.
func (c *regionCapacity) balanced(candidate *fleet.Candidate) bool {
	average := c.load / c.slots * float64(candidate.Slots)
	return candidate.Load <= affinityBound*average+1
}

// rendezvousScore returns the rendezvous hash of a prefix and an endpoint.
func rendezvousScore(prefix ident.Prefix, name ident.Endpoint) uint64 {
	hash := xxhash.Sum64String(string(name)) ^ uint64(prefix)*0x9e3779b97f4a7c15
	// The finaliser of SplitMix64 spreads every input bit over the result.
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}
