// Package demo runs a deployment under traffic and faults in one process, checks
// every guarantee while it goes, and prints what happened.
package demo

import (
	"context"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

// Kind classifies an Error.
type Kind string

// Kinds of error.
const (
	// KindRun means that the demonstration could not be carried out.
	KindRun Kind = "run"
	// KindViolated means that a guarantee did not hold or was not exercised.
	KindViolated Kind = "violated"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// readyLimit bounds the start of the deployment.
	readyLimit = 10 * time.Second
	// finishLimit bounds the wait for requests in progress at the end.
	finishLimit = 12 * time.Second
	// tokenGap is shorter than that of a real engine, to keep drafts short.
	tokenGap = 10 * time.Millisecond
	// poison is the text that crashes engines, poisonPrompt a prompt with it.
	poison       = "[poison]"
	poisonPrompt = poison + " a question that crashes engines"
)

// Config sets up a demonstration.
type Config struct {
	// Deployment is stage.Kgosi or stage.Skovbro.
	Deployment string
	// Seed makes choices repeatable; the times of events still vary.
	Seed uint64
	// Out takes the progress and the tables.
	Out io.Writer
	// Log takes the entries' log lines; nil discards them.
	Log *zap.Logger
}

// Run carries out the demonstration, which takes about 25 s. The error is nil
// only if every guarantee was exercised and held.
func Run(ctx context.Context, cfg Config) error {
	s, err := stage.Start(ctx, stage.Config{
		Deployment: cfg.Deployment, Seed: cfg.Seed, Gap: tokenGap, ListLag: listLag, Log: cfg.Log,
	})
	if err != nil {
		return fault.Wrap("start", KindRun, err)
	}
	defer s.Close()
	for _, e := range s.Engines {
		e.Mark(poison)
	}
	ready, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := s.Ready(ready); err != nil {
		return fault.Wrap("start", KindRun, err)
	}
	return newShow(cfg, s).run(ctx)
}

// show is one demonstration in progress.
type show struct {
	cfg     Config
	stage   *stage.Stage
	traffic *traffic
	checks  *checks
	watcher *watcher
	start   time.Time
}

func newShow(cfg Config, s *stage.Stage) *show {
	c := newChecks()
	return &show{
		cfg: cfg, stage: s, checks: c, start: time.Now(),
		traffic: newTraffic(cfg, s), watcher: newWatcher(s, c),
	}
}

func (w *show) run(ctx context.Context) error {
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go w.watcher.run(watching)
	if err := w.traffic.start(ctx); err != nil {
		return fault.Wrap("start", KindRun, err)
	}
	if err := w.script(ctx); err != nil {
		return fault.Wrap("script", KindRun, err)
	}
	w.say("stop sending and wait for what is in progress")
	w.traffic.finish(finishLimit)
	results := w.traffic.results.all()
	w.checks.results(w.stage, results)
	w.say("done; the prompt that crashes engines crashed %d", crashedBy(w.stage.Records(), poisonPrompt))
	printTables(w.cfg.Out, results, w.checks)
	return w.checks.verdict()
}
