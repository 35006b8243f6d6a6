package entry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// fewTargets is up to how many endpoints all are polled when they are due.
	fewTargets = 32
	// pollBudget is how many polls a round may have in front of more endpoints. A poll
	// takes about 330 bytes and 0.1 ms of processor time with both ends: polling all of
	// 600 endpoints would take 130 KB/s, and an entry has 17 KB/s for all of control.
	pollBudget = 16
	// useWeight is how much sooner an endpoint's turn comes while this entry has work
	// at its service and region.
	useWeight = 8
	// repolls is how often a poll that failed is repeated in the next round: an endpoint
	// counts as down after three.
	repolls = 2
)

// pollPlan decides which endpoints are polled in a round. In front of many endpoints
// an entry polls only some of them in each round, and others learn from it what is
// urgent; entries take endpoints in different orders.
type pollPlan struct {
	entry  ident.Entry
	region ident.Region
	turns  map[ident.Endpoint]*pollTurn
}

// pollTurn is the state of one endpoint in the plan.
type pollTurn struct {
	target fleet.Target
	// last is the round of the last poll; a new endpoint has one before the first.
	last   int
	failed int
	hash   uint64
	// seen is the last round in which the endpoint was a target.
	seen int
}

func newPollPlan(entry ident.Entry, region ident.Region) *pollPlan {
	return &pollPlan{entry: entry, region: region, turns: make(map[ident.Endpoint]*pollTurn)}
}

// next returns the endpoints to poll in a round. Rounds are numbered from 0.
func (p *pollPlan) next(round int, targets []fleet.Target) []*pollTurn {
	var due []*pollTurn
	for _, e := range targets {
		if t := p.turn(round, e); t.due(p.region, round) >= 1 {
			due = append(due, t)
		}
	}
	if len(p.turns) > len(targets) {
		p.forget(round)
	}
	if len(targets) > fewTargets && len(due) > pollBudget {
		due = p.first(round, due)
	}
	for _, t := range due {
		t.last = round
	}
	return due
}

func (p *pollPlan) turn(round int, e fleet.Target) *pollTurn {
	t := p.turns[e.Endpoint]
	if t == nil {
		t = &pollTurn{last: round - remotePolls, hash: xxhash.Sum64String(string(p.entry) + "\x00" + string(e.Endpoint))}
		p.turns[e.Endpoint] = t
	}
	t.target, t.seen = e, round
	return t
}

// due returns how many of its periods have passed since the endpoint's last poll.
func (t *pollTurn) due(region ident.Region, round int) int {
	if t.target.Region == region {
		return round - t.last
	}
	return (round - t.last) / remotePolls
}

// first returns the endpoints whose turn is first. Failed polls are repeated ahead of
// the others, with at most half of the budget.
func (p *pollPlan) first(round int, due []*pollTurn) []*pollTurn {
	var again, rest []*pollTurn
	for _, t := range due {
		if t.failed > 0 && t.failed <= repolls && len(again) < pollBudget/2 {
			again = append(again, t)
		} else {
			rest = append(rest, t)
		}
	}
	rank := func(t *pollTurn) int {
		if t.target.Used {
			return -useWeight * t.due(p.region, round)
		}
		return -t.due(p.region, round)
	}
	slices.SortFunc(rest, func(a, b *pollTurn) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.hash, b.hash))
	})
	return append(again, rest[:pollBudget-len(again)]...)
}

// forget drops endpoints that are no targets any more.
func (p *pollPlan) forget(round int) {
	for id, t := range p.turns {
		if t.seen != round {
			delete(p.turns, id)
		}
	}
}
