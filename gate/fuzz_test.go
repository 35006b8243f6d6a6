package gate

import (
	"testing"

	"github.com/tanagerbridge/tanagerbridge/codec"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/store"
)

// Guards against an answer of another instance that stops this one or lets its list go back.
func FuzzSyncResponse(f *testing.F) {
	for _, r := range []syncResponse{
		{List: listDelta{Whole: true, At: at(9), Entries: []listEntry{{Info: pool.Info{ID: "a", Slots: 2}, Changed: at(8)}}}},
		{List: listDelta{At: store.Position{Era: 1, Revision: 2}, Gone: []ident.Endpoint{"a"}, Buckets: []int{3, -1, 99}}, ControlPosition: at(5)},
	} {
		data, err := codec.Encode(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var received syncResponse
		if codec.Decode(data, &received) != nil {
			return
		}
		list := newListing()
		list.put(listEntry{Info: pool.Info{ID: "known"}, Changed: at(7)})
		list.advance(at(7), 1000)
		list.applyDelta(2000, received.List)
		if list.position.Before(at(7)) {
			t.Fatal("the list went back")
		}
		if changed, _ := list.takeUnpublished(); len(changed) != len(list.entries) {
			t.Fatal("entries are missing")
		}
		list.since(3000, at(1), &digests{})
	})
}

// Guards against a query that stops the instance.
func FuzzSyncQuery(f *testing.F) {
	f.Add(syncQuery{list: at(3), control: at(4), version: 2, digests: &digests{1}}.uri())
	f.Add(syncPath + "0.-1/2.9/3")
	f.Fuzz(func(t *testing.T, uri string) {
		query, err := parseSyncQuery(uri)
		if err != nil {
			return
		}
		again, err := parseSyncQuery(query.uri())
		if err != nil || again.list != query.list || again.control != query.control || again.version != query.version {
			t.Fatalf("%q is parsed differently the second time", uri)
		}
	})
}
