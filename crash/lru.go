package crash

import (
	"container/list"
	"iter"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// lru is a map of bounded size that evicts the least recently used entry.
type lru[V any] struct {
	max     int
	entries map[ident.Part]*list.Element
	recency *list.List
}

type lruEntry[V any] struct {
	part  ident.Part
	value V
}

func newLRU[V any](most int) *lru[V] {
	return &lru[V]{max: most, entries: make(map[ident.Part]*list.Element), recency: list.New()}
}

// get returns the value of a part and marks it as used.
func (l *lru[V]) get(part ident.Part) (value V, ok bool) {
	element, ok := l.entries[part]
	if !ok {
		return value, false
	}
	l.recency.MoveToFront(element)
	return element.Value.(lruEntry[V]).value, true
}

func (l *lru[V]) put(part ident.Part, value V) {
	l.remove(part)
	l.entries[part] = l.recency.PushFront(lruEntry[V]{part, value})
	if l.recency.Len() > l.max {
		l.remove(l.recency.Back().Value.(lruEntry[V]).part)
	}
}

func (l *lru[V]) full() bool { return l.recency.Len() >= l.max }

func (l *lru[V]) remove(part ident.Part) {
	if element, ok := l.entries[part]; ok {
		l.recency.Remove(element)
		delete(l.entries, part)
	}
}

// all returns the values, the most recently used first. The current one may be removed meanwhile.
func (l *lru[V]) all() iter.Seq[V] {
	return func(yield func(V) bool) {
		for element := l.recency.Front(); element != nil; {
			next := element.Next()
			if !yield(element.Value.(lruEntry[V]).value) {
				return
			}
			element = next
		}
	}
}
