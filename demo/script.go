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
	// listLag is shorter than the platform's 30 s, so that a replacement entry
	// is listed within the demonstration. The departure of an engine does not
	// depend on it: the list never says that the engine is leaving.
	listLag = 2 * clock.Second
	// leaveLimit is how long a leaving endpoint may still be sent work (G7).
	leaveLimit = 3 * time.Second
	// cutSettle is how long a cut lasts before requests from the region count;
	// within it the entries notice that the others are gone.
	cutSettle = 1500 * time.Millisecond
	// versionLimit is how soon a published version has to be in force (G9).
	versionLimit = 6 * time.Second
	// drainDrafts are sent drainSettle before an entry begins to drain.
	drainDrafts = 8
	drainSettle = 300 * time.Millisecond
	// slowFactor slows one engine.
	slowFactor = 8
	// crashDown is how long a crashed engine stays down.
	crashDown = 1500 * time.Millisecond
)

// step is one part of the script.
type step struct {
	text string
	do   func(context.Context) error
	// pause is how long the traffic goes on before the next step.
	pause time.Duration
}

func (w *show) script(ctx context.Context) error {
	r := w.stage.Regions()
	for _, s := range []step{
		{"questions, drafts, orders and stock lookups from all regions", nothing, 2 * time.Second},
		{"an order without a ticket, and one whose ticket goes to another entry", w.probes, 500 * time.Millisecond},
		{fmt.Sprintf("slow an engine in %s %d times; spoil streams and drop orders", r[1], slowFactor), w.spoil, 1500 * time.Millisecond},
		{fmt.Sprintf("crash an engine in %s; send a prompt that crashes engines", r[0]), w.crash, 1500 * time.Millisecond},
		{fmt.Sprintf("an engine in %s begins to leave; no list says so", r[0]), w.leave, 500 * time.Millisecond},
		{fmt.Sprintf("cut %s off; publish version 2 meanwhile", r[2]), w.cut, 500 * time.Millisecond},
		{"heal the cut; the slowed engine recovers", w.heal, 500 * time.Millisecond},
		{fmt.Sprintf("crash the second entry of %s and replace it", r[0]), w.replace, 3 * time.Second},
		{"serve an old bundle from the configuration service", w.rollBack, time.Second},
		{fmt.Sprintf("drain the first entry of %s; publish version 3 meanwhile", r[0]), w.drain, 500 * time.Millisecond},
	} {
		w.say("%s", s.text)
		if err := s.do(ctx); err != nil {
			return err
		}
		if err := pause(ctx, s.pause); err != nil {
			return err
		}
	}
	return nil
}

func nothing(context.Context) error { return nil }

func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// say prints a line of progress with the seconds since the start.
func (w *show) say(format string, args ...any) {
	_, _ = fmt.Fprintf(w.cfg.Out, "%5.1f s  %s\n", time.Since(w.start).Seconds(), fmt.Sprintf(format, args...))
}

