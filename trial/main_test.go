package trial_test

import (
	"context"
	"os"
	"testing"

	"github.com/tanagerbridge/tanagerbridge/cmd"
)

// TestMain lets the test binary stand for the program whose entry case Paused stops.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "entry" {
		os.Exit(cmd.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}
