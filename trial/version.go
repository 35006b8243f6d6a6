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
			for _, e := range x.stage.Entries() {
				st, err := e.Status(ctx)
				if err != nil {
					continue
				}
				x.checks.check(9, st.Version >= highest[e.Name], "%s reverted from version %d to %d", e.Name, highest[e.Name], st.Version)
				highest[e.Name] = max(highest[e.Name], st.Version)
			}
		}
	}()
	return func() { <-done }
}

// publishVersion publishes the next version with unchanged content.
func (x *run) publishVersion(context.Context) error {
	d := x.stage.Document()
	d.Version++
	x.checks.setExpected(time.Now(), d.Version)
	return x.stage.Publish(d)
}

// awaitVersion checks that the published version comes into force at all entries
// within versionTimeout.
func (x *run) awaitVersion(ctx context.Context) {
	version, since := x.checks.expectedVersion()
	for {
		late := x.entryBehind(ctx, version)
		if late == "" {
			x.checks.check(9, true, "")
			return
		}
		if time.Since(since) > versionTimeout || sleepContext(ctx, versionPollInterval) != nil {
			x.checks.check(9, false, "%s does not have version %d after %s", late, version, versionTimeout)
			return
		}
	}
}

// entryBehind returns an entry with an older version or without an answer, or "".
func (x *run) entryBehind(ctx context.Context, v ident.Version) ident.Entry {
	for _, e := range x.stage.Entries() {
		st, err := e.Status(ctx)
		if err != nil || st.Version < v {
			return e.Name
		}
	}
	return ""
}
