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
		Usage: "show the error-budget burn over all entries",
		Description: "An entry that does not answer is shown as missing; the report then covers only the others.\n" +
			"Exits with status 1 if no entry answered.",
		Flags:        adminFlags(),
		OnUsageError: returnUsageError,
		Action:       runReport,
	}
}

func runReport(ctx context.Context, c *cli.Command) error {
	responses, err := queryAdmins[burn.Report](ctx, c, status.PathReport)
	if err != nil {
		return err
	}
	report := mergeReports(responses)
	if c.Bool("json") {
		err = json.NewEncoder(c.Root().Writer).Encode(report)
	} else {
		err = report.WriteTable(c.Root().Writer)
	}
	if err != nil {
		return err
	}
	return requireResponse(responses)
}

func mergeReports(responses []adminResponse[burn.Report]) burn.Report {
	reports := make([]burn.Report, 0, len(responses))
	for _, a := range responses {
		if a.err != nil {
			a.value = burn.Report{Missing: []burn.Missing{{Entry: a.address, Cause: a.err.Error()}}}
		}
		reports = append(reports, a.value)
	}
	return burn.Merge(reports)
}
