package trial

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os/exec"
	"syscall"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

const (
	// pauseFor is how long case Paused stops an entry, at most half of the run.
	pauseFor = 5 * time.Second
	// pausedListLag is the lag of the list in case Paused: the entry that is stopped
	// joins late, and would be missing for the usual 30 s.
	pausedListLag = clock.Second
	// startLimit bounds the start of that entry.
	startLimit = 10 * time.Second
)

// process is an entry in a process of its own, which a signal can stop.
type process struct {
	cmd  *exec.Cmd
	done chan struct{}
}

// launch starts one more entry in the first region as a process of the program.
func (x *run) launch(ctx context.Context) error {
	region := x.stage.Regions()[0]
	settings, err := x.stage.Settings(region)
	if err != nil {
		return err
	}
	settings.Policy = x.cfg.Policy
	p := &process{done: make(chan struct{})}
	p.cmd = exec.CommandContext(context.WithoutCancel(ctx), x.cfg.Program, arguments(&settings)...) //nolint:gosec // the program is this one
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	x.process = p
	started := make(chan stage.Addresses, 1)
	go p.follow(out, started)
	select {
	case a := <-started:
		return x.stage.Join(settings.Name, region, a)
	case <-p.done:
		return fault.Newf("start", KindRun, "entry %s ended", settings.Name)
	case <-time.After(startLimit):
		return fault.Newf("start", KindRun, "entry %s did not start", settings.Name)
	}
}

// arguments are the command line of an entry with the given settings.
func arguments(e *config.Entry) []string {
	return []string{
		"entry", "--name", string(e.Name), "--region", string(e.Region), "--zone", string(e.Zone),
		"--listen", e.Listen.Caller, "--admin", e.Listen.Admin, "--peer", e.Listen.Peer,
		"--values", e.Platform.Values, "--value", e.Platform.Value, "--list", e.Platform.List,
		"--bundle-keys", e.Keys.Bundle, "--fleet-keys", e.Keys.Fleet, "--ticket-keys", e.Keys.Tickets,
		"--policy", e.Policy, "--seed", fmt.Sprint(e.Seed),
	}
}

// follow reads the log of the process to its end and passes on its addresses.
func (p *process) follow(out io.Reader, started chan<- stage.Addresses) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		var line struct {
			Msg    string `json:"msg"`
			Listen string `json:"listen"`
			Admin  string `json:"admin"`
			Peer   string `json:"peer"`
		}
		if json.Unmarshal(lines.Bytes(), &line) == nil && line.Msg == "started" {
			started <- stage.Addresses{Caller: line.Listen, Admin: line.Admin, Peer: line.Peer}
		}
	}
	_ = p.cmd.Wait()
	close(p.done)
}

// end ends the process at once, stopped or not.
func (p *process) end() {
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	_ = p.cmd.Process.Kill()
	<-p.done
}

// stop stops the entry that runs in a process for a while.
func (x *run) stop(ctx context.Context) error {
	if err := x.process.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		return err
	}
	err := pause(ctx, min(pauseFor, x.cfg.For/2))
	if again := x.process.cmd.Process.Signal(syscall.SIGCONT); err == nil {
		err = again
	}
	return err
}
