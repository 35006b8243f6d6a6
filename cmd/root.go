// Package cmd implements the command line, with one file per command.
package cmd

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"
)

// Run executes the command line args and returns the exit status: 0 for success,
// 1 for an error, 2 if a request was not executed, 3 if that is unknown, and 4 if it
// was executed but its response is no longer available.
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

// commands returns the subcommands.
func commands() []*cli.Command {
	return []*cli.Command{
		entryCommand(),
		gateCommand(),
		bundleCommand(),
		standInCommand(),
		demoCommand(),
		trialCommand(),
		locateCommand(),
		sendCommand(),
		reportCommand(),
		statusCommand(),
		drainCommand(),
	}
}
