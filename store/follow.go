package store

import (
	"context"
	"maps"
	"math/rand/v2"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
)

const (
	// callTimeout bounds a call that the store answers immediately. A slow store takes 200 ms.
	callTimeout = 800 * clock.Millisecond
	// firstBackoff and lastBackoff bound the wait after failed calls.
	firstBackoff = 100 * clock.Millisecond
	lastBackoff  = 800 * clock.Millisecond
	// maxPages bounds the pages of one read.
	maxPages = 1000
)

// Config holds the settings and callbacks of a Follower.
type Config struct {
	Reader Reader
	Clock  clock.Clock
	Prefix string
	// Interval is the time between two reads of the whole prefix.
	Interval clock.Span
	// WatchTimeout is the longest time that one watch call waits; 0 selects polling without a watch.
	WatchTimeout clock.Span
	// OnChange is called with each new snapshot. It must not modify the snapshot.
	OnChange func(Snapshot)
	// OnResult is called with the error of each failed call, and with nil for the first successful
	// call after a failure.
	OnResult func(error)
}

// Follower tracks the content under one prefix.
type Follower struct {
	config  Config
	backoff clock.Span
	failing bool
	// lastRead is when the last read of the whole prefix began.
	lastRead clock.Time
}

// NewFollower returns a Follower that has not read anything yet.
func NewFollower(config Config) *Follower { return &Follower{config: config} }

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		snapshot, ok := f.ReadOnce(ctx)
		switch {
		case !ok:
		case f.config.WatchTimeout == 0:
			clock.Sleep(ctx, jitter(f.config.Interval))
		default:
			f.watch(ctx, snapshot)
		}
	}
}

// ReadOnce reads the whole prefix and passes it to Config.OnChange. After a failure it waits for
// the backoff and returns false.
func (f *Follower) ReadOnce(ctx context.Context) (Snapshot, bool) {
	snapshot, err := f.readAll(ctx)
	if !f.handleResult(ctx, err) {
		return snapshot, false
	}
	f.config.OnChange(snapshot)
	return snapshot, true
}

// readAll reads the whole prefix, page by page. Errors are of type *Error.
func (f *Follower) readAll(ctx context.Context) (Snapshot, error) {
	f.lastRead = f.config.Clock.Now()
	snapshot := Snapshot{Items: make(map[string]Item), Started: f.lastRead}
	after := ""
	for range maxPages {
		call, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		page, err := f.config.Reader.Range(call, f.config.Prefix, after)
		cancel()
		if err != nil {
			return snapshot, err
		}
		if snapshot.Revision == 0 {
			snapshot.Revision = page.Revision // the watch repeats changes that occur during the read
		}
		for _, i := range page.Items {
			snapshot.Items[i.Key] = i
		}
		if !page.More || len(page.Items) == 0 {
			return snapshot, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
	return snapshot, fault.Newf("read", KindMalformed, "more than %d pages", maxPages)
}

// watch applies changes until the prefix has to be read again: after an error, after a loss of
// history and once per interval, since a watch may miss a change.
func (f *Follower) watch(ctx context.Context, snapshot Snapshot) {
	for ctx.Err() == nil && f.config.Clock.Now().Sub(f.lastRead) < f.config.Interval {
		call, cancel := context.WithTimeout(ctx, (f.config.WatchTimeout + callTimeout).Duration())
		started := f.config.Clock.Now()
		changes, err := f.config.Reader.Watch(call, f.config.Prefix, snapshot.Revision, f.config.WatchTimeout)
		cancel()
		if !f.handleResult(ctx, err) {
			return
		}
		if len(changes.Events) == 0 {
			snapshot.Revision = max(snapshot.Revision, changes.Revision)
			continue
		}
		snapshot = snapshot.apply(changes, started)
		f.config.OnChange(snapshot)
	}
}

func (s Snapshot) apply(changes Changes, started clock.Time) Snapshot {
	next := Snapshot{Items: make(map[string]Item, len(s.Items)), Revision: max(s.Revision, changes.Revision), Started: started}
	maps.Copy(next.Items, s.Items)
	for _, e := range changes.Events {
		if e.Deleted {
			delete(next.Items, e.Key)
			continue
		}
		next.Items[e.Key] = e.Item
	}
	return next
}

// handleResult reports whether a call succeeded. It notifies Config.OnResult and waits for the
// backoff after a failure.
func (f *Follower) handleResult(ctx context.Context, err error) bool {
	if ctx.Err() != nil {
		return false
	}
	if err == nil {
		if f.failing {
			f.config.OnResult(nil)
		}
		f.failing, f.backoff = false, 0
		return true
	}
	if fault.KindOf[Kind](err) == KindCompacted {
		// The content has to be read again immediately.
		f.config.OnResult(err)
		return false
	}
	f.failing = true
	f.config.OnResult(err)
	f.backoff = min(lastBackoff, max(firstBackoff, 2*f.backoff))
	clock.Sleep(ctx, jitter(f.backoff))
	return false
}

// jitter randomises a wait so that many instances do not call the store at the same time.
func jitter(span clock.Span) clock.Span { return span*3/4 + clock.Span(rand.Int64N(int64(span)/2+1)) }
