package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/tanagerbridge/tanagerbridge/status"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show the active version, the members, the endpoints and the queues of entries",
		Description: "An entry that does not answer is shown as missing. Exits with status 1 if no entry answered.\n" +
			"Each entry decides based on its own view, so members and endpoints are shown per entry.",
		Flags:        adminFlags(),
		OnUsageError: returnUsageError,
		Action:       runStatus,
	}
}

// statusReport is the JSON output of the command.
type statusReport struct {
	Entries []status.Status `json:"entries"`
	Missing []missingEntry  `json:"missing"`
}

type missingEntry struct {
	Address string `json:"address"`
	Cause   string `json:"cause"`
}

func runStatus(ctx context.Context, c *cli.Command) error {
	responses, err := queryAdmins[status.Status](ctx, c, status.PathStatus)
	if err != nil {
		return err
	}
	report := statusReport{Entries: []status.Status{}, Missing: []missingEntry{}}
	for _, a := range responses {
		if a.err != nil {
			report.Missing = append(report.Missing, missingEntry{Address: a.address, Cause: a.err.Error()})
			continue
		}
		report.Entries = append(report.Entries, a.value)
	}
	if c.Bool("json") {
		err = json.NewEncoder(c.Root().Writer).Encode(report)
	} else {
		err = report.table(c.Root().Writer)
	}
	if err != nil {
		return err
	}
	return requireResponse(responses)
}

func (r statusReport) table(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	writeLine(table, "ENTRY\tREGION\tZONE\tINCARNATION\tSTATE\tVERSION\tDIGEST\tREQUESTS")
	for _, e := range r.Entries {
		writeLine(table, "%s\t%s\t%s\t%d\t%s\t%d\t%.12s\t%d", e.Entry, e.Region, e.Zone, e.Incarnation, e.State, e.Version, e.Digest, e.Requests)
	}
	writeLine(table, "\nSEEN BY\tMEMBER\tREGION\tSTATE\tINCARNATION")
	for _, e := range r.Entries {
		for _, m := range e.Members {
			writeLine(table, "%s\t%s\t%s\t%s\t%d", e.Entry, m.Name, m.Region, m.State, m.Incarnation)
		}
	}
	writeLine(table, "\nSEEN BY\tENDPOINT\tSERVICE\tREGION\tSTATE\tWEIGHT\tLOAD\tMINE")
	for _, e := range r.Entries {
		for _, p := range e.Endpoints {
			writeLine(table, "%s\t%s\t%s\t%s\t%s\t%.2f\t%.1f\t%d", e.Entry, p.Name, p.Service, p.Region, p.State, p.Weight, p.Load, p.OwnAttempts)
		}
	}
	writeLine(table, "\nENTRY\tQUEUE\tWAITING")
	for _, e := range r.Entries {
		for _, q := range e.Queues {
			writeLine(table, "%s\t%s\t%d", e.Entry, q.Service, q.Waiting)
		}
	}
	writeLine(table, "\nENTRY\tCOUNTER\tVALUE")
	for _, e := range r.Entries {
		for _, n := range e.Counters {
			writeLine(table, "%s\t%s\t%d", e.Entry, n.Name, n.Value)
		}
	}
	for _, m := range r.Missing {
		writeLine(table, "\nmissing: %s (%s)", m.Address, m.Cause)
	}
	return table.Flush()
}

// writeLine writes one line of a table. Flush returns write errors.
func writeLine(out io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(out, format+"\n", args...)
}
