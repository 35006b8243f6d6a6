// Tanagerbridge is a multi-region inference gateway. This is the entry point of
// its daemon and of its command line.
package main

import (
	"context"
	"os"

	"github.com/tanagerbridge/tanagerbridge/cmd"
)

func main() {
	os.Exit(cmd.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
