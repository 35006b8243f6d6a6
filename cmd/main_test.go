package cmd

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

// TestMain makes the tanagerbridge command available to the scripts in testdata.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tanagerbridge": func() { os.Exit(Run(context.Background(), os.Args, os.Stdout, os.Stderr)) },
	})
}

// Runs testdata/*.txtar.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata", RequireExplicitExec: true,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"serve": serve, "publish": publish, "eventually": eventually, "expand": expand,
		},
	})
}

// startTimeout only ends a test that hangs.
const startTimeout = 30 * time.Second

// serve NAME ARGS... runs the program in the background until the end of the script
// and stores the addresses that it logs in $NAME, $NAME_ADMIN and $NAME_PEER. The
// system chooses the ports, so that concurrent runs do not collide.
func serve(ts *testscript.TestScript, _ bool, args []string) {
	program, err := exec.LookPath("tanagerbridge")
	ts.Check(err)
	ctx, cancel := context.WithCancel(context.Background())
	words := make([]string, 0, len(args))
	for _, a := range args[1:] {
		// @FILE is replaced by the content of the file.
		if name, ok := strings.CutPrefix(a, "@"); ok {
			a = strings.TrimSpace(ts.ReadFile(name))
		}
		words = append(words, a)
	}
	c := exec.CommandContext(ctx, program, words...)
	c.Dir = ts.MkAbs(".")
	c.Cancel = func() error { return c.Process.Signal(os.Interrupt) }
	out, in := io.Pipe()
	c.Stdout, c.Stderr = in, in
	ts.Check(c.Start())
	ts.Defer(func() {
		cancel()
		_ = c.Wait()
		_ = in.Close()
	})
	found := make(chan listenInfo, 1)
	go scanAddresses(out, found)
	select {
	case a := <-found:
		ts.Setenv(args[0], a.Address+a.Listen)
		ts.Setenv(args[0]+"_ADMIN", a.Admin)
		ts.Setenv(args[0]+"_PEER", a.Peer)
	case <-time.After(startTimeout):
		ts.Fatalf("%v did not start in time", args)
	}
}

// listenInfo holds the addresses in the output line of a started process.
type listenInfo struct {
	Address string `json:"address"`
	Listen  string `json:"listen"`
	Admin   string `json:"admin"`
	Peer    string `json:"peer"`
}

// scanAddresses reads the output until its end and sends the first addresses found.
func scanAddresses(out io.Reader, found chan<- listenInfo) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var a listenInfo
		if json.Unmarshal(lines.Bytes(), &a) != nil || a.Address+a.Listen == "" {
			continue
		}
		select {
		case found <- a:
		default:
		}
	}
}

// publish PLATFORM FILE publishes a list of instances at the fake platform.
func publish(ts *testscript.TestScript, _ bool, args []string) {
	body := `{"instances":` + ts.ReadFile(args[1]) + `}`
	resp, err := http.Post("http://"+args[0]+"/control", "application/json", strings.NewReader(body))
	ts.Check(err)
	ts.Check(resp.Body.Close())
	if resp.StatusCode >= http.StatusBadRequest {
		ts.Fatalf("publish: %s", resp.Status)
	}
}

// eventually COMMAND repeats a command until it succeeds.
func eventually(ts *testscript.TestScript, _ bool, args []string) {
	var err error
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if err = ts.Exec(args[0], args[1:]...); err == nil {
			return
		}
	}
	ts.Fatalf("%v: %v", args, err)
}

// expand FILE expands the variables in a file.
func expand(ts *testscript.TestScript, _ bool, args []string) {
	text := os.Expand(ts.ReadFile(args[0]), ts.Getenv)
	ts.Check(os.WriteFile(ts.MkAbs(args[0]), []byte(text), 0o600))
}
