package gate

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/budget"
	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/mesh"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/relay"
	"github.com/tanagerbridge/tanagerbridge/store"
)

// retryMargin is the part of the retry budget that is used.
const retryMargin = 0.8

// state is what an instance believes. Its methods are safe for concurrent use.
type state struct {
	settings Settings
	clock    clock.Clock
	log      *zap.Logger
	source   Source
	metrics  *metrics
	// begun is when the process began, 0 at the first start of the whole system.
	begun clock.Time

	table  atomic.Pointer[bundle.Table]
	listed atomic.Bool

	mu      sync.Mutex
	pool    *pool.Pool
	retries map[ident.Service]*budget.Window
	relays  map[string]*relay.Pool
	hops    hopLoad
	// hopsDown is until when instances that could not be connected to get no requests.
	hopsDown map[string]clock.Time
	// suspects are requests that may crash the endpoints that run them, and lost holds those
	// whose connection broke, by endpoint, until it is known whether it crashed.
	suspects *crash.Suspects
	lost     map[ident.Endpoint][]crash.Mark
	// control and list are the newest readings of the store, and read is when this instance
	// last read either by itself.
	control store.Snapshot
	list    store.Snapshot
	read    clock.Time
	journal journal
	// differs says that this list is not the one that another instance has at its revision.
	differs bool
}

func newState(c Config, m *metrics) *state {
	s := &state{
		settings: c.Settings, clock: c.Clock, log: c.Log, source: c.Source, metrics: m,
		pool: pool.New(pool.Config{Self: c.Settings.Name, Region: c.Settings.Region, Seed: c.Seed}),
		read: c.Clock.Now(), journal: newJournal(), retries: make(map[ident.Service]*budget.Window), relays: make(map[string]*relay.Pool),
		hops: make(hopLoad), hopsDown: make(map[string]clock.Time), suspects: crash.New(crash.Config{Term: suspectTerm}), lost: make(map[ident.Endpoint][]crash.Mark),
	}
	if !c.Settings.FirstStart {
		s.begun = c.Clock.Now()
	}
	return s
}

// ownList takes a list that this instance has read itself.
func (s *state) ownList(snapshot store.Snapshot) {
	s.answered()
	s.listChanged(snapshot)
}

// ownControl takes a configuration that this instance has read itself.
func (s *state) ownControl(snapshot store.Snapshot) {
	s.answered()
	s.controlChanged(snapshot)
}

// answered records that the store answers this instance.
func (s *state) answered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read = s.clock.Now()
}

// lastRead returns when this instance last read the store by itself.
func (s *state) lastRead() clock.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.read
}

// snapshots returns the newest readings of the store.
func (s *state) snapshots() (control, list store.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.control, s.list
}

// ready reports whether the instance knows enough to take work.
func (s *state) ready() bool { return s.table.Load() != nil && s.listed.Load() }

// listChanged takes a new list of endpoints.
func (s *state) listChanged(snapshot store.Snapshot) {
	infos, unreadable := s.source.Endpoints(snapshot)
	for _, key := range unreadable {
		s.log.Warn("endpoint entry can't be read", zap.String("key", key))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.list = snapshot
	s.journal.record(snapshot, s.source.EndpointPrefix(), infos)
	for _, c := range s.pool.Sync(now, snapshot.Read, infos) {
		s.log.Info("endpoint "+c.What, zap.String("endpoint", string(c.Endpoint)),
			zap.String("service", string(c.Service)), zap.Int64("revision", int64(snapshot.At)))
		if c.What == pool.Reborn {
			s.crashed(now, c.Endpoint)
		}
	}
	s.dropRelays(infos)
	s.listed.Store(true)
}

// dropRelays closes the connections to addresses that no endpoint has any more.
func (s *state) dropRelays(infos []pool.Info) {
	used := make(map[string]bool, len(infos))
	for _, i := range infos {
		used[i.Address] = true
	}
	maps.DeleteFunc(s.relays, func(address string, r *relay.Pool) bool {
		if used[address] || r.Open() > 0 {
			return false
		}
		r.Close()
		return true
	})
}

// controlChanged takes a new configuration and new evacuations.
func (s *state) controlChanged(snapshot store.Snapshot) {
	table, zones, err := s.source.Control(snapshot)
	if err != nil {
		s.log.Error("configuration can't be read, the version in force stays", zap.Error(err),
			zap.Int64("revision", int64(snapshot.At)))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil {
		s.control = snapshot
	}
	slices.Sort(zones)
	s.pool.Evacuate(zones)
	if table == nil {
		return
	}
	old := s.table.Load()
	if old != nil && table.Version <= old.Version {
		return
	}
	s.table.Store(table)
	before := ident.Version(0)
	if old != nil {
		before = old.Version
	}
	s.log.Info("configuration in force", zap.Uint64("version", uint64(table.Version)),
		zap.Uint64("before", uint64(before)), zap.Int("routes", len(table.Routes)),
		zap.Int64("revision", int64(snapshot.At)))
}

// storeFailed logs a failed call to the store, or that calls work again.
func (s *state) storeFailed(what string) func(error) {
	return func(err error) {
		if err == nil {
			s.log.Info("store answers again", zap.String("followed", what))
			return
		}
		s.metrics.storeFailures.Inc(1)
		s.log.Warn("store call failed", zap.String("followed", what),
			zap.String("kind", string(fault.KindOf[store.Kind](err))), zap.Error(err))
	}
}

// heard takes what another instance tells.
func (s *state) heard(from mesh.Record, f mesh.Facts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.suspects.Hear(now, f.Accusations)
	if from.Region != s.settings.Region || f.Work == nil {
		return
	}
	loads := make(map[ident.Endpoint]pool.PeerLoad, len(f.Work))
	for _, w := range f.Work {
		loads[w.Endpoint] = pool.PeerLoad{Count: w.Count, Reading: pool.Expand(w.Reading), Holding: w.Holding}
	}
	s.pool.Hear(now, from.Name, loads)
}

// facts returns what this instance tells the others.
func (s *state) facts() mesh.Facts {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	f := mesh.Facts{Work: []mesh.Work{}, Services: s.pool.Summaries(now), Accusations: s.suspects.Accusations(now)}
	for id, l := range s.pool.Work() {
		f.Work = append(f.Work, mesh.Work{Endpoint: id, Count: l.Count, Reading: l.Reading.Compact(), Holding: l.Holding})
	}
	return f
}

// locked runs fn with the pool.
func (s *state) locked(fn func(p *pool.Pool, now clock.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.pool, s.clock.Now())
}

// relay returns the connections to an address.
func (s *state) relay(address string) *relay.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.relays[address]
	if r == nil {
		r = relay.NewPool(relay.Config{Address: address, Opened: func() { s.metrics.connections.Inc(1) }})
		s.relays[address] = r
	}
	return r
}

// window returns the retry budget of a service. The lock is held.
func (s *state) window(service ident.Service) *budget.Window {
	w := s.retries[service]
	if w == nil {
		w = budget.NewWindow(budget.WindowConfig{
			Span: s.settings.Retry.Window, Ratio: s.settings.Retry.Ratio, Slack: s.settings.Retry.Slack, Margin: retryMargin, Begun: s.begun,
		})
		s.retries[service] = w
	}
	return w
}

// first records the first arrival of a request at a service.
func (s *state) first(service ident.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.window(service).First(s.clock.Now())
}

// retry takes one further arrival out of the budget.
func (s *state) retry(service ident.Service, instances int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.window(service).Take(s.clock.Now(), instances)
}
