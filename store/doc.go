// Package store follows the content that a key-value store publishes. It only reads: a whole prefix
// and then its changes by watching. Reader abstracts the calls to the store.
package store

import (
	"context"
	"maps"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindCompacted says that the changes since the given revision are no longer available.
	KindCompacted Kind = "compacted"
	// KindRateLimited says that the store rejects calls because of a rate limit.
	KindRateLimited Kind = "limited"
	// KindUnavailable says that the store failed or did not answer.
	KindUnavailable Kind = "unavailable"
	// KindMalformed says that a response is invalid.
	KindMalformed Kind = "malformed"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Revision is the store-wide change counter.
type Revision int64

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Changed is the revision of the last change.
	Changed Revision
}

// Event is a change of one key.
type Event struct {
	Item
	// Deleted reports whether the key was deleted; Value is then empty.
	Deleted bool
}

// Page is a part of the items under a prefix, sorted by key.
type Page struct {
	Items []Item
	More  bool
	// Revision is the revision of the store.
	Revision Revision
}

// Changes holds the events after a revision.
type Changes struct {
	Events []Event
	// Revision is the revision from which to continue.
	Revision Revision
}

// Reader makes single calls to the store. Errors are of type *Error.
type Reader interface {
	// Range returns the items under a prefix whose keys sort after the given one.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there are any, or no events after
	// wait.
	Watch(ctx context.Context, prefix string, after Revision, wait clock.Span) (Changes, error)
}

// Update is what one call to the store has shown: the whole content under a prefix, or the changes
// since the update before. An update without changes confirms the content.
type Update struct {
	// Whole reports whether Items is the whole content.
	Whole   bool
	Items   []Item
	Deleted []string
	// Revision is the revision from which further changes count.
	Revision Revision
	// Read is the time as of which the content is complete.
	Read clock.Time
}

// Snapshot is the content under a prefix at one point in time.
type Snapshot struct {
	Items    map[string]Item
	Revision Revision
	// Read is the time as of which the content is complete.
	Read clock.Time
}

// Apply returns the snapshot after an update. An update that is older than the snapshot has no
// effect.
func (s Snapshot) Apply(update Update) Snapshot {
	if update.Revision < s.Revision {
		return s
	}
	next := Snapshot{Items: make(map[string]Item, len(s.Items)), Revision: update.Revision, Read: update.Read}
	if !update.Whole {
		maps.Copy(next.Items, s.Items)
	}
	for _, key := range update.Deleted {
		delete(next.Items, key)
	}
	for _, i := range update.Items {
		next.Items[i.Key] = i
	}
	return next
}
