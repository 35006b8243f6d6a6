package gate

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// regionSize is the number of instances of the simulated region.
	regionSize = 9
	// simStep is the time between two steps of the simulation.
	simStep = 100 * clock.Millisecond
	// newestWithin is the time after the last fault within which all instances must have the newest
	// list: the views of the others, a failed query of two readers, the direct reads and a query.
	newestWithin = 4 * clock.Second
)

// member is a simulated instance: its list and what it believes about the others.
type member struct {
	policy  readerPolicy
	list    *listing
	differs bool
	started clock.Time
	// next is when the instance acts next, directUntil until when it reads the store itself.
	next, directUntil clock.Time
	// ready and starting are the other instances as of the last view, which may be old.
	ready, starting []ident.Entry
	// cut is set while the instance reaches neither the store nor the others.
	cut, down bool
}

// region simulates the instances of a region that read one store.
type region struct {
	t       *rapid.T
	world   *listWorld
	members []*member
	// storeDown is set while no call to the store is answered; reads counts those that are.
	storeDown bool
	reads     int
}

func newRegion(t *rapid.T) *region {
	r := &region{t: t, world: newListWorld()}
	r.world.put("e/0", "a")
	for i := range regionSize {
		r.members = append(r.members, nil)
		r.start(i)
	}
	return r
}

// start starts an instance, or a new process of it without data.
func (r *region) start(index int) {
	r.members[index] = &member{
		policy: readerPolicy{
			self: ident.Entry(fmt.Sprint("i", index)), seed: index == 0,
			startupDelay: clock.Span(rapid.IntRange(0, int(startupSpread)).Draw(r.t, "delay")),
		},
		list: newListing(), started: r.world.now, next: r.world.now,
	}
}

func (r *region) any() *member { return rapid.SampledFrom(r.members).Draw(r.t, "instance") }

// view lets an instance learn the state of the others.
func (r *region) view(m *member) {
	m.ready, m.starting = nil, nil
	for _, other := range r.members {
		switch {
		case other == m || other.down || other.cut || m.cut:
		case other.list.position.Known():
			m.ready = append(m.ready, other.policy.self)
		default:
			m.starting = append(m.starting, other.policy.self)
		}
	}
}

// act lets an instance do what is due now.
func (r *region) act(m *member) {
	if m.down || r.world.now.Before(m.next) {
		return
	}
	m.next = r.world.now.Add(syncInterval)
	before := m.list.position
	switch now := r.world.now; {
	case !m.list.position.Known():
		m.next = now.Add(simStep)
		r.fetchFirst(m)
	case now.Before(m.directUntil) || m.policy.reads(m.ready):
		m.next = now.Add(simStep)
		r.read(m)
	case !r.queryReaders(m):
		m.directUntil, m.next = now.Add(directSpan), now
	}
	if m.list.position.Before(before) {
		r.t.Fatalf("the list of %s went back from %v to %v", m.policy.self, before, m.list.position)
	}
}

func (r *region) fetchFirst(m *member) {
	if len(m.ready) > 0 && r.query(m, rapid.SampledFrom(m.ready).Draw(r.t, "source")) {
		return
	}
	if m.policy.readsFirst(r.world.now.Sub(m.started), m.starting, m.ready) {
		r.read(m)
	}
}

func (r *region) read(m *member) {
	if r.storeDown || m.cut {
		return
	}
	r.reads++
	m.list.applyUpdate(wholeUpdate(r.world.truth, r.world.position, r.world.now), "e/", parseTestItem)
}

func (r *region) queryReaders(m *member) bool {
	return slices.ContainsFunc(m.policy.sources(m.ready, rapid.Uint64().Draw(r.t, "first")), func(name ident.Entry) bool { return r.query(m, name) })
}

