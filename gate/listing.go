package gate

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/store"
)

const (
	// maxDepartures bounds the departures that are kept for other instances.
	maxDepartures = 4096
	// digestBuckets is the number of parts of the list whose digests are compared one by one.
	digestBuckets = 64
)

// digests holds the sum of the entry hashes of each bucket of the list. An instance that supplies
// changes cannot report the departure of an endpoint that it has never seen itself; a differing
// digest reveals that.
type digests [digestBuckets]uint64

func bucketOf(id ident.Endpoint) int { return int(xxhash.Sum64String(string(id)) % digestBuckets) }

func (d *digests) total() (sum uint64) {
	for _, n := range d {
		sum += n
	}
	return sum
}

// differing returns the buckets whose digests differ.
func (d *digests) differing(other *digests) (buckets []int) {
	for b := range d {
		if d[b] != other[b] {
			buckets = append(buckets, b)
		}
	}
	return buckets
}

// listEntry is one endpoint of the list.
type listEntry struct {
	Info pool.Info
	// Changed is the revision of the last change other than a heartbeat.
	Changed store.Revision
}

// visible returns the part of an entry whose change is forwarded. The remaining cold time changes
// with each heartbeat; only cold or not is compared.
func (e listEntry) visible() pool.Info {
	info := e.Info
	if info.ColdRemaining > 0 {
		info.ColdRemaining = 1
	}
	return info
}

func (e listEntry) hash() uint64 {
	i := e.Info
	text := string(i.ID) + "\x00" + string(i.Service) + "\x00" + i.Address + "\x00" + string(i.Zone) + "\x00" + strconv.FormatInt(i.Incarnation, 36)
	return xxhash.Sum64String(text + strconv.FormatBool(i.Leaving))
}

// departure is an endpoint that was removed from the list.
type departure struct {
	id       ident.Endpoint
	revision store.Revision
}

// listing is the list of endpoints, with the revision of each change so that other instances can be
// told what has changed. It never goes back to an older revision.
type listing struct {
	entries    map[ident.Endpoint]listEntry
	departures []departure
	digests    digests
	// firstRevision is the revision from which changes can be told, and revision that of the list.
	firstRevision store.Revision
	revision      store.Revision
	// lastChange is the newest revision of an entry or a departure.
	lastChange store.Revision
	// read is the time as of which the list is complete.
	read clock.Time
}

func newListing() *listing { return &listing{entries: make(map[ident.Endpoint]listEntry)} }

func (l *listing) infos() []pool.Info {
	infos := make([]pool.Info, 0, len(l.entries))
	for _, e := range l.entries {
		infos = append(infos, e.Info)
	}
	return infos
}

// put stores an entry and reports whether it has changed.
func (l *listing) put(entry listEntry) bool {
	id := entry.Info.ID
	known, exists := l.entries[id]
	if exists && known.Info == entry.Info {
		return false
	}
	if exists && known.visible() == entry.visible() {
		entry.Changed = known.Changed
	}
	if exists {
		l.digests[bucketOf(id)] -= known.hash()
	}
	l.digests[bucketOf(id)] += entry.hash()
	l.entries[id] = entry
	l.lastChange = max(l.lastChange, entry.Changed)
	return true
}

// remove deletes an entry and reports whether it existed.
func (l *listing) remove(id ident.Endpoint, at store.Revision) bool {
	known, exists := l.entries[id]
	if !exists {
		return false
	}
	l.digests[bucketOf(id)] -= known.hash()
	delete(l.entries, id)
	l.departures = append(l.departures, departure{id, at})
	l.lastChange = max(l.lastChange, at)
	if excess := len(l.departures) - maxDepartures; excess > 0 {
		l.firstRevision = max(l.firstRevision, l.departures[excess-1].revision)
		l.departures = slices.Clone(l.departures[excess:])
	}
	return true
}

