package cmd

import (
	"context"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

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
	testscript.Run(t, testscript.Params{
		Dir: "testdata", RequireExplicitExec: true, Setup: freePorts,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"eventually": eventually, "expand": expand},
	})
}

// freePorts puts addresses with ports that the system picked into $A1 to $A6.
func freePorts(env *testscript.Env) error {
	for i := range 6 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer l.Close() //nolint:errcheck // nothing was sent
		env.Setenv(fmt.Sprintf("A%d", i+1), l.Addr().String())
	}
	return nil
}

// eventually COMMAND runs a command until it succeeds; the limit only ends a test that hangs.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	var err error
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = ts.Exec(args[0], args[1:]...); err == nil {
			return
		}
	}
	ts.Fatalf("%v: %v", args, err)
}

// expand FILE replaces the variables in a file.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}
