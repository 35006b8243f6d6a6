package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// pollInterval is the interval at which a waiting watch call looks for changes.
	pollInterval = 2 * time.Millisecond
	// pageItems bounds the items of one page.
	pageItems = 500
)

// item is one key of the store, or the tombstone of a key.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"rev"`
	Created   int64  `json:"created_rev,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a stand-in of the platform's store.
type store struct {
	names    names
	address  string
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision int64
	// down is set while the store takes calls and answers none.
	down bool
}

func newStore(n names) *store { return &store{names: n, items: make(map[string]item), revision: 1} }

// put writes a value and returns the time of the acknowledgement.
func (s *store) put(key string, value any) (time.Time, error) {
	data, err := json.Marshal(value)
	if err != nil {
		return time.Time{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return time.Time{}, nil // the call is not answered, and its caller makes it again
	}
	s.revision++
	written := item{Key: key, Value: data, Revision: s.revision, Created: s.revision}
	if before, ok := s.items[key]; ok {
		written.Created = before.Created
	}
	s.items[key] = written
	s.events = append(s.events, written)
	return time.Now(), nil
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Tombstone: true})
}

// serve serves the store on a loopback address.
func (s *store) serve() error {
	listener, err := listen("127.0.0.1:0")
	if err != nil {
		return err
	}
	s.address = listener.Addr().String()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	return nil
}

// ServeHTTP answers a call.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	w.Header()[s.names.Era] = []string{"0"}
	query := r.URL.Query()
	switch {
	case s.isDown():
		<-r.Context().Done()
	case r.URL.Path == s.names.Range:
		s.answer(w, r, s.page(query.Get("prefix"), query.Get("after")))
	case r.URL.Path == s.names.Watch:
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// answer answers a call, unless the store has gone down meanwhile.
func (s *store) answer(w http.ResponseWriter, r *http.Request, answer any) {
	if s.isDown() {
		<-r.Context().Done()
		return
	}
	_ = json.NewEncoder(w).Encode(answer) // the caller may have left
}

// setDown takes the store down, silently, or lets it come back with all that it has acknowledged.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	for {
		found, revision := s.changes(query.Get("prefix"), after)
		if len(found) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			s.answer(w, r, map[string]any{"events": found, "current_rev": revision})
			return
		}
		time.Sleep(pollInterval)
	}
}

// page returns the items under a prefix after a key.
func (s *store) page(prefix, after string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageItems
	return map[string]any{"items": found[:min(len(found), pageItems)], "has_more": more, "current_rev": s.revision}
}

// changes returns the changes under a prefix after a revision.
func (s *store) changes(prefix string, after int64) (found []item, revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found = []item{}
	first, _ := slices.BinarySearchFunc(s.events, after+1, func(e item, at int64) int { return int(e.Revision - at) })
	for _, e := range s.events[first:] {
		if strings.HasPrefix(e.Key, prefix) {
			found = append(found, e)
		}
	}
	return found, s.revision
}
