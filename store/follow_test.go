package store_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/store"
)

// at returns a position in the first era.
func at(revision store.Revision) store.Position { return store.Position{Revision: revision} }

// reader is an in-memory store that returns pages of two items.
type reader struct {
	mu       sync.Mutex
	items    []store.Item
	position store.Position
	events   []store.Event
	failing  bool
	silent   bool
	// compacted makes the next watch call return a KindCompacted error.
	compacted bool
}

func (r *reader) set(key, value string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.position.Revision++
	item := store.Item{Key: key, Value: []byte(value), Changed: r.position}
	for n := range r.items {
		if r.items[n].Key == key {
			r.items[n] = item
			r.events = append(r.events, store.Event{Item: item})
			return
		}
	}
	r.items = append(r.items, item)
	r.events = append(r.events, store.Event{Item: item})
}

func (r *reader) remove(key string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.position.Revision++
	for n := range r.items {
		if r.items[n].Key == key {
			r.items = append(r.items[:n], r.items[n+1:]...)
			break
		}
	}
	r.events = append(r.events, store.Event{Item: store.Item{Key: key, Changed: r.position}, Deleted: true})
}

func (r *reader) change(fn func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fn()
}

func (r *reader) Range(_ context.Context, _, after string) (store.Page, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failing {
		return store.Page{}, fault.New("range", store.KindUnavailable)
	}
	page := store.Page{Position: r.position}
	for _, i := range r.items {
		if i.Key <= after {
			continue
		}
		if len(page.Items) == 2 {
			page.More = true
			break
		}
		page.Items = append(page.Items, i)
	}
	return page, nil
}

func (r *reader) Watch(ctx context.Context, _ string, after store.Revision, wait clock.Span) (store.Changes, error) {
	end := time.Now().Add(wait.Duration())
	for ctx.Err() == nil && time.Now().Before(end) {
		c, err := r.changes(after)
		if err != nil || len(c.Events) > 0 {
			return c, err
		}
		time.Sleep(time.Millisecond)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return store.Changes{Position: store.Position{Era: r.position.Era, Revision: after}}, nil
}

func (r *reader) changes(after store.Revision) (store.Changes, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.failing:
		return store.Changes{}, fault.New("watch", store.KindUnavailable)
	case r.compacted:
		r.compacted, r.silent = false, false
		return store.Changes{}, fault.New("watch", store.KindCompacted)
	case r.silent:
		return store.Changes{}, nil
	}
	changes := store.Changes{Position: r.position}
	for _, e := range r.events {
		if e.Changed.Revision > after {
			changes.Events = append(changes.Events, e)
		}
	}
	return changes, nil
}

