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
	regions := w.deployment.Regions()
	for _, s := range []scriptStep{
		{"send questions, drafts, orders and stock lookups from all regions", noAction, 2 * time.Second},
		{"send an order without a ticket, and one with a ticket of another entry", w.sendProbes, 500 * time.Millisecond},
		{fmt.Sprintf("slow an engine in %s by a factor of %d; inject stream and order faults", regions[1], slowFactor), w.injectFaults, 1500 * time.Millisecond},
		{fmt.Sprintf("crash an engine in %s; send a prompt that crashes engines", regions[0]), w.crashEngine, 1500 * time.Millisecond},
		{fmt.Sprintf("an engine in %s starts to leave without notice in the instance list", regions[0]), w.leaveEngine, 500 * time.Millisecond},
		{fmt.Sprintf("isolate %s and publish version 2", regions[2]), w.isolateRegion, 500 * time.Millisecond},
		{"heal the partition and restore the slowed engine", w.healLinks, 500 * time.Millisecond},
		{fmt.Sprintf("kill the second entry of %s and replace it", regions[0]), w.replaceEntry, 3 * time.Second},
		{"serve an old bundle from the configuration service", w.serveStaleBundle, time.Second},
		{fmt.Sprintf("drain the first entry of %s and publish version 3", regions[0]), w.drainEntry, 500 * time.Millisecond},
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

func sleepContext(ctx context.Context, duration time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(duration):
		return nil
	}
}

// progress prints a line with the seconds since the start.
func (w *demonstration) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(w.cfg.Out, "%5.1f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *demonstration) injectFaults(context.Context) error {
	regions := w.deployment.Regions()
	w.deployment.EnginesIn(regions[1])[0].SetSlowdown(slowFactor)
	for i, f := range []fakes.EngineFaults{{WrongRequest: 2}, {Truncate: 2}, {Abort: 2}, {Repeat: 2}} {
		engines := w.deployment.EnginesIn(regions[i%len(regions)])
		engines[len(engines)-1-i/len(regions)].InjectFaults(f)
	}
	for i, f := range []fakes.ServiceFaults{{DropBefore: 1}, {DropAfter: 1}, {WrongRequest: 1, Refuse: 1}} {
		w.deployment.Services[i%len(w.deployment.Services)].InjectFaults(f)
	}
	return nil
}

func (w *demonstration) crashEngine(ctx context.Context) error {
	engine := w.deployment.EnginesIn(w.deployment.Regions()[0])[0]
	engine.Crash()
	time.AfterFunc(crashDowntime, func() { _ = engine.Restart() })
	clients, err := w.traffic.newClients(w.deployment.Regions()[1], "")
	if err != nil {
		return err
	}
	w.traffic.inFlight.Go(func() { w.traffic.sendCompletion(ctx, clients, question, crashPrompt, 64) })
	return nil
}

func (w *demonstration) leaveEngine(ctx context.Context) error {
	engine := w.deployment.EnginesIn(w.deployment.Regions()[0])[1]
	engine.SetLeaving(true)
	startedAt := time.Now()
	w.traffic.inFlight.Go(func() {
		if sleepContext(ctx, leaveTimeout) != nil {
			return
		}
		before := len(engine.Records())
		if sleepContext(ctx, leaveTimeout) != nil {
			return
		}
		late := len(engine.Records()) - before
		w.checks.check(leavingAvoided, late == 0, "%s received %d requests more than %s after it started to leave",
			engine.Name(), late, leaveTimeout)
		w.progress("%s has been leaving for %.1f s and received %d requests in the second half of that time",
			engine.Name(), time.Since(startedAt).Seconds(), late)
	})
	return nil
}

