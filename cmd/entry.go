package cmd

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/entry"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/logs"
)

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry instance, the gateway daemon between callers and endpoints",
		Description: "Every setting is a flag or an environment variable. Addresses are IP:PORT; port 0 lets the\n" +
			"system choose. SIGTERM or SIGINT drains the entry: it finishes the requests in progress, hands its\n" +
			"ticket ledger over to a peer and exits with status 0. A second signal stops it at once and reports what was aborted.",
		Flags:  entryFlags(),
		Action: runEntry,
	}
}

func entryFlags() []cli.Flag {
	defaults := config.Default()
	return []cli.Flag{
		textFlag("name", "NAME", "", "name of this instance in the platform's list"),
		textFlag("region", "REGION", "", "region of this instance"),
		textFlag("zone", "ZONE", "", "availability zone of this instance"),
		textFlag("listen", "IP:PORT", defaults.Listen.Caller, "address for callers"),
		textFlag("admin", "IP:PORT", defaults.Listen.Admin, "address for operators"),
		textFlag("peer", "IP:PORT", defaults.Listen.Peer, "address for other entries"),
		textFlag("values", "URL", "", "URL of the configuration service"),
		textFlag("value", "NAME", defaults.Platform.BundleName, "name of the value that holds the bundle"),
		textFlag("list", "URL", "", "URL of the list of instances"),
		textFlag("bundle-keys", "ID=BASE64,...", "", "public keys that are trusted to sign bundles"),
		textFlag("fleet-keys", "ID=BASE64,...", "", "secrets shared by all entries, current one first"),
		textFlag("ticket-keys", "ID=BASE64,...", "", "secrets that authenticate tickets, signing one first"),
		textFlag("policy", "NAME", defaults.Policy, "endpoint selection policy: tanager, random, robin, least or single"),
		&cli.Uint64Flag{Name: "seed", Sources: cli.EnvVars("TANAGER_SEED"), Usage: "seed of random choices; 0 picks a random seed"},
		durationFlag("linger", defaults.Drain.Linger, "how long a draining entry still accepts new requests, such as 3s"),
		durationFlag("drain-limit", defaults.Drain.Limit, "maximum drain time before requests are aborted; 0 waits without limit"),
		textFlag("log-level", "LEVEL", defaults.Log.Level, "debug, info, warn or error"),
	}
}

// textFlag returns a string flag that can also be set by its environment variable,
// TANAGER_ and the name in capitals.
func textFlag(name, kind, value, usage string) cli.Flag {
	return &cli.StringFlag{
		Name: name, Value: value, Usage: usage + " (" + kind + ")", Sources: environmentSource(name),
	}
}

func durationFlag(name string, value clock.Span, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value.Duration(), Usage: usage, Sources: environmentSource(name)}
}

func entrySettings(c *cli.Command) config.Entry {
	return config.Entry{
		Name:     ident.Entry(c.String("name")),
		Region:   ident.Region(c.String("region")),
		Zone:     ident.Zone(c.String("zone")),
		Listen:   config.Listen{Caller: c.String("listen"), Admin: c.String("admin"), Peer: c.String("peer")},
		Platform: config.Platform{ConfigURL: c.String("values"), InstancesURL: c.String("list"), BundleName: c.String("value")},
		Keys:     config.Keys{Bundle: c.String("bundle-keys"), Fleet: c.String("fleet-keys"), Tickets: c.String("ticket-keys")},
		Policy:   c.String("policy"),
		Seed:     c.Uint64("seed"),
		Drain:    config.Drain{Linger: clock.FromDuration(c.Duration("linger")), Limit: clock.FromDuration(c.Duration("drain-limit"))},
		Log:      config.Log{Level: c.String("log-level")},
	}
}

func runEntry(ctx context.Context, c *cli.Command) error {
	settings := entrySettings(c)
	if err := settings.Check(); err != nil {
		return err
	}
	log, err := newLogger(c, settings.Log.Level)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	server, err := entry.Start(ctx, settings, log)
	if err != nil {
		return err
	}
	return serveUntilSignal(ctx, server, signals)
}

// serveUntilSignal drains the server on the first signal and stops it on the second.
func serveUntilSignal(ctx context.Context, server *entry.Server, signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	abort := make(chan struct{})
	go func() {
		<-signals
		stop()
		<-signals
		close(abort)
	}()
	return server.Serve(ctx, abort)
}

// newLogger returns a logger that writes JSON lines to the command's error output.
func newLogger(c *cli.Command, level string) (*zap.Logger, error) {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "--log-level")
	}
	out := zapcore.Lock(zapcore.AddSync(c.Root().ErrWriter))
	return zap.New(zapcore.NewCore(logs.Encoder(), out, parsed)), nil
}
