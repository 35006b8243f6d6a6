package watch_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	entryRow    = `{"name": "e1", "role": "entry", "region": "kzn", "address": "127.0.0.1:80", "peer": "127.0.0.1:81", "rack": 4}`
	endpointRow = `{"name": "b1", "role": "endpoint", "region": "kzn", "address": "127.0.0.1:90", "slots": 8}`
)

// scriptedTransport returns the answers in order and repeats the last one.
type scriptedTransport struct {
	t       *testing.T
	answers []func() *http.Response
	calls   []http.Header
}

func (s *scriptedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	require.Equal(s.t, "http://127.0.0.1:1/v1/instances?view=kzn", r.URL.String())
	n := min(len(s.calls), len(s.answers)-1)
	s.calls = append(s.calls, r.Header)
	return s.answers[n](), nil
}

func rows(list string, header ...string) func() *http.Response {
	return func() *http.Response { return response(200, `{"instances": [`+list+`]}`, header...) }
}

// Guards against a faulty response that empties the list or stops the reader, and
// against rows with invalid addresses, names or roles.
func TestList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &scriptedTransport{t: t, answers: []func() *http.Response{
			rows(""),
			rows(entryRow+`, {"name": "e2", "role": "entry", "address": "localhost:80"}, {"role": "entry", "address": "127.0.0.1:80"}, {"name": "e3", "role": "disk", "address": "127.0.0.1:80"}`, "ETag", `"7"`),
			func() *http.Response { return response(304, "") },
			rows(""),
			func() *http.Response { return response(200, "{}") },
			func() *http.Response { return response(200, "garbage") },
			func() *http.Response { return response(503, "") },
			func() *http.Response { return response(200, strings.Repeat(" ", 4<<20+1)) },
			rows(entryRow + "," + endpointRow),
		}}
		var found [][]watch.Instance
		var kinds []watch.Kind
		reader := watch.NewListReader(watch.ListReaderConfig{
			URL: "http://127.0.0.1:1", View: "kzn", Client: &http.Client{Transport: s}, Seed: 1,
			OnError: func(err error) { kinds = append(kinds, fault.KindOf[watch.Kind](err)) },
		})
		ctx, cancel := context.WithTimeout(t.Context(), 15*time.Minute)
		defer cancel()
		require.ErrorIs(t, reader.Run(ctx, func(list []watch.Instance) { found = append(found, list) }), context.DeadlineExceeded)
		require.Empty(t, found[0])
		require.Len(t, found[1], 1)
		require.Equal(t, "127.0.0.1:81", found[1][0].Peer)
		require.Len(t, found[2], 2)
		require.Equal(t, 8, found[2][1].Slots)
		require.Equal(t, []watch.Kind{watch.KindMalformed, watch.KindMalformed, watch.KindMalformed, watch.KindStatus, watch.KindTooLarge}, kinds)
		require.Equal(t, `"7"`, s.calls[2].Get("If-None-Match"))
		require.InDelta(t, 90, len(s.calls), 12)
	})
}

// Guards against entries that disagree on the watchers, and against a change of one
// entry that replaces more than one watcher.
func TestWatchers(t *testing.T) {
	entries := rapid.SliceOfNDistinct(rapid.StringMatching(`e[0-9]{1,3}`), 0, 30, rapid.ID)
	rapid.Check(t, func(rt *rapid.T) {
		var live []ident.Entry
		for _, e := range entries.Draw(rt, "live") {
			live = append(live, ident.Entry(e))
		}
		n := rapid.IntRange(-1, 5).Draw(rt, "n")
		chosen := watch.Rendezvous("bundle", live, n)
		require.Len(rt, chosen, max(0, min(n, len(live))))
		require.Subset(rt, live, chosen)
		require.Equal(rt, chosen, watch.Rendezvous("bundle", rapid.Permutation(live).Draw(rt, "order"), n))
		if len(live) == 0 {
			return
		}
		fewer := watch.Rendezvous("bundle", live[1:], n)
		kept := 0
		for _, e := range fewer {
			for _, c := range chosen {
				if c == e {
					kept++
				}
			}
		}
		require.GreaterOrEqual(rt, kept, len(chosen)-1)
	})
}

// Guards against a hash that distributes keys unevenly over the entries.
func TestWatchersSpread(t *testing.T) {
	live := []ident.Entry{"e1", "e2", "e3", "e4"}
	var shares [4]int
	for i := range 4000 {
		first := watch.Rendezvous(strings.Repeat("k", i%7)+string(rune('a'+i)), live, 1)[0]
		shares[first[1]-'1']++
	}
	for _, s := range shares {
		require.InDelta(t, 1000, s, 150)
	}
}
