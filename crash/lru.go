package crash

import (
	"container/list"
	"iter"
)

// lru is a map of bounded size that evicts the least recently used entry.
type lru[K comparable, V any] struct {
	max     int
	entries map[K]*list.Element
	recency *list.List
}

type lruEntry[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](most int) *lru[K, V] {
	return &lru[K, V]{max: most, entries: make(map[K]*list.Element), recency: list.New()}
}

// get returns the value of a key and marks it as used.
func (l *lru[K, V]) get(key K) (value V, ok bool) {
	element, ok := l.entries[key]
	if !ok {
		return value, false
	}
	l.recency.MoveToFront(element)
	return element.Value.(lruEntry[K, V]).value, true
}

func (l *lru[K, V]) put(key K, value V) {
	l.remove(key)
	l.entries[key] = l.recency.PushFront(lruEntry[K, V]{key, value})
	if l.recency.Len() > l.max {
		l.remove(l.recency.Back().Value.(lruEntry[K, V]).key)
	}
}

func (l *lru[K, V]) full() bool { return l.recency.Len() >= l.max }

func (l *lru[K, V]) remove(key K) {
	if element, ok := l.entries[key]; ok {
		l.recency.Remove(element)
		delete(l.entries, key)
	}
}

// all returns the values, the most recently used first. The current one may be removed meanwhile.
func (l *lru[K, V]) all() iter.Seq[V] {
	return func(yield func(V) bool) {
		for element := l.recency.Front(); element != nil; {
			next := element.Next()
			if !yield(element.Value.(lruEntry[K, V]).value) {
				return
			}
			element = next
		}
	}
}
