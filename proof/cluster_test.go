package proof_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
	"github.com/tanagerbridge/tanagerbridge/status"
)

// waitLimit bounds every wait for an expected event. It is far above the few seconds
// that the guarantees allow, so that a busy machine does not cause failures.
const waitLimit = 40 * time.Second

// cluster is a deployment whose entries are separate processes behind the
// fault-injecting proxies of the deployment.
type cluster struct {
	ctx        context.Context
	binary     string
	deployment *stage.Deployment

	mu        sync.Mutex
	processes map[string]*process
	orders    map[string]*order
	answers   []receivedAnswer
	batches   []*batch
	digests   map[ident.Version]string
}

// clusters maps each running script to its deployment.
var clusters sync.Map

// batch is a group of concurrent prompts. Its error is the first one of them.
type batch struct {
	group sync.WaitGroup
	mu    sync.Mutex
	err   error
}

func (b *batch) add(err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.err == nil {
		b.err = err
	}
}

func (b *batch) wait() error {
	b.group.Wait()
	return b.err
}

// process is one entry process.
type process struct {
	name      string
	region    ident.Region
	cmd       *exec.Cmd
	addresses stage.Addresses
	exited    chan struct{}
	logs      *logBuffer
}

// order is one non-idempotent request of a caller.
type order struct {
	ticket string
	// notRun, done and unknown are the results that callers have received.
	notRun, done, unknown bool
	// refusal is the last refusal, for failure messages.
	refusal caller.Refusal
	sent    chan struct{}
}

// receivedAnswer is an answer that a caller received as complete.
type receivedAnswer struct {
	prompt caller.Prompt
	got    string
}

func newCluster(ctx context.Context, deployment string, seed uint64, listLag time.Duration) (*cluster, error) {
	running, err := stage.Start(ctx, stage.Config{
		Deployment: deployment, Seed: seed, NoEntries: true, Speedup: 5,
		ListLag: positiveSpan(listLag),
	})
	if err != nil {
		return nil, err
	}
	binary, err := exec.LookPath("tanagerbridge")
	if err != nil {
		return nil, err
	}
	return &cluster{ctx: ctx, binary: binary, deployment: running, processes: make(map[string]*process), orders: make(map[string]*order), digests: make(map[ident.Version]string)}, nil
}

func (c *cluster) close() {
	c.mu.Lock()
	processes := c.processes
	c.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
	c.deployment.Close()
}

// startProcess starts an entry process and waits until it listens.
func (c *cluster) startProcess(name string, region ident.Region) error {
	settings, err := c.deployment.NextSettings(region)
	if err != nil {
		return err
	}
	settings.Name = ident.Entry(name)
	proc := &process{name: name, region: region, exited: make(chan struct{}), logs: &logBuffer{}}
	proc.cmd = exec.CommandContext(c.ctx, c.binary, arguments(settings)...)
	out, err := proc.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := proc.cmd.Start(); err != nil {
		return err
	}
	started := make(chan stage.Addresses, 1)
	go proc.readLog(out, started)
	select {
	case proc.addresses = <-started:
	case <-proc.exited:
		return errors.Errorf("%s exited during the start: %s", name, proc.logs)
	case <-time.After(waitLimit):
		return errors.Errorf("%s did not start: %s", name, proc.logs)
	}
	c.mu.Lock()
	c.processes[name] = proc
	c.mu.Unlock()
	return c.deployment.AddExternalEntry(settings.Name, region, proc.addresses)
}

func arguments(settings config.Entry) []string {
	return []string{
		"entry", "--name", string(settings.Name), "--region", string(settings.Region), "--zone", string(settings.Zone),
		"--listen", settings.Listen.Caller, "--admin", settings.Listen.Admin, "--peer", settings.Listen.Peer,
		"--values", settings.Platform.ConfigURL, "--value", settings.Platform.BundleName, "--list", settings.Platform.InstancesURL,
		"--bundle-keys", settings.Keys.Bundle, "--fleet-keys", settings.Keys.Fleet, "--ticket-keys", settings.Keys.Tickets,
		"--policy", settings.Policy, "--seed", fmt.Sprint(settings.Seed),
	}
}