// keepOnly removes the entries in the given buckets, or in all if there are none, whose id is not
// in kept, and reports whether it removed any.
func (l *listing) keepOnly(kept map[ident.Endpoint]bool, buckets []int, at store.Revision) (removed bool) {
	for id := range l.entries {
		if kept[id] || len(buckets) > 0 && !slices.Contains(buckets, bucketOf(id)) {
			continue
		}
		removed = l.remove(id, at) || removed
	}
	return removed
}

// advance sets the revision and the time as of which the list is complete.
func (l *listing) advance(revision store.Revision, read clock.Time) {
	if l.firstRevision == 0 {
		l.firstRevision = revision
	}
	l.revision, l.read = revision, max(l.read, read)
}

// applyUpdate applies what a call to the store has shown. It returns the malformed items and
// reports whether the list has changed. An update older than the list has no effect.
func (l *listing) applyUpdate(update store.Update, prefix string, parse func(store.Item) (pool.Info, error)) (changed bool, malformed []string) {
	if update.Revision < l.revision {
		return false, nil
	}
	kept := make(map[ident.Endpoint]bool, len(update.Items))
	for _, item := range update.Items {
		info, err := parse(item)
		if err != nil {
			malformed = append(malformed, item.Key)
			// A malformed entry names no endpoint to use.
			changed = l.remove(ident.Endpoint(strings.TrimPrefix(item.Key, prefix)), update.Revision) || changed
			continue
		}
		kept[info.ID] = true
		changed = l.put(listEntry{info, item.Changed}) || changed
	}
	for _, key := range update.Deleted {
		changed = l.remove(ident.Endpoint(strings.TrimPrefix(key, prefix)), update.Revision) || changed
	}
	if update.Whole {
		changed = l.keepOnly(kept, nil, update.Revision) || changed
	}
	l.advance(update.Revision, update.Read)
	return changed, malformed
}

// listDelta is the set of changes of the list after a revision, as told to another instance.
type listDelta struct {
	// Whole reports whether Entries is the whole list.
	Whole   bool
	Entries []listEntry
	Gone    []ident.Endpoint
	// Buckets lists the buckets of which Entries has all entries.
	Buckets []int
	At      store.Revision
	Age     clock.Span
	// Digest is the digest of the whole list.
	Digest uint64
}

// since returns the changes for an instance that has the list as of a revision. If it also gives
// its digests, the entries of differing buckets are added.
func (l *listing) since(now clock.Time, after store.Revision, theirs *digests) listDelta {
	delta := listDelta{At: l.revision, Age: now.Sub(l.read), Digest: l.digests.total(), Whole: after < l.firstRevision}
	if theirs != nil && !delta.Whole {
		delta.Buckets = l.digests.differing(theirs)
	}
	if !delta.Whole && len(delta.Buckets) == 0 && after >= l.lastChange {
		return delta // most queries find nothing new
	}
	for id, e := range l.entries {
		if delta.Whole || e.Changed > after || len(delta.Buckets) > 0 && slices.Contains(delta.Buckets, bucketOf(id)) {
			delta.Entries = append(delta.Entries, e)
		}
	}
	for _, d := range l.departures {
		if _, back := l.entries[d.id]; !delta.Whole && !back && d.revision > after {
			delta.Gone = append(delta.Gone, d.id)
		}
	}
	return delta
}

// applyDelta applies the changes received from another instance. It reports whether the list has
// changed and whether it differs from that of the other instance afterwards. Changes older than the
// list have no effect.
func (l *listing) applyDelta(now clock.Time, delta listDelta) (changed, differs bool) {
	if delta.At < l.revision || l.revision == 0 && !delta.Whole {
		return false, false
	}
	kept := make(map[ident.Endpoint]bool, len(delta.Entries))
	for _, e := range delta.Entries {
		kept[e.Info.ID] = true
		changed = l.put(e) || changed
	}
	for _, id := range delta.Gone {
		changed = l.remove(id, delta.At) || changed
	}
	if delta.Whole || len(delta.Buckets) > 0 {
		changed = l.keepOnly(kept, delta.Buckets, delta.At) || changed
	}
	l.advance(delta.At, now.Add(-delta.Age))
	return changed, l.digests.total() != delta.Digest
}
