package cmd

import (
	"context"
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes the command available to the scripts in testdata.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tanagerbridge": func() { os.Exit(Run(context.Background(), os.Args, os.Stdout, os.Stderr)) },
	})
}

// Runs testdata/*.txtar.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", RequireExplicitExec: true})
}
