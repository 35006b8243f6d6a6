package gate

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// storeReaderCount is how many instances of a region read the store; the others query them. Calls
	// to the store are rate-limited and billed.
	storeReaderCount = 3
	// maxSources is how many readers an instance queries before it reads the store itself.
	maxSources = 2
	// directSpan is how long an instance reads the store itself after its queries have failed.
	directSpan = 2 * clock.Second
	// A new instance takes the first data from another one of its region. It waits discoveryTime to
	// learn of others. If it is none of those that read first, it waits startupPatience, and a random
	// part of startupSpread, before it reads the store itself: if all did so at once after a loss of
	// all instances, the links to the store would be overloaded.
	discoveryTime   = 250 * clock.Millisecond
	startupPatience = 2 * clock.Second
	startupSpread   = 2 * clock.Second
)

// readerPolicy decides which instances of a region read the store. It has no state of its own.
type readerPolicy struct {
	self ident.Entry
	// seed reports whether the others know the address of this instance before they have any data.
	seed bool
	// startupDelay is the random delay before a new instance reads the store although it is none of
	// those that read first.
	startupDelay clock.Span
}

// readers returns the instances that read the store, as far as this one knows. ready are the other
// instances of the region that have data.
func (p readerPolicy) readers(ready []ident.Entry) []ident.Entry {
	return watch.Rendezvous("list", append([]ident.Entry{p.self}, ready...), storeReaderCount)
}

// reads reports whether this instance is one of them.
func (p readerPolicy) reads(ready []ident.Entry) bool {
	return slices.Contains(p.readers(ready), p.self)
}

// sources returns the readers to query, in this order. random spreads the queries over them.
func (p readerPolicy) sources(ready []ident.Entry, random uint64) (sources []ident.Entry) {
	readers := p.readers(ready)
	for i := range readers {
		name := readers[(uint64(i)+random)%uint64(len(readers))]
		if name != p.self && len(sources) < maxSources {
			sources = append(sources, name)
		}
	}
	return sources
}

// readsFirst reports whether an instance without data may read the store already. The seeds do so at
// once: there are few of them, and others learn of them first. elapsed is the time since the start,
// starting are the other instances of the region that have no data either.
func (p readerPolicy) readsFirst(elapsed clock.Span, starting, ready []ident.Entry) bool {
	switch {
	case p.seed:
		return true
	case elapsed < discoveryTime:
		return false
	case elapsed > startupPatience+p.startupDelay:
		return true
	case len(starting) == 0:
		return len(ready) == 0
	default:
		return p.reads(starting)
	}
}
