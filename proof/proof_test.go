// Package proof_test checks the guarantees under the failures that they cover: entries
// run as processes behind fault-injecting proxies and are killed, stopped, isolated and
// drained. The scripts are in testdata.
package proof_test

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rogpeppe/go-internal/testscript"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/cmd"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/status"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"tanagerbridge": func() { os.Exit(cmd.Run(context.Background(), os.Args, os.Stdout, os.Stderr)) },
	})
}

func positiveSpan(duration time.Duration) clock.Span { return max(clock.FromDuration(duration), 1) }

// Runs each script with its own deployment.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata", RequireExplicitExec: true, Cmds: commands,
	})
}

// command is a script command that requires a deployment.
type command func(env *cluster, args []string) error

// commands maps the script commands to their functions. The comment of each function gives
// the command with its arguments and its effect; commands without one are described here.
var commands = map[string]func(*testscript.TestScript, bool, []string){
	"deploy":       deploy,
	"entry":        withCluster(startEntry),
	"signal":       withCluster(signalEntry),
	"exits":        withCluster(awaitExit),
	"await":        withCluster(awaitState),
	"version":      withCluster(awaitVersion),
	"awaitmembers": withCluster(awaitMembers),
	"awaitorder":   withCluster(resendOrder),
	// cut REGION isolates a region from the others in both directions.
	"cut": withCluster(func(env *cluster, args []string) error { env.deployment.Partition(ident.Region(args[0])); return nil }),
	// cutpair FROM TO cuts the network from one region to another, but not back.
	"cutpair": withCluster(func(env *cluster, args []string) error {
		env.deployment.CutDirection(ident.Region(args[0]), ident.Region(args[1]))
		return nil
	}),
	"logged": withCluster(checkLogged),
	// awaitnamed ENTRY OTHER waits until locate at ENTRY returns OTHER.
	"awaitnamed": withCluster(func(env *cluster, args []string) error {
		return eventually(func() error { return checkNamed(env, args) })
	}),
	// heal ends all cuts.
	"heal": withCluster(func(env *cluster, _ []string) error { env.deployment.Heal(); return nil }),
	// outage on|off sets whether the configuration service answers 503.
	"outage": withCluster(func(env *cluster, args []string) error {
		env.deployment.Platform.SetConfigOutage(args[0] == "on")
		return nil
	}),
	"stale":    withCluster(serveStale),
	"publish":  withCluster(publishBundle),
	"conflict": withCluster(publishConflict),
	// ticket ORDER ENTRY requests the ticket for an order from an entry.
	"ticket":   withCluster(func(env *cluster, args []string) error { return env.takeTicket(args[0], args[1]) }),
	"send":     withCluster(expectOrder),
	"follow":   withCluster(awaitOrder),
	"delay":    withCluster(delayServices),
	"inject":   withCluster(injectFault),
	"placed":   withCluster(checkPlaced),
	"complete": withCluster(sendPrompts),
	"joined":   withCluster(awaitPrompts),
	"leaves":   withCluster(leaveEngine),
	"crasher":  withCluster(sendCrashPrompts),
	"crashed":  withCluster(checkCrashed),
	"named":    withCluster(checkNamed),
	"unnamed":  withCluster(awaitUnnamed),
	"digest":   withCluster(checkDigests),
	"sleep":    withCluster(sleepFor),
}

// deploy DEPLOYMENT [LIST-LAG] starts the endpoints, the platform and the links. LIST-LAG
// is the delay of the instance list.
func deploy(ts *testscript.TestScript, _ bool, args []string) {
	ctx, cancel := context.WithCancel(context.Background())
	listLag := time.Millisecond
	if len(args) > 1 {
		var err error
		listLag, err = time.ParseDuration(args[1])
		ts.Check(err)
	}
	env, err := newCluster(ctx, args[0], 1, listLag)
	ts.Check(err)
	ts.Defer(func() {
		env.close()
		cancel()
	})
	clusters.Store(ts, env)
}

// withCluster runs a command on the script's deployment and then checks the guarantees
// about orders and answers.
func withCluster(run command) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		found, ok := clusters.Load(ts)
		if !ok {
			ts.Fatalf("no deployment; run deploy first")
		}
		env := found.(*cluster)
		err := run(env, args)
		if neg != (err != nil) {
			ts.Fatalf("%v: %v", args, err)
		}
		ts.Check(env.checkGuarantees())
	}
}

// entry NAME REGION [nowait] starts an entry process and waits until it is ready.
func startEntry(env *cluster, args []string) error {
	if err := env.startProcess(args[0], ident.Region(args[1])); err != nil {
		return err
	}
	if slices.Contains(args, "nowait") {
		return nil
	}
	return env.awaitState(args[0], status.Ready)
}

// signal NAME STOP|CONT|KILL|TERM sends a signal to an entry process.
func signalEntry(env *cluster, args []string) error {
	sig, ok := map[string]syscall.Signal{
		"STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL, "TERM": syscall.SIGTERM,
	}[args[1]]
	if !ok {
		return errors.Errorf("unknown signal %s", args[1])
	}
	proc := env.processes[args[0]]
	proc.signal(sig)
	if sig != syscall.SIGSTOP {
		return nil
	}
	return eventually(proc.checkStopped)
}

