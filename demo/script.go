package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/entry"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

const (
	// listLag is the delay of the instance list. It is shorter than the platform's 30 s so
	// that a replacement entry is listed within the demonstration. The check of a leaving
	// engine does not depend on it: the list never reports the engine as leaving.
	listLag = 2 * clock.Second
	// leaveTimeout is the time for which a leaving endpoint may still receive work (G7).
	leaveTimeout = 3 * time.Second
	// isolationGrace is the time after the start of a partition in which requests from
	// the region are not checked, while the entries detect the loss of their peers.
	isolationGrace = 1500 * time.Millisecond
	// versionTimeout bounds the time until a published version is in force (G9).
	versionTimeout = 6 * time.Second
	// drainDrafts drafts are sent drainDelay before an entry starts to drain.
	drainDrafts = 8
	drainDelay  = 300 * time.Millisecond
	// slowFactor multiplies the times of the slowed engine.
	slowFactor = 8
	// crashDowntime is the time between a crash of an engine and its restart.
	crashDowntime = 1500 * time.Millisecond
)

// scriptStep is one step of the demonstration.
type scriptStep struct {
	description string
	run         func(context.Context) error
	// wait is the time of traffic before the next step.
	wait time.Duration
}

func (w *demonstration) runScript(ctx context.Context) error {
	r := w.stage.Regions()
	for _, s := range []scriptStep{
		{"send questions, drafts, orders and stock lookups from all regions", noAction, 2 * time.Second},
		{"send an order without a ticket, and one with a ticket of another entry", w.sendProbes, 500 * time.Millisecond},
		{fmt.Sprintf("slow an engine in %s by a factor of %d; inject stream and order faults", r[1], slowFactor), w.injectFaults, 1500 * time.Millisecond},
		{fmt.Sprintf("crash an engine in %s; send a prompt that crashes engines", r[0]), w.crashEngine, 1500 * time.Millisecond},
		{fmt.Sprintf("an engine in %s starts to leave without notice in the instance list", r[0]), w.leaveEngine, 500 * time.Millisecond},
		{fmt.Sprintf("isolate %s and publish version 2", r[2]), w.isolateRegion, 500 * time.Millisecond},
		{"heal the partition and restore the slowed engine", w.healLinks, 500 * time.Millisecond},
		{fmt.Sprintf("kill the second entry of %s and replace it", r[0]), w.replaceEntry, 3 * time.Second},
		{"serve an old bundle from the configuration service", w.serveStaleBundle, time.Second},
		{fmt.Sprintf("drain the first entry of %s and publish version 3", r[0]), w.drainEntry, 500 * time.Millisecond},
	} {
		w.progress("%s", s.description)
		if err := s.run(ctx); err != nil {
			return err
		}
		if err := sleepContext(ctx, s.wait); err != nil {
			return err
		}
	}
	return nil
}

func noAction(context.Context) error { return nil }

