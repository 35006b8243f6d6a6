// Package member implements failure detection and gossip membership among entries.
// It is a pure state machine without goroutines, sockets or a clock.
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// Defaults of Config. A round trip between regions takes just over 100 ms, and a
// new connection needs two of them before the first answer.
const (
	DefaultPeriod         = 500 * clock.Millisecond
	DefaultTimeout        = 400 * clock.Millisecond
	DefaultSuspicion      = 3 * clock.Second
	DefaultPauseThreshold = 2 * clock.Second
	DefaultAloneTimeout   = 2 * clock.Second
)

const (
	// maxMissedLists is how many consecutive lists must lack an unresponsive member
	// before it is removed.
	maxMissedLists = 3
	// maxRecords bounds the memory that updates with made-up names can take.
	maxRecords = 4096
)

// Config configures a Table. Zero spans take their defaults.
type Config struct {
	Self gossip.Member
	Seed uint64
	// Period is the time between two direct probes.
	Period clock.Span
	// Timeout is how long a direct probe may take before indirect probes are requested.
	Timeout clock.Span
	// Suspicion is how long a member may stay suspect before it counts as failed.
	Suspicion clock.Span
	// PauseThreshold is the gap between two ticks above which the process counts as having been
	// paused.
	PauseThreshold clock.Span
	// AloneTimeout is how long a process waits for an answer before it becomes ready without peers.
	AloneTimeout clock.Span
}

// Member is what the table knows about another entry.
type Member struct {
	gossip.Member
	// Listed reports whether the platform's latest list contains the entry.
	Listed bool
}

// Table is one process's view of the membership. It is not safe for concurrent use.
type Table struct {
	config     Config
	self       gossip.Member
	random     *rand.Rand
	records    map[ident.Entry]*record
	order      []*record // sorted by name
	successors successors

	lastTick   clock.Time // of the last tick; reveals pauses
	activeTime clock.Time // sum of the intervals between ticks, each capped at Config.Period
	started    bool

	epoch      uint64     // incremented by each pause
	resumedAt  clock.Time // on the activeTime scale
	ready      bool
	synced     bool
	superseded bool

	targets      []*record
	probeOrder   []*record
	probeIndex   int
	targetsStale bool
	seq          uint64
	firstSeq     uint64 // lowest probe number of this epoch
	probes       []*probe
	nextProbeAt  clock.Time

	pending      []*pendingUpdate
	enqueued     uint64
	repairCursor int
}

type record struct {
	gossip.Member
	hash          uint64
	listed        bool
	hasAddress    bool              // was in a list, the only source of addresses
	leaving       bool              // listed as leaving
	missedLists   int               // consecutive lists without it
	failedProbes  int               // consecutive unanswered probes
	failedEpoch   uint64            // epoch of the last unanswered probe
	suspectedAt   clock.Time        // on the activeTime scale
	priorState    gossip.State      // state before the suspicion
	initialSentTo ident.Incarnation // last incarnation that was sent the initial updates
}

// New returns a Table that contains only its own process.
func New(config Config) *Table {
	config.Period = cmp.Or(config.Period, DefaultPeriod)
	config.Timeout = cmp.Or(config.Timeout, DefaultTimeout)
	config.Suspicion = cmp.Or(config.Suspicion, DefaultSuspicion)
	config.PauseThreshold = cmp.Or(config.PauseThreshold, DefaultPauseThreshold)
	config.AloneTimeout = cmp.Or(config.AloneTimeout, DefaultAloneTimeout)
	table := &Table{
		config:     config,
		self:       config.Self,
		random:     rand.New(rand.NewPCG(config.Seed, uint64(config.Self.Incarnation))),
		records:    make(map[ident.Entry]*record),
		successors: make(successors),
		epoch:      1,
		// Probe numbers of different incarnations don't overlap, so that a late
		// answer to an earlier incarnation is recognised and ignored.
		seq: uint64(config.Self.Incarnation) << 20,
	}
	table.self.State = gossip.Alive
	table.firstSeq = table.seq + 1
	return table
}

// Self returns the process's own record.
func (t *Table) Self() gossip.Member { return t.self }

// Superseded reports whether a later incarnation of this entry was seen.
func (t *Table) Superseded() bool { return t.superseded }

