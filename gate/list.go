package gate

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
	"github.com/tanagerbridge/tanagerbridge/store"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// listPath is the path at which instances of the same region query changes of the list.
	listPath = "/tanager/list/"
	// listReaderCount is how many instances of a region read the list of endpoints from the store;
	// the others query them. Calls to the store are rate-limited and billed.
	listReaderCount = 3
	// listAgeDivisor limits the age of another instance's list to 1/listAgeDivisor of the time
	// within which a departure must take effect; if it is older, the instance reads the list
	// itself.
	listAgeDivisor = 2
	// maxDepartures bounds the departures that are kept for other instances.
	maxDepartures = 4096
)

// listHistory records at which revision this instance observed each change of the list.
type listHistory struct {
	// firstRevision is the revision of the first read.
	firstRevision store.Revision
	entries       map[string]pool.Info
	changedAt     map[string]store.Revision
	departures    []departure
	// digest is the sum of the hashes of all entries. The instance that is queried cannot report the
	// departure of an endpoint that it has never seen itself; a differing digest reveals that.
	digest uint64
}

// departure is a key that was removed from the list.
type departure struct {
	key      string
	revision store.Revision
}

func newListHistory() listHistory {
	return listHistory{entries: make(map[string]pool.Info), changedAt: make(map[string]store.Revision)}
}

// record stores the differences from the previous read. Heartbeats alone are not changes.
func (h *listHistory) record(snapshot store.Snapshot, prefix string, infos []pool.Info) {
	if h.firstRevision == 0 {
		h.firstRevision = snapshot.Revision
	}
	seen := make(map[string]bool, len(infos))
	for _, i := range infos {
		key := prefix + string(i.ID)
		seen[key] = true
		if i.ColdRemaining > 0 {
			i.ColdRemaining = 1 // the remaining time changes constantly; only cold or not is compared
		}
		previous, known := h.entries[key]
		if known && previous == i {
			continue
		}
		if known {
			h.digest -= entryHash(key, previous)
		}
		h.digest += entryHash(key, i)
		h.entries[key], h.changedAt[key] = i, snapshot.Revision
	}
	for key, old := range h.entries {
		if !seen[key] {
			h.digest -= entryHash(key, old)
			delete(h.entries, key)
			delete(h.changedAt, key)
			h.departures = append(h.departures, departure{key, snapshot.Revision})
		}
	}
	if len(h.departures) > maxDepartures {
		h.firstRevision = max(h.firstRevision, h.departures[len(h.departures)-maxDepartures].revision)
		h.departures = slices.Clone(h.departures[len(h.departures)-maxDepartures:])
	}
}

func entryHash(key string, info pool.Info) uint64 {
	text := key + "\x00" + string(info.Service) + "\x00" + info.Address + "\x00" + string(info.Zone) + "\x00" + strconv.FormatInt(info.Incarnation, 36)
	return xxhash.Sum64String(text + strconv.FormatBool(info.Leaving))
}

// delta is the set of changes of the list after a revision.
type delta struct {
	// Whole reports whether Items is the whole list.
	Whole bool
	Items map[string]store.Item
	Gone  []string
	At    store.Revision
	Age   clock.Span
	// Digest is the digest of the whole list.
	Digest uint64
}

// since returns the changes for another instance that has the list as of a revision.
func (h *listHistory) since(now clock.Time, list store.Snapshot, after store.Revision) delta {
	changes := delta{At: list.Revision, Age: now.Sub(list.Started), Digest: h.digest}
	if after < h.firstRevision {
		changes.Whole, changes.Items = true, list.Items
		return changes
	}
	changes.Items = make(map[string]store.Item)
	for key, at := range h.changedAt {
		if at > after {
			changes.Items[key] = list.Items[key]
		}
	}
	for _, g := range h.departures {
		if g.revision > after {
			changes.Gone = append(changes.Gone, g.key)
		}
	}
	return changes
}

// apply returns the list with the changes applied.
func (d delta) apply(now clock.Time, list store.Snapshot) store.Snapshot {
	next := store.Snapshot{Items: d.Items, Revision: d.At, Started: now.Add(-d.Age)}
	if d.Whole {
		return next
	}
	next.Items = maps.Clone(list.Items)
	for _, key := range d.Gone {
		if _, back := d.Items[key]; !back {
			delete(next.Items, key)
		}
	}
	maps.Copy(next.Items, d.Items)
	return next
}