// readLog collects the log of a process and sends its addresses to started. It reads lines of
// any length until the process closes its end, since a process blocks when nobody reads its log.
func (p *process) readLog(out io.Reader, started chan<- stage.Addresses) {
	lines := bufio.NewReader(out)
	for {
		text, err := lines.ReadString('\n')
		if text != "" {
			p.logs.add(strings.TrimSuffix(text, "\n"))
		}
		var line struct {
			Msg    string `json:"msg"`
			Listen string `json:"listen"`
			Admin  string `json:"admin"`
			Peer   string `json:"peer"`
		}
		if json.Unmarshal([]byte(text), &line) == nil && line.Msg == "started" {
			started <- stage.Addresses{Caller: line.Listen, Admin: line.Admin, Peer: line.Peer}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				p.logs.add("the log could not be read further: " + err.Error())
			}
			break
		}
	}
	_ = p.cmd.Wait()
	close(p.exited)
}

func (p *process) signal(sig os.Signal) { _ = p.cmd.Process.Signal(sig) }

// logBuffer has the log lines of a process, for script checks and failure messages. It is
// safe for concurrent use.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *logBuffer) add(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, line)
}

// String returns the last 20 lines.
func (b *logBuffer) String() string { return b.last(20) }

// last returns at most the given number of lines from the end.
func (b *logBuffer) last(count int) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.lines[max(0, len(b.lines)-count):], "\n")
}

// eventually polls check until it returns nil. After waitLimit it returns the last error.
func eventually(check func() error) error {
	var err error
	for end := time.Now().Add(waitLimit); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if err = check(); err == nil {
			return nil
		}
	}
	return err
}

func (c *cluster) statusOf(name string) (status.Status, error) {
	var answer status.Status
	resp, err := http.Get("http://" + c.processes[name].addresses.Admin + status.PathStatus)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}

// awaitState waits until an entry reports a state.
func (c *cluster) awaitState(name string, state status.State) error {
	return eventually(func() error {
		got, err := c.statusOf(name)
		switch {
		case err != nil:
			return errors.Wrap(err, c.processes[name].describe())
		case got.State != state:
			return errors.Errorf("%s is %s, want %s: %s", name, got.State, state, c.processes[name].logs)
		}
		return nil
	})
}

// describe returns the kernel's state of the process, or how it ended, and its log with room for the stacks of
// all goroutines.
func (p *process) describe() string {
	const logLines = 1000
	var state string
	select {
	case <-p.exited:
		state = p.cmd.ProcessState.String()
	default:
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
		state = string(stat)
		if err != nil {
			state = err.Error()
		}
	}
	return fmt.Sprintf("%s: state %s; log: %s", p.name, state, p.logs.last(logLines))
}

// awaitVersion waits until a bundle version is in force at an entry.
func (c *cluster) awaitVersion(name string, version ident.Version) error {
	return eventually(func() error {
		got, err := c.statusOf(name)
		if err == nil && got.Version != version {
			err = errors.Errorf("%s has version %d, want %d", name, got.Version, version)
		}
		return err
	})
}

