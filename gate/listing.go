package gate

import (
	"maps"
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
	// Changed is the position of the last change other than a heartbeat.
	Changed store.Position
}

// visible returns the part of an entry whose change is forwarded. The sequence number and the remaining
// cold time change with each heartbeat; of the latter, only cold or not is compared.
func (e listEntry) visible() pool.Info {
	info := e.Info
	info.Sequence = 0
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
	position store.Position
}

// listing is the list of endpoints, with the position of each change so that other instances can be
// told what has changed. It never goes back to an older position.
type listing struct {
	entries    map[ident.Endpoint]listEntry
	departures []departure
	digests    digests
	// first is the position from which changes can be told, and position that of the list.
	first    store.Position
	position store.Position
	// lastChange is the latest position of an entry or a departure.
	lastChange store.Position
	// read is the time as of which the list is complete.
	read clock.Time
	// unpublished holds the endpoints that were changed or removed since the last takeUnpublished.
	unpublished map[ident.Endpoint]struct{}
}

func newListing() *listing {
	return &listing{entries: make(map[ident.Endpoint]listEntry), unpublished: make(map[ident.Endpoint]struct{})}
}

// takeUnpublished returns the entries that have changed and the endpoints that were removed since
// the last call, sorted by id.
func (l *listing) takeUnpublished() (changed []pool.Info, removed []ident.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(l.unpublished)) {
		if e, ok := l.entries[id]; ok {
			changed = append(changed, e.Info)
		} else {
			removed = append(removed, id)
		}
	}
	clear(l.unpublished)
	return changed, removed
}

// put stores an entry.
func (l *listing) put(entry listEntry) {
	id := entry.Info.ID
	known, exists := l.entries[id]
	if exists && known.Info == entry.Info {
		return
	}
	if exists && known.visible() == entry.visible() {
		entry.Changed = known.Changed
	}
	if exists {
		l.digests[bucketOf(id)] -= known.hash()
	}
	l.digests[bucketOf(id)] += entry.hash()
	l.entries[id] = entry
	l.unpublished[id] = struct{}{}
	l.lastChange = store.Latest(l.lastChange, entry.Changed)
}

// remove deletes an entry.
func (l *listing) remove(id ident.Endpoint, at store.Position) {
	known, exists := l.entries[id]
	if !exists {
		return
	}
	l.digests[bucketOf(id)] -= known.hash()
	delete(l.entries, id)
	l.unpublished[id] = struct{}{}
	l.departures = append(l.departures, departure{id, at})
	l.lastChange = store.Latest(l.lastChange, at)
	if excess := len(l.departures) - maxDepartures; excess > 0 {
		l.first = store.Latest(l.first, l.departures[excess-1].position)
		l.departures = slices.Clone(l.departures[excess:])
	}
}

// keepOnly removes the entries in the given buckets, or in all if there are none, whose id is not
// in kept.
func (l *listing) keepOnly(kept map[ident.Endpoint]bool, buckets []int, at store.Position) {
	for id := range l.entries {
		if kept[id] || len(buckets) > 0 && !slices.Contains(buckets, bucketOf(id)) {
			continue
		}
		l.remove(id, at)
	}
}

// advance sets the position and the time as of which the list is complete.
func (l *listing) advance(position store.Position, read clock.Time) {
	if !l.first.Known() {
		l.first = position
	}
	l.position, l.read = position, max(l.read, read)
}

// applyUpdate applies what a call to the store has shown and returns the malformed items. Of an update that
// does not continue the list, only the time counts: a later list of the same era has all that it shows.
func (l *listing) applyUpdate(update store.Update, prefix string, parse func(store.Item) (pool.Info, error)) (malformed []string) {
	if !update.Continues(l.position) {
		if update.Position.Era == l.position.Era {
			l.read = max(l.read, update.Read)
		}
		return nil
	}
	kept := make(map[ident.Endpoint]bool, len(update.Items))
	for _, item := range update.Items {
		info, err := parse(item)
		if err != nil {
			malformed = append(malformed, item.Key)
			// A malformed entry names no endpoint to use.
			l.remove(ident.Endpoint(strings.TrimPrefix(item.Key, prefix)), update.Position)
			continue
		}
		kept[info.ID] = true
		l.put(listEntry{info, item.Changed})
	}
	for _, key := range update.Deleted {
		l.remove(ident.Endpoint(strings.TrimPrefix(key, prefix)), update.Position)
	}
	if update.Whole {
		l.keepOnly(kept, nil, update.Position)
	}
	l.advance(update.Position, update.Read)
	return malformed
}

// listDelta is the set of changes of the list after a position, as told to another instance.
type listDelta struct {
	// Whole reports whether Entries is the whole list.
	Whole   bool
	Entries []listEntry
	Gone    []ident.Endpoint
	// Buckets lists the buckets of which Entries has all entries.
	Buckets []int
	At      store.Position
	Age     clock.Span
	// Digest is the digest of the whole list.
	Digest uint64
}

// since returns the changes for an instance that has the list as of a position. If it also gives
// its digests, the entries of differing buckets are added.
func (l *listing) since(now clock.Time, after store.Position, theirs *digests) listDelta {
	delta := listDelta{At: l.position, Age: now.Sub(l.read), Digest: l.digests.total(), Whole: after.Before(l.first)}
	if theirs != nil && !delta.Whole {
		delta.Buckets = l.digests.differing(theirs)
	}
	if !delta.Whole && len(delta.Buckets) == 0 && !after.Before(l.lastChange) {
		return delta // most queries find nothing new
	}
	for id, e := range l.entries {
		if delta.Whole || after.Before(e.Changed) || len(delta.Buckets) > 0 && slices.Contains(delta.Buckets, bucketOf(id)) {
			delta.Entries = append(delta.Entries, e)
		}
	}
	for _, d := range l.departures {
		if _, back := l.entries[d.id]; !delta.Whole && !back && after.Before(d.position) {
			delta.Gone = append(delta.Gone, d.id)
		}
	}
	return delta
}

// applyDelta applies the changes received from another instance and reports whether the list differs
// from that of the other instance afterwards. Changes older than the list have no effect. asked is when the other
// instance was asked: its answer may have been on its way for long.
func (l *listing) applyDelta(asked clock.Time, delta listDelta) (differs bool) {
	if delta.At.Before(l.position) || !l.position.Known() && !delta.Whole {
		return false
	}
	kept := make(map[ident.Endpoint]bool, len(delta.Entries))
	for _, e := range delta.Entries {
		kept[e.Info.ID] = true
		l.put(e)
	}
	for _, id := range delta.Gone {
		l.remove(id, delta.At)
	}
	if delta.Whole || len(delta.Buckets) > 0 {
		l.keepOnly(kept, delta.Buckets, delta.At)
	}
	l.advance(delta.At, asked.Add(-delta.Age))
	return l.digests.total() != delta.Digest
}
