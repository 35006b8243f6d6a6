package cmd

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/status"
)

// drainAsk bounds one question to the entry that drains.
const drainAsk = 3 * time.Second

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "make an entry leave once its requests are finished, and wait until it has left",
		Description: "Exit status 0 when the entry has left. With status 1 it is still at work or can't be\n" +
			"reached, and the error says what is in progress; the drain itself goes on.",
		Flags: []cli.Flag{
			stringFlag("admin", "admin address (HOST:PORT) of the entry"),
			timeoutFlag(5*time.Minute, "longest time to wait for the entry to leave"),
			&cli.DurationFlag{Name: "interval", Value: 500 * time.Millisecond, Usage: "time between two questions"},
		},
		OnUsageError: plainError,
		Action:       runDrain,
	}
}

func runDrain(ctx context.Context, c *cli.Command) error {
	admins, err := addresses(c, "admin")
	if err != nil {
		return err
	}
	if len(admins) > 1 {
		return fault.Newf("--admin", config.Invalid, "one entry is drained at a time")
	}
	if err := checkTimeout(c); err != nil {
		return err
	}
	if c.Duration("interval") <= 0 {
		return fault.Newf("--interval", config.Invalid, "%s is not above 0", c.Duration("interval"))
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	first, err := ask[status.Drain](ctx, http.MethodPost, admins[0], status.PathDrain)
	if err != nil {
		return err
	}
	d := drain{c: c, address: admins[0], incarnation: first.Incarnation, last: status.Status{Requests: first.Requests}}
	d.say("%s is draining, %d requests in progress", first.Entry, first.Requests)
	return d.wait(ctx)
}

// ask is fetch with a limit of its own.
func ask[T any](ctx context.Context, method, address, path string) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, drainAsk)
	defer cancel()
	return fetch[T](ctx, method, address, path)
}

// drain follows one entry that leaves.
type drain struct {
	c           *cli.Command
	address     string
	incarnation ident.Incarnation
	last        status.Status
	lastErr     error
}

func (d *drain) wait(ctx context.Context) error {
	tick := time.NewTicker(d.c.Duration("interval"))
	defer tick.Stop()
	for {
		if d.left(ctx) {
			d.say("left")
			return nil
		}
		select {
		case <-ctx.Done():
			return d.unfinished()
		case <-tick.C:
		}
	}
}

// left asks whether the entry is gone. An entry that doesn't answer in time may
// be paused and hasn't left; only a closed port or another process under the
// address shows that it has.
func (d *drain) left(ctx context.Context) bool {
	s, err := ask[status.Status](ctx, http.MethodGet, d.address, status.PathStatus)
	if err != nil {
		d.lastErr = err
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if s.Incarnation != d.incarnation {
		return true
	}
	if s.Requests != d.last.Requests {
		d.say("%d requests in progress", s.Requests)
	}
	d.last, d.lastErr = s, nil
	return false
}

// unfinished says what is still in progress.
func (d *drain) unfinished() error {
	if d.lastErr != nil {
		return errors.Wrapf(d.lastErr, "the entry has not left, last seen with %d requests in progress", d.last.Requests)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "the entry has not left after %s: %d requests in progress", clock.Of(d.c.Duration("timeout")), d.last.Requests)
	for _, q := range d.last.Queues {
		if q.Waiting > 0 {
			fmt.Fprintf(&text, ", %d waiting for %s", q.Waiting, q.Service)
		}
	}
	return errors.New(text.String())
}

func (d *drain) say(format string, args ...any) { line(d.c.Root().Writer, format, args...) }
