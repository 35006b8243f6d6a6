package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// world is the deployment of one case.
type world struct {
	gate   string
	dir    string
	began  time.Time
	store  *fakeStore
	gates  []*instance
	mu     sync.Mutex
	record *os.File
}

func newWorld(gate, record string) (*world, error) {
	dir, err := os.MkdirTemp("", "rig-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	w := &world{gate: gate, dir: dir, began: time.Now(), record: file}
	w.store, err = newFakeStore()
	return w, err
}

// note writes a line to the record.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = fmt.Fprintf(w.record, "%8.3f  %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// close kills what is still running.
func (w *world) close() {
	for _, g := range w.gates {
		g.kill()
	}
	w.store.close()
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// longestCase bounds the time that a case takes; it is longer than any case needs.
const longestCase = 110 * time.Second

// closeEarly ends what the case has started if the case is ended by a signal or takes too long.
func (w *world) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
		case <-time.After(longestCase):
		}
		w.note("the case was ended early")
		w.close()
		os.Exit(exitNotPlayed)
	}()
}

// instance is one instance of the product.
type instance struct {
	world        *world
	name         string
	region, zone string
	front, ready string
	control      string
	directory    string
	hop          int
	metrics      string
	seeds        []string
	first        bool
	cmd          *exec.Cmd
	exited       chan struct{}
}

// firstPort and portCount are the ports that the instances may use. They lie below those that the system gives to
// outgoing connections, so that a port stays free while its instance restarts.
const (
	firstPort = 20000
	portCount = 12000
)

// givenPorts holds the ports that freePort has returned.
var givenPorts = make(map[int]bool)

// freePort returns a port that is free for TCP and UDP on the loopback address, a new one each time.
func freePort() (int, error) {
	for range 200 {
		port := firstPort + rand.IntN(portCount)
		if givenPorts[port] {
			continue
		}
		tcp, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port)) //nolint:noctx // closed at once
		if err != nil {
			continue
		}
		udp, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1), Port: port})
		_ = tcp.Close()
		if err == nil {
			_ = udp.Close()
			givenPorts[port] = true
			return port, nil
		}
	}
	return 0, errors.New("no free port")
}

func freeAddress() (string, error) {
	port, err := freePort()
	return fmt.Sprintf("127.0.0.1:%d", port), err
}

// newInstance prepares an instance without starting it.
func (w *world) newInstance(name, region, zone string) (*instance, error) {
	g := &instance{world: w, name: name, region: region, zone: zone, first: true}
	var err error
	for _, address := range []*string{&g.front, &g.ready, &g.control, &g.directory, &g.metrics} {
		if *address, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	if g.hop, err = freePort(); err != nil {
		return nil, err
	}
	w.gates = append(w.gates, g)
	return g, nil
}

func (g *instance) settingsPath() string { return filepath.Join(g.world.dir, g.name+".yaml") }

// zones maps the zones of the deployment to their regions.
var zones = map[string]string{"gp-a": "gauteng", "wc-a": "western-cape", "kzn-a": "kzn"}

// writeSettings writes the settings file. It replaces the file in one step and sends no signal.
func (g *instance) writeSettings() error {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node: %q\nrole: gate\nmachine_class: edge\nserves: [edge, registry, control_plane]", g.name)
	line("ip: \"127.0.0.1\"\nzone: %q\nregion: %q\nzones:", g.zone, g.region)
	for z, r := range zones {
		line("  %s: %q", z, r)
	}
	line("listen:\n  front: %q\n  ready: %q\n  control: %q\n  directory: %q", g.front, g.ready, g.control, g.directory)
	line("port_range: [%d, %d]\nseeds:", g.hop, g.hop)
	for _, s := range g.seeds {
		line("  - %q", s)
	}
	line("bootstrap: %t\ncounts_as_loss: false", g.first)
	line("limits: {cpu_share: 0.608, cores: 1, memory_mb: 414, max_fds: 6150, link_mbps: 1500.0, disk_mb: 0}")
	line("data_dir: null\ndiscovery: platform\nentry: registry\nheartbeat_ms: 1200")
	line("fault_tolerance: {machines: 2, zones: 1, regions: 1}")
	line("bounds: {seed_lag_s: 3, reuse_after_s: 2, contact_ms: 5000, ack_ms: 6000, catch_up_s: 4, drain_ms: 3000, grace_s: 8,")
	line("  loss_slack_ms: 200, config_ms: 3000, downgrade_slack_ms: 250, max_skew_ms: 8000, retry_budget_ratio: 0.2,")
	line("  budget_window_s: 10, budget_slack: 52, cold_over: 1.5, cold_slack: 3, evac_ms: 5000, recover_s: 12, pass_ms: 600,")
	line("  again_s: 10, ttl_max_s: 5}")
	line("platform: {address: %q, form: read, writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, ttl_min_ms: 1000}", g.world.store.address)
	next := g.settingsPath() + ".new"
	if err := os.WriteFile(next, []byte(b.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(next, g.settingsPath())
}

// start starts the process with the command of the deploy file.
func (g *instance) start() error {
	log, err := os.OpenFile(filepath.Join(g.world.dir, g.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()                                                  //nolint:errcheck // the process has its own copy
	g.cmd = exec.Command(g.world.gate, "gate", "--metrics", g.metrics) //nolint:noctx // the case ends it
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + g.world.dir, names["settings"] + "=" + g.settingsPath()}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	g.exited = exited
	go func(cmd *exec.Cmd) { _ = cmd.Wait(); close(exited) }(g.cmd)
	g.world.note("%s started, seeds %v", g.name, g.seeds)
	return nil
}

func (g *instance) signal(s syscall.Signal) error {
	g.world.note("%s gets %v", g.name, s)
	return g.cmd.Process.Signal(s)
}

// kill ends the process and waits for its end.
func (g *instance) kill() {
	if g.cmd == nil {
		return
	}
	_ = g.cmd.Process.Kill()
	<-g.exited
	g.cmd = nil
	g.world.note("%s is killed", g.name)
}

// awaitReady waits until all instances are ready.
func (w *world) awaitReady(limit time.Duration) error {
	end := time.Now().Add(limit)
	for _, g := range w.gates {
		for !g.isReady() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", g.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
		w.note("%s is ready", g.name)
	}
	return nil
}

func (g *instance) isReady() bool {
	got := exchange(g.ready, "GET /readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", time.Second)
	return got.err == nil && got.status == 200
}
