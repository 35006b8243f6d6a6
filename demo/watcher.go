package demo

import (
	"context"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

const (
	// versionPollInterval is the interval at which the entries' versions are polled.
	versionPollInterval = 100 * time.Millisecond
)

// versionWatcher monitors the bundle versions of all entries.
type versionWatcher struct {
	deployment   *stage.Deployment
	checks       *checks
	observations []observation
}

// observation is the highest version that an entry has reported.
type observation struct {
	entry   ident.Entry
	version ident.Version
}

func newVersionWatcher(deployment *stage.Deployment, checks *checks) *versionWatcher {
	return &versionWatcher{deployment: deployment, checks: checks}
}

// run checks until ctx ends that no entry reverts to an older version.
func (w *versionWatcher) run(ctx context.Context) {
	for {
		for _, e := range w.deployment.Entries() {
			if status, err := e.Status(ctx); err == nil {
				w.observe(e.Name, status.Version)
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(versionPollInterval):
		}
	}
}

func (w *versionWatcher) observe(entry ident.Entry, version ident.Version) {
	for i := range w.observations {
		if w.observations[i].entry != entry {
			continue
		}
		w.checks.check(versionsAdvance, version >= w.observations[i].version, "%s reverted from version %d to %d", entry, w.observations[i].version, version)
		w.observations[i].version = max(version, w.observations[i].version)
		return
	}
	w.observations = append(w.observations, observation{entry, version})
}

// awaitVersion waits until all entries outside the given region have at least the
// version. It reports false if that takes longer than the limit.
func awaitVersion(ctx context.Context, deployment *stage.Deployment, version ident.Version, except ident.Region, limit time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		if allAtVersion(ctx, deployment, version, except) {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(versionPollInterval):
		}
	}
}

func allAtVersion(ctx context.Context, deployment *stage.Deployment, version ident.Version, except ident.Region) bool {
	for _, e := range deployment.Entries() {
		if e.Region == except {
			continue
		}
		status, err := e.Status(ctx)
		if err != nil || status.Version < version {
			return false
		}
	}
	return true
}
