package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	healthPath = "/healthz"
	reportPath = "/report"
	host       = "h.example"
	// startWait is the time between the start of the machines and that of the traffic.
	startWait = 10 * time.Second
	// readyTimeout bounds the time until all machines are ready.
	readyTimeout = 8 * time.Second
	portCount    = 16
	// maxMachines bounds the machines of a deployment.
	maxMachines = 12
	// sendLimit is the time limit of a client, and sendMargin how much longer it listens.
	sendLimit  = 5 * time.Second
	sendMargin = 500 * time.Millisecond
)

// listen opens a listener on a loopback address.
func listen(address string) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(context.Background(), "tcp", address)
}

// place is the availability zone of a machine, and its region.
type place struct{ zone, region string }

// machine is one machine with a process of the gateway.
type machine struct {
	name     string
	place    place
	ip       string
	settings string
	cmd      *exec.Cmd
	log      *os.File
}

// world is a small deployment.
type world struct {
	names    names
	binary   string
	root     string
	dir      string
	store    *store
	ports    []int
	machines []*machine
	network  string
	zones    map[string]string
	seeds    []string

	mu      sync.Mutex
	began   time.Time
	records []string
	runs    map[string][]run
}

func newWorld(n names, root string) (*world, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{
		names: n, root: root, binary: filepath.Join(root, "target", "tanagerbridge"), dir: dir, store: newStore(n),
		began: time.Now(), runs: make(map[string][]run),
	}
	if err := w.store.serve(); err != nil {
		return nil, err
	}
	return w, w.choosePorts()
}

// choosePorts looks for a loopback network and ports that are free on the addresses of all machines.
func (w *world) choosePorts() error {
	w.network = fmt.Sprintf("127.%d.%d.", 20+os.Getpid()%200, 1+time.Now().UnixNano()%250)
	base := 0
	for tries := 0; tries < 50 && len(w.ports) < portCount; tries++ {
		base = 20000 + (os.Getpid()*31+tries*997)%20000
		w.ports = nil
		for p := base; p < base+portCount && w.isFree(p); p++ {
			w.ports = append(w.ports, p)
		}
	}
	if len(w.ports) < portCount {
		return fmt.Errorf("no free ports from %d on", base)
	}
	return nil
}

// isFree reports whether a port is free on all addresses.
func (w *world) isFree(port int) bool {
	for i := range maxMachines {
		l, err := listen(fmt.Sprintf("%s%d:%d", w.network, 1+i, port))
		if err != nil {
			return false
		}
		_ = l.Close() // nothing has connected
	}
	return true
}

func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, fmt.Sprintf("%9.3f  ", time.Since(w.began).Seconds())+fmt.Sprintf(format, args...))
}

// noteRun records that a runner has begun to work on a request.
func (w *world) noteRun(attempt string, r *runner) {
	w.note("runs      %s at %s of %s", attempt, r.id, r.service)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[attempt] = append(w.runs[attempt], run{r, time.Now()})
}

func (w *world) runsOf(attempt string) []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runs[attempt])
}

// startMachines starts one machine in each of the places and waits until all are ready.
func (w *world) startMachines(places []place) error {
	w.zones = make(map[string]string)
	for i, p := range places {
		w.zones[p.zone] = p.region
		ip := fmt.Sprintf("%s%d", w.network, 1+i)
		w.machines = append(w.machines, &machine{name: fmt.Sprintf("edge-%s-%d", p.zone, 1+i), place: p, ip: ip})
		if len(w.seeds) < 3 {
			w.seeds = append(w.seeds, w.address(ip, 2))
		}
	}
	for _, m := range w.machines {
		if err := w.writeSettings(m, w.zones, w.seeds, true); err != nil {
			return err
		}
		if err := w.start(m); err != nil {
			return err
		}
	}
	return w.awaitReady()
}

func (w *world) address(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, w.ports[port]) }

func (m *machine) frontOf(w *world) string { return w.address(m.ip, 0) }

