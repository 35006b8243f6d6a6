package fakes

import (
	"container/list"
	"encoding/binary"
	"encoding/json"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// reportedPrefixes bounds the prefixes named in a load report.
const reportedPrefixes = 64

// cache is the prefix cache of an engine: the least recently used of a bounded
// number of prompt blocks is evicted. A block's hash covers the blocks before it.
type cache struct {
	limit int
	block int
	order *list.List // of uint64, most recently used first
	index map[uint64]*list.Element
	heads *list.List // of ident.Prefix: heads of the last prompts, most recent first
}

func newCache(limit, block int) *cache {
	return &cache{limit: limit, block: block, order: list.New(), index: map[uint64]*list.Element{}, heads: list.New()}
}

// blocks hashes the whole blocks of words.
func (c *cache) blocks(words []string) []uint64 {
	var out []uint64
	var chain [8]byte
	for i := c.block; i <= len(words); i += c.block {
		d := xxhash.New()
		_, _ = d.Write(chain[:])
		for _, w := range words[i-c.block : i] {
			_, _ = d.WriteString(w + " ")
		}
		out = append(out, d.Sum64())
		binary.LittleEndian.PutUint64(chain[:], d.Sum64())
	}
	return out
}

// use returns how many of the words are cached as a prefix, and caches all of them.
func (c *cache) use(words []string, head ident.Prefix) (cached int) {
	hashes := c.blocks(words)
	for _, h := range hashes {
		if c.index[h] == nil {
			break
		}
		cached += c.block
	}
	for _, hashe := range slices.Backward(hashes) {
		c.touch(hashe) // the first block ends up as the most recent one
	}
	c.note(head)
	return cached
}

func (c *cache) touch(h uint64) {
	if e := c.index[h]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.index[h] = c.order.PushFront(h)
	for c.order.Len() > c.limit {
		last := c.order.Back()
		delete(c.index, last.Value.(uint64))
		c.order.Remove(last)
	}
}

func (c *cache) note(head ident.Prefix) {
	for e := c.heads.Front(); e != nil; e = e.Next() {
		if e.Value.(ident.Prefix) == head {
			c.heads.MoveToFront(e)
			return
		}
	}
	c.heads.PushFront(head)
	if c.heads.Len() > reportedPrefixes {
		c.heads.Remove(c.heads.Back())
	}
}

// prefixes returns the heads of the last prompts.
func (c *cache) prefixes() []ident.Prefix {
	out := make([]ident.Prefix, 0, c.heads.Len())
	for e := c.heads.Front(); e != nil; e = e.Next() {
		out = append(out, e.Value.(ident.Prefix))
	}
	return out
}

// headBytes is the length of the first part of a prompt that a prefix covers.
const headBytes = 512

// headOf returns the prefix that names a prompt in load reports: the xxhash of
// the first 512 bytes of its encoded messages, joined without a separator.
func headOf(messages []json.RawMessage) ident.Prefix {
	var text []byte
	for _, m := range messages {
		text = append(text, m...)
	}
	return ident.Prefix(xxhash.Sum64(text[:min(len(text), headBytes)]))
}
