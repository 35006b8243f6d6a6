package trial

import (
	"context"
	"net/http"
	"runtime"
	"time"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

const (
	// drainFactor times the length of the load bounds the wait for what is in
	// progress at its end, and drainLeast is the least bound. What takes longer is cut
	// off and counts as unknown.
	drainFactor = 1
	drainLeast  = 10 * time.Second
	// entries is the number of entries of both deployments today.
	entries = 4
	// idleConnections keeps the callers' connections open between requests.
	idleConnections = 128
)

// run is one trial in progress.
type run struct {
	cfg    Config
	stage  *stage.Stage
	model  *model
	plan   *plan
	load   *load
	checks *checks
	// begun and ended are readings at the measured start and at the end.
	begun, ended reading
	// crashing is the request that crashes engines in case Crasher.
	crashing []*outcome
	records  []fakes.Record
	calls    []fakes.Call
}

// reading is what the deployment's counters show at one time.
type reading struct {
	retries int64
	links   Links
}

// open starts the deployment and waits until all entries take work.
func open(ctx context.Context, cfg Config) (*run, error) {
	x := &run{cfg: cfg, checks: newChecks(cfg.Violation)}
	times := clock.NewSystem()
	settings := stageConfig(&cfg, enginesOf(cfg.Deployment))
	settings.Clock = times
	var err error
	if x.stage, err = stage.Start(ctx, settings); err != nil {
		return nil, fault.Wrap("start", KindRun, err)
	}
	if err := x.prepare(ctx, times); err != nil {
		x.close()
		return nil, fault.Wrap("start", KindRun, err)
	}
	return x, nil
}

// enginesOf returns the number of engines of a deployment today.
func enginesOf(deployment string) int {
	if deployment == stage.Kgosi {
		return 18
	}
	return 9
}

func (x *run) prepare(ctx context.Context, times clock.Clock) error {
	ready, cancel := context.WithTimeout(ctx, readyLimit)
	defer cancel()
	if err := x.stage.Ready(ready); err != nil {
		return err
	}
	if err := x.known(ready); err != nil {
		return err
	}
	x.model = newModel(x.cfg.Case, len(x.stage.Regions()), len(x.stage.Engines), x.cfg.For)
	x.plan = newPlan(x.model, x.cfg.Seed, x.stage.Regions(), x.stage.Document().Homes)
	x.load = &load{
		plan: x.plan, clock: times, clients: map[source]*caller.Client{},
		engine: x.stage.EngineService(), plain: x.stage.PlainService(),
	}
	return x.connect()
}

// known waits until every entry knows every endpoint and every other entry. One
// that learns of some later than others would favour regions and policies.
func (x *run) known(ctx context.Context) error {
	want := len(x.stage.Engines) + len(x.stage.Services)
	for _, e := range x.stage.Entries() {
		for {
			st, err := e.Status(ctx)
			if err == nil && len(st.Endpoints) == want && len(st.Members) >= entries-1 {
				break
			}
			if err := pause(ctx, watchGap); err != nil {
				return err
			}
		}
	}
	return nil
}

// connect makes a client for each customer, home and service.
func (x *run) connect() error {
	transports := make([]*http.Transport, len(x.plan.regions))
	for i := range transports {
		transports[i] = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: idleConnections}
	}
	for i := range x.plan.arrivals {
		a := &x.plan.arrivals[i]
		s := source{a.region, a.customer, a.home, x.load.plain}
		if a.completion() {
			s.service = x.load.engine
		}
		if x.load.clients[s] != nil {
			continue
		}
		c, err := x.client(s, transports[s.region])
		if err != nil {
			return err
		}
		x.load.clients[s] = c
	}
	return nil
}

func (x *run) client(s source, transport *http.Transport) (*caller.Client, error) {
	region := x.plan.regions[s.region]
	entries, err := x.stage.CallerAddresses(region)
	if err != nil {
		return nil, err
	}
	name := string(region) + "-" + string(rune('a'+s.customer))
	return caller.New(caller.Config{
		Entries: entries, Service: s.service, Home: s.home, Caller: ident.Caller(name),
		HTTP: &http.Client{Transport: transport}, Clock: x.load.clock,
		Seed: x.cfg.Seed<<32 + uint64(len(x.load.clients)) + 1, // request ids follow from it
	})
}

// measure sends the load, carries out the faults of the case and collects what
// became of every request.
func (x *run) measure(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	work, stop := context.WithCancel(ctx)
	defer stop()
	start := time.Now().Add(x.model.warm())
	watching := x.watch(ctx)
	faults := x.start(work, start)
	x.load.send(ctx, work, start)
	if err := pause(ctx, time.Until(start.Add(x.cfg.For))); err != nil {
		return fault.Wrap("load", KindRun, err)
	}
	limit := time.AfterFunc(max(drainLeast, drainFactor*x.cfg.For), stop)
	defer limit.Stop()
	x.load.running.Wait()
	if err := faults(); err != nil {
		return fault.Wrap("load", KindRun, err)
	}
	x.settleVersion(ctx)
	cancel()
	watching()
	x.ended = x.read(context.WithoutCancel(ctx))
	x.records = x.stage.Records()
	for _, d := range x.stage.Services {
		x.calls = append(x.calls, d.Calls()...)
	}
	x.check()
	return nil
}

func (x *run) close() {
	x.stage.Close()
	runtime.GC()
}

// read reads the counters of the entries and the links.
func (x *run) read(ctx context.Context) reading {
	r := reading{links: Links{}}
	for _, e := range x.stage.Entries() {
		st, err := e.Status(ctx)
		if err != nil {
			continue // the entry is behind in answering; its counters then count from 0
		}
		for _, c := range st.Counters {
			if c.Name == "retries" || c.Name == "hedges" {
				r.retries += c.Value
			}
		}
	}
	for _, from := range x.stage.Regions() {
		for _, to := range x.stage.Regions() {
			if from != to {
				r.links[string(from)+">"+string(to)] = x.stage.Sent(from, to)
			}
		}
	}
	return r
}