// checkStopped returns nil if the process has stopped. SIGSTOP takes effect
// asynchronously, and until then the process still answers.
func (p *process) checkStopped() error {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return err
	}
	// The state follows the command name, which is in parentheses.
	_, rest, _ := strings.Cut(string(stat), ") ")
	if !strings.HasPrefix(rest, "T") {
		return errors.Errorf("%s has not stopped", p.name)
	}
	return nil
}

// exits NAME CODE waits for the exit of an entry process and checks its exit code.
func awaitExit(env *cluster, args []string) error {
	proc := env.processes[args[0]]
	select {
	case <-proc.exited:
	case <-time.After(waitLimit):
		return errors.Errorf("%s did not exit: %s", args[0], proc.logs)
	}
	if code := proc.cmd.ProcessState.ExitCode(); strconv.Itoa(code) != args[1] {
		return errors.Errorf("%s exited with code %d: %s", args[0], code, proc.logs)
	}
	return env.deployment.RemoveExternalEntry(ident.Entry(args[0]))
}

// await NAME STATE waits until an entry reports a state.
func awaitState(env *cluster, args []string) error {
	return env.awaitState(args[0], status.State(args[1]))
}

// version N NAME... waits until bundle version N is in force at the entries.
func awaitVersion(env *cluster, args []string) error {
	number, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	for _, name := range args[1:] {
		if err := env.awaitVersion(name, ident.Version(number)); err != nil {
			return err
		}
	}
	return nil
}

// awaitmembers NAME... waits until each of the entries lists all others as members.
func awaitMembers(env *cluster, args []string) error {
	return eventually(func() error {
		for _, name := range args {
			got, err := env.statusOf(name)
			if err != nil {
				return err
			}
			if len(got.Members) != len(args)-1 {
				return errors.Errorf("%s lists %d members", name, len(got.Members))
			}
		}
		return nil
	})
}

// awaitorder ORDER ENTRY RESULT resends an order until its result is RESULT.
func resendOrder(env *cluster, args []string) error {
	return eventually(func() error { return expectOrder(env, args) })
}

// stale N makes the configuration service serve the value of N revisions ago.
func serveStale(env *cluster, args []string) error {
	revisions, err := strconv.Atoi(args[0])
	env.deployment.Platform.SetStaleBy(revisions)
	return err
}

// publish N publishes the bundle under version N.
func publishBundle(env *cluster, args []string) error {
	number, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	doc := env.deployment.Document()
	doc.Version = ident.Version(number)
	return env.deployment.Publish(doc)
}

// conflict N publishes a different document under version N.
func publishConflict(env *cluster, args []string) error {
	number, err := strconv.ParseUint(args[0], 10, 64)
	if err != nil {
		return err
	}
	doc := env.deployment.Document()
	doc.Version = ident.Version(number)
	doc.Limits.Queue++
	return env.deployment.Publish(doc)
}

// send ORDER ENTRY RESULT[|RESULT] sends an order and compares its result. With "&" as
// the result it sends in the background; see follow.
func expectOrder(env *cluster, args []string) error {
	if args[2] == "&" {
		pending := env.orders[args[0]]
		pending.sent = make(chan struct{})
		go func() {
			env.sendOrder(args[0], args[1])
			close(pending.sent)
		}()
		return nil
	}
	got := env.sendOrder(args[0], args[1])
	if !slices.Contains(strings.Split(args[2], "|"), got) {
		return errors.Errorf("order %s at %s: result %s: %s", args[0], args[1], got, env.lastRefusal(args[0]))
	}
	return nil
}

// follow ORDER waits for a background send of the order to end.
func awaitOrder(env *cluster, args []string) error {
	select {
	case <-env.orders[args[0]].sent:
		return nil
	case <-time.After(waitLimit):
		return errors.Errorf("the send of order %s did not end", args[0])
	}
}

// delay MS sets the duration of calls to the plain services.
func delayServices(env *cluster, args []string) error {
	ms, err := strconv.Atoi(args[0])
	for _, s := range env.deployment.Services {
		s.SetLatency(clock.Span(ms))
	}
	return err
}

// inject before|after|refuse|cross makes the next call to each plain service fail; none
// removes faults that have not occurred.
func injectFault(env *cluster, args []string) error {
	faults, ok := map[string]fakes.ServiceFaults{
		"before": {DropBefore: 1}, "after": {DropAfter: 1}, "refuse": {Refuse: 1}, "cross": {WrongRequest: 1}, "none": {},
	}[args[0]]
	if !ok {
		return errors.Errorf("unknown fault %s", args[0])
	}
	for _, s := range env.deployment.Services {
		s.InjectFaults(faults)
	}
	return nil
}

