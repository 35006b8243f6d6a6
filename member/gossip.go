package member

import (
	"math/bits"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
)

const (
	// maxHot bounds the fresh updates of one message. A node sends 4 messages a second and
	// gets as many; with 16 updates of 110 bytes each that is 14 KB/s, within the limit of
	// 17 KB/s, while hundreds of records change at once. With 8, 390 tables took 1.6 times
	// as long to agree after a region had been cut off.
	maxHot = 16
	// maxOld is how many older records follow, in turn, so that lost updates are repaired.
	maxOld = 2
	// maxGreeting bounds the records that a process gets when it is first heard.
	maxGreeting = 64
	// repeats times the logarithm of the table's size is how often an update is sent. Older
	// records repair what is lost nevertheless; with 3, updates of a large change wait longer.
	repeats = 2
)

// rumour is an update that has not yet been sent often enough.
type rumour struct {
	news.Member
	sent  int
	stamp uint64
}

// rank orders the states of one generation. Leaving and left are announced with a
// generation of their own, so an accusation can't be undone by them alone.
func rank(s news.State) int {
	switch s {
	case news.Alive:
		return 1
	case news.Leaving:
		return 2
	case news.Suspect:
		return 3
	case news.Failed:
		return 4
	case news.Left:
		return 5
	}
	return 0
}

// overrides reports whether a replaces b, two records of one entry.
func overrides(a, b news.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	return rank(a.State) > rank(b.State)
}

func accuses(s news.State) bool { return s == news.Suspect || s == news.Failed }

// Hear merges updates of other processes and reports whether any was new.
func (t *Table) Hear(now clock.Time, updates []news.Member) (changed bool) {
	t.notice(now)
	for _, m := range updates {
		if m.Entry == "" || rank(m.State) == 0 {
			continue
		}
		if m.Entry == t.self.Entry {
			changed = t.answer(m) || changed
			continue
		}
		changed = t.merge(now, m) || changed
	}
	return changed
}

// answer refutes accusations against the own process.
func (t *Table) answer(m news.Member) bool {
	if m.Incarnation > t.self.Incarnation {
		changed := !t.superseded
		t.superseded = true
		return changed
	}
	if m.Incarnation < t.self.Incarnation || !overrides(m, t.self) {
		return false
	}
	t.self.Generation = m.Generation + 1
	return true
}

func (t *Table) merge(now clock.Time, m news.Member) bool {
	inherited := m.State == news.Left && m.Successor != "" &&
		t.successors.learn(now, life{m.Entry, m.Incarnation}, m.Successor)
	r := t.records[m.Entry]
	switch {
	case r == nil && len(t.order) >= maxRecords:
		return inherited
	case r == nil:
		r = t.add(m)
	case !overrides(m, r.Member):
		if inherited {
			t.spread(m)
		}
		return inherited
	}
	t.replace(r, m)
	// Records that the list lacks are not passed on, so that removed members
	// do not circulate for ever; a new successor is passed on once.
	if r.listed || inherited {
		t.spread(m)
	}
	return true
}

func (t *Table) replace(r *record, m news.Member) {
	if r.addressed {
		m.Region, m.Zone = r.Region, r.Zone
	}
	if (m.State == news.Left) != (r.State == news.Left) {
		t.dirty = true
	}
	if m.Incarnation != r.Incarnation {
		r.unanswered = 0
	}
	if m.State == news.Suspect {
		r.before = before(r.Member, m)
	}
	r.Member = m
	r.suspected = t.active
}

// before returns the state that a suspicion hides, so that a suspect that announced its
// leaving is still not taken for a live member.
func before(old, suspicion news.Member) news.State {
	if old.Incarnation == suspicion.Incarnation && old.State == news.Leaving {
		return news.Leaving
	}
	return news.Alive
}

func (t *Table) accuse(r *record, s news.State) {
	if s == news.Suspect {
		r.before = r.State
	}
	r.State = s
	r.suspected = t.active
	t.spread(r.Member)
}

// spread queues an update. Within one incarnation a newer one replaces an older one.
func (t *Table) spread(m news.Member) {
	t.hot = slices.DeleteFunc(t.hot, func(u *rumour) bool {
		return u.Entry == m.Entry && (u.Incarnation == m.Incarnation || u.State != news.Left)
	})
	t.stamp++
	t.hot = append(t.hot, &rumour{Member: m, stamp: t.stamp})
}

// Updates returns the updates for the next message to a process that is not known
// by name: the own record, the freshest updates and a few older records.
func (t *Table) Updates() []news.Member { return t.UpdatesTo("") }

// UpdatesTo returns the updates for the next message to an entry. They include
// what is held against the entry itself, so that it can refute it, and, the first
// time, the records of members that are not alive.
func (t *Table) UpdatesTo(to ident.Entry) []news.Member {
	updates := make([]news.Member, 0, 2+maxHot+maxOld)
	updates = append(updates, t.self)
	r := t.records[to]
	if r != nil && accuses(r.State) && t.ready {
		updates = append(updates, r.Member)
	}
	updates = t.fresh(updates)
	if r != nil && r.Incarnation != 0 && r.greeted != r.Incarnation && t.ready {
		r.greeted = r.Incarnation
		return t.greeting(updates)
	}
	return t.older(updates)
}

// fresh adds the updates that were sent least often, the newest first.
func (t *Table) fresh(updates []news.Member) []news.Member {
	slices.SortFunc(t.hot, func(a, b *rumour) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		return int(int64(b.stamp - a.stamp))
	})
	added := 0
	for _, u := range t.hot {
		if added == maxHot {
			break
		}
		if accuses(u.State) && !t.ready {
			continue
		}
		updates = append(updates, u.Member)
		u.sent++
		added++
	}
	limit := repeats * bits.Len(uint(len(t.order)+1))
	t.hot = slices.DeleteFunc(t.hot, func(u *rumour) bool { return u.sent >= limit })
	return updates
}

func (t *Table) older(updates []news.Member) []news.Member {
	added := 0
	for range t.order {
		if added == maxOld {
			break
		}
		t.cursor++
		r := t.order[t.cursor%len(t.order)]
		if t.tellable(r) {
			updates = append(updates, r.Member)
			added++
		}
	}
	return updates
}

func (t *Table) greeting(updates []news.Member) []news.Member {
	for _, r := range t.order {
		if len(updates) >= maxGreeting {
			break
		}
		if r.State != news.Alive && t.tellable(r) {
			updates = append(updates, r.Member)
		}
	}
	return updates
}

// tellable leaves out what every process has from its list, and accusations
// while the own view may be out of date.
func (t *Table) tellable(r *record) bool {
	if !r.listed || (r.Incarnation == 0 && r.State == news.Alive) {
		return false
	}
	return t.ready || !accuses(r.State)
}
