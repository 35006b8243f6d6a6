package fakes

import (
	"net/http"
	"sync"
)

// IdempotencyKeys is the set of idempotency keys of placed orders. The instances of a service share
// it, so that an order with a known key is placed only once. It is safe for concurrent use.
type IdempotencyKeys struct {
	mu   sync.Mutex
	seen map[string]bool
}

// NewIdempotencyKeys returns an empty set.
func NewIdempotencyKeys() *IdempotencyKeys { return &IdempotencyKeys{seen: map[string]bool{}} }

// claim adds a key and reports whether it is new. An empty key is always new, as is any
// key with a nil set.
func (k *IdempotencyKeys) claim(key string) bool {
	if k == nil || key == "" {
		return true
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	seen := k.seen[key]
	k.seen[key] = true
	return !seen
}

// idempotencyKey returns the key of an order, or "" if the service does not use keys.
func (s *Service) idempotencyKey(r *http.Request) string {
	if s.cfg.KeyHeader == "" {
		return ""
	}
	return r.Header.Get(s.cfg.KeyHeader)
}
