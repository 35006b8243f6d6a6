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
	// defaultLogRate is the default limit of log lines per second.
	defaultLogRate = 400
	// heapFraction is the fraction of the process's memory limit that is set as the soft
	// memory limit of the Go runtime.
	heapFraction = 0.7
)

func gateCommand() *cli.Command {
	return &cli.Command{
		Name:  "gate",
		Usage: "run a gateway instance on the users' platform",
		Description: "The settings are read from the file named by " + platform.SettingsVariable + ". SIGHUP reloads them. SIGTERM and\n" +
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
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.Load(path)
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
	adapter := platform.New(settings)
	server, err := gate.Start(ctx, gate.Config{
		Settings: settings, Protocol: adapter, Source: adapter, Clock: clock.NewSystem(),
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
		case received := <-signals:
			if received != syscall.SIGHUP {
				return
			}
			settings, err := platform.Load(path)
			if err != nil {
				log.Error("settings reload failed, previous settings stay in use", zap.Error(err))
				continue
			}
			server.Reload(settings)
		}
	}
}
