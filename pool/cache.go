package pool

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// cacheShare is the part of an engine's memory that the estimate takes as cache; running
// requests need the rest.
const cacheShare = 0.7

// cache estimates which prompt parts an engine holds, from what was sent there. The least
// recently used parts yield.
type cache struct {
	entries map[uint64]*list.Element
	order   *list.List
	held    ident.Tokens
}

type cached struct {
	key    uint64
	tokens ident.Tokens
}

// chain returns a key for each part that also covers all parts before it: an engine reuses
// a part only behind the same beginning.
func chain(parts []Part, visit func(key uint64, p Part) bool) {
	var buffer [16]byte
	key := uint64(0)
	for _, p := range parts {
		putUint64(buffer[:8], key)
		putUint64(buffer[8:], p.ID)
		key = xxhash.Sum64(buffer[:])
		if !visit(key, p) {
			return
		}
	}
}

func putUint64(b []byte, v uint64) {
	for i := range 8 {
		b[i] = byte(v >> (8 * i))
	}
}

// has returns how many tokens of the prompt's beginning the engine holds.
func (c *cache) has(parts []Part) (held ident.Tokens) {
	if c.entries == nil {
		return 0
	}
	chain(parts, func(key uint64, p Part) bool {
		if c.entries[key] == nil {
			return false
		}
		held += p.Tokens
		return true
	})
	return held
}

// use records that the engine has read the parts.
func (c *cache) use(parts []Part, memory ident.Tokens) {
	if c.entries == nil {
		c.entries, c.order = make(map[uint64]*list.Element), list.New()
	}
	chain(parts, func(key uint64, p Part) bool {
		if e := c.entries[key]; e != nil {
			c.order.MoveToFront(e)
			return true
		}
		c.entries[key] = c.order.PushFront(cached{key, p.Tokens})
		c.held += p.Tokens
		return true
	})
	limit := ident.Tokens(float64(memory) * cacheShare)
	for c.held > limit && c.order.Len() > 1 {
		last := c.order.Remove(c.order.Back()).(cached)
		delete(c.entries, last.key)
		c.held -= last.tokens
	}
}

func (c *cache) clear() { *c = cache{} }

// shared returns a key of the largest part that other requests may share: the last part
// belongs to the request alone. It is 0 without such a part.
func shared(parts []Part) (key uint64) {
	if len(parts) < 2 {
		return 0
	}
	chain(parts[:len(parts)-1], func(k uint64, _ Part) bool {
		key = k
		return true
	})
	return key
}

// sharedTokens returns the size of the parts that other requests may share.
func sharedTokens(parts []Part) (n ident.Tokens) {
	for i := range max(0, len(parts)-1) {
		n += parts[i].Tokens
	}
	return n
}