func (w *show) spoil(context.Context) error {
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

func (w *show) crash(ctx context.Context) error {
	e := w.stage.EnginesIn(w.stage.Regions()[0])[0]
	e.Crash()
	time.AfterFunc(crashDown, func() { _ = e.Restart() })
	s, err := w.traffic.source(w.stage.Regions()[1], "")
	if err != nil {
		return err
	}
	w.traffic.running.Go(func() { w.traffic.complete(ctx, s, question, poisonPrompt, 64) })
	return nil
}

func (w *show) leave(ctx context.Context) error {
	e := w.stage.EnginesIn(w.stage.Regions()[0])[1]
	e.Leave(true)
	left := time.Now()
	w.traffic.running.Go(func() {
		if pause(ctx, leaveLimit) != nil {
			return
		}
		before := len(e.Records())
		if pause(ctx, leaveLimit) != nil {
			return
		}
		late := len(e.Records()) - before
		w.checks.check(leavingIsLeft, late == 0, "%s got %d requests more than %s after it began to leave",
			e.Name(), late, leaveLimit)
		w.say("%s has been leaving for %.1f s and got %d requests in the second half of it",
			e.Name(), time.Since(left).Seconds(), late)
	})
	return nil
}

// cut isolates the last region and publishes a version at the platform, which
// lies in the first.
func (w *show) cut(ctx context.Context) error {
	r := w.stage.Regions()[2]
	w.stage.Cut(r)
	if err := pause(ctx, cutSettle); err != nil {
		return err
	}
	w.checks.cutRegion, w.checks.cutFrom = string(r), time.Now()
	if err := w.publish(ctx, r); err != nil {
		return err
	}
	err := pause(ctx, 2*time.Second)
	w.checks.cutTo = time.Now()
	return err
}

// heal ends the cut and the slowness, so that the drafts on the slowed engine end
// within the demonstration.
func (w *show) heal(ctx context.Context) error {
	w.stage.Heal()
	w.stage.EnginesIn(w.stage.Regions()[1])[0].Slow(1)
	v := w.stage.Document().Version
	ok := inForce(ctx, w.stage, v, "", versionLimit)
	w.checks.check(versionsHold, ok, "version %d was not in force everywhere %s after the cut was healed", v, versionLimit)
	return nil
}

// publish publishes the next version and checks that it comes into force
// everywhere but in one region.
func (w *show) publish(ctx context.Context, except ident.Region) error {
	d := w.stage.Document()
	d.Version++
	if err := w.stage.Publish(d); err != nil {
		return err
	}
	start := time.Now()
	ok := inForce(ctx, w.stage, d.Version, except, versionLimit)
	w.checks.check(versionsHold, ok, "version %d was not in force after %s", d.Version, versionLimit)
	w.say("version %d in force at all reachable entries after %.1f s", d.Version, time.Since(start).Seconds())
	return nil
}

func (w *show) replace(ctx context.Context) error {
	r := w.stage.Regions()[0]
	if err := w.stage.KillEntry(w.stage.EntriesIn(r)[1].Name); err != nil {
		return err
	}
	_, err := w.stage.AddEntry(ctx, r)
	return err
}

// rollBack makes the configuration service serve the version before. The watcher
// checks that no entry follows.
func (w *show) rollBack(context.Context) error {
	w.stage.Platform.Stale(1)
	return nil
}

// drain shuts the first entry down while drafts run through it.
func (w *show) drain(ctx context.Context) error {
	w.stage.Platform.Stale(0)
	e := w.stage.EntriesIn(w.stage.Regions()[0])[0]
	if err := w.load(ctx, e.Region); err != nil {
		return err
	}
	before, err := e.Status(ctx)
	if err != nil {
		return err
	}
	w.checks.drainFrom = time.Now()
	done := make(chan error, 1)
	go func() { done <- w.stage.Drain(ctx, e.Name) }()
	if err := w.publish(ctx, ""); err != nil {
		return err
	}
	err = <-done
	w.checks.drain = time.Now()
	w.checks.check(drainCutsNothing, err == nil, "%s: %v", e.Name, err)
	w.checks.check(drainCutsNothing, before.Requests > 0, "%s had no request in progress: nothing was exercised", e.Name)
	w.say("%s left after %.1f s; it had %d requests in progress when the drain began",
		e.Name, time.Since(w.checks.drainFrom).Seconds(), before.Requests)
	if err != nil && !isKind(err, entry.Interrupted) {
		return err
	}
	return nil
}

// load sends drafts that only the entries of one region may take, and gives them
// time to begin.
func (w *show) load(ctx context.Context, r ident.Region) error {
	s, err := w.traffic.source(r, ident.Home(r))
	if err != nil {
		return err
	}
	for range drainDrafts {
		w.traffic.running.Go(func() { w.traffic.one(ctx, s, draft) })
	}
	return pause(ctx, drainSettle)
}

// Deployments lists the names that Config.Deployment may have.
func Deployments() []string { return []string{stage.Kgosi, stage.Skovbro} }
