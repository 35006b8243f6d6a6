package cmd

import (
	"context"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/stage"
	"github.com/tanagerbridge/tanagerbridge/trial"
)

func trialCommand() *cli.Command {
	var cases []string
	for _, c := range trial.Cases() {
		cases = append(cases, string(c))
	}
	return &cli.Command{
		Name:  "trial",
		Usage: "measure a deployment under load and injected faults in one process",
		Description: "Runs a deployment with fake endpoints over loopback, at 5 times the speed of the model.\n" +
			"Cases and policies may be lists separated by commas, or all; the trials then run sequentially\n" +
			"and print one row each. Violated guarantees are also written to the error output.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: stage.Kgosi, Usage: strings.Join(trial.Deployments(), " or ")},
			&cli.StringFlag{Name: "case", Value: string(trial.CaseSteady), Usage: strings.Join(cases, ", ") + " or all"},
			&cli.StringFlag{Name: "policy", Value: trial.Policies()[0], Usage: strings.Join(trial.Policies(), ", ") + " or all"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the request arrivals"},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "duration of the load after the warm-up"},
			&cli.BoolFlag{Name: "verbose", Usage: "write the entries' log lines to the error output"},
			jsonFlag(),
		},
		OnUsageError: returnUsageError,
		Action:       runTrial,
	}
}

func runTrial(ctx context.Context, c *cli.Command) error {
	cases, err := trial.ParseCases(c.String("case"))
	if err != nil {
		return err
	}
	policies, err := trial.ParsePolicies(c.String("policy"))
	if err != nil {
		return err
	}
	log := zap.NewNop()
	if c.Bool("verbose") {
		if log, err = newLogger(c, "info"); err != nil {
			return err
		}
	}
	series := trial.Series{
		Deployment: c.String("deployment"), Cases: cases, Policies: policies, Seed: c.Uint64("seed"),
		Duration: c.Duration("for"), JSON: c.Bool("json"), Out: c.Root().Writer, Warnings: c.Root().ErrWriter,
		Log: log,
	}
	return series.Run(ctx)
}