// sendRequest sends one request to an entry without the client library and its retries.
func (c *cluster) sendRequest(name, method, path, ticket, body string) (int, caller.Refusal, error) {
	req, err := http.NewRequestWithContext(c.ctx, method, "http://"+c.processes[name].addresses.Caller+path, strings.NewReader(body))
	if err != nil {
		return 0, caller.Refusal{}, err
	}
	if ticket != "" {
		req.Header.Set(caller.HeaderTicket, ticket)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}
	resp, err := client.Do(req)
	if err != nil {
		return 0, caller.Refusal{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var envelope caller.Envelope
	if resp.StatusCode >= http.StatusBadRequest {
		_ = json.NewDecoder(resp.Body).Decode(&envelope)
	}
	return resp.StatusCode, envelope.Error, nil
}

// locations returns the entries that an entry recommends for completions.
func (c *cluster) locations(name string) (caller.Location, error) {
	client, err := caller.New(caller.Config{Entries: []string{c.processes[name].addresses.Caller}, Service: c.deployment.EngineService(), MaxAttempts: 1})
	if err != nil {
		return caller.Location{}, err
	}
	return client.Locate(c.ctx, "")
}

// takeTicket requests a ticket for an order from an entry.
func (c *cluster) takeTicket(id, name string) error {
	client, err := caller.New(caller.Config{Entries: []string{c.processes[name].addresses.Caller}, Service: c.deployment.PlainService(), MaxAttempts: 1})
	if err != nil {
		return err
	}
	location, err := client.Locate(c.ctx, "POST /orders")
	if err != nil {
		return err
	}
	if location.Ticket == "" {
		return errors.New("the location has no ticket")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders[id] = &order{ticket: location.Ticket}
	return nil
}

// sendOrder sends an order with its ticket to an entry and returns the result for its caller:
// done, not-run, running, broken for a failed connection, or else the reason of the refusal.
func (c *cluster) sendOrder(id, name string) string {
	c.mu.Lock()
	pending := c.orders[id]
	c.mu.Unlock()
	code, refusal, err := c.sendRequest(name, http.MethodPost, caller.PathCall+string(c.deployment.PlainService())+"/orders", pending.ticket, `{"order":"`+id+`"}`)
	c.mu.Lock()
	defer c.mu.Unlock()
	pending.refusal = refusal
	switch {
	case err != nil:
		return "broken"
	case code == http.StatusOK:
		pending.done = true
		return "done"
	case refusal.Ran == caller.RanNo:
		pending.notRun = true
		return "not-run"
	case refusal.Reason == caller.ReasonOwner:
		return "running"
	default:
		pending.unknown = true
		return string(refusal.Reason)
	}
}

// lastRefusal returns the reason and the text of the last refusal of an order.
func (c *cluster) lastRefusal(id string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("%s, %s", c.orders[id].refusal.Reason, c.orders[id].refusal.Message)
}

// checkGuarantees returns an error for the first violation of the guarantees about orders
// and answers.
func (c *cluster) checkGuarantees() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	placed := make(map[string]int)
	for _, p := range fakes.CountPlacedOrders(c.deployment.Services...) {
		placed[p.Key] = p.Count
	}
	for id, o := range c.orders {
		count := placed[id]
		if count > 1 {
			return errors.Errorf("order %s was placed %d times", id, count)
		}
		if o.notRun && count > 0 {
			return errors.Errorf("order %s was reported as not run but was placed", id)
		}
		if o.done && count != 1 {
			return errors.Errorf("order %s was reported as done but was placed %d times", id, count)
		}
	}
	for _, a := range c.answers {
		if want := expectedAnswer(a.prompt); a.got != want {
			return errors.Errorf("prompt %q got a wrong answer as complete: %q, want %q", a.prompt.Messages[0].Content, a.got, want)
		}
	}
	return nil
}

func expectedAnswer(prompt caller.Prompt) string {
	completionRequest := fakes.CompletionRequest{MaxTokens: prompt.MaxTokens}
	for _, m := range prompt.Messages {
		completionRequest.Messages = append(completionRequest.Messages, fakes.Message{Role: m.Role, Content: m.Content})
	}
	return fakes.FullAnswer(&completionRequest)
}

// sendPrompt sends a prompt with the given answer limit to an entry once.
func (c *cluster) sendPrompt(name, text string, tokens ident.Tokens) error {
	client, err := caller.New(caller.Config{Entries: []string{c.processes[name].addresses.Caller}, Service: c.deployment.EngineService(), MaxAttempts: 1})
	if err != nil {
		return err
	}
	prompt := caller.Prompt{Messages: []caller.Message{{Role: "user", Content: text}}, MaxTokens: tokens}
	var got strings.Builder
	_, err = client.Complete(c.ctx, prompt, caller.Sink{
		OnToken:   func(token string) { got.WriteString(token) },
		OnRestart: func(error) { got.Reset() },
	})
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers = append(c.answers, receivedAnswer{prompt: prompt, got: got.String()})
	return nil
}
