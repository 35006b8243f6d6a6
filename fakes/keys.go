package fakes

import (
	"net/http"
	"sync"
)

// Keys are the keys of placed orders, shared by the instances of a service that
// place an order with a known key only once. It is safe for concurrent use.
type Keys struct {
	mu   sync.Mutex
	seen map[string]bool
}

// NewKeys returns Keys without a key.
func NewKeys() *Keys { return &Keys{seen: map[string]bool{}} }

// first notes a key and tells whether it is new. An empty key is always new.
func (k *Keys) first(key string) bool {
	if k == nil || key == "" {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	seen := k.seen[key]
	k.seen[key] = true
	return !seen
}

// keyOf returns the key of an order, or "" if the service takes none.
func (s *Service) keyOf(r *http.Request) string {
	if s.cfg.Dedupe == "" {
		return ""
	}
	return r.Header.Get(s.cfg.Dedupe)
}
