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

// infosOf decodes the test's items, whose value is the endpoint's address.
func infosOf(s store.Snapshot) (infos []pool.Info) {
	for key, i := range s.Items {
		infos = append(infos, pool.Info{ID: ident.Endpoint(key[2:]), Address: string(i.Value)})
	}
	return infos
}

// Guards, over random interleavings of changes, reads by two instances and queries of a third one
// to either, against a list that misses a change, keeps removed endpoints or goes back to an older
// state.
func TestListOfReaders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		truth := make(map[string]store.Item)
		revision := store.Revision(1)
		now := clock.Time(1000)
		lists := make([]store.Snapshot, 2)
		journals := []listHistory{newListHistory(), newListHistory()}
		read := func(reader int) {
			lists[reader] = store.Snapshot{Items: maps.Clone(truth), Revision: revision, Started: now}
			journals[reader].record(lists[reader], "e/", infosOf(lists[reader]))
		}
		read(0)
		read(1)
		var own store.Snapshot
		ownJournal, differs := newListHistory(), false
		query := func(reader int) {
			after := own.Revision
			if differs {
				after = 0
			}
			changes := journals[reader].since(now, lists[reader], after)
			if changes.At < own.Revision || own.Items == nil && !changes.Whole {
				return
			}
			own = changes.apply(now, own)
			ownJournal.record(own, "e/", infosOf(own))
			differs = ownJournal.digest != changes.Digest
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now++
			reader := rapid.IntRange(0, 1).Draw(t, "reader")
			key := fmt.Sprint("e/", rapid.IntRange(0, 4).Draw(t, "key"))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				revision++
				truth[key] = store.Item{Key: key, Changed: revision, Value: fmt.Appendf(nil, "a%d", rapid.IntRange(0, 2).Draw(t, "value"))}
			case 1:
				revision++
				delete(truth, key)
			case 2:
				read(reader)
			case 3:
				query(reader)
			}
		}
		last := rapid.IntRange(0, 1).Draw(t, "last")
		revision++
		read(last)
		query(last)
		query(last) // the second query repairs a digest mismatch found by the first
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

// Guards against heartbeats that are forwarded as changes.
func TestHeartbeatsAreNoChange(t *testing.T) {
	history := newListHistory()
	at := func(revision store.Revision, cold clock.Span) store.Snapshot {
		snapshot := store.Snapshot{Items: map[string]store.Item{"e/a": {Key: "e/a", Changed: revision}}, Revision: revision}
		history.record(snapshot, "e/", []pool.Info{{ID: "a", ColdRemaining: cold}})
		return snapshot
	}
	at(5, 900)
	current := at(6, 400)
	require.Empty(t, history.since(0, current, 5).Items)
	current = at(7, 0)
	require.Len(t, history.since(0, current, 6).Items, 1, "the endpoint is no longer cold")
	require.True(t, history.since(0, current, 4).Whole, "the revision precedes the first read")
}
