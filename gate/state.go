package gate

import (
	"maps"
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
	"github.com/tanagerbridge/tanagerbridge/resume"
	"github.com/tanagerbridge/tanagerbridge/store"
)

// retryBudgetFraction is the part of the retry budget that is used.
const retryBudgetFraction = 0.8

// responseMemoryDivisor limits buffered response bodies, unfinished events and long headers to
// 1/responseMemoryDivisor of the process's memory, and defaultResponseMemory applies if the settings specify none.
const (
	responseMemoryDivisor = 16
	defaultResponseMemory = 64 << 20
)

func responseMemoryLimit(settings Settings) int64 {
	if settings.MemoryLimit == 0 {
		return defaultResponseMemory
	}
	return int64(settings.MemoryLimit) / responseMemoryDivisor
}

// state is the instance's view of the system. Its methods are safe for concurrent use.
type state struct {
	settings Settings
	clock    clock.Clock
	log      *zap.Logger
	source   Source
	metrics  *metrics
	// started is when the process started, or 0 at the first start of the whole system.
	started clock.Time

	table  atomic.Pointer[bundle.Table]
	lease  keyLease
	listed atomic.Bool

	mu   sync.Mutex
	pool *pool.Pool
	// streams holds the origins of recent streams.
	streams    *resume.Table
	retries    map[ident.Service]*budget.Window
	relays     map[string]*relay.Pool
	recentHops recentHops
	// hopsDownUntil holds, by address, until when an instance gets no requests after a failed
	// connection attempt.
	hopsDownUntil map[string]clock.Time
	// suspects tracks requests that may crash endpoints, and parts the prompt parts. refusedParts holds
	// the refused parts as they were last logged. brokenRequests holds the requests whose
	// connection broke, by endpoint, until it is known whether the endpoint crashed.
	suspects       *crash.Suspects
	parts          *crash.Parts
	refusedParts   map[ident.Part]crash.PartVerdict
	brokenRequests map[ident.Endpoint][]brokenRequest
	// questions holds, by endpoint, the last question to other instances whether it has crashed.
	questions map[ident.Endpoint]question
	// control and listing are the newest data of the store, and answeredAt is when the store, or an
	// instance that reads it, last answered this one.
	control    control
	listing    *listing
	answeredAt clock.Time
	// era is the latest era of the store that this instance has seen, and restoredAt when it saw that the
	// store had come back from a copy; 0 if it has not.
	era        store.Era
	restoredAt clock.Time
	// provesFrom is when answers of the store begin to renew the key lease, in an instance that read its first
	// configuration itself and from a store that has come back from a copy, maybe just now.
	provesFrom clock.Time
	// listDiffers reports whether the list differs from that of another instance at the same
	// position.
	listDiffers bool
	// limitedReach holds the services of which this instance reaches few endpoints, as they were last logged.
	limitedReach map[ident.Service]bool
	// responseMemory bounds the response bodies, unfinished events and long headers that are in memory.
	responseMemory *relay.Memory
	// durations estimates how long streams take.
	durations *durations
}

func newState(config Config, counters *metrics) *state {
	created := &state{
		settings: config.Settings, clock: config.Clock, log: config.Log, source: config.Source, metrics: counters,
		pool: pool.New(pool.Config{
			Self: config.Settings.Name, Region: config.Settings.Region, Seed: config.Seed, FirstStart: config.Settings.FirstStart,
		}),
		streams:    resume.NewTable(),
		answeredAt: config.Clock.Now(), listing: newListing(), retries: make(map[ident.Service]*budget.Window), relays: make(map[string]*relay.Pool),
		recentHops: make(recentHops), hopsDownUntil: make(map[string]clock.Time),
		responseMemory: relay.NewMemory(responseMemoryLimit(config.Settings)), durations: newDurations(),
		parts: crash.NewParts(crash.PartsConfig{}), refusedParts: make(map[ident.Part]crash.PartVerdict),
		suspects: crash.New(crash.Config{Term: suspectTerm}), brokenRequests: make(map[ident.Endpoint][]brokenRequest), questions: make(map[ident.Endpoint]question),
		limitedReach: make(map[ident.Service]bool),
	}
	created.lease.term = leaseTerm(config.Settings)
	if !config.Settings.FirstStart {
		created.started = config.Clock.Now()
	}
	return created
}

