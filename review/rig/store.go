package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is a key of the store, or its removal.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"rev"`
	Created   int64  `json:"created_rev,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// pageItems is the number of items in one page of a range read.
const pageItems = 50

// fakeStore plays the platform's store.
type fakeStore struct {
	address  string
	server   *http.Server
	mu       sync.Mutex
	items    map[string]storeItem
	events   []storeItem
	revision int64
	changed  chan struct{}
}

func newFakeStore() (*fakeStore, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // the case ends it
	if err != nil {
		return nil, err
	}
	s := &fakeStore{address: listener.Addr().String(), items: make(map[string]storeItem), revision: 1, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

func (s *fakeStore) close() { _ = s.server.Close() }

// put writes a value, which is the acknowledgement too.
func (s *fakeStore) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.apply(storeItem{Key: key, Value: data})
	return nil
}

func (s *fakeStore) apply(change storeItem) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	change.Revision, change.Created = s.revision, s.revision
	if known, ok := s.items[change.Key]; ok {
		change.Created = known.Created
	}
	s.events = append(s.events, change)
	if change.Tombstone {
		delete(s.items, change.Key)
	} else {
		s.items[change.Key] = change
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP answers range reads and watch calls.
func (s *fakeStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case names["range"]:
		_ = json.NewEncoder(w).Encode(s.page(query.Get("prefix"), query.Get("after")))
	case names["watch"]:
		s.serveWatch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *fakeStore) page(prefix, after string) map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []storeItem{}
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b storeItem) int { return cmp.Compare(a.Key, b.Key) })
	more := len(found) > pageItems
	return map[string]any{"items": found[:min(len(found), pageItems)], "has_more": more, "current_rev": s.revision}
}

func (s *fakeStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for done := false; ; {
		events, revision, changed := s.since(query.Get("prefix"), after)
		if len(events) > 0 || done {
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			done = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *fakeStore) since(prefix string, after int64) (events []storeItem, revision int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events = []storeItem{}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed
}
