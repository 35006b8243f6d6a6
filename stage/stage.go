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

// Deployment is a running deployment. Its methods are safe for concurrent use.
type Deployment struct {
	// Platform is the configuration service and the instance list; it is in the first region.
	Platform *fakes.Platform
	// Engines and Services are all endpoints. They do not change after Start.
	Engines  []*fakes.Engine
	Services []*fakes.Service
	// Store is the weight store that engines load models from.
	Store *fakes.WeightStore

	cfg        Config
	spec       deploymentSpec
	public     bundle.PublicKey
	private    bundle.PrivateKey
	directions []direction

	publishMu sync.Mutex // serialises the publications of the instance list

	mu             sync.Mutex
	published      []byte
	links          []link
	entries        []*Entry
	entriesStarted int
}

// Start starts a deployment and returns as soon as all parts listen; use WaitReady to wait
// until the entries accept requests. The caller must call Close. It returns a KindConfig,
// KindStart or KindBundle error.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	s := &Deployment{cfg: cfg.withDefaults()}
	var err error
	if s.spec, err = specOf(s.cfg.Deployment); err != nil {
		return nil, err
	}
	if s.cfg.Engines > 0 {
		s.spec.engines = s.cfg.Engines
	}
	if err = s.start(ctx); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Deployment) start(ctx context.Context) error {
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
	if err := s.Publish(s.initialDocument()); err != nil {
		return err
	}
	if err := s.startEntries(ctx); err != nil {
		return err
	}
	if err := s.PublishInstances(); err != nil {
		return err
	}
	s.Platform.SetListLag(s.cfg.ListLag)
	return nil
}

// modelConfig returns the model configuration of the engines.
func (s *Deployment) modelConfig() fakes.ModelConfig {
	models := fakes.ModelConfig{Names: []string{s.spec.model}, Preload: true, Store: s.Store, ChecksFence: s.usesFencing()}
	loading := s.cfg.ModelLoading
	if loading == nil {
		return models
	}
	models.Preload, models.Size = false, loading.ModelSize
	models.ChecksFence = models.ChecksFence && !loading.IgnoreFences
	if loading.StartEmpty {
		models.Names = []string{}
	}
	return models
}

// weightStoreBandwidth returns the bandwidth of the weight store in bytes per second; 0 means
// unlimited.
func (s *Deployment) weightStoreBandwidth() ident.Bytes {
	if s.cfg.ModelLoading == nil {
		return 0
	}
	return s.cfg.ModelLoading.StoreBandwidth
}

// usesFencing reports whether the deployment's engines check fencing numbers.
func (s *Deployment) usesFencing() bool { return s.cfg.Deployment == Kgosi }

