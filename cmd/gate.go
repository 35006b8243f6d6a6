package cmd

import (
	"context"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/rcrowley/go-metrics"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gate"
	"github.com/tanagerbridge/tanagerbridge/logs"
	"github.com/tanagerbridge/tanagerbridge/platform"
)

const (
	// logRate is the default bound of log lines a second.
	logRate = 400
	// heapShare is the part of the process's memory limit that the runtime aims to stay in.
	heapShare = 0.7
)

func gateCommand() *cli.Command {
	return &cli.Command{
		Name:  "gate",
		Usage: "run a gateway instance on the users' platform",
		Description: "The settings come from the file that " + platform.SettingsVariable + " names. SIGHUP reads it again. SIGTERM\n" +
			"and SIGINT drain the instance: it leaves the directory, finishes what is in progress and exits 0.",
		Flags: []cli.Flag{
			text("metrics", "IP:PORT", "", "address that serves metrics; none if empty"),
			text("log-level", "LEVEL", "info", "debug, info, warn or error"),
			&cli.IntFlag{Name: "log-rate", Value: logRate, Sources: cli.EnvVars(variable("log-rate")), Usage: "most log lines a second; 0 is unbounded"},
		},
		Action: runGate,
	}
}

func runGate(ctx context.Context, c *cli.Command) error {
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.Load(path)
	if err != nil {
		return err
	}
	settings.Metrics = c.String("metrics")
	if settings.Memory > 0 {
		debug.SetMemoryLimit(int64(float64(settings.Memory) * heapShare))
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
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt, syscall.SIGHUP)
	defer signal.Stop(signals)
	adapter := platform.New(settings)
	server, err := gate.Start(ctx, gate.Config{
		Settings: settings, Dialect: adapter, Source: adapter, Clock: clock.NewSystem(),
		Log: log.With(zap.String("instance", string(settings.Name))), Registry: registry, Seed: rand.Uint64(),
	})
	if err != nil {
		return err
	}
	waitForStop(ctx, log.Logger, server, signals, path)
	server.Drain(context.WithoutCancel(ctx))
	return nil
}

// waitForStop reloads the settings on SIGHUP and returns on any other signal.
func waitForStop(ctx context.Context, log *zap.Logger, server *gate.Server, signals <-chan os.Signal, path string) {
	for {
		select {
		case <-ctx.Done():
			return
		case s := <-signals:
			if s != syscall.SIGHUP {
				return
			}
			settings, err := platform.Load(path)
			if err != nil {
				log.Error("settings can't be read, the old ones stay", zap.Error(err))
				continue
			}
			server.Reload(settings)
		}
	}
}
