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
	// finishFactor times the length of the load, and at least minFinishTime, bounds the
	// wait for requests in progress at the end of the load. Requests that take longer are
	// cancelled and count as unknown.
	finishFactor  = 1
	minFinishTime = 10 * time.Second
	// entryCount is the number of entries in each of the deployments.
	entryCount = 4
	// maxIdleConnections is high enough to keep callers' connections open between requests.
	maxIdleConnections = 128
)

// run is one trial in progress.
type run struct {
	cfg        Config
	deployment *stage.Deployment
	model      *model
	plan       *plan
	generator  *loadGenerator
	checks     *checks
	// baseline and final are taken at the start of the measurement and at its end.
	baseline, final counterSnapshot
	// crashOutcomes has the sends of the crashing request in CaseCrasher.
	crashOutcomes []*outcome
	engineRecords []fakes.Record
	serviceCalls  []fakes.Call
}

// counterSnapshot has the deployment's counters at one time.
type counterSnapshot struct {
	retries int64
	links   Links
}

// startRun starts the deployment and waits until all entries are ready. Errors are of
// KindRun.
func startRun(ctx context.Context, cfg Config) (*run, error) {
	x := &run{cfg: cfg, checks: newChecks(cfg.OnViolation)}
	system := clock.NewSystem()
	settings := stageConfig(&cfg, engineCount(cfg.Deployment))
	settings.Clock = system
	var err error
	if x.deployment, err = stage.Start(ctx, settings); err != nil {
		return nil, fault.Wrap("start", KindRun, err)
	}
	if err := x.prepare(ctx, system); err != nil {
		x.close()
		return nil, fault.Wrap("start", KindRun, err)
	}
	return x, nil
}

// engineCount returns the number of engines in a deployment.
func engineCount(deployment string) int {
	if deployment == stage.Kgosi {
		return 18
	}
	return 9
}

func (x *run) prepare(ctx context.Context, system clock.Clock) error {
	ready, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := x.deployment.WaitReady(ready); err != nil {
		return err
	}
	if err := x.awaitMembership(ready); err != nil {
		return err
	}
	x.model = newModel(x.cfg.Case, len(x.deployment.Regions()), len(x.deployment.Engines), x.cfg.Duration)
	x.plan = newPlan(x.model, x.cfg.Seed, x.deployment.Regions(), x.deployment.Document().Homes)
	x.generator = &loadGenerator{
		plan: x.plan, clock: system, clients: map[clientKey]*caller.Client{},
		engineService: x.deployment.EngineService(), plainService: x.deployment.PlainService(),
	}
	return x.newClients()
}

// awaitMembership waits until every entry knows every endpoint and every other entry.
// Incomplete views at the start would bias the comparison of regions and policies.
func (x *run) awaitMembership(ctx context.Context) error {
	want := len(x.deployment.Engines) + len(x.deployment.Services)
	for _, e := range x.deployment.Entries() {
		for {
			status, err := e.Status(ctx)
			if err == nil && len(status.Endpoints) == want && len(status.Members) >= entryCount-1 {
				break
			}
			if err := sleepContext(ctx, versionPollInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// newClients creates a client for each customer, home and service.
func (x *run) newClients() error {
	transports := make([]*http.Transport, len(x.plan.regions))
	for i := range transports {
		transports[i] = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: maxIdleConnections}
	}
	for i := range x.plan.arrivals {
		a := &x.plan.arrivals[i]
		key := clientKey{a.region, a.customer, a.home, x.generator.plainService}
		if a.isCompletion() {
			key.service = x.generator.engineService
		}
		if x.generator.clients[key] != nil {
			continue
		}
		client, err := x.newClient(key, transports[key.region])
		if err != nil {
			return err
		}
		x.generator.clients[key] = client
	}
	return nil
}

func (x *run) newClient(key clientKey, transport *http.Transport) (*caller.Client, error) {
	region := x.plan.regions[key.region]
	entries, err := x.deployment.CallerAddresses(region)
	if err != nil {
		return nil, err
	}
	name := string(region) + "-" + string(rune('a'+key.customer))
	return caller.New(caller.Config{
		Entries: entries, Service: key.service, Home: key.home, Caller: ident.Caller(name),
		HTTP: &http.Client{Transport: transport}, Clock: x.generator.clock,
		Seed: x.cfg.Seed<<32 + uint64(len(x.generator.clients)) + 1, // request ids are derived from it
	})
}

// measure sends the load, injects the faults of the case and collects the outcomes of
// all requests. Errors are of KindRun.
func (x *run) measure(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	work, stop := context.WithCancel(ctx)
	defer stop()
	start := time.Now().Add(x.model.warmup())
	awaitWatcher := x.watchVersions(ctx)
	awaitFaults := x.startFaults(work, start)
	x.generator.sendAll(ctx, work, start)
	if err := sleepContext(ctx, time.Until(start.Add(x.cfg.Duration))); err != nil {
		return fault.Wrap("load", KindRun, err)
	}
	limit := time.AfterFunc(max(minFinishTime, finishFactor*x.cfg.Duration), stop)
	defer limit.Stop()
	x.generator.inFlight.Wait()
	if err := awaitFaults(); err != nil {
		return fault.Wrap("load", KindRun, err)
	}
	x.awaitVersion(ctx)
	cancel()
	awaitWatcher()
	x.final = x.readCounters(context.WithoutCancel(ctx))
	x.engineRecords = x.deployment.Records()
	for _, s := range x.deployment.Services {
		x.serviceCalls = append(x.serviceCalls, s.Calls()...)
	}
	x.checkGuarantees()
	return nil
}

func (x *run) close() {
	x.deployment.Close()
	runtime.GC()
}

// readCounters reads the counters of the entries and the links.
func (x *run) readCounters(ctx context.Context) counterSnapshot {
	snapshot := counterSnapshot{links: Links{}}
	for _, e := range x.deployment.Entries() {
		status, err := e.Status(ctx)
		if err != nil {
			continue // an entry that does not answer contributes 0
		}
		for _, c := range status.Counters {
			if c.Name == "retries" || c.Name == "hedges" {
				snapshot.retries += c.Value
			}
		}
	}
	for _, from := range x.deployment.Regions() {
		for _, to := range x.deployment.Regions() {
			if from != to {
				snapshot.links[string(from)+">"+string(to)] = x.deployment.BytesSent(from, to)
			}
		}
	}
	return snapshot
}