func (s *Deployment) startEndpoints() error {
	s.Store = fakes.NewWeightStore(fakes.WeightStoreConfig{Bandwidth: s.weightStoreBandwidth()})
	for i := range s.spec.engines {
		e := fakes.NewEngine(fakes.EngineConfig{
			Name:   ident.Endpoint(fmt.Sprintf("%s-%d", s.spec.engineService, i+1)),
			Region: s.spec.regionOf(i), Slots: s.cfg.Slots,
			PrefillPerToken: s.cfg.compress(s.cfg.PrefillPerToken), TokenInterval: s.cfg.compress(s.cfg.TokenInterval),
			ReportLag: s.cfg.compressSpan(s.cfg.ReportLag), RestartDelay: s.cfg.RestartDelay, IgnorePriority: s.cfg.IgnorePriority, Clock: s.cfg.Clock,
			Models: s.modelConfig(),
		})
		s.Engines = append(s.Engines, e)
		if err := e.Start(); err != nil {
			return err
		}
	}
	keys := fakes.NewIdempotencyKeys()
	for i := range s.spec.plainInstances {
		service := fakes.NewService(fakes.ServiceConfig{
			Name:   ident.Endpoint(fmt.Sprintf("%s-%d", s.spec.plainService, i+1)),
			Region: s.spec.regionOf(i), ReportLag: s.cfg.compressSpan(s.cfg.ReportLag),
			Latency: s.cfg.compress(20 * time.Millisecond), Clock: s.cfg.Clock,
			KeyHeader: s.cfg.KeyHeader, Keys: keys,
		})
		s.Services = append(s.Services, service)
		if err := service.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close stops all parts at once.
func (s *Deployment) Close() {
	s.Heal()
	for _, e := range s.Entries() {
		_ = e.server.Close() // the error only reports the interrupted requests
	}
	for _, e := range s.Engines {
		e.Close()
	}
	for _, sv := range s.Services {
		sv.Close()
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

// Regions returns the regions; the platform is in the first one.
func (s *Deployment) Regions() []ident.Region { return s.spec.regions }

// EngineService returns the name of the engine service.
func (s *Deployment) EngineService() ident.Service { return s.spec.engineService }

// PlainService returns the name of the plain service.
func (s *Deployment) PlainService() ident.Service { return s.spec.plainService }

// PublishInstances publishes the current instance list. It becomes visible after the lag of the
// list, Config.ListLag.
func (s *Deployment) PublishInstances() error {
	s.publishMu.Lock()
	defer s.publishMu.Unlock()
	instances := s.instances()
	for _, i := range instances {
		if err := s.publishRewrites(i); err != nil {
			return err
		}
	}
	s.Platform.PublishInstances(instances)
	return nil
}

func (s *Deployment) instances() []watch.Instance {
	var out []watch.Instance
	for _, e := range s.Entries() {
		out = append(out, s.entryInstance(e))
	}
	for _, e := range s.Engines {
		out = append(out, watch.Instance{
			Name: string(e.Name()), Role: watch.RoleEndpoint, Region: e.Region(), Zone: zoneOf(e.Region()),
			State: watch.StateLive, Address: e.Address(), Service: s.spec.engineService, Slots: e.Slots(),
		})
	}
	for _, sv := range s.Services {
		out = append(out, watch.Instance{
			Name: string(sv.Name()), Role: watch.RoleEndpoint, Region: sv.Region(), Zone: zoneOf(sv.Region()),
			State: watch.StateLive, Address: sv.Address(), Service: s.spec.plainService, Slots: sv.Slots(),
		})
	}
	return out
}

// zoneOf names the only availability zone of a region.
func zoneOf(r ident.Region) ident.Zone { return ident.Zone(string(r) + "-a") }

// publishRewrites makes clients in other regions reach an instance over links.
func (s *Deployment) publishRewrites(i watch.Instance) error {
	for _, view := range s.spec.regions {
		if view == i.Region {
			continue
		}
		address, err := s.addressFrom(view, i.Region, i.Address)
		if err != nil {
			return err
		}
		peer, err := s.addressFrom(view, i.Region, i.Peer)
		if err != nil {
			return err
		}
		s.Platform.SetRewrite(fakes.Rewrite{View: view, Name: i.Name, Address: address, Peer: peer})
	}
	return nil
}

// Engine returns the engine of the given name, or nil if there is none.
func (s *Deployment) Engine(name ident.Endpoint) *fakes.Engine {
	for _, e := range s.Engines {
		if e.Name() == name {
			return e
		}
	}
	return nil
}

// EnginesIn returns the engines of one region.
func (s *Deployment) EnginesIn(r ident.Region) []*fakes.Engine {
	var out []*fakes.Engine
	for _, e := range s.Engines {
		if e.Region() == r {
			out = append(out, e)
		}
	}
	return out
}

// SetSlowdown sets the factor by which an engine's time between tokens is multiplied. It returns
// a KindUnknown error if there is no such engine.
func (s *Deployment) SetSlowdown(name ident.Endpoint, factor float64) error {
	return s.withEngine("slow", name, func(e *fakes.Engine) error { e.SetSlowdown(factor); return nil })
}

// CrashEngine crashes an engine. It returns a KindUnknown error if there is no such engine.
func (s *Deployment) CrashEngine(name ident.Endpoint) error {
	return s.withEngine("crash", name, func(e *fakes.Engine) error { e.Crash(); return nil })
}

// RestartEngine starts a crashed engine with an empty cache. It returns a KindUnknown error if
// there is no such engine.
func (s *Deployment) RestartEngine(name ident.Endpoint) error {
	return s.withEngine("restart", name, func(e *fakes.Engine) error { return e.Restart() })
}

func (s *Deployment) withEngine(op string, name ident.Endpoint, do func(*fakes.Engine) error) error {
	e := s.Engine(name)
	if e == nil {
		return fault.Newf(op, KindUnknown, "engine %q not found", name)
	}
	return do(e)
}

// Records returns the request records of all engines.
func (s *Deployment) Records() []fakes.Record {
	var out []fakes.Record
	for _, e := range s.Engines {
		out = append(out, e.Records()...)
	}
	return out
}

// SlotTime returns the total simulated slot time of all engines.
func (s *Deployment) SlotTime() time.Duration {
	var sum time.Duration
	for _, e := range s.Engines {
		sum += e.SlotTime()
	}
	return sum
}
