package cmd

import (
	"context"
	"strings"

	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/demo"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a deployment with traffic and injected faults in one process and check all guarantees",
		Description: "Takes about 25 s and uses only loopback addresses. Exits with status 0 only if all guarantees\n" +
			"were exercised and held.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: stage.Kgosi, Usage: strings.Join(demo.Deployments(), " or ")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of random choices"},
			&cli.BoolFlag{Name: "verbose", Usage: "write the entries' log lines to the error output"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			log := zap.NewNop()
			if c.Bool("verbose") {
				var err error
				if log, err = newLogger(c, "info"); err != nil {
					return err
				}
			}
			return demo.Run(ctx, demo.Config{
				Deployment: c.String("deployment"), Seed: c.Uint64("seed"), Out: c.Root().Writer, Log: log,
			})
		},
	}
}
