package pool

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// cacheFraction is the part of an engine's KV cache that is assumed to hold reusable prefixes;
// running requests need the rest.
const cacheFraction = 0.7

// prefixCache estimates which prompt prefixes an engine has cached, based on the requests sent to
// it. The least recently used parts are evicted first.
type prefixCache struct {
	entries     map[uint64]*list.Element
	lru         *list.List
	totalTokens ident.Tokens
}

type cacheEntry struct {
	key    uint64
	tokens ident.Tokens
}

// walkPrefixes visits the parts of a prompt with a key that covers the part and all parts before
// it: an engine reuses a part only after an identical prefix. It stops when visit returns false.
func walkPrefixes(parts []PromptPart, visit func(key uint64, part PromptPart) bool) {
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

func putUint64(buffer []byte, value uint64) {
	for i := range 8 {
		buffer[i] = byte(value >> (8 * i))
	}
}

// cachedTokens returns the length in tokens of the longest cached prefix of the prompt.
func (c *prefixCache) cachedTokens(parts []PromptPart) (tokens ident.Tokens) {
	if c.entries == nil {
		return 0
	}
	walkPrefixes(parts, func(key uint64, part PromptPart) bool {
		if c.entries[key] == nil {
			return false
		}
		tokens += part.Tokens
		return true
	})
	return tokens
}

// insert records that the engine has processed the parts, and evicts old ones. kvTokens is the
// engine's KV cache in tokens.
func (c *prefixCache) insert(parts []PromptPart, kvTokens ident.Tokens) {
	if c.entries == nil {
		c.entries, c.lru = make(map[uint64]*list.Element), list.New()
	}
	walkPrefixes(parts, func(key uint64, part PromptPart) bool {
		if element := c.entries[key]; element != nil {
			c.lru.MoveToFront(element)
			return true
		}
		c.entries[key] = c.lru.PushFront(cacheEntry{key, part.Tokens})
		c.totalTokens += part.Tokens
		return true
	})
	limit := ident.Tokens(float64(kvTokens) * cacheFraction)
	for c.totalTokens > limit && c.lru.Len() > 1 {
		evicted := c.lru.Remove(c.lru.Back()).(cacheEntry)
		delete(c.entries, evicted.key)
		c.totalTokens -= evicted.tokens
	}
}

func (c *prefixCache) clear() { *c = prefixCache{} }

// sharedPrefixKey returns the key of the longest prefix that other requests may share, or 0 if
// there is none. The last part is specific to the request.
func sharedPrefixKey(parts []PromptPart) (key uint64) {
	if len(parts) < 2 {
		return 0
	}
	walkPrefixes(parts[:len(parts)-1], func(k uint64, _ PromptPart) bool {
		key = k
		return true
	})
	return key
}

// sharedPrefixTokens returns the size of the parts that other requests may share.
func sharedPrefixTokens(parts []PromptPart) (total ident.Tokens) {
	for i := range max(0, len(parts)-1) {
		total += parts[i].Tokens
	}
	return total
}
