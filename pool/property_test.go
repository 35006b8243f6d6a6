package pool_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

// model is the expected state of the endpoints according to the list, tracked independently of the
// pool.
type model struct {
	t         *rapid.T
	pool      *pool.Pool
	now       clock.Time
	listed    map[ident.Endpoint]pool.Info
	departed  map[ident.Endpoint]int64
	evacuated map[ident.Zone]bool
	running   []*pool.Send
	// published is the list as of the last update.
	published map[ident.Endpoint]pool.Info
}

func (m *model) id() ident.Endpoint {
	return ident.Endpoint(fmt.Sprint("e", rapid.IntRange(0, 5).Draw(m.t, "endpoint")))
}

func (m *model) sync() {
	var changed []pool.Info
	var removed []ident.Endpoint
	for id, i := range m.listed {
		if m.published[id] != i {
			changed = append(changed, i)
		}
	}
	for id := range m.published {
		if _, ok := m.listed[id]; !ok {
			removed = append(removed, id)
		}
	}
	m.pool.Update(m.now, m.now, changed, removed)
	m.published = maps.Clone(m.listed)
}

// change applies one random change to the list, the evacuated zones or the health checks.
func (m *model) change() {
	id := m.id()
	switch rapid.IntRange(0, 4).Draw(m.t, "change") {
	case 0:
		i := info(string(id))
		i.Zone = ident.Zone(rapid.SampledFrom([]string{"z1", "z2"}).Draw(m.t, "zone"))
		i.Incarnation = int64(m.now)
		m.listed[id] = i
		delete(m.departed, id)
	case 1:
		if i, ok := m.listed[id]; ok {
			i.Leaving = true
			m.listed[id] = i
			m.departed[id] = i.Incarnation
		}
	case 2:
		delete(m.listed, id)
	case 3:
		zone := ident.Zone(rapid.SampledFrom([]string{"z1", "z2"}).Draw(m.t, "zone"))
		m.evacuated[zone] = !m.evacuated[zone]
		var zones []ident.Zone
		for z, on := range m.evacuated {
			if on {
				zones = append(zones, z)
			}
		}
		m.pool.SetEvacuatedZones(zones)
	case 4:
		m.pool.RecordCheck(m.now, id, pool.Check{Healthy: true, SameEndpoint: true})
	}
	m.sync()
}

// place sends a request and checks that the chosen endpoint may get one.
func (m *model) place() {
	request := prompt(uint64(rapid.IntRange(0, 9).Draw(m.t, "prompt")))
	c, ok := choose(m.pool, m.now, request)
	if !ok {
		return
	}
	i, listed := m.listed[c.Endpoint]
	switch {
	case !listed:
		m.t.Fatalf("%s is not listed", c.Endpoint)
	case i.Leaving || m.departed[c.Endpoint] == i.Incarnation && i.Incarnation != 0:
		m.t.Fatalf("%s is leaving", c.Endpoint)
	case m.evacuated[i.Zone]:
		m.t.Fatalf("%s is in an evacuated zone", c.Endpoint)
	case i.Address != c.Address:
		m.t.Fatalf("%s has address %s, got %s", c.Endpoint, i.Address, c.Address)
	}
	m.running = append(m.running, m.pool.BeginSend(m.now, request, c))
}

func (m *model) end() {
	if len(m.running) == 0 {
		return
	}
	n := rapid.IntRange(0, len(m.running)-1).Draw(m.t, "send")
	s := m.running[n]
	m.running = append(m.running[:n], m.running[n+1:]...)
	if rapid.Bool().Draw(m.t, "answered") {
		m.pool.RecordFirstByte(m.now, s)
	}
	m.pool.EndSend(m.now, s, rapid.SampledFrom([]pool.Outcome{
		pool.Complete, pool.Failed, pool.Refused, pool.Moved, pool.Broken, pool.Unreachable, pool.TimedOut, pool.Cancelled,
	}).Draw(m.t, "outcome"))
}

// Guards, over random interleavings of list updates, evacuations, sends and their outcomes,
// against requests to endpoints that must not get any and against load that is counted twice or
// never released.
func TestInterleavings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, pool: newPool(), now: start, listed: make(map[ident.Endpoint]pool.Info),
			departed: make(map[ident.Endpoint]int64), evacuated: make(map[ident.Zone]bool),
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			m.now = m.now.Add(clock.Span(rapid.IntRange(1, 400).Draw(t, "pause")))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				m.change()
			case 1, 2:
				m.sync()
				m.place()
			case 3:
				m.end()
			}
			for id, w := range m.pool.OwnLoads() {
				if w.Count <= 0 || slices.Min(w.PrefillBacklog[:]) < 0 || w.MemoryTokens < 0 {
					t.Fatalf("invalid load of %s: %+v", id, w)
				}
			}
		}
		for len(m.running) > 0 {
			m.end()
		}
		if left := m.pool.OwnLoads(); len(left) > 0 {
			t.Fatalf("load remains after all sends have ended: %v", left)
		}
	})
}
