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

// prefix is the beginning of a prompt, up to the end of one of its parts.
type prefix struct {
	// key covers all parts: an engine reuses a part only after an identical prefix.
	key uint64
	// tokens is the length of the last part.
	tokens ident.Tokens
}

// prefixesOf returns the prefixes of a prompt, from the shortest on.
func prefixesOf(parts []PromptPart) (prefixes []prefix) {
	var buffer [16]byte
	key := uint64(0)
	for _, p := range parts {
		putUint64(buffer[:8], key)
		putUint64(buffer[8:], p.ID)
		key = xxhash.Sum64(buffer[:])
		prefixes = append(prefixes, prefix{key, p.Tokens})
	}
	return prefixes
}

func putUint64(buffer []byte, value uint64) {
	for i := range 8 {
		buffer[i] = byte(value >> (8 * i))
	}
}

// cachedTokens returns the length in tokens of the longest of the prefixes that is cached.
func (c *prefixCache) cachedTokens(prefixes []prefix) (tokens ident.Tokens) {
	for _, p := range prefixes {
		if c.entries[p.key] == nil {
			break
		}
		tokens += p.tokens
	}
	return tokens
}

// insert records that the engine has processed the parts, and evicts old ones. kvTokens is the
// engine's KV cache in tokens.
func (c *prefixCache) insert(parts []PromptPart, kvTokens ident.Tokens) {
	if c.entries == nil {
		c.entries, c.lru = make(map[uint64]*list.Element), list.New()
	}
	for _, p := range prefixesOf(parts) {
		if element := c.entries[p.key]; element != nil {
			c.lru.MoveToFront(element)
			continue
		}
		c.entries[p.key] = c.lru.PushFront(p)
		c.totalTokens += p.tokens
	}
	limit := ident.Tokens(float64(kvTokens) * cacheFraction)
	for c.totalTokens > limit && c.lru.Len() > 1 {
		evicted := c.lru.Remove(c.lru.Back()).(prefix)
		delete(c.entries, evicted.key)
		c.totalTokens -= evicted.tokens
	}
}

func (c *prefixCache) clear() { *c = prefixCache{} }

// sharedPrefixKey returns the key of the longest prefix that other requests may share, or 0 if
// there is none. The last part of a prompt is specific to the request.
func sharedPrefixKey(prefixes []prefix) uint64 {
	if len(prefixes) < 2 {
		return 0
	}
	return prefixes[len(prefixes)-2].key
}

// sharedPrefixTokens returns the size of the parts that other requests may share.
func sharedPrefixTokens(parts []PromptPart) (total ident.Tokens) {
	for i := range max(0, len(parts)-1) {
		total += parts[i].Tokens
	}
	return total
}
