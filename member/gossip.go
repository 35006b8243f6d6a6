package member

import (
	"math/bits"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// maxPendingUpdates bounds the queued updates of one message. A node sends and receives
	// 4 messages a second; with 16 updates of 110 bytes each that is 14 KB/s, within the
	// control traffic limit of 17 KB/s, even while hundreds of records change. With 8, 390
	// tables took 1.6 times as long to converge after a region partition.
	maxPendingUpdates = 16
	// maxRepairUpdates is how many other records are appended, round-robin, to repair lost
	// updates (anti-entropy).
	maxRepairUpdates = 2
	// maxInitialUpdates bounds the first message to a newly seen process.
	maxInitialUpdates = 64
	// retransmitFactor times the logarithm of the table size is how often an update is
	// sent. Repair updates cover remaining losses; with a factor of 3, the updates of a
	// large change wait longer in the queue.
	retransmitFactor = 2
)

// pendingUpdate is a queued update that has transmissions left.
type pendingUpdate struct {
	gossip.Member
	transmits int
	number    uint64
}

// precedence orders the states within one generation; 0 means an unknown state. Leaving
// and left are announced with a new generation, so neither alone undoes a failure report.
func precedence(state gossip.State) int {
	switch state {
	case gossip.Alive:
		return 1
	case gossip.Leaving:
		return 2
	case gossip.Suspect:
		return 3
	case gossip.Failed:
		return 4
	case gossip.Left:
		return 5
	}
	return 0
}

// supersedes reports whether record a replaces record b of the same entry.
func supersedes(a, b gossip.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	return precedence(a.State) > precedence(b.State)
}

func isFailureReport(state gossip.State) bool {
	return state == gossip.Suspect || state == gossip.Failed
}

// Merge merges updates received from other processes and reports whether any changed the table.
func (t *Table) Merge(now clock.Time, updates []gossip.Member) (changed bool) {
	t.detectPause(now)
	for _, m := range updates {
		if m.Entry == "" || precedence(m.State) == 0 {
			continue
		}
		if m.Entry == t.self.Entry {
			changed = t.refute(m) || changed
			continue
		}
		changed = t.merge(now, m) || changed
	}
	return changed
}

// refute raises the generation of the own record if the report supersedes it, and reports
// whether anything has changed. A later incarnation marks this process as superseded.
func (t *Table) refute(report gossip.Member) bool {
	if report.Incarnation > t.self.Incarnation {
		changed := !t.superseded
		t.superseded = true
		return changed
	}
	if report.Incarnation < t.self.Incarnation || !supersedes(report, t.self) {
		return false
	}
	t.self.Generation = report.Generation + 1
	return true
}

func (t *Table) merge(now clock.Time, update gossip.Member) bool {
	newSuccessor := update.State == gossip.Left && update.Successor != "" &&
		t.successors.add(now, processKey{update.Entry, update.Incarnation}, update.Successor)
	known := t.records[update.Entry]
	switch {
	case known == nil && len(t.order) >= maxRecords:
		return newSuccessor
	case known == nil:
		known = t.add(update)
	case !supersedes(update, known.Member):
		if newSuccessor {
			t.enqueue(update)
		}
		return newSuccessor
	}
	t.replace(known, update)
	// Unlisted records are not gossiped, since removed members would otherwise
	// circulate forever; a new successor is gossiped once.
	if known.listed || newSuccessor {
		t.enqueue(update)
	}
	return true
}

func (t *Table) replace(known *record, update gossip.Member) {
	if known.hasAddress {
		update.Region, update.Zone = known.Region, known.Zone
	}
	if (update.State == gossip.Left) != (known.State == gossip.Left) {
		t.targetsStale = true
	}
	if update.Incarnation != known.Incarnation {
		known.failedProbes = 0
	}
	if update.State == gossip.Suspect {
		known.priorState = stateBeforeSuspicion(known.Member, update)
	}
	known.Member = update
	known.suspectedAt = t.activeTime
}

