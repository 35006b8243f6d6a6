package gate

import (
	"testing"

	"github.com/tanagerbridge/tanagerbridge/codec"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

// Guards against an answer of another instance that stops this one or lets its list go back.
func FuzzSyncResponse(f *testing.F) {
	for _, r := range []syncResponse{
		{List: listDelta{Whole: true, At: 9, Entries: []listEntry{{Info: pool.Info{ID: "a", Slots: 2}, Changed: 8}}}},
		{List: listDelta{At: 12, Gone: []ident.Endpoint{"a"}, Buckets: []int{3, -1, 99}}, ControlRevision: 5},
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
		list.put(listEntry{Info: pool.Info{ID: "known"}, Changed: 7})
		list.advance(7, 1000)
		list.applyDelta(2000, received.List)
		if list.revision < 7 {
			t.Fatal("the list went back")
		}
		if changed, _ := list.takeUnpublished(); len(changed) != len(list.entries) {
			t.Fatal("entries are missing")
		}
		list.since(3000, 1, &digests{})
	})
}

// Guards against a query that stops the instance.
func FuzzSyncQuery(f *testing.F) {
	f.Add(syncQuery{list: 3, control: 4, digests: &digests{1}}.uri())
	f.Add(syncPath + "-1/9")
	f.Fuzz(func(t *testing.T, uri string) {
		query, err := parseSyncQuery(uri)
		if err != nil {
			return
		}
		again, err := parseSyncQuery(query.uri())
		if err != nil || again.list != query.list || again.control != query.control {
			t.Fatalf("%q is parsed differently the second time", uri)
		}
	})
}
