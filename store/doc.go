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
	// KindTooLarge says that a response exceeds its limit.
	KindTooLarge Kind = "too large"
	// KindRestored says that the store has come back from a copy since the content was read.
	KindRestored Kind = "restored"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Item is a key with its value.
type Item struct {
	Key   string
	Value []byte
	// Changed is the position of the last change.
	Changed Position
}

// in returns the item with the given era if its position has none.
func (i Item) in(known Era) Item {
	i.Changed = i.Changed.in(known)
	return i
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
	// Position is the position of the store.
	Position Position
}

// Changes holds the events after a revision.
type Changes struct {
	Events []Event
	// Position is the position from which to continue.
	Position Position
}

// update returns the changes as an update. Of several changes of a key, only the last counts.
func (c *Changes) update(position Position, read clock.Time) Update {
	update := Update{Position: position, Read: read}
	last := make(map[string]Event, len(c.Events))
	for _, e := range c.Events {
		last[e.Key] = e
	}
	for _, e := range last {
		if e.Deleted {
			update.Deleted = append(update.Deleted, e.Key)
			continue
		}
		update.Items = append(update.Items, e.in(position.Era))
	}
	return update
}

// shortestWait is the wait of a call that is to be answered at once: 0 could stand for a default.
const shortestWait = 1 * clock.Millisecond

// ReadChanges returns the changes under a prefix since a position, without waiting for any. The content is then
// complete as of now. Errors are of type *Error, of kind KindRestored if the store has come back from a copy since.
func ReadChanges(ctx context.Context, reader Reader, now clock.Time, prefix string, since Position) (Update, error) {
	changes, err := reader.Watch(ctx, prefix, since.Revision, shortestWait)
	if err != nil {
		return Update{}, err
	}
	position := changes.Position.in(since.Era)
	if position.Era != since.Era {
		return Update{}, fault.New("read changes", KindRestored)
	}
	return changes.update(Latest(since, position), now), nil
}

// Reader makes single calls to the store. Errors are of type *Error. An answer that names no valid era
// has positions with UnknownEra.
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
	// Position is the position from which further changes count.
	Position Position
	// Read is the time as of which the content is complete.
	Read clock.Time
}

// Snapshot is the content under a prefix at one point in time.
type Snapshot struct {
	Items    map[string]Item
	Position Position
	// Read is the time as of which the content is complete.
	Read clock.Time
}

// Continues reports whether an update can be applied to content as of a position: it must not be older,
// and changes must be of the same era.
func (u *Update) Continues(content Position) bool {
	return !u.Position.Before(content) && (u.Whole || u.Position.Era == content.Era || !content.Known())
}

// Apply returns the snapshot after an update. One that does not continue the snapshot has no effect.
func (s Snapshot) Apply(update Update) Snapshot {
	if !update.Continues(s.Position) {
		return s
	}
	next := Snapshot{Items: make(map[string]Item, len(s.Items)), Position: update.Position, Read: update.Read}
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
