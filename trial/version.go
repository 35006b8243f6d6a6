package trial

import (
	"context"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// versionPollInterval is the interval at which the entries' versions are polled.
	versionPollInterval = 250 * time.Millisecond
	// versionTimeout bounds the time until a published version is in force at all
	// entries, counted from its publication or from the end of a partition.
	versionTimeout = 12 * time.Second
)

// watchVersions checks until ctx ends that no entry reverts to an older version. The
// returned function waits until the check has stopped.
func (x *run) watchVersions(ctx context.Context) (wait func()) {
	done := make(chan struct{})
	highest := map[ident.Entry]ident.Version{}
	go func() {
		defer close(done)
		for sleepContext(ctx, versionPollInterval) == nil {
			for _, e := range x.deployment.Entries() {
				status, err := e.Status(ctx)
				if err != nil {
					continue
				}
				x.checks.check(9, status.Version >= highest[e.Name], "%s reverted from version %d to %d", e.Name, highest[e.Name], status.Version)
				highest[e.Name] = max(highest[e.Name], status.Version)
			}
		}
	}()
	return func() { <-done }
}

// publishVersion publishes the next version with unchanged content.
func (x *run) publishVersion(context.Context) error {
	document := x.deployment.Document()
	document.Version++
	x.checks.setExpected(time.Now(), document.Version)
	return x.deployment.Publish(document)
}

// awaitVersion checks that the published version comes into force at all entries
// within versionTimeout.
func (x *run) awaitVersion(ctx context.Context) {
	version, since := x.checks.expectedVersion()
	for {
		behind := x.entryBehind(ctx, version)
		if behind == "" {
			x.checks.check(9, true, "")
			return
		}
		if time.Since(since) > versionTimeout || sleepContext(ctx, versionPollInterval) != nil {
			x.checks.check(9, false, "%s does not have version %d after %s", behind, version, versionTimeout)
			return
		}
	}
}

// entryBehind returns an entry with an older version or without an answer, or "".
func (x *run) entryBehind(ctx context.Context, version ident.Version) ident.Entry {
	for _, e := range x.deployment.Entries() {
		status, err := e.Status(ctx)
		if err != nil || status.Version < version {
			return e.Name
		}
	}
	return ""
}
