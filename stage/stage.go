package stage

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// Stage is one running deployment. Its methods are safe for concurrent use.
type Stage struct {
	// Platform is the configuration service and the instance list; it lies in
	// the first region.
	Platform *fakes.Platform
	// Engines and Services are all endpoints. They don't change.
	Engines  []*fakes.Engine
	Services []*fakes.Service
	// Store is the weight store that engines load models from.
	Store *fakes.Store

	cfg        Config
	plan       plan
	public     bundle.PublicKey
	private    bundle.PrivateKey
	directions []direction

	listing sync.Mutex // orders the publications of the list

	mu        sync.Mutex
	published []byte
	links     []link
	entries   []*Entry
	made      int
}

// Start runs a deployment. It returns once everything listens; Ready tells when
// the entries take work. The caller must Close the stage.
func Start(ctx context.Context, cfg Config) (*Stage, error) {
	s := &Stage{cfg: cfg.withDefaults()}
	var err error
	if s.plan, err = planOf(s.cfg.Deployment); err != nil {
		return nil, err
	}
	if s.cfg.Runners > 0 {
		s.plan.runners = s.cfg.Runners
	}
	if err = s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Stage) start(ctx context.Context) error {
	var err error
	if s.public, s.private, err = bundle.GenerateKey("k1"); err != nil {
		return fault.Wrap("start", KindBundle, err)
	}
	s.buildPaths()
	s.Platform = fakes.NewPlatform(fakes.PlatformConfig{})
	if err := s.Platform.Start(); err != nil {
		return fault.Wrap("start", KindStart, err)
	}
	if err := s.startEndpoints(); err != nil {
		return fault.Wrap("start", KindStart, err)
	}
	if err := s.Publish(s.document()); err != nil {
		return err
	}
	if err := s.startEntries(ctx); err != nil {
		return err
	}
	if err := s.List(); err != nil {
		return err
	}
	s.Platform.SetLag(s.cfg.ListLag)
	return nil
}

// models tells how the engines deal with models.
func (s *Stage) models() fakes.ModelConfig {
	m := fakes.ModelConfig{Names: []string{s.plan.model}, Preload: true, Store: s.Store, Fence: s.fenced()}
	l := s.cfg.Loads
	if l == nil {
		return m
	}
	m.Preload, m.Size = false, l.Size
	m.Fence = m.Fence && !l.Ignore
	if l.Empty {
		m.Names = []string{}
	}
	return m
}

func (s *Stage) storeRate() ident.Bytes {
	if s.cfg.Loads == nil {
		return 0
	}
	return s.cfg.Loads.Rate
}

// fenced tells whether the deployment's engines check fencing numbers.
func (s *Stage) fenced() bool { return s.cfg.Deployment == Kgosi }

