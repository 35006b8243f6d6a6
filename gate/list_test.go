package gate

import (
	"fmt"
	"maps"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/store"
)

// infosOf decodes the test's items: the value is the endpoint's address.
func infosOf(s store.Snapshot) (infos []pool.Info) {
	for key, i := range s.Items {
		infos = append(infos, pool.Info{ID: ident.Endpoint(key[2:]), Address: string(i.Value)})
	}
	return infos
}

// Guards, over interleavings of changes, readings by two instances and questions of a third
// one to either, against a list that misses a change, keeps what is gone or goes back.
func TestListOfReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := make(map[string]store.Item)
		revision := store.Revision(1)
		now := clock.Time(1000)
		lists := make([]store.Snapshot, 2)
		journals := []journal{newJournal(), newJournal()}
		read := func(n int) {
			lists[n] = store.Snapshot{Items: maps.Clone(truth), At: revision, Read: now}
			journals[n].record(lists[n], "e/", infosOf(lists[n]))
		}
		read(0)
		read(1)
		var own store.Snapshot
		ownJournal, differs := newJournal(), false
		ask := func(n int) {
			after := own.At
			if differs {
				after = 0
			}
			d := journals[n].since(now, lists[n], after)
			if d.At < own.At || own.Items == nil && !d.Whole {
				return
			}
			own = d.apply(now, own)
			ownJournal.record(own, "e/", infosOf(own))
			differs = ownJournal.digest != d.Digest
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now++
			n := rapid.IntRange(0, 1).Draw(t, "reader")
			key := fmt.Sprint("e/", rapid.IntRange(0, 4).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				revision++
				truth[key] = store.Item{Key: key, Changed: revision, Value: fmt.Appendf(nil, "a%d", rapid.IntRange(0, 2).Draw(t, "value"))}
			case 1:
				revision++
				delete(truth, key)
			case 2:
				read(n)
			case 3:
				ask(n)
			}
		}
		n := rapid.IntRange(0, 1).Draw(t, "last")
		revision++
		read(n)
		ask(n)
		ask(n) // a difference that the first answer shows is mended by the second
		require.Equal(t, values(truth), values(own.Items))
	})
}

func values(items map[string]store.Item) map[string]string {
	found := make(map[string]string)
	for k, i := range items {
		found[k] = string(i.Value)
	}
	return found
}

// Guards against heartbeats that are passed on as changes.
func TestHeartbeatsAreNoChange(t *testing.T) {
	j := newJournal()
	at := func(revision store.Revision, cold clock.Span) store.Snapshot {
		s := store.Snapshot{Items: map[string]store.Item{"e/a": {Key: "e/a", Changed: revision}}, At: revision}
		j.record(s, "e/", []pool.Info{{ID: "a", Cold: cold}})
		return s
	}
	at(5, 900)
	s := at(6, 400)
	require.Empty(t, j.since(0, s, 5).Items)
	s = at(7, 0)
	require.Len(t, j.since(0, s, 6).Items, 1, "it is warm now")
	require.True(t, j.since(0, s, 4).Whole, "known from before the first reading")
}
