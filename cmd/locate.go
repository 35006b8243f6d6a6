package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/fault"
)

func locateCommand() *cli.Command {
	return &cli.Command{
		Name:         "locate",
		Usage:        "show the entries to use for a service",
		Flags:        append(callerFlags(), stringFlag("call", "call of a plain service, such as \"POST /orders\""), jsonFlag()),
		OnUsageError: returnUsageError,
		Action:       runLocate,
	}
}

func runLocate(ctx context.Context, c *cli.Command) error {
	settings, err := callerConfig(c)
	if err != nil {
		return err
	}
	call := c.String("call")
	if method, path, _ := strings.Cut(call, " "); call != "" && (method == "" || !strings.HasPrefix(path, "/")) {
		return fault.Newf("--call", config.KindInvalid, "%q is not METHOD /path", call)
	}
	client, err := caller.New(settings)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	location, err := client.Locate(ctx, call)
	if err != nil {
		return err
	}
	if c.Bool("json") {
		return json.NewEncoder(c.Root().Writer).Encode(location)
	}
	return locationTable(c.Root().Writer, location)
}

func locationTable(out io.Writer, location caller.Location) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "ENTRY\tADDRESS\tREGION") // Flush returns write errors
	for _, e := range location.Entries {
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\n", e.Name, e.Address, e.Region)
	}
	_, _ = fmt.Fprintf(table, "\nvalid for %s\n", location.Validity)
	if location.Ticket != "" {
		_, _ = fmt.Fprintf(table, "ticket %s\n", location.Ticket)
	}
	return table.Flush()
}