// writeSettings writes the settings file of a machine. JSON is YAML too.
func (w *world) writeSettings(m *machine, zones map[string]string, seeds []string, first bool) error {
	settings := map[string]any{
		"node": m.name, "role": "gate", "machine_class": "edge", "serves": []string{"edge", "registry", "control_plane"}, "ip": m.ip,
		"zone": m.place.zone, "region": m.place.region, "zones": zones,
		"listen":     map[string]any{"front": w.address(m.ip, 0), "ready": w.address(m.ip, 1), "control": w.address(m.ip, 2), "directory": w.address(m.ip, 3)},
		"port_range": []int{w.ports[5], w.ports[portCount-1]}, "seeds": seeds, "bootstrap": first, "counts_as_loss": false,
		"limits":   map[string]any{"cpu_share": 0.608, "cores": 1, "memory_mb": 414, "max_fds": 6150, "link_mbps": 1500.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "registry", "heartbeat_ms": heartbeatInterval.Milliseconds(),
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"},
		"fault_tolerance": map[string]any{"machines": 2, "zones": 1, "regions": 1},
		"bounds": map[string]any{
			"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 5000, "ack_ms": 6000, "catch_up_s": 4, "drain_ms": 3000, "grace_s": 8,
			"loss_slack_ms": 200, "config_ms": 3000, "downgrade_slack_ms": 250, "max_skew_ms": 8000, "retry_budget_ratio": 0.2,
			"budget_window_s": 10, "budget_slack": 52, "cold_over": 1.5, "cold_slack": 3, "evac_ms": 5000, "recover_s": 12, "pass_ms": 600,
			"again_s": 10, "ttl_max_s": 5,
		},
		"platform": map[string]any{
			"address": w.store.address, "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
			"value_bytes": 1 << 20, "ttl_min_ms": 1000,
		},
	}
	data, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return err
	}
	m.settings = filepath.Join(w.dir, m.name+".yaml")
	return os.WriteFile(m.settings, data, 0o600)
}

// start starts the process of a machine with the command of the deploy file. Its metrics have an address of its own, as
// all machines of the deployment share one host here.
func (w *world) start(m *machine) error {
	if m.log == nil {
		log, err := os.Create(filepath.Join(w.dir, m.name+".log"))
		if err != nil {
			return err
		}
		m.log = log
	}
	m.cmd = exec.CommandContext(context.Background(), w.binary, "gate", "--metrics", w.address(m.ip, 4))
	m.cmd.Dir = w.root
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + w.dir, "LANG=C", w.names.Settings + "=" + m.settings}
	m.cmd.Stdout, m.cmd.Stderr = m.log, m.log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	w.note("start     %s in %s", m.name, m.place.region)
	return m.cmd.Start()
}

// kill ends the process of a machine at once.
func (w *world) kill(m *machine) {
	w.note("kill      %s", m.name)
	_ = m.cmd.Process.Kill() // it was started by this run
	_ = m.cmd.Wait()
}

// restart starts the process of a machine again, as one that is not the first of the whole system.
func (w *world) restart(m *machine) error {
	if err := w.writeSettings(m, w.zones, w.seeds, false); err != nil {
		return err
	}
	return w.start(m)
}

func (w *world) awaitReady() error {
	until := time.Now().Add(readyTimeout)
	for _, m := range w.machines {
		for !w.isReady(m) {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready", m.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (w *world) isReady(m *machine) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.address(m.ip, 1)+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// send sends a request to a machine, records it with its answer and returns the status, or 0 without a whole answer.
func (w *world) send(client *http.Client, m *machine, method, path, attempt string, body []byte) (status int) {
	ctx, cancel := context.WithTimeout(context.Background(), sendLimit+sendMargin)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+m.frontOf(w)+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Host, request.GetBody = host, nil
	request.Header.Set(w.names.Attempt, attempt)
	request.Header.Set(w.names.Deadline, fmt.Sprint(sendLimit.Milliseconds()))
	w.note("sent      %s to %s: %s %s", attempt, m.name, method, path)
	response, err := client.Do(request)
	if err != nil {
		w.note("answered  %s: %v", attempt, err)
		return 0
	}
	defer response.Body.Close() //nolint:errcheck // the body is read
	data, err := io.ReadAll(response.Body)
	w.note("answered  %s: %d, signed %t, %d bytes, whole %t", attempt, response.StatusCode, response.Header.Get(w.names.Signature) != "", len(data), err == nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// close ends all processes and removes the folder of the run unless it is to be kept.
func (w *world) close() {
	for _, m := range w.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			_ = m.cmd.Wait()
		}
		if m.log != nil {
			_ = m.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// writeRecord writes what was sent, answered and run.
func (w *world) writeRecord(path string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(w.records, "\n")+"\n"), 0o600)
}

func newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 256, IdleConnTimeout: 4 * time.Second}}
}

// newAttempt returns the id of a client attempt.
func newAttempt() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// plainService returns a service of the desired state whose runners are never cold.
func plainService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": healthPath, "max_connections": 290, "protocol": "h1", "tls": false, "cold_start_s": 0.0, "cold_per_s": 0.0,
	}
}

// limits returns the limits of the desired state.
func limits() map[string]any {
	return map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4 << 20, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
}
