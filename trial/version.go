package trial

import (
	"context"
	"time"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// watchGap is the pause between two looks at the entries' versions.
	watchGap = 250 * time.Millisecond
	// versionLimit is how soon a published version has to be in force everywhere,
	// from the end of a cut on.
	versionLimit = 12 * time.Second
)

// watch checks that no entry goes back to an older version. The function that it
// returns waits for the end, which comes with ctx.
func (x *run) watch(ctx context.Context) (wait func()) {
	done := make(chan struct{})
	highest := map[ident.Entry]ident.Version{}
	go func() {
		defer close(done)
		for pause(ctx, watchGap) == nil {
			for _, e := range x.stage.Entries() {
				st, err := e.Status(ctx)
				if err != nil {
					continue
				}
				x.checks.check(9, st.Version >= highest[e.Name], "%s went from version %d back to %d", e.Name, highest[e.Name], st.Version)
				highest[e.Name] = max(highest[e.Name], st.Version)
			}
		}
	}()
	return func() { <-done }
}

// publish publishes the next version, with the same content.
func (x *run) publish(context.Context) error {
	d := x.stage.Document()
	d.Version++
	x.checks.published(time.Now(), d.Version)
	return x.stage.Publish(d)
}

// settleVersion checks that the published version is in force at all entries,
// and waits for that as long as it may take.
func (x *run) settleVersion(ctx context.Context) {
	version, since := x.checks.version()
	for {
		late := x.behind(ctx, version)
		if late == "" {
			x.checks.check(9, true, "")
			return
		}
		if time.Since(since) > versionLimit || pause(ctx, watchGap) != nil {
			x.checks.check(9, false, "%s has no version %d after %s", late, version, versionLimit)
			return
		}
	}
}

// behind returns an entry without the version, or "".
func (x *run) behind(ctx context.Context, v ident.Version) ident.Entry {
	for _, e := range x.stage.Entries() {
		st, err := e.Status(ctx)
		if err != nil || st.Version < v {
			return e.Name
		}
	}
	return ""
}
