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

// patience bounds every wait for something that must happen; it is far above the
// few seconds that the guarantees allow, so that a busy machine changes no verdict.
const patience = 40 * time.Second

// scene is one deployment whose entries are processes of their own, behind the
// fault-injecting proxies of the stage.
type scene struct {
	ctx    context.Context
	binary string
	stage  *stage.Stage

	mu        sync.Mutex
	processes map[string]*process
	orders    map[string]*order
	prompts   []promise
	batches   []*batch
	digests   map[ident.Version]string
}

// scenes finds the deployment of a running script.
var scenes sync.Map

// batch is a number of prompts sent at the same time.
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
	name    string
	region  ident.Region
	cmd     *exec.Cmd
	address stage.Addresses
	done    chan struct{}
	log     *logBuffer
}

// order is one non-idempotent request of a caller.
type order struct {
	ticket string
	// notRun and done are what the caller was told.
	notRun, done, unknown bool
	finished              chan struct{}
}

// promise is an answer that a caller received as whole.
type promise struct {
	prompt caller.Prompt
	got    string
}

func newScene(ctx context.Context, deployment string, seed uint64, lag time.Duration) (*scene, error) {
	s, err := stage.Start(ctx, stage.Config{
		Deployment: deployment, Seed: seed, NoEntries: true, Speed: 5,
		ListLag: stageSpan(lag),
	})
	if err != nil {
		return nil, err
	}
	binary, err := exec.LookPath("tanagerbridge")
	if err != nil {
		return nil, err
	}
	return &scene{ctx: ctx, binary: binary, stage: s, processes: make(map[string]*process), orders: make(map[string]*order), digests: make(map[ident.Version]string)}, nil
}

func (s *scene) close() {
	s.mu.Lock()
	processes := s.processes
	s.mu.Unlock()
	for _, p := range processes {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		<-p.done
	}
	s.stage.Close()
}

// launch starts an entry process and waits until it listens.
func (s *scene) launch(name string, region ident.Region) error {
	settings, err := s.stage.Settings(region)
	if err != nil {
		return err
	}
	settings.Name = ident.Entry(name)
	p := &process{name: name, region: region, done: make(chan struct{}), log: &logBuffer{}}
	p.cmd = exec.CommandContext(s.ctx, s.binary, arguments(settings)...)
	out, err := p.cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	started := make(chan stage.Addresses, 1)
	go p.follow(out, started)
	select {
	case p.address = <-started:
	case <-p.done:
		return errors.Errorf("%s ended: %s", name, p.log)
	case <-time.After(patience):
		return errors.Errorf("%s did not start: %s", name, p.log)
	}
	s.mu.Lock()
	s.processes[name] = p
	s.mu.Unlock()
	return s.stage.Join(settings.Name, region, p.address)
}

func arguments(e config.Entry) []string {
	return []string{
		"entry", "--name", string(e.Name), "--region", string(e.Region), "--zone", string(e.Zone),
		"--listen", e.Listen.Caller, "--admin", e.Listen.Admin, "--peer", e.Listen.Peer,
		"--values", e.Platform.Values, "--value", e.Platform.Value, "--list", e.Platform.List,
		"--bundle-keys", e.Keys.Bundle, "--fleet-keys", e.Keys.Fleet, "--ticket-keys", e.Keys.Tickets,
		"--policy", e.Policy, "--seed", fmt.Sprint(e.Seed),
	}
}

// follow keeps the log of a process and reports its addresses.
func (p *process) follow(out io.Reader, started chan<- stage.Addresses) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		p.log.add(lines.Text())
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

func (p *process) signal(sig os.Signal) { _ = p.cmd.Process.Signal(sig) }

// logBuffer keeps the log lines of a process for failure messages.
type logBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *logBuffer) add(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, line)
}

// String returns the last lines.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Join(b.lines[max(0, len(b.lines)-20):], "\n")
}

// eventually polls until check returns nil.
func eventually(check func() error) error {
	var err error
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if err = check(); err == nil {
			return nil
		}
	}
	return err
}

func (s *scene) statusOf(name string) (status.Status, error) {
	var answer status.Status
	resp, err := http.Get("http://" + s.processes[name].address.Admin + status.PathStatus)
	if err != nil {
		return answer, err
	}
	defer func() { _ = resp.Body.Close() }()
	return answer, json.NewDecoder(resp.Body).Decode(&answer)
}

// await waits until an entry reports a state.
func (s *scene) await(name string, state status.State) error {
	return eventually(func() error {
		got, err := s.statusOf(name)
		if err == nil && got.State != state {
			err = errors.Errorf("%s is %s, not %s: %s", name, got.State, state, s.processes[name].log)
		}
		return err
	})
}