func (s *Stage) startEndpoints() error {
	s.Store = fakes.NewStore(fakes.StoreConfig{Rate: s.storeRate()})
	for i := range s.plan.runners {
		e := fakes.NewEngine(fakes.EngineConfig{
			Name:   ident.Endpoint(fmt.Sprintf("%s-%d", s.plan.engine, i+1)),
			Region: s.plan.regionOf(i), Slots: s.cfg.Slots,
			Prefill: s.cfg.duration(s.cfg.Prefill), Gap: s.cfg.duration(s.cfg.Gap),
			Lag: s.cfg.span(s.cfg.Lag), Reboot: s.cfg.Reboot, Flat: s.cfg.Flat, Clock: s.cfg.Clock,
			Models: s.models(),
		})
		s.Engines = append(s.Engines, e)
		if err := e.Start(); err != nil {
			return err
		}
	}
	keys := fakes.NewKeys()
	for i := range s.plan.desks {
		d := fakes.NewService(fakes.ServiceConfig{
			Name:   ident.Endpoint(fmt.Sprintf("%s-%d", s.plan.plain, i+1)),
			Region: s.plan.regionOf(i), Lag: s.cfg.span(s.cfg.Lag),
			Latency: s.cfg.duration(20 * time.Millisecond), Clock: s.cfg.Clock,
			Dedupe: s.cfg.Dedupe, Keys: keys,
		})
		s.Services = append(s.Services, d)
		if err := d.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends everything at once.
func (s *Stage) Close() {
	s.Heal()
	for _, e := range s.Entries() {
		_ = e.server.Close() // says how many requests it cut off
	}
	for _, e := range s.Engines {
		e.Close()
	}
	for _, d := range s.Services {
		d.Close()
	}
	s.mu.Lock()
	links := s.links
	s.mu.Unlock()
	for _, l := range links {
		l.proxy.Close()
	}
	if s.Platform != nil {
		s.Platform.Close()
	}
}

// Regions returns the regions; the first one holds the platform.
func (s *Stage) Regions() []ident.Region { return s.plan.regions }

// EngineService returns the name of the engine service.
func (s *Stage) EngineService() ident.Service { return s.plan.engine }

// PlainService returns the name of the plain service.
func (s *Stage) PlainService() ident.Service { return s.plan.plain }

// List publishes the list of instances as they are; readers see it one lag later.
func (s *Stage) List() error {
	s.listing.Lock()
	defer s.listing.Unlock()
	instances := s.instances()
	for _, i := range instances {
		if err := s.rewrite(i); err != nil {
			return err
		}
	}
	s.Platform.List(instances)
	return nil
}

func (s *Stage) instances() []watch.Instance {
	var out []watch.Instance
	for _, e := range s.Entries() {
		out = append(out, s.instance(e))
	}
	for _, e := range s.Engines {
		out = append(out, watch.Instance{
			Name: string(e.Name()), Role: watch.RoleEndpoint, Region: e.Region(), Zone: zoneOf(e.Region()),
			State: watch.StateLive, Address: e.Address(), Service: s.plan.engine, Slots: e.Slots(),
		})
	}
	for _, d := range s.Services {
		out = append(out, watch.Instance{
			Name: string(d.Name()), Role: watch.RoleEndpoint, Region: d.Region(), Zone: zoneOf(d.Region()),
			State: watch.StateLive, Address: d.Address(), Service: s.plan.plain, Slots: d.Slots(),
		})
	}
	return out
}

// zoneOf names the only availability zone of a region.
func zoneOf(r ident.Region) ident.Zone { return ident.Zone(string(r) + "-a") }

// rewrite leads readers in other regions over the links.
func (s *Stage) rewrite(i watch.Instance) error {
	for _, view := range s.plan.regions {
		if view == i.Region {
			continue
		}
		address, err := s.reach(view, i.Region, i.Address)
		if err != nil {
			return err
		}
		peer, err := s.reach(view, i.Region, i.Peer)
		if err != nil {
			return err
		}
		s.Platform.Rewrite(fakes.Rewrite{View: view, Name: i.Name, Address: address, Peer: peer})
	}
	return nil
}

// Engine returns the engine of the given name, or nil.
func (s *Stage) Engine(name ident.Endpoint) *fakes.Engine {
	for _, e := range s.Engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}

// EnginesIn returns the engines of one region.
func (s *Stage) EnginesIn(r ident.Region) []*fakes.Engine {
	var out []*fakes.Engine
	for _, e := range s.Engines {
		if e.Region() == r {
			out = append(out, e)
		}
	}
	return out
}

// Slow sets the slowdown factor of an engine.
func (s *Stage) Slow(name ident.Endpoint, factor float64) error {
	return s.with("slow", name, func(e *fakes.Engine) error { e.Slow(factor); return nil })
}

// Crash crashes an engine.
func (s *Stage) Crash(name ident.Endpoint) error {
	return s.with("crash", name, func(e *fakes.Engine) error { e.Crash(); return nil })
}

// Restart starts a crashed engine with a cold cache.
func (s *Stage) Restart(name ident.Endpoint) error {
	return s.with("restart", name, func(e *fakes.Engine) error { return e.Restart() })
}

func (s *Stage) with(op string, name ident.Endpoint, do func(*fakes.Engine) error) error {
	e := s.Engine(name)
	if e == nil {
		return fault.Newf(op, KindUnknown, "no engine %q", name)
	}
	return do(e)
}

// Records returns the records of all engines.
func (s *Stage) Records() []fakes.Record {
	var out []fakes.Record
	for _, e := range s.Engines {
		out = append(out, e.Records()...)
	}
	return out
}

// Spent returns the slot time that all engines have used.
func (s *Stage) Spent() time.Duration {
	var sum time.Duration
	for _, e := range s.Engines {
		sum += e.Spent()
	}
	return sum
}
