package cmd

import (
	"context"
	"encoding/json"

	"github.com/urfave/cli/v3"

	"github.com/tanagerbridge/tanagerbridge/burn"
	"github.com/tanagerbridge/tanagerbridge/status"
)

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show the service-level burn over all entries",
		Description: "An entry that doesn't answer is shown as missing; the report then covers the others only.\n" +
			"Exit status 1 if no entry answered.",
		Flags:        adminFlags(),
		OnUsageError: plainError,
		Action:       runReport,
	}
}

func runReport(ctx context.Context, c *cli.Command) error {
	answers, err := gatherFor[burn.Report](ctx, c, status.PathReport)
	if err != nil {
		return err
	}
	r := mergeReports(answers)
	if c.Bool("json") {
		err = json.NewEncoder(c.Root().Writer).Encode(r)
	} else {
		err = r.Table(c.Root().Writer)
	}
	if err != nil {
		return err
	}
	return reached(answers)
}

func mergeReports(answers []answer[burn.Report]) burn.Report {
	reports := make([]burn.Report, 0, len(answers))
	for _, a := range answers {
		if a.err != nil {
			a.value = burn.Report{Missing: []burn.Missing{{Entry: a.address, Cause: a.err.Error()}}}
		}
		reports = append(reports, a.value)
	}
	return burn.Merge(reports)
}
