// Package demo runs a deployment with traffic and injected faults in one process, checks
// every guarantee and prints a summary.
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
	// KindRun means that the demonstration could not be run.
	KindRun Kind = "run"
	// KindViolated means that a guarantee was violated or not exercised.
	KindViolated Kind = "violated"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

const (
	// startTimeout bounds the start of the deployment.
	startTimeout = 10 * time.Second
	// finishTimeout bounds the wait for requests in progress at the end.
	finishTimeout = 12 * time.Second
	// tokenInterval is the time per token, shorter than that of a real engine to keep drafts short.
	tokenInterval = 10 * time.Millisecond
	// crashMarker is the text that crashes engines, crashPrompt a prompt that contains it.
	crashMarker = "[poison]"
	crashPrompt = crashMarker + " a question that crashes engines"
)

// Config configures a demonstration.
type Config struct {
	// Deployment is stage.Kgosi or stage.Skovbro.
	Deployment string
	// Seed makes random choices reproducible; timings still vary between runs.
	Seed uint64
	// Out receives the progress and the tables.
	Out io.Writer
	// Log receives the logs of the entries; nil discards them.
	Log *zap.Logger
}

// Run runs the demonstration, which takes about 25 s. It returns an *Error of KindRun, or of
// KindViolated unless every guarantee was exercised and held.
func Run(ctx context.Context, cfg Config) error {
	deployment, err := stage.Start(ctx, stage.Config{
		Deployment: cfg.Deployment, Seed: cfg.Seed, TokenInterval: tokenInterval, ListLag: listLag, Log: cfg.Log,
	})
	if err != nil {
		return fault.Wrap("start", KindRun, err)
	}
	defer deployment.Close()
	for _, e := range deployment.Engines {
		e.SetCrashMarker(crashMarker)
	}
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := deployment.WaitReady(ready); err != nil {
		return fault.Wrap("start", KindRun, err)
	}
	return newDemonstration(cfg, deployment).run(ctx)
}

// demonstration is one run in progress.
type demonstration struct {
	cfg        Config
	deployment *stage.Deployment
	traffic    *traffic
	checks     *checks
	watcher    *versionWatcher
	start      time.Time
}

func newDemonstration(cfg Config, deployment *stage.Deployment) *demonstration {
	checks := newChecks()
	return &demonstration{
		cfg: cfg, deployment: deployment, checks: checks, start: time.Now(),
		traffic: newTraffic(cfg, deployment), watcher: newVersionWatcher(deployment, checks),
	}
}

func (d *demonstration) run(ctx context.Context) error {
	watching, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	go d.watcher.run(watching)
	if err := d.traffic.start(ctx); err != nil {
		return fault.Wrap("start", KindRun, err)
	}
	if err := d.runScript(ctx); err != nil {
		return fault.Wrap("script", KindRun, err)
	}
	d.progress("stop sending and wait for requests in progress")
	d.traffic.finish(finishTimeout)
	results := d.traffic.results.snapshot()
	d.checks.checkResults(d.deployment, results)
	d.progress("done; the crashing prompt crashed %d engines", crashedBy(d.deployment.Records(), crashPrompt))
	printTables(d.cfg.Out, results, d.checks)
	return d.checks.verdict()
}
