// Package cmd holds the command line: a file per command.
package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Run executes the command line args and returns the exit status: 0 for
// success, 1 for an error, and those of exit.go for outcomes of a request.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	app := root(out, errOut)
	if err := app.Run(ctx, args); err != nil {
		_, _ = fmt.Fprintln(errOut, "tanagerbridge: "+err.Error())
		return exitStatus(err)
	}
	return 0
}

func root(out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:           "tanagerbridge",
		Usage:          "a multi-region inference gateway",
		Writer:         out,
		ErrWriter:      errOut,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       commands(),
	}
}

// commands lists the subcommands; each lives in a file of its own.
func commands() []*cli.Command {
	return []*cli.Command{
		entryCommand(),
		gateCommand(),
		bundleCommand(),
		standinCommand(),
		demoCommand(),
		trialCommand(),
		locateCommand(),
		sendCommand(),
		reportCommand(),
		statusCommand(),
		drainCommand(),
	}
}
