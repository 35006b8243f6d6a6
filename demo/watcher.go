package demo

import (
	"context"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

const (
	// watchGap is the pause between two looks at the entries' versions.
	watchGap = 100 * time.Millisecond
)

// watcher follows the bundle versions of all entries.
type watcher struct {
	stage  *stage.Stage
	checks *checks
	seen   []observation
}

// observation is the highest version that an entry has shown.
type observation struct {
	entry   ident.Entry
	version ident.Version
}

func newWatcher(s *stage.Stage, c *checks) *watcher { return &watcher{stage: s, checks: c} }

// run checks until ctx ends that no entry goes back to an older version.
func (w *watcher) run(ctx context.Context) {
	for {
		for _, e := range w.stage.Entries() {
			if st, err := e.Status(ctx); err == nil {
				w.note(e.Name, st.Version)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(watchGap):
		}
	}
}

func (w *watcher) note(e ident.Entry, v ident.Version) {
	for i := range w.seen {
		if w.seen[i].entry != e {
			continue
		}
		w.checks.check(versionsHold, v >= w.seen[i].version, "%s went from version %d back to %d", e, w.seen[i].version, v)
		w.seen[i].version = max(v, w.seen[i].version)
		return
	}
	w.seen = append(w.seen, observation{e, v})
}

// inForce waits until all entries outside the given region have the version,
// and reports whether that was within the limit.
func inForce(ctx context.Context, s *stage.Stage, v ident.Version, except ident.Region, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		if all(ctx, s, v, except) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(watchGap):
		}
	}
}

func all(ctx context.Context, s *stage.Stage, v ident.Version, except ident.Region) bool {
	for _, e := range s.Entries() {
		if e.Region == except {
			continue
		}
		st, err := e.Status(ctx)
		if err != nil || st.Version < v {
			return false
		}
	}
	return true
}