// listReaders returns the instances of the region that read the list from the store, as far as
// this one knows, and the addresses at which to query them.
func (s *Server) listReaders() (names []ident.Entry, hops map[ident.Entry]string) {
	names, hops = []ident.Entry{s.settings.Name}, make(map[ident.Entry]string)
	for _, r := range s.node.Alive() {
		if r.Region == s.settings.Region {
			names = append(names, r.Name)
			hops[r.Name] = r.Hop
		}
	}
	return watch.Watchers("list", names, listReaderCount), hops
}

// followList keeps the list of endpoints up to date, by reading the store or by querying an
// instance that does.
func (s *Server) followList(ctx context.Context, follower *store.Follower, interval clock.Span) {
	for ctx.Err() == nil {
		readers, hops := s.listReaders()
		name := readers[s.randomUint64()%uint64(len(readers))]
		if !slices.Contains(readers, s.settings.Name) && s.requestList(ctx, name, hops[name]) {
			clock.Sleep(ctx, interval/2)
			continue
		}
		if _, ok := follower.ReadOnce(ctx); ok {
			clock.Sleep(ctx, interval)
		}
	}
}

// requestList queries a reader for changes and reports whether its list is recent enough.
func (s *Server) requestList(ctx context.Context, name ident.Entry, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout.Duration())
	defer cancel()
	var received delta
	err := s.query(ctx, address, listPath+strconv.FormatInt(int64(s.state.listRevision()), 10), &received)
	if err == nil && received.Age > boundOrDefault(s.settings.ListBound)/listAgeDivisor {
		err = fault.Newf("list", KindPeerResponse, "list is %s old", received.Age)
	}
	if err != nil {
		s.log.Info("querying endpoints from another instance failed", zap.String("of", string(name)), zap.Error(err))
		return false
	}
	s.state.applyDelta(received)
	return true
}

// query sends a request to another instance and decodes the response.
func (s *Server) query(ctx context.Context, address, uri string, into any) error {
	response, err := s.state.relay(address).Do(ctx, &relay.Request{
		Method: http.MethodGet, URI: uri, Host: address, Header: http.Header{},
	}, repeatableConnIdle)
	if err != nil {
		return err
	}
	defer response.Close()
	data, err := response.ReadAll(maxViewBytes)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fault.Newf("ask", KindPeerResponse, "status %d", response.StatusCode)
	}
	return msgpack.Unmarshal(data, into)
}

// serveList returns the changes of the list to another instance.
func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(strings.TrimPrefix(r.RequestURI, listPath), 10, 64)
	if err != nil || !s.state.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.writeMsgpack(w, s.state.listChanges(store.Revision(after)))
}

// writeMsgpack encodes a response to another instance.
func (s *Server) writeMsgpack(w http.ResponseWriter, value any) {
	data, err := msgpack.Marshal(value)
	if err != nil {
		s.log.Error("encoding response to another instance failed", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // an error only means that the instance has disconnected
}

// listChanges returns the changes of the list after a revision.
func (s *state) listChanges(after store.Revision) delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history.since(s.clock.Now(), s.list, after)
}

// listRevision returns the revision after which to query changes, or 0 to request the whole list.
func (s *state) listRevision() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listDiffers {
		return 0
	}
	return s.list.Revision
}

// applyDelta applies the changes received from another instance.
func (s *state) applyDelta(changes delta) {
	now := s.clock.Now()
	_, list := s.snapshots()
	s.recordAnswer()
	if changes.At < list.Revision || list.Items == nil && !changes.Whole {
		return
	}
	if changes.Whole || len(changes.Items)+len(changes.Gone) > 0 {
		s.applyList(changes.apply(now, list))
	} else {
		s.confirmList(changes.At, now.Add(-changes.Age))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listDiffers = s.history.digest != changes.Digest
}

// confirmList records that the list was unchanged when it was read at the given time.
func (s *state) confirmList(at store.Revision, read clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.Revision, s.list.Started = at, read
	s.pool.ConfirmList(read)
}
