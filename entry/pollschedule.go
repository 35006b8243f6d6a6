package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// maxFullPoll is the number of endpoints up to which all due ones are polled.
	maxFullPoll = 32
	// pollBudget bounds the polls of a round with more endpoints than that. A poll takes
	// about 330 bytes and 0.1 ms of CPU time on both ends together: polling all of 600
	// endpoints would take 130 KB/s, while an entry has 17 KB/s for all control traffic.
	pollBudget = 16
	// usedWeight multiplies the priority of an endpoint while this entry has work for its
	// service and region.
	usedWeight = 8
	// maxRepolls is how often a failed poll is repeated in the following rounds: an
	// endpoint counts as down after three failures.
	maxRepolls = 2
)

// pollSchedule selects the endpoints to poll in each round. With many endpoints an entry
// polls a subset per round and learns urgent changes at the others by gossip; entries
// poll in different orders.
type pollSchedule struct {
	entry  ident.Entry
	region ident.Region
	states map[ident.Endpoint]*pollState
}

// pollState is the state of one endpoint in the schedule.
type pollState struct {
	target fleet.Target
	// lastRound is the round of the last poll. For a new endpoint it is set so that the
	// endpoint is due.
	lastRound int
	failures  int
	hash      uint64
	// seenRound is the last round in which the endpoint was a target.
	seenRound int
}

func newPollSchedule(entry ident.Entry, region ident.Region) *pollSchedule {
	return &pollSchedule{entry: entry, region: region, states: make(map[ident.Endpoint]*pollState)}
}

// next returns the endpoints to poll in a round. Rounds are numbered from 0.
func (p *pollSchedule) next(round int, targets []fleet.Target) []*pollState {
	var due []*pollState
	for _, e := range targets {
		if t := p.stateOf(round, e); t.periodsDue(p.region, round) >= 1 {
			due = append(due, t)
		}
	}
	if len(p.states) > len(targets) {
		p.removeStale(round)
	}
	if len(targets) > maxFullPoll && len(due) > pollBudget {
		due = p.prioritise(round, due)
	}
	for _, t := range due {
		t.lastRound = round
	}
	return due
}

func (p *pollSchedule) stateOf(round int, target fleet.Target) *pollState {
	state := p.states[target.Endpoint]
	if state == nil {
		state = &pollState{lastRound: round - remotePollRounds, hash: xxhash.Sum64String(string(p.entry) + "\x00" + string(target.Endpoint))}
		p.states[target.Endpoint] = state
	}
	state.target, state.seenRound = target, round
	return state
}

// periodsDue returns the number of poll periods since the endpoint's last poll.
func (s *pollState) periodsDue(region ident.Region, round int) int {
	if s.target.Region == region {
		return round - s.lastRound
	}
	return (round - s.lastRound) / remotePollRounds
}

// prioritise returns the pollBudget most urgent endpoints. Failed polls are repeated ahead
// of the others, using at most half of the budget.
func (p *pollSchedule) prioritise(round int, due []*pollState) []*pollState {
	var again, rest []*pollState
	for _, t := range due {
		if t.failures > 0 && t.failures <= maxRepolls && len(again) < pollBudget/2 {
			again = append(again, t)
		} else {
			rest = append(rest, t)
		}
	}
	rank := func(t *pollState) int {
		if t.target.InUse {
			return -usedWeight * t.periodsDue(p.region, round)
		}
		return -t.periodsDue(p.region, round)
	}
	slices.SortFunc(rest, func(a, b *pollState) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.hash, b.hash))
	})
	return append(again, rest[:pollBudget-len(again)]...)
}

// removeStale removes endpoints that are no longer targets.
func (p *pollSchedule) removeStale(round int) {
	for id, t := range p.states {
		if t.seenRound != round {
			delete(p.states, id)
		}
	}
}
