package cmd

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// testDouble is a test double that runs in a process of its own.
type testDouble interface {
	Start() error
	Close()
	Address() string
}

// testDoubleInfo is the line that a test double prints once it listens.
type testDoubleInfo struct {
	Kind string `json:"kind"`
	// Address serves the protocol of the double and its control requests.
	Address string `json:"address"`
	// Links are the proxied links of a link double.
	Links []fakes.ProxyLink `json:"links,omitempty"`
}

func standInCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a test double: an engine, a plain service, the platform or a link between regions",
		Description: "A double prints one JSON line with its address once it listens, and runs until SIGTERM or\n" +
			"SIGINT. GET /control returns its counters and state; POST /control (JSON) injects faults.",
		Commands: []*cli.Command{engineCommand(), serviceCommand(), platformCommand(), linkCommand()},
	}
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "address (IP:PORT); port 0 lets the system choose"}
}

func endpointFlags(slots int) []cli.Flag {
	return []cli.Flag{
		listenFlag(),
		&cli.StringFlag{Name: "name", Usage: "name of the endpoint", Required: true},
		&cli.StringFlag{Name: "region", Usage: "region of the endpoint", Required: true},
		&cli.IntFlag{Name: "slots", Value: slots, Usage: "maximum number of concurrent requests"},
		&cli.DurationFlag{Name: "lag", Value: time.Second, Usage: "age of load reports"},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "a model engine with continuous batching, a prefix cache and resumable streams",
		Flags: append(
			endpointFlags(8),
			&cli.DurationFlag{Name: "gap", Value: 20 * time.Millisecond, Usage: "time between tokens"},
			&cli.DurationFlag{Name: "prefill", Value: 250 * time.Microsecond, Usage: "time per prompt token that is not cached"},
			&cli.IntFlag{Name: "memory", Value: 4096, Usage: "capacity of the prefix cache in blocks of 16 tokens"},
			&cli.DurationFlag{Name: "loading", Usage: "loading time of the engine after each start"},
			&cli.DurationFlag{Name: "reboot", Usage: "time until the engine restarts after a crash; 0 means never"},
			&cli.BoolFlag{Name: "flat", Usage: "ignore priorities"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return runTestDouble(ctx, c, fakes.NewEngine(fakes.EngineConfig{
				Name: ident.Endpoint(c.String("name")), Region: ident.Region(c.String("region")),
				Listen: c.String("listen"), Slots: c.Int("slots"), ReportLag: clock.FromDuration(c.Duration("lag")),
				TokenInterval: c.Duration("gap"), PrefillPerToken: c.Duration("prefill"), CacheBlocks: c.Int("memory"),
				LoadingTime: clock.FromDuration(c.Duration("loading")), RestartDelay: clock.FromDuration(c.Duration("reboot")), IgnorePriority: c.Bool("flat"),
			}))
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "a plain service with GET /stock and POST /orders",
		Flags: append(
			endpointFlags(16),
			&cli.DurationFlag{Name: "latency", Value: 20 * time.Millisecond, Usage: "processing time of a call"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			return runTestDouble(ctx, c, fakes.NewService(fakes.ServiceConfig{
				Name: ident.Endpoint(c.String("name")), Region: ident.Region(c.String("region")),
				Listen: c.String("listen"), Slots: c.Int("slots"), ReportLag: clock.FromDuration(c.Duration("lag")),
				Latency: c.Duration("latency"),
			}))
		},
	}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "the configuration service and the instance list; both can also be set by POST /control",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.Float64Flag{Name: "rate", Value: 2000, Usage: "maximum calls per second over all clients"},
			&cli.DurationFlag{Name: "lag", Usage: "age of the list of instances"},
			&cli.StringFlag{Name: "bundle", Usage: "file with a signed bundle to publish as value \"bundle\""},
			&cli.StringFlag{Name: "instances", Usage: "file with the instance list to publish, a JSON array"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			double := fakes.NewPlatform(fakes.PlatformConfig{
				Listen: c.String("listen"), RateLimit: c.Float64("rate"), ListLag: clock.FromDuration(c.Duration("lag")),
			})
			if err := publishFiles(double, c.String("bundle"), c.String("instances")); err != nil {
				return err
			}
			return runTestDouble(ctx, c, double)
		},
	}
}

// publishFiles publishes a bundle and an instance list from files; empty names are skipped.
func publishFiles(double *fakes.Platform, bundleFile, listFile string) error {
	if bundleFile != "" {
		signed, err := os.ReadFile(bundleFile)
		if err != nil {
			return errors.Wrap(err, "--bundle")
		}
		if _, err := double.PublishValue("bundle", signed); err != nil {
			return errors.Wrap(err, "--bundle")
		}
	}
	if listFile == "" {
		return nil
	}
	text, err := os.ReadFile(listFile)
	if err != nil {
		return errors.Wrap(err, "--instances")
	}
	var instances []watch.Instance
	if err := json.Unmarshal(text, &instances); err != nil {
		return errors.Wrap(err, "--instances")
	}
	double.PublishInstances(instances)
	return nil
}

func linkCommand() *cli.Command {
	return &cli.Command{
		Name:  "link",
		Usage: "TCP proxies over a pair of paths with limited bandwidth, delay and injected cuts",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringSliceFlag{Name: "target", Usage: "target address (IP:PORT) of a proxy; may be repeated"},
			&cli.DurationFlag{Name: "delay", Value: 52 * time.Millisecond, Usage: "one-way delay"},
			&cli.Int64Flag{Name: "rate", Value: 12_500_000, Usage: "bytes per second in each direction; 0 means unlimited"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			path := fakes.PathConfig{Delay: c.Duration("delay"), Bandwidth: ident.Bytes(c.Int64("rate"))}
			return runTestDouble(ctx, c, fakes.NewProxy(fakes.ProxyConfig{
				Listen: c.String("listen"), Targets: c.StringSlice("target"), Forward: path, Reverse: path,
			}))
		},
	}
}

// runTestDouble runs a test double until a signal arrives or ctx ends.
func runTestDouble(ctx context.Context, c *cli.Command, double testDouble) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	defer double.Close()
	if err := double.Start(); err != nil {
		return err
	}
	line := testDoubleInfo{Kind: c.Name, Address: double.Address()}
	if proxy, ok := double.(*fakes.Proxy); ok {
		line.Links = proxy.Stats().Links
	}
	if err := json.NewEncoder(c.Root().Writer).Encode(line); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}