// version waits until an entry has a bundle version in force.
func (s *scene) version(name string, version ident.Version) error {
	return eventually(func() error {
		got, err := s.statusOf(name)
		if err == nil && got.Version != version {
			err = errors.Errorf("%s has version %d, not %d", name, got.Version, version)
		}
		return err
	})
}

// call sends one request to an entry as it is, without any re-send.
func (s *scene) call(name, method, path, ticket, body string) (int, caller.Refusal, error) {
	req, err := http.NewRequestWithContext(s.ctx, method, "http://"+s.processes[name].address.Caller+path, strings.NewReader(body))
	if err != nil {
		return 0, caller.Refusal{}, err
	}
	if ticket != "" {
		req.Header.Set(caller.HeaderTicket, ticket)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	resp, err := client.Do(req)
	if err != nil {
		return 0, caller.Refusal{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	var e caller.Envelope
	if resp.StatusCode >= http.StatusBadRequest {
		_ = json.NewDecoder(resp.Body).Decode(&e)
	}
	return resp.StatusCode, e.Error, nil
}

// locations asks an entry which entries to use for completions.
func (s *scene) locations(name string) (caller.Location, error) {
	c, err := caller.New(caller.Config{Entries: []string{s.processes[name].address.Caller}, Service: s.stage.EngineService(), Attempts: 1})
	if err != nil {
		return caller.Location{}, err
	}
	return c.Locate(s.ctx, "")
}

// locate takes a ticket for an order from an entry.
func (s *scene) locate(id, name string) error {
	c, err := caller.New(caller.Config{Entries: []string{s.processes[name].address.Caller}, Service: s.stage.PlainService(), Attempts: 1})
	if err != nil {
		return err
	}
	l, err := c.Locate(s.ctx, "POST /orders")
	if err != nil {
		return err
	}
	if l.Ticket == "" {
		return errors.New("no ticket")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.orders[id] = &order{ticket: l.Ticket}
	return nil
}

// send sends an order with its ticket to an entry and returns what the caller learns.
func (s *scene) send(id, name string) string {
	s.mu.Lock()
	o := s.orders[id]
	s.mu.Unlock()
	code, refusal, err := s.call(name, http.MethodPost, caller.PathCall+string(s.stage.PlainService())+"/orders", o.ticket, `{"order":"`+id+`"}`)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil:
		return "broken"
	case code == http.StatusOK:
		o.done = true
		return "done"
	case refusal.Ran == caller.RanNo:
		o.notRun = true
		return "not-run"
	case refusal.Kind == caller.ReasonOwner:
		return "running"
	default:
		o.unknown = true
		return string(refusal.Kind)
	}
}

// check counts the violations of the guarantees about orders.
func (s *scene) check() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	placed := make(map[string]int)
	for _, c := range fakes.Orders(s.stage.Services...) {
		placed[c.Key] = c.Count
	}
	for id, o := range s.orders {
		n := placed[id]
		if n > 1 {
			return errors.Errorf("order %s was placed %d times", id, n)
		}
		if o.notRun && n > 0 {
			return errors.Errorf("order %s was told not run and was placed", id)
		}
		if o.done && n != 1 {
			return errors.Errorf("order %s was told done and was placed %d times", id, n)
		}
	}
	for _, p := range s.prompts {
		if want := answerTo(p.prompt); p.got != want {
			return errors.Errorf("%q was passed on as whole: %q instead of %q", p.prompt.Messages[0].Content, p.got, want)
		}
	}
	return nil
}

func answerTo(p caller.Prompt) string {
	c := fakes.Completion{MaxTokens: p.Tokens}
	for _, m := range p.Messages {
		c.Messages = append(c.Messages, fakes.Message{Role: m.Role, Content: m.Content})
	}
	return fakes.Answer(&c)
}

// complete sends a prompt of the given answer length to an entry once.
func (s *scene) complete(name, text string, tokens ident.Tokens) error {
	c, err := caller.New(caller.Config{Entries: []string{s.processes[name].address.Caller}, Service: s.stage.EngineService(), Attempts: 1})
	if err != nil {
		return err
	}
	p := caller.Prompt{Messages: []caller.Message{{Role: "user", Content: text}}, Tokens: tokens}
	var got strings.Builder
	_, err = c.Complete(s.ctx, p, caller.Sink{
		Token:   func(token string) { got.WriteString(token) },
		Restart: func(error) { got.Reset() },
	})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prompts = append(s.prompts, promise{prompt: p, got: got.String()})
	return nil
}