func sleepContext(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// progress prints a line with the seconds since the start.
func (w *demonstration) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(w.cfg.Out, "%5.1f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *demonstration) injectFaults(context.Context) error {
	r := w.stage.Regions()
	w.stage.EnginesIn(r[1])[0].Slow(slowFactor)
	for i, f := range []fakes.EngineFaults{{Cross: 2}, {Truncate: 2}, {Break: 2}, {Repeat: 2}} {
		e := w.stage.EnginesIn(r[i%len(r)])
		e[len(e)-1-i/len(r)].Spoil(f)
	}
	for i, f := range []fakes.ServiceFaults{{Before: 1}, {After: 1}, {Cross: 1, Refuse: 1}} {
		w.stage.Services[i%len(w.stage.Services)].Spoil(f)
	}
	return nil
}

func (w *demonstration) crashEngine(ctx context.Context) error {
	e := w.stage.EnginesIn(w.stage.Regions()[0])[0]
	e.Crash()
	time.AfterFunc(crashDowntime, func() { _ = e.Restart() })
	s, err := w.traffic.newClients(w.stage.Regions()[1], "")
	if err != nil {
		return err
	}
	w.traffic.inFlight.Go(func() { w.traffic.sendCompletion(ctx, s, question, crashPrompt, 64) })
	return nil
}

func (w *demonstration) leaveEngine(ctx context.Context) error {
	e := w.stage.EnginesIn(w.stage.Regions()[0])[1]
	e.Leave(true)
	left := time.Now()
	w.traffic.inFlight.Go(func() {
		if sleepContext(ctx, leaveTimeout) != nil {
			return
		}
		before := len(e.Records())
		if sleepContext(ctx, leaveTimeout) != nil {
			return
		}
		late := len(e.Records()) - before
		w.checks.check(leavingAvoided, late == 0, "%s received %d requests more than %s after it started to leave",
			e.Name(), late, leaveTimeout)
		w.progress("%s has been leaving for %.1f s and received %d requests in the second half of that time",
			e.Name(), time.Since(left).Seconds(), late)
	})
	return nil
}

// isolateRegion isolates the last region and publishes a version on the platform, which
// is in the first region.
func (w *demonstration) isolateRegion(ctx context.Context) error {
	r := w.stage.Regions()[2]
	w.stage.Cut(r)
	if err := sleepContext(ctx, isolationGrace); err != nil {
		return err
	}
	w.checks.isolatedRegion, w.checks.isolatedFrom = string(r), time.Now()
	if err := w.publishNext(ctx, r); err != nil {
		return err
	}
	err := sleepContext(ctx, 2*time.Second)
	w.checks.isolatedTo = time.Now()
	return err
}

// healLinks ends the partition and restores the speed of the slowed engine, so that its
// drafts end within the demonstration.
func (w *demonstration) healLinks(ctx context.Context) error {
	w.stage.Heal()
	w.stage.EnginesIn(w.stage.Regions()[1])[0].Slow(1)
	v := w.stage.Document().Version
	ok := awaitVersion(ctx, w.stage, v, "", versionTimeout)
	w.checks.check(versionsAdvance, ok, "version %d was not in force everywhere %s after the partition healed", v, versionTimeout)
	return nil
}

// publishNext publishes the next version and checks that it comes into force at all
// entries outside the given region.
func (w *demonstration) publishNext(ctx context.Context, except ident.Region) error {
	d := w.stage.Document()
	d.Version++
	if err := w.stage.Publish(d); err != nil {
		return err
	}
	start := time.Now()
	ok := awaitVersion(ctx, w.stage, d.Version, except, versionTimeout)
	w.checks.check(versionsAdvance, ok, "version %d was not in force after %s", d.Version, versionTimeout)
	w.progress("version %d in force at all reachable entries after %.1f s", d.Version, time.Since(start).Seconds())
	return nil
}

func (w *demonstration) replaceEntry(ctx context.Context) error {
	r := w.stage.Regions()[0]
	if err := w.stage.KillEntry(w.stage.EntriesIn(r)[1].Name); err != nil {
		return err
	}
	_, err := w.stage.AddEntry(ctx, r)
	return err
}

// serveStaleBundle makes the configuration service serve the previous version. The
// watcher checks that no entry reverts to it.
func (w *demonstration) serveStaleBundle(context.Context) error {
	w.stage.Platform.Stale(1)
	return nil
}

// drainEntry drains the first entry while it serves drafts.
func (w *demonstration) drainEntry(ctx context.Context) error {
	w.stage.Platform.Stale(0)
	e := w.stage.EntriesIn(w.stage.Regions()[0])[0]
	if err := w.sendDrafts(ctx, e.Region); err != nil {
		return err
	}
	before, err := e.Status(ctx)
	if err != nil {
		return err
	}
	w.checks.drainFrom = time.Now()
	done := make(chan error, 1)
	go func() { done <- w.stage.Drain(ctx, e.Name) }()
	if err := w.publishNext(ctx, ""); err != nil {
		return err
	}
	err = <-done
	w.checks.drainTo = time.Now()
	w.checks.check(drainCompletes, err == nil, "%s: %v", e.Name, err)
	w.checks.check(drainCompletes, before.Requests > 0, "%s had no requests in progress, so the drain exercised nothing", e.Name)
	w.progress("%s left after %.1f s; it had %d requests in progress when the drain started",
		e.Name, time.Since(w.checks.drainFrom).Seconds(), before.Requests)
	if err != nil && !isKind(err, entry.Interrupted) {
		return err
	}
	return nil
}

// sendDrafts sends drafts that are bound to one region and waits until they have started.
func (w *demonstration) sendDrafts(ctx context.Context, r ident.Region) error {
	s, err := w.traffic.newClients(r, ident.Home(r))
	if err != nil {
		return err
	}
	for range drainDrafts {
		w.traffic.inFlight.Go(func() { w.traffic.sendOne(ctx, s, draft) })
	}
	return sleepContext(ctx, drainDelay)
}

// Deployments returns the valid values of Config.Deployment.
func Deployments() []string { return []string{stage.Kgosi, stage.Skovbro} }