// Sync applies the platform's list, which is authoritative for adding and removing
// members: unlisted members that have failed or left are removed at once, others once
// they are missing from several consecutive lists, unless they still answer.
func (t *Table) Sync(now clock.Time, list []watch.Instance) {
	t.detectPause(now)
	t.synced = true
	t.targetsStale = true
	for _, r := range t.order {
		r.listed = false
	}
	for _, i := range list {
		if i.Role == watch.RoleEntry && ident.Entry(i.Name) != t.self.Entry {
			t.mergeListed(i)
		}
	}
	kept := t.order[:0]
	for _, r := range t.order {
		if t.countMissedList(r) {
			delete(t.records, r.Entry)
			continue
		}
		kept = append(kept, r)
	}
	clear(t.order[len(kept):])
	t.order = kept
	t.successors.expire(now)
}

func (t *Table) mergeListed(instance watch.Instance) {
	known := t.records[ident.Entry(instance.Name)]
	if known == nil {
		known = t.add(gossip.Member{Entry: ident.Entry(instance.Name), State: gossip.Alive})
	}
	known.Region, known.Zone = instance.Region, instance.Zone
	known.listed, known.hasAddress = true, true
	known.leaving = instance.State == watch.StateLeaving
	known.missedLists = 0
}

// countMissedList counts a list that lacks the record and reports whether to remove it.
func (t *Table) countMissedList(unlisted *record) bool {
	if unlisted.listed {
		return false
	}
	unlisted.missedLists++
	if unlisted.State == gossip.Failed || unlisted.State == gossip.Left {
		return true
	}
	return unlisted.missedLists >= maxMissedLists && (!unlisted.hasAddress || unlisted.failedProbes > 0)
}

func (t *Table) add(update gossip.Member) *record {
	added := &record{Member: update, hash: xxhash.Sum64String(string(update.Entry))}
	t.records[update.Entry] = added
	at, _ := slices.BinarySearchFunc(t.order, added, byName)
	t.order = slices.Insert(t.order, at, added)
	t.targetsStale = true
	return added
}

func byName(a, b *record) int { return strings.Compare(string(a.Entry), string(b.Entry)) }

// Live returns the other entries that are alive, or suspect but alive before, sorted by
// name. It omits entries that were never listed, since their addresses are unknown.
func (t *Table) Live() []Member {
	live := make([]Member, 0, len(t.order))
	for _, r := range t.order {
		if r.isLive() {
			live = append(live, Member{Member: r.Member, Listed: r.listed})
		}
	}
	return live
}

// Members returns all other entries in any state, sorted by name.
func (t *Table) Members() []Member {
	all := make([]Member, 0, len(t.order))
	for _, r := range t.order {
		all = append(all, Member{Member: r.Member, Listed: r.listed})
	}
	return all
}

// Find returns the member with the given name.
func (t *Table) Find(entry ident.Entry) (Member, bool) {
	found := t.records[entry]
	if found == nil {
		return Member{}, false
	}
	return Member{Member: found.Member, Listed: found.listed}, true
}

// isLive reports whether the member takes work. Gossip takes precedence over the list,
// which lags: a listed state of leaving counts only until the entry was heard from.
func (r *record) isLive() bool {
	if !r.hasAddress || (r.leaving && r.Incarnation == 0) {
		return false
	}
	return r.State == gossip.Alive || (r.State == gossip.Suspect && r.priorState == gossip.Alive)
}

// Ready reports whether the process may take new work: a peer has answered since its
// start or last pause, or no peer could be reached.
func (t *Table) Ready(now clock.Time) bool {
	if t.superseded || t.self.State == gossip.Left {
		return false
	}
	return t.ready && now.Sub(t.lastTick) <= t.config.PauseThreshold
}

// Drain announces that the process is leaving.
func (t *Table) Drain() {
	if t.self.State != gossip.Alive {
		return
	}
	t.self.State = gossip.Leaving
	t.self.Generation++
}

// Leave announces that the process has left, and which entry now owns its tickets.
// The successor is empty if no peer took them over.
func (t *Table) Leave(now clock.Time, successor ident.Entry) {
	t.detectPause(now)
	t.self.State = gossip.Left
	t.self.Successor = successor
	t.self.Generation++
}

// Successor returns the entry that owns the tickets of the given incarnation after a handover.
func (t *Table) Successor(entry ident.Entry, incarnation ident.Incarnation) (ident.Entry, bool) {
	successor, ok := t.successors.find(entry, incarnation)
	if !ok {
		return "", false
	}
	// A successor may have left as well. The bound guards against cycles in faulty records.
	for range maxSuccessorHops {
		known := t.records[successor]
		if known == nil || known.State != gossip.Left || known.Successor == "" {
			break
		}
		successor = known.Successor
	}
	return successor, true
}
