// Tanagerbridge is a multi-region inference gateway. The binary contains the
// daemons and the operators' commands.
package main

import (
	"context"
	"os"

	"github.com/tanagerbridge/tanagerbridge/cmd"
)

func main() {
	os.Exit(cmd.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
