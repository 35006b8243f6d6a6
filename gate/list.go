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
	// pathList is where an instance tells others of its region what has changed on the list.
	pathList = "/tanager/list/"
	// listReaders is how many instances of a region read the list of endpoints; the others
	// ask them. Calls to the store are limited and paid for.
	listReaders = 3
	// maxListAge is how old a reader's list may be, in parts of the time in which a departure
	// must take effect; an older one is read again.
	maxListAge = 2
	// maxGone bounds the endpoints that are kept as gone for the others.
	maxGone = 4096
)

// journal is what an instance has seen of the list, with the revision at which it saw it.
type journal struct {
	// first is the revision of the first reading.
	first   store.Revision
	meaning map[string]pool.Info
	changed map[string]store.Revision
	gone    []departure
	// digest is the sum of the hashes of all endpoints. A reader that has never seen an endpoint
	// can't tell that it is gone; different digests show that.
	digest uint64
}

// departure is a key that has left the list.
type departure struct {
	key string
	at  store.Revision
}

func newJournal() journal {
	return journal{meaning: make(map[string]pool.Info), changed: make(map[string]store.Revision)}
}

// record notes what differs from the last reading. Heartbeats alone change nothing.
func (j *journal) record(s store.Snapshot, prefix string, infos []pool.Info) {
	if j.first == 0 {
		j.first = s.At
	}
	seen := make(map[string]bool, len(infos))
	for _, i := range infos {
		key := prefix + string(i.ID)
		seen[key] = true
		if i.Cold > 0 {
			i.Cold = 1 // only whether the endpoint is cold matters
		}
		old, known := j.meaning[key]
		if known && old == i {
			continue
		}
		if known {
			j.digest -= hash(key, old)
		}
		j.digest += hash(key, i)
		j.meaning[key], j.changed[key] = i, s.At
	}
	for key, old := range j.meaning {
		if !seen[key] {
			j.digest -= hash(key, old)
			delete(j.meaning, key)
			delete(j.changed, key)
			j.gone = append(j.gone, departure{key, s.At})
		}
	}
	if len(j.gone) > maxGone {
		j.first = max(j.first, j.gone[len(j.gone)-maxGone].at)
		j.gone = slices.Clone(j.gone[len(j.gone)-maxGone:])
	}
}

func hash(key string, i pool.Info) uint64 {
	text := key + "\x00" + string(i.Service) + "\x00" + i.Address + "\x00" + string(i.Zone) + "\x00" + strconv.FormatInt(i.Born, 36)
	return xxhash.Sum64String(text + strconv.FormatBool(i.Leaving))
}

// delta is what has changed on the list after a revision.
type delta struct {
	// Whole says that Items is the whole list.
	Whole bool
	Items map[string]store.Item
	Gone  []string
	At    store.Revision
	Age   clock.Span
	// Digest is that of the whole list.
	Digest uint64
}

// since returns what another instance must learn that knows the list as of a revision.
func (j *journal) since(now clock.Time, list store.Snapshot, after store.Revision) delta {
	d := delta{At: list.At, Age: now.Sub(list.Read), Digest: j.digest}
	if after < j.first {
		d.Whole, d.Items = true, list.Items
		return d
	}
	d.Items = make(map[string]store.Item)
	for key, at := range j.changed {
		if at > after {
			d.Items[key] = list.Items[key]
		}
	}
	for _, g := range j.gone {
		if g.at > after {
			d.Gone = append(d.Gone, g.key)
		}
	}
	return d
}

// apply returns the list with the changes.
func (d delta) apply(now clock.Time, list store.Snapshot) store.Snapshot {
	next := store.Snapshot{Items: d.Items, At: d.At, Read: now.Add(-d.Age)}
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

// readers returns the instances of the region that read the list, as far as this one
// knows, and where to ask them.
func (s *Server) readers() (names []ident.Entry, hops map[ident.Entry]string) {
	names, hops = []ident.Entry{s.settings.Name}, make(map[ident.Entry]string)
	for _, r := range s.node.Alive() {
		if r.Region == s.settings.Region {
			names = append(names, r.Name)
			hops[r.Name] = r.Hop
		}
	}
	return watch.Watchers("list", names, listReaders), hops
}

// followList keeps the list of endpoints up to date, by reading the store or by asking an
// instance that does.
func (s *Server) followList(ctx context.Context, own *store.Follower, interval clock.Span) {
	for ctx.Err() == nil {
		readers, hops := s.readers()
		name := readers[s.random()%uint64(len(readers))]
		if !slices.Contains(readers, s.settings.Name) && s.askList(ctx, name, hops[name]) {
			clock.Sleep(ctx, interval/2)
			continue
		}
		if _, ok := own.Once(ctx); ok {
			clock.Sleep(ctx, interval)
		}
	}
}

// askList asks a reader for what has changed and tells whether that is recent enough.
func (s *Server) askList(ctx context.Context, name ident.Entry, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, viewTimeout.Duration())
	defer cancel()
	var d delta
	err := s.ask(ctx, address, pathList+strconv.FormatInt(int64(s.state.listAfter()), 10), &d)
	if err == nil && d.Age > orDefault(s.settings.ListBound)/maxListAge {
		err = fault.Newf("list", Peer, "list is %s old", d.Age)
	}
	if err != nil {
		s.log.Info("no list from another instance", zap.String("of", string(name)), zap.Error(err))
		return false
	}
	s.state.learned(d)
	return true
}

// ask sends a question to another instance and decodes its answer.
func (s *Server) ask(ctx context.Context, address, uri string, into any) error {
	r, err := s.state.relay(address).Do(ctx, &relay.Request{
		Method: http.MethodGet, URI: uri, Host: address, Header: http.Header{},
	}, repeatIdle)
	if err != nil {
		return err
	}
	defer r.Close()
	data, err := r.ReadAll(maxView)
	if err != nil {
		return err
	}
	if r.StatusCode != http.StatusOK {
		return fault.Newf("ask", Peer, "status %d", r.StatusCode)
	}
	return msgpack.Unmarshal(data, into)
}

// answerList tells another instance what has changed on the list.
func (s *Server) answerList(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(strings.TrimPrefix(r.RequestURI, pathList), 10, 64)
	if err != nil || !s.state.listed.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.answer(w, s.state.changes(store.Revision(after)))
}

// answer encodes an answer to another instance.
func (s *Server) answer(w http.ResponseWriter, v any) {
	data, err := msgpack.Marshal(v)
	if err != nil {
		s.log.Error("answer can't be encoded", zap.Error(err))
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // an instance that has left needs no answer
}

// changes returns what has changed on the list after a revision.
func (s *state) changes(after store.Revision) delta {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.journal.since(s.clock.Now(), s.list, after)
}

// listAfter returns the revision after which another instance is asked for changes, or 0
// for the whole list.
func (s *state) listAfter() store.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.differs {
		return 0
	}
	return s.list.At
}

// learned takes what another instance tells of the list.
func (s *state) learned(d delta) {
	now := s.clock.Now()
	_, list := s.snapshots()
	s.answered()
	if d.At < list.At || list.Items == nil && !d.Whole {
		return
	}
	if d.Whole || len(d.Items)+len(d.Gone) > 0 {
		s.listChanged(d.apply(now, list))
	} else {
		s.unchanged(d.At, now.Add(-d.Age))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.differs = s.journal.digest != d.Digest
}

// unchanged records that the list was the same when it was read at the given time.
func (s *state) unchanged(at store.Revision, read clock.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list.At, s.list.Read = at, read
	s.pool.Confirm(read)
}
