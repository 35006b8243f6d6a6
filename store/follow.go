package store

import (
	"context"
	"maps"
	"math/rand/v2"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
)

const (
	// callTimeout bounds a call that the store answers at once. A slow store takes 200 ms.
	callTimeout = 800 * clock.Millisecond
	// firstBackoff and lastBackoff bound the pause after failed calls.
	firstBackoff = 100 * clock.Millisecond
	lastBackoff  = 800 * clock.Millisecond
	// maxPages bounds the pages of one reading.
	maxPages = 1000
)

// Config configures a Follower.
type Config struct {
	Reader Reader
	Clock  clock.Clock
	Prefix string
	// Interval is the pause between two readings of the whole prefix.
	Interval clock.Span
	// Wait is the longest time that one watch waits; 0 follows by reading alone.
	Wait clock.Span
	// Changed gets each new content. It must not modify it.
	Changed func(Snapshot)
	// Failed is told of each failed call and of the first call that works again, with nil.
	Failed func(error)
}

// Follower keeps up with one prefix.
type Follower struct {
	c       Config
	backoff clock.Span
	failing bool
	// read is when the content was last read as a whole.
	read clock.Time
}

// NewFollower returns a Follower that has not read anything.
func NewFollower(c Config) *Follower { return &Follower{c: c} }

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		snapshot, ok := f.Once(ctx)
		switch {
		case !ok:
		case f.c.Wait == 0:
			clock.Sleep(ctx, jitter(f.c.Interval))
		default:
			f.watch(ctx, snapshot)
		}
	}
}

// Once reads the whole prefix and passes it on. After a failure it waits a little and
// returns false.
func (f *Follower) Once(ctx context.Context) (Snapshot, bool) {
	snapshot, err := f.readAll(ctx)
	if !f.note(ctx, err) {
		return snapshot, false
	}
	f.c.Changed(snapshot)
	return snapshot, true
}

// readAll reads the whole prefix, page by page.
func (f *Follower) readAll(ctx context.Context) (Snapshot, error) {
	f.read = f.c.Clock.Now()
	s := Snapshot{Items: make(map[string]Item), Read: f.read}
	after := ""
	for range maxPages {
		call, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		page, err := f.c.Reader.Range(call, f.c.Prefix, after)
		cancel()
		if err != nil {
			return s, err
		}
		if s.At == 0 {
			s.At = page.At // changes during the reading come again with the watch
		}
		for _, i := range page.Items {
			s.Items[i.Key] = i
		}
		if !page.More || len(page.Items) == 0 {
			return s, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
	return s, fault.Newf("read", Malformed, "more than %d pages", maxPages)
}

// watch applies changes to the content until it has to be read again: after an error,
// after a loss of history and from time to time, since a watch may miss a change.
func (f *Follower) watch(ctx context.Context, s Snapshot) {
	for ctx.Err() == nil && f.c.Clock.Now().Sub(f.read) < f.c.Interval {
		call, cancel := context.WithTimeout(ctx, (f.c.Wait + callTimeout).Duration())
		began := f.c.Clock.Now()
		changes, err := f.c.Reader.Watch(call, f.c.Prefix, s.At, f.c.Wait)
		cancel()
		if !f.note(ctx, err) {
			return
		}
		if len(changes.Events) == 0 {
			s.At = max(s.At, changes.At)
			continue
		}
		s = s.apply(changes, began)
		f.c.Changed(s)
	}
}

func (s Snapshot) apply(c Changes, read clock.Time) Snapshot {
	next := Snapshot{Items: make(map[string]Item, len(s.Items)), At: max(s.At, c.At), Read: read}
	maps.Copy(next.Items, s.Items)
	for _, e := range c.Events {
		if e.Deleted {
			delete(next.Items, e.Key)
			continue
		}
		next.Items[e.Key] = e.Item
	}
	return next
}

// note reports the result of a call, waits after a failure and tells whether it worked.
func (f *Follower) note(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		if f.failing {
			f.c.Failed(nil)
		}
		f.failing, f.backoff = false, 0
		return true
	}
	if fault.KindOf[Kind](err) == Compacted {
		// The content has to be read again at once.
		f.c.Failed(err)
		return false
	}
	f.failing = true
	f.c.Failed(err)
	f.backoff = min(lastBackoff, max(firstBackoff, 2*f.backoff))
	clock.Sleep(ctx, jitter(f.backoff))
	return false
}

// jitter spreads the calls of many instances.
func jitter(s clock.Span) clock.Span { return s*3/4 + clock.Span(rand.Int64N(int64(s)/2+1)) }
