package cmd

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// environmentSource returns the environment variable of a flag: TANAGER_ and the name in
// capitals, with underscores.
func environmentSource(flag string) cli.ValueSourceChain {
	return cli.EnvVars("TANAGER_" + strings.ToUpper(strings.ReplaceAll(flag, "-", "_")))
}

func stringFlag(name, usage string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Sources: environmentSource(name)}
}

func timeoutFlag(value time.Duration, usage string) cli.Flag {
	return &cli.DurationFlag{Name: "timeout", Value: value, Usage: usage, Sources: environmentSource("timeout")}
}

func jsonFlag() cli.Flag { return &cli.BoolFlag{Name: "json", Usage: "write JSON instead of a table"} }

// returnUsageError makes a command return a usage error without printing its help text.
func returnUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error { return err }

// callerFlags returns the flags of the commands that act as a caller.
func callerFlags() []cli.Flag {
	return []cli.Flag{
		stringFlag("entries", "addresses (HOST:PORT,...) of the bootstrap entries"),
		stringFlag("service", "service to use"),
		stringFlag("home", "home that the data belongs to"),
		stringFlag("caller", "name of this caller"),
		timeoutFlag(5*time.Minute, "maximum time for the whole command"),
	}
}

// callerConfig validates the values of callerFlags and returns them as a configuration.
func callerConfig(c *cli.Command) (caller.Config, error) {
	entries, err := addresses(c, "entries")
	if err != nil {
		return caller.Config{}, err
	}
	if c.String("service") == "" {
		return caller.Config{}, fault.New("--service", config.KindMissing)
	}
	if err := checkTimeout(c); err != nil {
		return caller.Config{}, err
	}
	return caller.Config{
		Entries: entries,
		Service: ident.Service(c.String("service")),
		Home:    ident.Home(c.String("home")),
		Caller:  ident.Caller(c.String("caller")),
		Clock:   clock.NewSystem(),
	}, nil
}

func checkTimeout(c *cli.Command) error {
	if timeout := c.Duration("timeout"); timeout <= 0 {
		return fault.Newf("--timeout", config.KindInvalid, "%s is not above 0", timeout)
	}
	return nil
}

// addresses parses a flag that lists addresses separated by commas. It returns an error
// if there is none.
func addresses(c *cli.Command, flag string) ([]string, error) {
	var out []string
	for a := range strings.SplitSeq(c.String(flag), ",") {
		a = strings.TrimSpace(a)
		if a == "" {
			continue
		}
		if _, port, err := net.SplitHostPort(a); err != nil || port == "" {
			return nil, fault.Newf("--"+flag, config.KindInvalid, "%q is not HOST:PORT", a)
		}
		out = append(out, a)
	}
	if len(out) == 0 {
		return nil, fault.New("--"+flag, config.KindMissing)
	}
	return out, nil
}
