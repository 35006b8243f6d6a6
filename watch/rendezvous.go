package watch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Rendezvous returns up to n of the live entries, chosen by rendezvous hashing for a key and sorted
// by descending preference. All entries with the same view choose the same ones, and an entry that
// joins or leaves changes at most one of them.
func Rendezvous(key string, live []ident.Entry, n int) []ident.Entry {
	type candidate struct {
		entry ident.Entry
		score uint64
	}
	ranked := make([]candidate, len(live))
	for i, e := range live {
		ranked[i] = candidate{e, xxhash.Sum64String(key + "\x00" + string(e))}
	}
	slices.SortFunc(ranked, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.entry, b.entry))
	})
	chosen := make([]ident.Entry, 0, max(0, min(n, len(ranked))))
	for _, c := range ranked[:cap(chosen)] {
		chosen = append(chosen, c.entry)
	}
	return chosen
}