// stateBeforeSuspicion returns the state that a suspicion replaces, so that a suspect that
// has announced its departure doesn't count as live.
func stateBeforeSuspicion(old, suspicion gossip.Member) gossip.State {
	if old.Incarnation == suspicion.Incarnation && old.State == gossip.Leaving {
		return gossip.Leaving
	}
	return gossip.Alive
}

func (t *Table) markState(target *record, state gossip.State) {
	if state == gossip.Suspect {
		target.priorState = target.State
	}
	target.State = state
	target.suspectedAt = t.activeTime
	t.enqueue(target.Member)
}

// enqueue queues an update for gossip. It replaces queued updates of the same incarnation
// and, unless they announce that the member has left, of earlier ones.
func (t *Table) enqueue(update gossip.Member) {
	t.pending = slices.DeleteFunc(t.pending, func(u *pendingUpdate) bool {
		return u.Entry == update.Entry && (u.Incarnation == update.Incarnation || u.State != gossip.Left)
	})
	t.enqueued++
	t.pending = append(t.pending, &pendingUpdate{Member: update, number: t.enqueued})
}

// Updates returns the updates for the next message to a process of unknown name: the
// own record, queued updates and a few repair updates.
func (t *Table) Updates() []gossip.Member { return t.UpdatesTo("") }

// UpdatesTo returns the updates for the next message to an entry. They include any
// failure report about that entry, so that it can refute it, and, in the first message
// to an incarnation, the records of members that are not alive.
func (t *Table) UpdatesTo(to ident.Entry) []gossip.Member {
	updates := make([]gossip.Member, 0, 2+maxPendingUpdates+maxRepairUpdates)
	updates = append(updates, t.self)
	recipient := t.records[to]
	if recipient != nil && isFailureReport(recipient.State) && t.ready {
		updates = append(updates, recipient.Member)
	}
	updates = t.appendPending(updates)
	if recipient != nil && recipient.Incarnation != 0 && recipient.initialSentTo != recipient.Incarnation && t.ready {
		recipient.initialSentTo = recipient.Incarnation
		return t.appendInitial(updates)
	}
	return t.appendRepairs(updates)
}

// appendPending appends the queued updates with the fewest transmissions, newest first.
func (t *Table) appendPending(updates []gossip.Member) []gossip.Member {
	slices.SortFunc(t.pending, func(a, b *pendingUpdate) int {
		if a.transmits != b.transmits {
			return a.transmits - b.transmits
		}
		return int(int64(b.number - a.number))
	})
	added := 0
	for _, u := range t.pending {
		if added == maxPendingUpdates {
			break
		}
		if isFailureReport(u.State) && !t.ready {
			continue
		}
		updates = append(updates, u.Member)
		u.transmits++
		added++
	}
	limit := retransmitFactor * bits.Len(uint(len(t.order)+1))
	t.pending = slices.DeleteFunc(t.pending, func(u *pendingUpdate) bool { return u.transmits >= limit })
	return updates
}

func (t *Table) appendRepairs(updates []gossip.Member) []gossip.Member {
	added := 0
	for range t.order {
		if added == maxRepairUpdates {
			break
		}
		t.repairCursor++
		r := t.order[t.repairCursor%len(t.order)]
		if t.shareable(r) {
			updates = append(updates, r.Member)
			added++
		}
	}
	return updates
}

func (t *Table) appendInitial(updates []gossip.Member) []gossip.Member {
	for _, r := range t.order {
		if len(updates) >= maxInitialUpdates {
			break
		}
		if r.State != gossip.Alive && t.shareable(r) {
			updates = append(updates, r.Member)
		}
	}
	return updates
}

// shareable reports whether a record may be sent. Live members from which no message has
// arrived are on every process's list already; failure reports are held back until the own
// view is current.
func (t *Table) shareable(candidate *record) bool {
	if !candidate.listed || (candidate.Incarnation == 0 && candidate.State == gossip.Alive) {
		return false
	}
	return t.ready || !isFailureReport(candidate.State)
}
