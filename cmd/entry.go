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
		Usage: "run an entry instance: the daemon between callers and endpoints",
		Description: "Every setting is a flag or an environment variable. Addresses are IP:PORT; port 0 lets the\n" +
			"system choose. SIGTERM or SIGINT drains the entry: it finishes what is in progress, hands its\n" +
			"ticket ledger to a peer and exits 0. A second signal ends it at once and says what was cut off.",
		Flags:  entryFlags(),
		Action: runEntry,
	}
}

func entryFlags() []cli.Flag {
	d := config.Default()
	return []cli.Flag{
		text("name", "NAME", "", "name of this instance in the platform's list"),
		text("region", "REGION", "", "region of this instance"),
		text("zone", "ZONE", "", "availability zone of this instance"),
		text("listen", "IP:PORT", d.Listen.Caller, "address for callers"),
		text("admin", "IP:PORT", d.Listen.Admin, "address for operators"),
		text("peer", "IP:PORT", d.Listen.Peer, "address for other entries"),
		text("values", "URL", "", "URL of the configuration service"),
		text("value", "NAME", d.Platform.Value, "name of the value that holds the bundle"),
		text("list", "URL", "", "URL of the list of instances"),
		text("bundle-keys", "ID=BASE64,...", "", "public keys that may sign bundles"),
		text("fleet-keys", "ID=BASE64,...", "", "secrets shared by all entries, the current one first"),
		text("ticket-keys", "ID=BASE64,...", "", "secrets that authenticate tickets, the signing one first"),
		text("policy", "NAME", d.Policy, "how endpoints are chosen: tanager, random, robin, least or single"),
		&cli.Uint64Flag{Name: "seed", Sources: cli.EnvVars("TANAGER_SEED"), Usage: "seed of random choices; 0 takes one from the system"},
		duration("linger", d.Drain.Linger, "how long a draining entry still takes new requests, such as 3s"),
		duration("drain-limit", d.Drain.Limit, "longest drain before requests are cut off; 0 waits without limit"),
		text("log-level", "LEVEL", d.Log.Level, "debug, info, warn or error"),
	}
}

// text returns a flag with its environment variable, TANAGER_ and the name in capitals.
func text(name, kind, value, usage string) cli.Flag {
	return &cli.StringFlag{
		Name: name, Value: value, Usage: usage + " (" + kind + ")", Sources: cli.EnvVars(variable(name)),
	}
}

func duration(name string, value clock.Span, usage string) cli.Flag {
	return &cli.DurationFlag{Name: name, Value: value.Duration(), Usage: usage, Sources: cli.EnvVars(variable(name))}
}

func variable(name string) string {
	out := []byte("TANAGER_")
	for _, b := range []byte(name) {
		switch {
		case b == '-':
			b = '_'
		case b >= 'a' && b <= 'z':
			b -= 'a' - 'A'
		}
		out = append(out, b)
	}
	return string(out)
}

func entrySettings(c *cli.Command) config.Entry {
	return config.Entry{
		Name:     ident.Entry(c.String("name")),
		Region:   ident.Region(c.String("region")),
		Zone:     ident.Zone(c.String("zone")),
		Listen:   config.Listen{Caller: c.String("listen"), Admin: c.String("admin"), Peer: c.String("peer")},
		Platform: config.Platform{Values: c.String("values"), List: c.String("list"), Value: c.String("value")},
		Keys:     config.Keys{Bundle: c.String("bundle-keys"), Fleet: c.String("fleet-keys"), Tickets: c.String("ticket-keys")},
		Policy:   c.String("policy"),
		Seed:     c.Uint64("seed"),
		Drain:    config.Drain{Linger: clock.Of(c.Duration("linger")), Limit: clock.Of(c.Duration("drain-limit"))},
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

// serveUntilSignal drains the server on the first signal and ends it on the second.
func serveUntilSignal(ctx context.Context, server *entry.Server, signals <-chan os.Signal) error {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	now := make(chan struct{})
	go func() {
		<-signals
		stop()
		<-signals
		close(now)
	}()
	return server.Serve(ctx, now)
}

// newLogger writes JSON lines to the command's error writer.
func newLogger(c *cli.Command, level string) (*zap.Logger, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, errors.Wrap(err, "--log-level")
	}
	out := zapcore.Lock(zapcore.AddSync(c.Root().ErrWriter))
	return zap.New(zapcore.NewCore(logs.Encoder(), out, l)), nil
}
