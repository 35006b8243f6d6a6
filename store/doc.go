// Package store follows what a key-value store publishes. It only reads: whole prefixes
// by polling, or a prefix and its changes by watching. The calls themselves are behind
// Reader.
package store

import (
	"context"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Compacted says that the changes since the given revision are no longer available.
	Compacted Kind = "compacted"
	// Limited says that the store refuses calls for now.
	Limited Kind = "limited"
	// Unavailable says that the store did not answer or failed.
	Unavailable Kind = "unavailable"
	// Malformed says that an answer can't be read.
	Malformed Kind = "malformed"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Revision counts the changes of the whole store.
type Revision int64

// Item is one key with its value.
type Item struct {
	Key   string
	Value []byte
	// Changed is the revision of the last change.
	Changed Revision
}

// Event is a change of one key.
type Event struct {
	Item
	// Deleted says that the key is gone; there is no value.
	Deleted bool
}

// Page is a part of the items below a prefix, in the order of their keys.
type Page struct {
	Items []Item
	More  bool
	// At is the store's revision.
	At Revision
}

// Changes are the events after a revision.
type Changes struct {
	Events []Event
	// At is the revision to go on from.
	At Revision
}

// Reader makes one call to the store. Errors are of this package.
type Reader interface {
	// Range returns the items below a prefix whose key comes after the given one.
	Range(ctx context.Context, prefix, after string) (Page, error)
	// Watch returns the changes after a revision as soon as there is one, or none after wait.
	Watch(ctx context.Context, prefix string, after Revision, wait clock.Span) (Changes, error)
}

// Snapshot is the content below a prefix at one time.
type Snapshot struct {
	Items map[string]Item
	At    Revision
	// Read is when the reading of the content began.
	Read clock.Time
}