// query lets an instance query another one and reports whether the data are fresh.
func (r *region) query(m *member, name ident.Entry) bool {
	index := slices.IndexFunc(r.members, func(other *member) bool { return other.policy.self == name })
	other := r.members[index]
	if other.down || other.cut || m.cut || !other.list.position.Known() {
		return false
	}
	var theirs *digests
	if m.differs {
		theirs = &m.list.digests
	}
	delta := other.list.since(r.world.now, m.list.position, theirs)
	if delta.Age > boundOrDefault(0)/dataAgeDivisor {
		return false
	}
	m.differs = m.list.applyDelta(r.world.now, delta)
	return true
}

// advance lets time pass; each instance that is up acts, and sees the others anew at times.
func (r *region) advance() {
	r.world.now = r.world.now.Add(simStep)
	for _, m := range r.members {
		if rapid.IntRange(0, 3).Draw(r.t, "view") == 0 {
			r.view(m)
		}
		r.act(m)
	}
}

func (r *region) disturb() {
	m := r.any()
	switch rapid.IntRange(0, 8).Draw(r.t, "fault") {
	case 0:
		m.down = true
	case 1, 2:
		r.start(slices.Index(r.members, m))
	case 3:
		m.cut = !m.cut
	case 4:
		r.storeDown = !r.storeDown
	case 5:
		r.world.put(fmt.Sprint("e/", rapid.IntRange(0, 4).Draw(r.t, "key")), fmt.Sprint("a", r.world.position))
	case 6:
		r.world.remove(fmt.Sprint("e/", rapid.IntRange(0, 4).Draw(r.t, "key")))
	case 7:
		r.world.backUp()
	case 8:
		r.world.restore()
	}
}

// Guards, over random interleavings of kills, restarts, cuts, changes, outages of the store and restores of it, against
// an instance that keeps an old list, goes back to one, or reads the store although others do.
func TestReadersOfRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "disturbed") {
				r.disturb()
			}
			r.advance()
		}
		r.storeDown = false
		for i, m := range r.members {
			m.cut = false
			if m.down {
				r.start(i)
			}
		}
		r.world.put("e/9", "last")
		for range newestWithin / simStep {
			r.advance()
		}
		for _, m := range r.members {
			require.Equal(t, values(r.world.truth), addresses(m.list), "list of %s", m.policy.self)
		}
		for range directSpan / simStep {
			r.advance()
		}
		r.reads = 0
		for range clock.Second / simStep {
			r.advance()
		}
		require.LessOrEqual(t, r.reads, storeReaderCount*int(clock.Second/simStep), "calls to the store in a second")
	})
}

// Guards against more than a few calls to the store when all instances of a region start at once.
func TestFirstReadsOfRegion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newRegion(t)
		for range (discoveryTime + clock.Second) / simStep {
			for _, m := range r.members {
				r.view(m)
			}
			r.advance()
		}
		require.LessOrEqual(t, r.reads, (storeReaderCount+1)*int((discoveryTime+clock.Second)/simStep), "the readers and the seed")
		readers := 0
		for _, m := range r.members {
			require.Equal(t, values(r.world.truth), addresses(m.list), "list of %s", m.policy.self)
			if m.policy.reads(m.ready) {
				readers++
			}
		}
		require.Equal(t, storeReaderCount, readers)
	})
}

// storeAnswer is how long the store of another region takes for an answer.
const storeAnswer = 200 * clock.Millisecond

// Guards against a departure that an instance learns of too late, because the reader that it queries has old data, or is
// cut off, and the next one too.
func TestStaleDataFitIntoTheBound(t *testing.T) {
	for _, bound := range []clock.Span{3 * clock.Second, 5 * clock.Second} {
		limits := freshLimits(Settings{ListBound: bound, ControlBound: bound})
		worst := limits.list + syncInterval + maxSources*limits.query + storeAnswer
		require.LessOrEqual(t, worst, bound)
	}
	short := freshLimits(Settings{ListBound: 5 * clock.Second, ControlBound: 3 * clock.Second})
	require.Equal(t, 250*clock.Millisecond, short.query)
}
