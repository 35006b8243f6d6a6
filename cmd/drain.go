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

// drainQueryTimeout bounds one request to the draining entry.
const drainQueryTimeout = 3 * time.Second

func drainCommand() *cli.Command {
	return &cli.Command{
		Name:  "drain",
		Usage: "shut down an entry gracefully and wait until it has left",
		Description: "Exits with status 0 when the entry has left. Status 1 means that it is still running or is\n" +
			"unreachable; the error lists what is in progress, and the drain continues.",
		Flags: []cli.Flag{
			stringFlag("admin", "admin address (HOST:PORT) of the entry"),
			timeoutFlag(5*time.Minute, "maximum time to wait for the entry to leave"),
			&cli.DurationFlag{Name: "interval", Value: 500 * time.Millisecond, Usage: "time between two status requests"},
		},
		OnUsageError: returnUsageError,
		Action:       runDrain,
	}
}

func runDrain(ctx context.Context, c *cli.Command) error {
	admins, err := addresses(c, "admin")
	if err != nil {
		return err
	}
	if len(admins) > 1 {
		return fault.Newf("--admin", config.KindInvalid, "one entry can be drained at a time")
	}
	if err := checkTimeout(c); err != nil {
		return err
	}
	if c.Duration("interval") <= 0 {
		return fault.Newf("--interval", config.KindInvalid, "%s is not above 0", c.Duration("interval"))
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	first, err := queryWithTimeout[status.Drain](ctx, http.MethodPost, admins[0], status.PathDrain)
	if err != nil {
		return err
	}
	monitor := drainMonitor{command: c, address: admins[0], incarnation: first.Incarnation, last: status.Status{Requests: first.Requests}}
	monitor.printf("%s is draining, %d requests in progress", first.Entry, first.Requests)
	return monitor.wait(ctx)
}

// queryWithTimeout is query with drainQueryTimeout.
func queryWithTimeout[T any](ctx context.Context, method, address, path string) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, drainQueryTimeout)
	defer cancel()
	return query[T](ctx, method, address, path)
}

// drainMonitor monitors one draining entry.
type drainMonitor struct {
	command     *cli.Command
	address     string
	incarnation ident.Incarnation
	last        status.Status
	lastErr     error
}

func (d *drainMonitor) wait(ctx context.Context) error {
	tick := time.NewTicker(d.command.Duration("interval"))
	defer tick.Stop()
	for {
		if d.hasLeft(ctx) {
			d.printf("left")
			return nil
		}
		select {
		case <-ctx.Done():
			return d.timeoutError()
		case <-tick.C:
		}
	}
}

// hasLeft reports whether the entry has exited. An entry that does not answer in
// time may be paused; only a refused connection or another process at the address
// proves that the entry has exited.
func (d *drainMonitor) hasLeft(ctx context.Context) bool {
	current, err := queryWithTimeout[status.Status](ctx, http.MethodGet, d.address, status.PathStatus)
	if err != nil {
		d.lastErr = err
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	if current.Incarnation != d.incarnation {
		return true
	}
	if current.Requests != d.last.Requests {
		d.printf("%d requests in progress", current.Requests)
	}
	d.last, d.lastErr = current, nil
	return false
}

// timeoutError returns an error that lists what is still in progress.
func (d *drainMonitor) timeoutError() error {
	if d.lastErr != nil {
		return errors.Wrapf(d.lastErr, "the entry has not left, last seen with %d requests in progress", d.last.Requests)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "the entry has not left after %s: %d requests in progress", clock.FromDuration(d.command.Duration("timeout")), d.last.Requests)
	for _, q := range d.last.Queues {
		if q.Waiting > 0 {
			fmt.Fprintf(&text, ", %d waiting for %s", q.Waiting, q.Service)
		}
	}
	return errors.New(text.String())
}

func (d *drainMonitor) printf(format string, args ...any) {
	writeLine(d.command.Root().Writer, format, args...)
}
