package store

import (
	"context"
	"math/rand/v2"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
)

const (
	// callTimeout bounds a call that the store answers immediately. A slow store takes 200 ms.
	callTimeout = 800 * clock.Millisecond
	// changePause is the pause after a watch call that returned changes: others often follow, and each
	// call is billed.
	changePause = 100 * clock.Millisecond
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
	// WatchTimeout is the longest time that one watch call waits.
	WatchTimeout clock.Span
	// OnUpdate is called after each successful read or watch call.
	OnUpdate func(Update)
	// OnResult is called with the error of each failed call, and with nil for the first successful
	// call after a failure.
	OnResult func(error)
}

// Follower tracks the content under one prefix. It is not safe for concurrent use.
type Follower struct {
	config  Config
	backoff clock.Backoff
	failing bool
	// position is the position from which to watch; unknown if the prefix has to be read.
	position Position
	// seen is the latest position seen; content up to it may have been lost from the history.
	seen Position
	// lastRead is when the last read of the whole prefix began.
	lastRead clock.Time
	// eraMissing reports whether the last answer named no era although an earlier one did.
	eraMissing bool
}

// NewFollower returns a Follower that has not read anything yet.
func NewFollower(config Config) *Follower {
	return &Follower{config: config, backoff: clock.Backoff{First: firstBackoff, Last: lastBackoff}}
}

// Run follows the prefix until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.Step(ctx)
	}
}

// Resume continues from content that was obtained elsewhere as of a position, if that is later than
// what the Follower has seen.
func (f *Follower) Resume(position Position) {
	if f.seen.Before(position) {
		f.position, f.seen, f.lastRead = position, position, f.config.Clock.Now()
	}
}

// Step makes one watch call, or reads the whole prefix if that is due: at first, after a loss of
// history, when the store has come back from a copy, and once per interval. After a failure it waits for the backoff.
func (f *Follower) Step(ctx context.Context) {
	var update Update
	var err error
	if !f.position.Known() || f.config.Clock.Now().Sub(f.lastRead) >= f.config.Interval {
		update, err = f.readAll(ctx)
	} else {
		update, err = f.watch(ctx)
	}
	if !f.handleResult(ctx, err) {
		return
	}
	f.position = Latest(f.position, update.Position)
	f.seen = Latest(f.seen, f.position)
	f.config.OnUpdate(update)
	if !update.Whole && len(update.Items)+len(update.Deleted) > 0 {
		clock.Sleep(ctx, changePause)
	}
}

// located returns the position of an answer. One that names no era is taken for one of the last known
// era; the first such answer is reported.
func (f *Follower) located(position Position) Position {
	missing := position.Era == UnknownEra && f.seen.Era > 0
	if missing && !f.eraMissing {
		f.config.OnResult(fault.Newf("call", KindMalformed, "answer names no valid era"))
	}
	f.eraMissing = missing
	return position.in(f.seen.Era)
}

// readAll reads the whole prefix, page by page. Pages are not a snapshot; the watch repeats the
// changes that occur during the read. Errors are of type *Error.
func (f *Follower) readAll(ctx context.Context) (Update, error) {
	update := Update{Whole: true, Read: f.config.Clock.Now()}
	after := ""
	for n := range maxPages {
		call, cancel := context.WithTimeout(ctx, callTimeout.Duration())
		page, err := f.config.Reader.Range(call, f.config.Prefix, after)
		cancel()
		if err != nil {
			return update, err
		}
		position := f.located(page.Position)
		switch {
		case n == 0:
			update.Position = position
		case position.Era != update.Position.Era:
			return update, fault.New("read", KindRestored)
		}
		for _, i := range page.Items {
			update.Items = append(update.Items, i.in(position.Era))
		}
		if !page.More || len(page.Items) == 0 {
			f.lastRead = update.Read
			return update, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
	return update, fault.Newf("read", KindMalformed, "more than %d pages", maxPages)
}

// watch returns the changes since the last update. If the store held the call for its whole wait and has no
// changes, nothing had changed until the end of that. An answer with changes may have been on its way for long, and so
// may an empty one that comes only after the call's time limit, when the machine or the process stood still: it may have
// been given before the end of the wait.
func (f *Follower) watch(ctx context.Context) (Update, error) {
	call, cancel := context.WithTimeout(ctx, (f.config.WatchTimeout + callTimeout).Duration())
	defer cancel()
	started := f.config.Clock.Now()
	changes, err := f.config.Reader.Watch(call, f.config.Prefix, f.position.Revision, f.config.WatchTimeout)
	switch fault.KindOf[Kind](err) {
	case KindCompacted:
		f.position = Position{}
	case KindTooLarge:
		// The same call would fail again. Pages are bounded, and their end is behind these changes.
		f.position = Position{}
		return Update{}, fault.Wrap("watch", KindCompacted, err)
	}
	if err != nil {
		return Update{}, err
	}
	position := f.located(changes.Position)
	if position.Era != f.position.Era {
		f.position = Position{}
		return Update{}, fault.New("watch", KindRestored)
	}
	update := changes.update(Latest(f.position, position), started)
	took := f.config.Clock.Now().Sub(started)
	if len(changes.Events) == 0 && took >= f.config.WatchTimeout && took <= f.config.WatchTimeout+callTimeout {
		update.Read = started.Add(f.config.WatchTimeout)
	}
	return update, nil
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
		f.failing = false
		f.backoff.Reset()
		return true
	}
	if kind := fault.KindOf[Kind](err); kind == KindCompacted || kind == KindRestored {
		// The content has to be read again immediately.
		f.config.OnResult(err)
		return false
	}
	f.failing = true
	f.config.OnResult(err)
	// The jitter keeps many instances from calling the store at the same time.
	clock.Sleep(ctx, clock.Jitter(f.backoff.Next(), rand.Int64N))
	return false
}
