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

func (d *demonstration) runScript(ctx context.Context) error {
	regions := d.deployment.Regions()
	for _, s := range []scriptStep{
		{"send questions, drafts, orders and stock lookups from all regions", noAction, 2 * time.Second},
		{"send an order without a ticket, and one with a ticket of another entry", d.sendProbes, 500 * time.Millisecond},
		{fmt.Sprintf("slow an engine in %s by a factor of %d; inject stream and order faults", regions[1], slowFactor), d.injectFaults, 1500 * time.Millisecond},
		{fmt.Sprintf("crash an engine in %s; send a prompt that crashes engines", regions[0]), d.crashEngine, 1500 * time.Millisecond},
		{fmt.Sprintf("an engine in %s starts to leave without notice in the instance list", regions[0]), d.leaveEngine, 500 * time.Millisecond},
		{fmt.Sprintf("isolate %s and publish version 2", regions[2]), d.isolateRegion, 500 * time.Millisecond},
		{"heal the partition and restore the slowed engine", d.healLinks, 500 * time.Millisecond},
		{fmt.Sprintf("kill the second entry of %s and replace it", regions[0]), d.replaceEntry, 3 * time.Second},
		{"serve an old bundle from the configuration service", d.serveStaleBundle, time.Second},
		{fmt.Sprintf("drain the first entry of %s and publish version 3", regions[0]), d.drainEntry, 500 * time.Millisecond},
	} {
		d.progress("%s", s.description)
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
func (d *demonstration) progress(format string, args ...any) {
	_, _ = fmt.Fprintf(d.cfg.Out, "%5.1f s  %s\n", time.Since(d.start).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demonstration) injectFaults(context.Context) error {
	regions := d.deployment.Regions()
	d.deployment.EnginesIn(regions[1])[0].SetSlowdown(slowFactor)
	for i, f := range []fakes.EngineFaults{{WrongRequest: 2}, {Truncate: 2}, {Abort: 2}, {Repeat: 2}} {
		engines := d.deployment.EnginesIn(regions[i%len(regions)])
		engines[len(engines)-1-i/len(regions)].InjectFaults(f)
	}
	for i, f := range []fakes.ServiceFaults{{DropBefore: 1}, {DropAfter: 1}, {WrongRequest: 1, Refuse: 1}} {
		d.deployment.Services[i%len(d.deployment.Services)].InjectFaults(f)
	}
	return nil
}

func (d *demonstration) crashEngine(ctx context.Context) error {
	engine := d.deployment.EnginesIn(d.deployment.Regions()[0])[0]
	engine.Crash()
	time.AfterFunc(crashDowntime, func() { _ = engine.Restart() })
	clients, err := d.traffic.newClients(d.deployment.Regions()[1], "")
	if err != nil {
		return err
	}
	d.traffic.inFlight.Go(func() { d.traffic.sendCompletion(ctx, clients, question, crashPrompt, 64) })
	return nil
}

func (d *demonstration) leaveEngine(ctx context.Context) error {
	engine := d.deployment.EnginesIn(d.deployment.Regions()[0])[1]
	engine.SetLeaving(true)
	startedAt := time.Now()
	d.traffic.inFlight.Go(func() {
		if sleepContext(ctx, leaveTimeout) != nil {
			return
		}
		before := len(engine.Records())
		if sleepContext(ctx, leaveTimeout) != nil {
			return
		}
		late := len(engine.Records()) - before
		d.checks.check(leavingAvoided, late == 0, "%s received %d requests more than %s after it started to leave",
			engine.Name(), late, leaveTimeout)
		d.progress("%s has been leaving for %.1f s and received %d requests in the second half of that time",
			engine.Name(), time.Since(startedAt).Seconds(), late)
	})
	return nil
}

// isolateRegion isolates the last region and publishes a version on the platform, which
// is in the first region.
func (d *demonstration) isolateRegion(ctx context.Context) error {
	region := d.deployment.Regions()[2]
	d.deployment.Partition(region)
	if err := sleepContext(ctx, isolationGrace); err != nil {
		return err
	}
	d.checks.isolatedRegion, d.checks.isolatedFrom = string(region), time.Now()
	if err := d.publishNext(ctx, region); err != nil {
		return err
	}
	err := sleepContext(ctx, 2*time.Second)
	d.checks.isolatedTo = time.Now()
	return err
}

// healLinks ends the partition and restores the speed of the slowed engine, so that its
// drafts end within the demonstration.
func (d *demonstration) healLinks(ctx context.Context) error {
	d.deployment.Heal()
	d.deployment.EnginesIn(d.deployment.Regions()[1])[0].SetSlowdown(1)
	version := d.deployment.Document().Version
	ok := awaitVersion(ctx, d.deployment, version, "", versionTimeout)
	d.checks.check(versionsAdvance, ok, "version %d was not in force everywhere %s after the partition healed", version, versionTimeout)
	return nil
}

// publishNext publishes the next version and checks that it comes into force at all
// entries outside the given region.
func (d *demonstration) publishNext(ctx context.Context, except ident.Region) error {
	document := d.deployment.Document()
	document.Version++
	if err := d.deployment.Publish(document); err != nil {
		return err
	}
	start := time.Now()
	ok := awaitVersion(ctx, d.deployment, document.Version, except, versionTimeout)
	d.checks.check(versionsAdvance, ok, "version %d was not in force after %s", document.Version, versionTimeout)
	d.progress("version %d in force at all reachable entries after %.1f s", document.Version, time.Since(start).Seconds())
	return nil
}

func (d *demonstration) replaceEntry(ctx context.Context) error {
	region := d.deployment.Regions()[0]
	if err := d.deployment.KillEntry(d.deployment.EntriesIn(region)[1].Name); err != nil {
		return err
	}
	_, err := d.deployment.AddEntry(ctx, region)
	return err
}

// serveStaleBundle makes the configuration service serve the previous version. The
// watcher checks that no entry reverts to it.
func (d *demonstration) serveStaleBundle(context.Context) error {
	d.deployment.Platform.SetStaleBy(1)
	return nil
}

// drainEntry drains the first entry while it serves drafts.
func (d *demonstration) drainEntry(ctx context.Context) error {
	d.deployment.Platform.SetStaleBy(0)
	drained := d.deployment.EntriesIn(d.deployment.Regions()[0])[0]
	if err := d.sendDrafts(ctx, drained.Region); err != nil {
		return err
	}
	before, err := drained.Status(ctx)
	if err != nil {
		return err
	}
	d.checks.drainFrom = time.Now()
	done := make(chan error, 1)
	go func() { done <- d.deployment.DrainEntry(ctx, drained.Name) }()
	if err := d.publishNext(ctx, ""); err != nil {
		return err
	}
	err = <-done
	d.checks.drainTo = time.Now()
	d.checks.check(drainCompletes, err == nil, "%s: %v", drained.Name, err)
	d.checks.check(drainCompletes, before.Requests > 0, "%s had no requests in progress, so the drain exercised nothing", drained.Name)
	d.progress("%s left after %.1f s; it had %d requests in progress when the drain started",
		drained.Name, time.Since(d.checks.drainFrom).Seconds(), before.Requests)
	if err != nil && !isKind(err, entry.KindInterrupted) {
		return err
	}
	return nil
}

// sendDrafts sends drafts that are bound to one region and waits until they have started.
func (d *demonstration) sendDrafts(ctx context.Context, region ident.Region) error {
	clients, err := d.traffic.newClients(region, ident.Home(region))
	if err != nil {
		return err
	}
	for range drainDrafts {
		d.traffic.inFlight.Go(func() { d.traffic.sendOne(ctx, clients, draft) })
	}
	return sleepContext(ctx, drainDelay)
}

// Deployments returns the valid values of Config.Deployment.
func Deployments() []string { return []string{stage.Kgosi, stage.Skovbro} }