// follow runs a Follower and returns a function that returns the latest content.
func follow(t *testing.T, r *reader, wait clock.Span) func() map[string]string {
	t.Helper()
	var mu sync.Mutex
	var last store.Snapshot
	follower := store.NewFollower(store.Config{
		Reader: r, Clock: clock.NewSystem(), Prefix: "p/", Interval: 20, WatchTimeout: wait,
		OnUpdate: func(u store.Update) {
			mu.Lock()
			defer mu.Unlock()
			last = last.Apply(u)
		},
		OnResult: func(error) {},
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { follower.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	return func() map[string]string {
		mu.Lock()
		defer mu.Unlock()
		content := make(map[string]string)
		for k, i := range last.Items {
			content[k] = string(i.Value)
		}
		return content
	}
}

const waitTimeout, pollInterval = 5 * time.Second, 2 * time.Millisecond

// Guards against content that is cut off at the end of a page.
func TestFollowerReadsAllPages(t *testing.T) {
	r := &reader{}
	want := make(map[string]string)
	for _, k := range []string{"p/a", "p/b", "p/c", "p/d", "p/e"} {
		r.set(k, "v")
		want[k] = "v"
	}
	content := follow(t, r, 50)
	require.Eventually(t, func() bool { return len(content()) == 5 }, waitTimeout, pollInterval)
	require.Equal(t, want, content())
}

// Guards against changes and deletions that a Follower misses: seen by the watch, or by the next
// read of the whole prefix if the watch shows none.
func TestFollowerSeesChanges(t *testing.T) {
	for name, silent := range map[string]bool{"read": true, "watch": false} {
		t.Run(name, func(t *testing.T) {
			r := &reader{silent: silent}
			r.set("p/a", "1")
			content := follow(t, r, 50)
			require.Eventually(t, func() bool { return content()["p/a"] == "1" }, waitTimeout, pollInterval)
			r.set("p/a", "2")
			r.set("p/b", "1")
			require.Eventually(t, func() bool { return content()["p/a"] == "2" && content()["p/b"] == "1" }, waitTimeout, pollInterval)
			r.remove("p/a")
			require.Eventually(t, func() bool { _, ok := content()["p/a"]; return !ok }, waitTimeout, pollInterval)
		})
	}
}

// Guards against a change that is never seen because the watch received nothing before its history
// was compacted, or because the store was unavailable.
func TestFollowerReadsAgain(t *testing.T) {
	for name, setFault := range map[string]func(r *reader, on bool){
		"compacted": func(r *reader, on bool) {
			if on {
				r.change(func() { r.silent = true })
			} else {
				r.change(func() { r.compacted = true })
			}
		},
		"down": func(r *reader, on bool) { r.change(func() { r.failing = on; r.events = nil }) },
	} {
		t.Run(name, func(t *testing.T) {
			r := &reader{}
			r.set("p/a", "1")
			content := follow(t, r, 50)
			require.Eventually(t, func() bool { return content()["p/a"] == "1" }, waitTimeout, pollInterval)
			setFault(r, true)
			r.set("p/a", "2")
			time.Sleep(30 * time.Millisecond)
			setFault(r, false)
			require.Eventually(t, func() bool { return content()["p/a"] == "2" }, waitTimeout, pollInterval)
		})
	}
}

// Guards against content that goes back to an older state, when an answer that was read earlier is
// applied later.
func TestOlderUpdateIsIgnored(t *testing.T) {
	current := store.Snapshot{}.Apply(store.Update{Whole: true, Position: at(7), Items: []store.Item{{Key: "p/a", Value: []byte("2")}}})
	for _, update := range []store.Update{
		{Whole: true, Position: at(6), Items: []store.Item{{Key: "p/a", Value: []byte("1")}}},
		{Position: at(5), Deleted: []string{"p/a"}},
	} {
		require.Equal(t, current, current.Apply(update))
	}
}

// Guards against a whole read by an instance that already has the content from another one, and
// against one that resumes where the history has been lost.
func TestFollowerContinues(t *testing.T) {
	r := &reader{}
	for _, k := range []string{"p/a", "p/b", "p/c", "p/d", "p/e"} {
		r.set(k, "v")
	}
	var updates []store.Update
	follower := store.NewFollower(store.Config{
		Reader: r, Clock: clock.NewSystem(), Prefix: "p/", Interval: clock.Minute, WatchTimeout: 5,
		OnUpdate: func(u store.Update) { updates = append(updates, u) }, OnResult: func(error) {},
	})
	follower.Resume(at(4))
	follower.Step(t.Context())
	require.Len(t, updates, 1)
	require.False(t, updates[0].Whole)
	require.Len(t, updates[0].Items, 1, "only the change after revision 4")
	r.change(func() { r.compacted = true })
	follower.Step(t.Context()) // reports the loss of history
	follower.Resume(at(5))     // the history does not go back to this revision
	follower.Step(t.Context())
	require.True(t, updates[len(updates)-1].Whole)
	require.Len(t, updates[len(updates)-1].Items, 5)
}

func ExamplePosition() {
	before := store.Position{Era: 1, Revision: 26}
	after := store.Position{Era: 2, Revision: 25}
	fmt.Println(before.Before(after), store.Latest(after, before) == after)
	// Output: true true
}

// restore lets the store come back from a copy, in a later era.
func (r *reader) restore(items []store.Item, revision store.Revision) {
	r.change(func() {
		r.items, r.events = slices.Clone(items), nil
		r.position = store.Position{Era: r.position.Era + 1, Revision: revision}
	})
}

// Guards against content of the lost time that is kept after a restore, against a change that is missed because its
// revision was given out before, and against one that is missed after a second restore.
func TestFollowerReadsAgainAfterRestore(t *testing.T) {
	for name, silent := range map[string]bool{"watch": false, "watch that shows nothing": true} {
		t.Run(name, func(t *testing.T) {
			r := &reader{position: store.Position{Era: 1}}
			r.set("p/a", "1")
			copied := slices.Clone(r.items)
			content := follow(t, r, 30)
			for _, value := range []string{"2", "3"} {
				r.set("p/a", value)
				r.set("p/b", value)
				require.Eventually(t, func() bool { return content()["p/a"] == value }, waitTimeout, pollInterval)
				r.restore(copied, 1)
				r.change(func() { r.silent = silent })
				require.Eventually(t, func() bool { return len(content()) == 1 && content()["p/a"] == "1" }, waitTimeout, pollInterval)
				r.change(func() { r.silent = false })
			}
			r.set("p/a", "4")
			require.Eventually(t, func() bool { return content()["p/a"] == "4" }, waitTimeout, pollInterval)
		})
	}
}

// eraless is a store whose answers name no era while it is set.
type eraless struct {
	*reader
	on atomic.Bool
}

func (e *eraless) Range(ctx context.Context, prefix, after string) (store.Page, error) {
	page, err := e.reader.Range(ctx, prefix, after)
	if e.on.Load() {
		page.Position.Era = store.UnknownEra
	}
	return page, err
}

func (e *eraless) Watch(ctx context.Context, prefix string, after store.Revision, wait clock.Span) (store.Changes, error) {
	changes, err := e.reader.Watch(ctx, prefix, after, wait)
	if e.on.Load() {
		changes.Position.Era = store.UnknownEra
	}
	return changes, err
}

// Guards against answers without a valid era that are taken for older or later ones, and that leave no line in the log.
func TestAnswerWithoutEraContinues(t *testing.T) {
	r := &eraless{reader: &reader{position: store.Position{Era: 3}}}
	r.set("p/a", "1")
	var updates []store.Update
	var errs []error
	follower := store.NewFollower(store.Config{
		Reader: r, Clock: clock.NewSystem(), Prefix: "p/", Interval: clock.Minute, WatchTimeout: 5,
		OnUpdate: func(u store.Update) { updates = append(updates, u) }, OnResult: func(err error) { errs = append(errs, err) },
	})
	follower.Step(t.Context())
	r.on.Store(true)
	for _, value := range []string{"2", "3"} {
		r.set("p/a", value)
		follower.Step(t.Context())
		last := updates[len(updates)-1]
		require.Equal(t, value, string(last.Items[0].Value))
		require.Equal(t, r.position, last.Position)
		require.Equal(t, r.position, last.Items[0].Changed)
	}
	require.Len(t, errs, 1)
	require.Equal(t, store.KindMalformed, fault.KindOf[store.Kind](errs[0]))
}

// Guards against a whole read of which one page is from before a restore and one from after.
func TestReadAcrossRestoreIsRepeated(t *testing.T) {
	r := &reader{position: store.Position{Era: 1}}
	for _, k := range []string{"p/a", "p/b", "p/c"} {
		r.set(k, "1")
	}
	copied := slices.Clone(r.items)
	r.set("p/a", "lost")
	var updates []store.Update
	restoring := &restoringReader{reader: r, restore: func() { r.restore(copied, 3) }}
	follower := store.NewFollower(store.Config{
		Reader: restoring, Clock: clock.NewSystem(), Prefix: "p/", Interval: clock.Minute, WatchTimeout: 5,
		OnUpdate: func(u store.Update) { updates = append(updates, u) }, OnResult: func(error) {},
	})
	follower.Step(t.Context())
	require.Empty(t, updates)
	follower.Step(t.Context())
	require.Len(t, updates, 1)
	require.Equal(t, store.Position{Era: 2, Revision: 3}, updates[0].Position)
	for _, i := range updates[0].Items {
		require.Equal(t, "1", string(i.Value))
	}
}

// restoringReader lets the store come back from a copy after the first page.
type restoringReader struct {
	*reader
	restore func()
}

func (r *restoringReader) Range(ctx context.Context, prefix, after string) (store.Page, error) {
	page, err := r.reader.Range(ctx, prefix, after)
	if r.restore != nil {
		r.restore()
		r.restore = nil
	}
	return page, err
}
