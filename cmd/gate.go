package cmd

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gate"
	"github.com/tanagerbridge/tanagerbridge/logs"
	"github.com/tanagerbridge/tanagerbridge/platform"
)

const (
	// defaultLogRate is the default limit of log lines per second.
	defaultLogRate = 400
	// heapFraction is the fraction of the process's memory limit that is set as the soft
	// memory limit of the Go runtime.
	heapFraction = 0.7
	// settingsInterval is the interval at which the settings file is checked for changes.
	settingsInterval = 1 * time.Second
)

func gateCommand() *cli.Command {
	return &cli.Command{
		Name:  "gate",
		Usage: "run a gateway instance on the users' platform",
		Description: "The settings are read from the file named by " + platform.SettingsVariable + ". SIGHUP and a change of it reload them. SIGTERM and\n" +
			"SIGINT drain the instance: it leaves the directory, finishes the requests in progress and exits with status 0.",
		Flags: []cli.Flag{
			textFlag("metrics", "IP:PORT", "", "address that serves metrics; empty disables it"),
			textFlag("log-level", "LEVEL", "info", "debug, info, warn or error"),
			&cli.IntFlag{Name: "log-rate", Value: defaultLogRate, Sources: environmentSource("log-rate"), Usage: "maximum log lines per second; 0 means unlimited"},
		},
		Action: runGate,
	}
}

func runGate(ctx context.Context, c *cli.Command) error {
	// A signal that arrives during the start must drain the instance too.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	file := platform.NewSettingsFile(os.Getenv(platform.SettingsVariable))
	settings, err := file.Load()
	if err != nil {
		return err
	}
	settings.MetricsAddress = c.String("metrics")
	if settings.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryLimit) * heapFraction))
	}
	registry := metrics.NewRegistry()
	dropped := metrics.NewRegisteredCounter("log.dropped", registry)
	log, err := logs.New(logs.Config{
		Out: c.Root().Writer, Level: c.String("log-level"), Rate: c.Int("log-rate"), Dropped: dropped.Inc,
	})
	if err != nil {
		return err
	}
	defer log.Close()
	ticks, err := clock.NewBoot()
	if err != nil {
		return err
	}
	adapter := platform.New(settings)
	server, err := gate.Start(ctx, gate.Config{
		Settings: settings, Protocol: adapter, Source: adapter, Clock: ticks,
		Log: log.With(zap.String("instance", string(settings.Name))), Registry: registry, Seed: rand.Uint64(),
	})
	if err != nil {
		return err
	}
	waitForStop(ctx, settingsReload{file, log.Logger, server.Reload}, signals)
	server.Drain(context.WithoutCancel(ctx))
	return nil
}

// settingsReload passes changed settings on.
type settingsReload struct {
	file  *platform.SettingsFile
	log   *zap.Logger
	apply func(gate.Settings)
}

// now reads the settings, whether they have changed or not.
func (r settingsReload) now() {
	settings, err := r.file.Load()
	r.finish(settings, err)
}

// ifChanged reads the settings if the file has changed.
func (r settingsReload) ifChanged() {
	if settings, changed, err := r.file.LoadChanged(); changed {
		r.finish(settings, err)
	}
}

func (r settingsReload) finish(settings gate.Settings, err error) {
	if err != nil {
		r.log.Error("settings reload failed, previous settings stay in use", zap.Error(err))
		return
	}
	r.apply(settings)
}

// waitForStop reloads the settings on SIGHUP and when the file has changed, and returns on any other signal.
func waitForStop(ctx context.Context, reload settingsReload, signals <-chan os.Signal) {
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			reload.ifChanged()
		case received := <-signals:
			if received != syscall.SIGHUP {
				return
			}
			reload.now()
		}
	}
}