// placed ORDER N checks that an order was placed N times.
func checkPlaced(env *cluster, args []string) error {
	got := 0
	for _, c := range fakes.CountPlacedOrders(env.deployment.Services...) {
		if c.Key == args[0] {
			got = c.Count
		}
	}
	if strconv.Itoa(got) != args[1] {
		return errors.Errorf("order %s was placed %d times", args[0], got)
	}
	return nil
}

// complete ENTRY COUNT TOKENS [&] sends COUNT prompts concurrently and waits for their
// complete answers. With "&" it does not wait; see joined.
func sendPrompts(env *cluster, args []string) error {
	count, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	tokens, err := strconv.Atoi(args[2])
	if err != nil {
		return err
	}
	prompts := &batch{}
	for i := range count {
		prompts.group.Go(func() {
			prompts.add(env.sendPrompt(args[0], fmt.Sprintf("prompt %d at %s [len=%d]", i, args[0], tokens), ident.Tokens(tokens)))
		})
	}
	if slices.Contains(args, "&") {
		env.mu.Lock()
		defer env.mu.Unlock()
		env.batches = append(env.batches, prompts)
		return nil
	}
	return prompts.wait()
}

// joined waits for the prompts that complete sent in the background.
func awaitPrompts(env *cluster, _ []string) error {
	env.mu.Lock()
	batches := env.batches
	env.batches = nil
	env.mu.Unlock()
	for _, b := range batches {
		if err := b.wait(); err != nil {
			return err
		}
	}
	return nil
}

// leaves ENTRY... makes an engine in the region of the first entry leave without notice
// in the instance list, and checks that after 3 s, the limit of the guarantee, no entry
// sends it new work.
func leaveEngine(env *cluster, args []string) error {
	engine := env.deployment.EnginesIn(env.processes[args[0]].region)[0]
	engine.SetLeaving(true)
	time.Sleep(3 * time.Second)
	before := len(engine.Records())
	for i := range 40 {
		name := args[i%len(args)]
		if err := env.sendPrompt(name, "after the departure "+strconv.Itoa(i), 5); err != nil {
			return err
		}
	}
	if after := len(engine.Records()); after != before {
		return errors.Errorf("the leaving endpoint received %d requests", after-before)
	}
	return nil
}

// crasher ENTRY... sends a request that crashes engines three times to each entry in
// turn, together with ordinary requests, which must complete.
func sendCrashPrompts(env *cluster, args []string) error {
	for _, e := range env.deployment.Engines {
		e.SetCrashMarker("[crash]")
	}
	prompts := &batch{}
	for i, name := range args {
		prompts.group.Go(func() { prompts.add(env.sendPrompt(name, "ordinary beside the crash "+strconv.Itoa(i), 200)) })
	}
	for range 3 {
		for _, name := range args {
			if err := env.sendPrompt(name, "same request [crash]", 50); err == nil {
				return errors.New("a request that crashes engines was answered")
			}
		}
	}
	return prompts.wait()
}

// crashed N checks that the crashing requests crashed at least one and at most N engines.
func checkCrashed(env *cluster, args []string) error {
	maxCrashed, err := strconv.Atoi(args[0])
	if err != nil {
		return err
	}
	lost := make(map[ident.Endpoint]bool)
	for _, r := range env.deployment.Records() {
		if r.Outcome == fakes.Lost {
			lost[r.Engine] = true
		}
	}
	if len(lost) > maxCrashed || len(lost) == 0 {
		return errors.Errorf("%d engines crashed", len(lost))
	}
	return nil
}

// named ENTRY OTHER checks that locate at ENTRY returns OTHER.
func checkNamed(env *cluster, args []string) error {
	location, err := env.locations(args[0])
	if err != nil {
		return err
	}
	for _, e := range location.Entries {
		if string(e.Name) == args[1] {
			return nil
		}
	}
	return errors.Errorf("locate does not return %s", args[1])
}

// unnamed ENTRY OTHER waits until locate at ENTRY no longer returns OTHER.
func awaitUnnamed(env *cluster, args []string) error {
	return eventually(func() error {
		if checkNamed(env, args) == nil {
			return errors.Errorf("locate at %s still returns %s", args[0], args[1])
		}
		return nil
	})
}

// digest NAME... checks that each entry has the document that was first seen under its
// version.
func checkDigests(env *cluster, args []string) error {
	for _, name := range args {
		got, err := env.statusOf(name)
		if err != nil {
			return err
		}
		first, ok := env.digests[got.Version]
		if ok && first != got.Digest {
			return errors.Errorf("%s has a different document under version %d", name, got.Version)
		}
		env.digests[got.Version] = got.Digest
	}
	return nil
}

// logged NAME TEXT checks that the log of a process contains a text.
func checkLogged(env *cluster, args []string) error {
	proc := env.processes[args[0]]
	if !strings.Contains(proc.logs.String(), args[1]) {
		return errors.Errorf("%s has not logged %q: %s", args[0], args[1], proc.logs)
	}
	return nil
}

// sleep DURATION waits for a fixed time.
func sleepFor(_ *cluster, args []string) error {
	duration, err := time.ParseDuration(args[0])
	time.Sleep(duration)
	return err
}