// ready reports whether the instance has all the data it needs to serve requests.
func (s *state) ready() bool { return s.table.Load() != nil && s.listed.Load() }

// closeUnusedRelays closes the connections to addresses that no longer belong to an endpoint.
func (s *state) closeUnusedRelays() {
	used := make(map[string]bool, len(s.listing.entries))
	for _, e := range s.listing.entries {
		used[e.Info.Address] = true
	}
	maps.DeleteFunc(s.relays, func(address string, r *relay.Pool) bool {
		if used[address] || r.Open() > 0 {
			return false
		}
		r.Close()
		return true
	})
}

// storeResultHandler returns a function that logs failed calls to the store and their recovery.
func (s *state) storeResultHandler(content string) func(error) {
	return func(err error) {
		if err == nil {
			s.log.Info("store answers again", zap.String("followed", content))
			return
		}
		s.metrics.storeFailures.Inc(1)
		s.log.Warn("store call failed", zap.String("followed", content),
			zap.String("kind", string(fault.KindOf[store.Kind](err))), zap.Error(err))
	}
}

// applyFacts applies the facts that another instance reports.
func (s *state) applyFacts(from mesh.Record, facts mesh.Facts) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	s.suspects.MergeRefusals(now, facts.Refusals)
	s.suspects.MergeCrashReports(now, facts.CrashReports)
	s.parts.Merge(now, facts.Parts)
	for _, stream := range facts.Streams {
		s.streams.Put(now, stream)
	}
	s.logRefusedParts(now)
	if from.Region != s.settings.Region || facts.Loads == nil {
		return
	}
	loads := make(map[ident.Endpoint]pool.PeerLoad, len(facts.Loads))
	for _, w := range facts.Loads {
		loads[w.Endpoint] = pool.PeerLoad{Count: w.Count, PrefillBacklog: pool.Expand(w.PrefillBacklog), MemoryTokens: w.MemoryTokens}
	}
	s.pool.SetPeerLoads(now, from.Name, loads)
}

// facts returns what this instance reports to the others.
func (s *state) facts() mesh.Facts {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	facts := mesh.Facts{
		Loads: []mesh.EndpointLoad{}, Services: s.pool.Summaries(now, s.serviceInForce),
		Refusals: s.suspects.Refusals(now), CrashReports: s.suspects.CrashReports(now), Parts: s.parts.Facts(now),
	}
	for id, l := range s.pool.OwnLoads() {
		facts.Loads = append(facts.Loads, mesh.EndpointLoad{Endpoint: id, Count: l.Count, PrefillBacklog: l.PrefillBacklog.Compact(), MemoryTokens: l.MemoryTokens})
	}
	facts.Reach = s.reach()
	return facts
}

// serviceInForce reports whether the configuration in force names a service. Entries may name any: only these
// are reported to other instances.
func (s *state) serviceInForce(name ident.Service) bool {
	table := s.table.Load()
	if table == nil {
		return false
	}
	_, ok := table.Backends[name]
	return ok
}

// withPool runs fn with the pool while holding the lock.
func (s *state) withPool(fn func(p *pool.Pool, now clock.Time)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(s.pool, s.clock.Now())
}

// relay returns the connection pool of an address.
func (s *state) relay(address string) *relay.Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	connections := s.relays[address]
	if connections == nil {
		connections = relay.NewPool(relay.Config{Address: address, OnOpen: func() { s.metrics.connections.Inc(1) }, Memory: s.responseMemory})
		s.relays[address] = connections
	}
	return connections
}

// retryWindow returns the retry budget of a service. The lock must be held.
func (s *state) retryWindow(service ident.Service) *budget.Window {
	window := s.retries[service]
	if window == nil {
		window = budget.NewWindow(budget.WindowConfig{
			Span: s.settings.Retry.Window, Ratio: s.settings.Retry.Ratio, Slack: s.settings.Retry.Slack, UsableShare: retryBudgetFraction, StartedAt: s.started,
		})
		s.retries[service] = window
	}
	return window
}

// recordFirstArrival records the first send of a request to a service.
func (s *state) recordFirstArrival(service ident.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryWindow(service).RecordFirst(s.clock.Now())
}

// takeRetry takes one further send out of the retry budget and reports whether the budget allowed
// it.
func (s *state) takeRetry(service ident.Service, instances int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.retryWindow(service).Take(s.clock.Now(), instances)
}