// isolateRegion isolates the last region and publishes a version on the platform, which
// is in the first region.
func (w *demonstration) isolateRegion(ctx context.Context) error {
	region := w.deployment.Regions()[2]
	w.deployment.Partition(region)
	if err := sleepContext(ctx, isolationGrace); err != nil {
		return err
	}
	w.checks.isolatedRegion, w.checks.isolatedFrom = string(region), time.Now()
	if err := w.publishNext(ctx, region); err != nil {
		return err
	}
	err := sleepContext(ctx, 2*time.Second)
	w.checks.isolatedTo = time.Now()
	return err
}

// healLinks ends the partition and restores the speed of the slowed engine, so that its
// drafts end within the demonstration.
func (w *demonstration) healLinks(ctx context.Context) error {
	w.deployment.Heal()
	w.deployment.EnginesIn(w.deployment.Regions()[1])[0].SetSlowdown(1)
	version := w.deployment.Document().Version
	ok := awaitVersion(ctx, w.deployment, version, "", versionTimeout)
	w.checks.check(versionsAdvance, ok, "version %d was not in force everywhere %s after the partition healed", version, versionTimeout)
	return nil
}

// publishNext publishes the next version and checks that it comes into force at all
// entries outside the given region.
func (w *demonstration) publishNext(ctx context.Context, except ident.Region) error {
	document := w.deployment.Document()
	document.Version++
	if err := w.deployment.Publish(document); err != nil {
		return err
	}
	start := time.Now()
	ok := awaitVersion(ctx, w.deployment, document.Version, except, versionTimeout)
	w.checks.check(versionsAdvance, ok, "version %d was not in force after %s", document.Version, versionTimeout)
	w.progress("version %d in force at all reachable entries after %.1f s", document.Version, time.Since(start).Seconds())
	return nil
}

func (w *demonstration) replaceEntry(ctx context.Context) error {
	region := w.deployment.Regions()[0]
	if err := w.deployment.KillEntry(w.deployment.EntriesIn(region)[1].Name); err != nil {
		return err
	}
	_, err := w.deployment.AddEntry(ctx, region)
	return err
}

// serveStaleBundle makes the configuration service serve the previous version. The
// watcher checks that no entry reverts to it.
func (w *demonstration) serveStaleBundle(context.Context) error {
	w.deployment.Platform.SetStaleBy(1)
	return nil
}

// drainEntry drains the first entry while it serves drafts.
func (w *demonstration) drainEntry(ctx context.Context) error {
	w.deployment.Platform.SetStaleBy(0)
	drained := w.deployment.EntriesIn(w.deployment.Regions()[0])[0]
	if err := w.sendDrafts(ctx, drained.Region); err != nil {
		return err
	}
	before, err := drained.Status(ctx)
	if err != nil {
		return err
	}
	w.checks.drainFrom = time.Now()
	done := make(chan error, 1)
	go func() { done <- w.deployment.DrainEntry(ctx, drained.Name) }()
	if err := w.publishNext(ctx, ""); err != nil {
		return err
	}
	err = <-done
	w.checks.drainTo = time.Now()
	w.checks.check(drainCompletes, err == nil, "%s: %v", drained.Name, err)
	w.checks.check(drainCompletes, before.Requests > 0, "%s had no requests in progress, so the drain exercised nothing", drained.Name)
	w.progress("%s left after %.1f s; it had %d requests in progress when the drain started",
		drained.Name, time.Since(w.checks.drainFrom).Seconds(), before.Requests)
	if err != nil && !isKind(err, entry.KindInterrupted) {
		return err
	}
	return nil
}

// sendDrafts sends drafts that are bound to one region and waits until they have started.
func (w *demonstration) sendDrafts(ctx context.Context, region ident.Region) error {
	clients, err := w.traffic.newClients(region, ident.Home(region))
	if err != nil {
		return err
	}
	for range drainDrafts {
		w.traffic.inFlight.Go(func() { w.traffic.sendOne(ctx, clients, draft) })
	}
	return sleepContext(ctx, drainDelay)
}

// Deployments returns the valid values of Config.Deployment.
func Deployments() []string { return []string{stage.Kgosi, stage.Skovbro} }
