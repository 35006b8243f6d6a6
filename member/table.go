// Package member detects failures among entries and keeps the table of members.
// It is a pure state machine: it has no goroutine, socket or clock of its own.
package member

import (
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// Defaults of Config. A round trip between regions takes a little over 100 ms,
// and a new connection needs two of them before the first answer.
const (
	DefaultPeriod    = 500 * clock.Millisecond
	DefaultTimeout   = 400 * clock.Millisecond
	DefaultSuspicion = 3 * clock.Second
	DefaultPause     = 2 * clock.Second
	DefaultAlone     = 2 * clock.Second
)

const (
	// absences is how many lists in a row must lack a member that does not answer before it is removed.
	absences = 3
	// maxRecords bounds the table against an endless stream of invented names.
	maxRecords = 4096
)

// Config describes the table's own process and its time limits. Spans that are
// zero take their defaults.
type Config struct {
	Self news.Member
	Seed uint64
	// Period is the time between two direct probes.
	Period clock.Span
	// Timeout is how long a direct probe may take before others are asked to probe.
	Timeout clock.Span
	// Suspicion is how long a member may stay suspect before it is failed.
	Suspicion clock.Span
	// Pause is the gap between two ticks above which the process counts as paused.
	Pause clock.Span
	// Alone is how long a process waits for any answer before it goes on without peers.
	Alone clock.Span
}

// Member is what the table knows about another entry.
type Member struct {
	news.Member
	// Listed tells whether the platform's last list has the entry.
	Listed bool
}

// Table is the membership as seen by one process. It is not safe for concurrent use.
type Table struct {
	c          Config
	self       news.Member
	random     *rand.Rand
	records    map[ident.Entry]*record
	order      []*record // by name
	successors successors

	ticked  clock.Time // time of the last tick, for detecting pauses
	active  clock.Time // sum of tick lengths, each at most a period
	started bool

	life       uint64 // counts the pauses
	resumed    clock.Time
	ready      bool
	synced     bool
	superseded bool

	targets []*record
	ring    []*record
	place   int
	dirty   bool
	seq     uint64
	first   uint64 // lowest probe number of this life
	probes  []*probe
	next    clock.Time

	hot    []*rumour
	stamp  uint64
	cursor int
}

type record struct {
	news.Member
	hash       uint64
	listed     bool
	addressed  bool // has been in a list, so that its address is known
	leaving    bool // the list says so
	absent     int  // lists in a row without it
	unanswered int  // probes in a row without answer
	tried      uint64
	suspected  clock.Time // in active time
	before     news.State // state before the suspicion
	greeted    ident.Incarnation
}

// New returns a Table that knows only its own process.
func New(c Config) *Table {
	c.Period = orDefault(c.Period, DefaultPeriod)
	c.Timeout = orDefault(c.Timeout, DefaultTimeout)
	c.Suspicion = orDefault(c.Suspicion, DefaultSuspicion)
	c.Pause = orDefault(c.Pause, DefaultPause)
	c.Alone = orDefault(c.Alone, DefaultAlone)
	t := &Table{
		c:          c,
		self:       c.Self,
		random:     rand.New(rand.NewPCG(c.Seed, uint64(c.Self.Incarnation))),
		records:    make(map[ident.Entry]*record),
		successors: make(successors),
		life:       1,
		// Numbers of two incarnations differ, so that a late answer to an
		// earlier process is not taken for one to this process.
		seq: uint64(c.Self.Incarnation) << 20,
	}
	t.self.State = news.Alive
	t.first = t.seq + 1
	return t
}

func orDefault(s, d clock.Span) clock.Span {
	if s == 0 {
		return d
	}
	return s
}

// Self returns the process's own record.
func (t *Table) Self() news.Member { return t.self }

// Superseded reports whether a later incarnation runs under this entry's name.
func (t *Table) Superseded() bool { return t.superseded }

// Sync takes over the platform's list. It seeds new members and has the final say
// on removal: members that are absent and failed are forgotten at once, members
// that are absent from several lists and don't answer are removed.
func (t *Table) Sync(now clock.Time, list []watch.Instance) {
	t.notice(now)
	t.synced = true
	t.dirty = true
	for _, r := range t.order {
		r.listed = false
	}
	for _, i := range list {
		if i.Role == watch.RoleEntry && ident.Entry(i.Name) != t.self.Entry {
			t.seed(i)
		}
	}
	kept := t.order[:0]
	for _, r := range t.order {
		if t.absence(r) {
			delete(t.records, r.Entry)
			continue
		}
		kept = append(kept, r)
	}
	clear(t.order[len(kept):])
	t.order = kept
	t.successors.expire(now)
}

func (t *Table) seed(i watch.Instance) {
	r := t.records[ident.Entry(i.Name)]
	if r == nil {
		r = t.add(news.Member{Entry: ident.Entry(i.Name), State: news.Alive})
	}
	r.Region, r.Zone = i.Region, i.Zone
	r.listed, r.addressed = true, true
	r.leaving = i.State == watch.StateLeaving
	r.absent = 0
}

// absence counts a list without r and reports whether r must be removed.
func (t *Table) absence(r *record) bool {
	if r.listed {
		return false
	}
	r.absent++
	if r.State == news.Failed || r.State == news.Left {
		return true
	}
	return r.absent >= absences && (!r.addressed || r.unanswered > 0)
}

func (t *Table) add(m news.Member) *record {
	r := &record{Member: m, hash: xxhash.Sum64String(string(m.Entry))}
	t.records[m.Entry] = r
	at, _ := slices.BinarySearchFunc(t.order, r, byName)
	t.order = slices.Insert(t.order, at, r)
	t.dirty = true
	return r
}

func byName(a, b *record) int { return strings.Compare(string(a.Entry), string(b.Entry)) }

// Live returns the other entries that are alive or suspect, by name. It leaves out
// entries that no list has had: their addresses are unknown.
func (t *Table) Live() []Member {
	live := make([]Member, 0, len(t.order))
	for _, r := range t.order {
		if r.live() {
			live = append(live, Member{Member: r.Member, Listed: r.listed})
		}
	}
	return live
}

// Members returns all other entries, by name, in any state.
func (t *Table) Members() []Member {
	all := make([]Member, 0, len(t.order))
	for _, r := range t.order {
		all = append(all, Member{Member: r.Member, Listed: r.listed})
	}
	return all
}

// Find returns the member of that name.
func (t *Table) Find(e ident.Entry) (Member, bool) {
	r := t.records[e]
	if r == nil {
		return Member{}, false
	}
	return Member{Member: r.Member, Listed: r.listed}, true
}

// live prefers what the process said itself over the list, which lags: the list's
// word that an entry leaves counts only until the entry has been heard.
func (r *record) live() bool {
	if !r.addressed || (r.leaving && r.Incarnation == 0) {
		return false
	}
	return r.State == news.Alive || (r.State == news.Suspect && r.before == news.Alive)
}

// Ready reports whether the process may take new work: it has heard an answer
// from a peer since its start or last pause, or has found none to hear from.
func (t *Table) Ready(now clock.Time) bool {
	if t.superseded || t.self.State == news.Left {
		return false
	}
	return t.ready && now.Sub(t.ticked) <= t.c.Pause
}

// Drain announces that the process is leaving.
func (t *Table) Drain() {
	if t.self.State != news.Alive {
		return
	}
	t.self.State = news.Leaving
	t.self.Generation++
}

// Leave announces that the process has left, and which entry answers for its
// tickets. The successor is empty if no peer took them over.
func (t *Table) Leave(now clock.Time, successor ident.Entry) {
	t.notice(now)
	t.self.State = news.Left
	t.self.Successor = successor
	t.self.Generation++
}

// Successor returns the entry that answers for the tickets of the given incarnation.
func (t *Table) Successor(e ident.Entry, i ident.Incarnation) (ident.Entry, bool) {
	successor, ok := t.successors.find(e, i)
	if !ok {
		return "", false
	}
	// A successor may have left as well. The bound guards against a cycle of wrong records.
	for range maxHops {
		r := t.records[successor]
		if r == nil || r.State != news.Left || r.Successor == "" {
			break
		}
		successor = r.Successor
	}
	return successor, true
}
