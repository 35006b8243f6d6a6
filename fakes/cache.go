package fakes

import (
	"container/list"
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// maxReportedPrefixes bounds the prefixes listed in a load report.
const maxReportedPrefixes = 64

// prefixCache simulates the prefix cache of an engine: an LRU cache of prompt blocks.
// The hash of a block also covers the blocks before it.
type prefixCache struct {
	maxBlocks      int
	blockTokens    int
	lru            *list.List // of uint64, most recently used first
	blocks         map[uint64]*list.Element
	recentPrefixes *list.List // of ident.Prefix: prefixes of the last prompts, most recent first
}

func newPrefixCache(maxBlocks, blockTokens int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, blockTokens: blockTokens, lru: list.New(), blocks: map[uint64]*list.Element{}, recentPrefixes: list.New()}
}

// hashBlocks returns the hashes of the complete blocks of words; a partial last block
// is left out.
func (c *prefixCache) hashBlocks(words []string) []uint64 {
	var out []uint64
	var previous [8]byte
	for i := c.blockTokens; i <= len(words); i += c.blockTokens {
		digest := xxhash.New()
		_, _ = digest.Write(previous[:])
		for _, w := range words[i-c.blockTokens : i] {
			_, _ = digest.WriteString(w + " ")
		}
		out = append(out, digest.Sum64())
		binary.LittleEndian.PutUint64(previous[:], digest.Sum64())
	}
	return out
}

// matchAndInsert returns how many leading words are cached, then caches all complete
// blocks and records the prefix for load reports.
func (c *prefixCache) matchAndInsert(words []string, prefix ident.Prefix) (cached int) {
	hashes := c.hashBlocks(words)
	for _, h := range hashes {
		if c.blocks[h] == nil {
			break
		}
		cached += c.blockTokens
	}
	for _, bh := range slices.Backward(hashes) {
		c.touch(bh) // in reverse, so that the first block becomes the most recently used
	}
	c.insertPrefix(prefix)
	return cached
}

// touch marks a block as the most recently used and evicts blocks over the limit.
func (c *prefixCache) touch(h uint64) {
	if e := c.blocks[h]; e != nil {
		c.lru.MoveToFront(e)
		return
	}
	c.blocks[h] = c.lru.PushFront(h)
	for c.lru.Len() > c.maxBlocks {
		last := c.lru.Back()
		delete(c.blocks, last.Value.(uint64))
		c.lru.Remove(last)
	}
}

func (c *prefixCache) insertPrefix(prefix ident.Prefix) {
	for e := c.recentPrefixes.Front(); e != nil; e = e.Next() {
		if e.Value.(ident.Prefix) == prefix {
			c.recentPrefixes.MoveToFront(e)
			return
		}
	}
	c.recentPrefixes.PushFront(prefix)
	if c.recentPrefixes.Len() > maxReportedPrefixes {
		c.recentPrefixes.Remove(c.recentPrefixes.Back())
	}
}

// prefixes returns the prefixes of the last prompts, most recent first.
func (c *prefixCache) prefixes() []ident.Prefix {
	out := make([]ident.Prefix, 0, c.recentPrefixes.Len())
	for e := c.recentPrefixes.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(ident.Prefix))
	}
	return out
}

// prefixBytes is the length of the part of the encoded messages that a prefix covers.
const prefixBytes = 512

// prefixOf returns the prefix that identifies a prompt in load reports: the xxhash of
// the first 512 bytes of its encoded messages, joined without a separator.
func prefixOf(messages []json.RawMessage) ident.Prefix {
	var text []byte
	for _, m := range messages {
		text = append(text, m...)
	}
	return ident.Prefix(xxhash.Sum64(text[:min(len(text), prefixBytes)]))
}
