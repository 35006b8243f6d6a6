package gate

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/logs"
	"github.com/tanagerbridge/tanagerbridge/memory"
	"github.com/tanagerbridge/tanagerbridge/mesh"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/sock"
	"github.com/tanagerbridge/tanagerbridge/store"
)

const (
	// headerTimeout bounds the time for reading a request header.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds the size of a request header; the routing table does not limit it.
	maxHeaderBytes = 64 << 10
	// defaultPropagationBound is the time within which published changes must take effect if the
	// settings specify none.
	defaultPropagationBound = 3 * clock.Second
	// watchDivisor divides that time to get the longest wait of one watch call. Each call is billed.
	watchDivisor = 3
	// maxListWatch bounds the wait of a watch call for the list: a longer time between two answers
	// would be taken for an outage.
	maxListWatch = 1500 * clock.Millisecond
	// controlReadInterval and listReadInterval are the intervals at which the whole configuration and
	// the whole list are read again beside the watches.
	controlReadInterval = 6 * clock.Second
	listReadInterval    = 30 * clock.Second
	// checkInterval is the interval between two checks for due health checks.
	checkInterval = 50 * clock.Millisecond
	// startupPollInterval is the interval at which a new instance checks whether it can serve, and
	// storeGrace how long the store may take to answer before any other instance is queried.
	startupPollInterval = 20 * clock.Millisecond
	storeGrace          = 500 * clock.Millisecond
	// panicPause is the pause of a background task after a panic.
	panicPause = 500 * clock.Millisecond
	// zoneInterval is the interval between two checks for lost zones.
	zoneInterval = 200 * clock.Millisecond
	// maintainInterval is the interval between two maintenance rounds.
	maintainInterval = time.Second
)

// Server is a running instance.
type Server struct {
	settings Settings
	protocol Protocol
	clock    clock.Clock
	log      *zap.Logger
	metrics  *metrics
	state    *state
	quotas   *quotas
	node     *mesh.Node
	// schedule is the course of the shutdown, nil before it.
	schedule atomic.Pointer[schedule]
	// refusing reports whether a leaving instance refuses further requests.
	refusing atomic.Bool
	// lastTick is when the process was last seen to run, as a clock.Time.
	lastTick atomic.Int64
	// ending is done when a leaving instance answers the requests that are still in progress.
	ending      context.Context
	endRequests context.CancelFunc
	// lastArrival is when a caller last opened a connection or sent a request, as a clock.Time.
	lastArrival atomic.Int64
	// memory is what callers make this process hold.
	memory *memory.Budget
	// started is when the process started, and startupDelay its random delay before it reads the store
	// although it is not one of those that read first.
	started      clock.Time
	startupDelay clock.Span
	// directUntil is the time until which this instance reads the store itself although others of the
	// region do, as a clock.Time.
	directUntil atomic.Int64
	// lostZones holds the zones of the region whose instances were all gone at the last check. Only the
	// task that watches the zones uses it.
	lostZones []ident.Zone
	source    Source
	// refreshing is held while the list is read for resumed streams, and refreshedAt is when the last such read
	// began.
	refreshing  chan struct{}
	refreshedAt clock.Time
	// hopRequests holds the requests that other instances have passed on.
	hopRequests *hopRequests
	// fairness shares overloaded services among customers.
	fairness *fairness
	// wholeTransfers counts the whole lists that are being sent to other instances.
	wholeTransfers atomic.Int64

	callerServer *http.Server
	hopServer    *http.Server
	listeners    []net.Listener
	servers      []*http.Server
	conns        *tracker
	// sideConns holds the connections to the readiness and directory addresses.
	sideConns *tracker
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
}

// Start binds all addresses and starts serving. The instance becomes ready once it has read the
// configuration and the list of endpoints.
func Start(ctx context.Context, config Config) (*Server, error) {
	if err := config.Settings.Check(); err != nil {
		return nil, err
	}
	if config.Registry == nil {
		config.Registry = gometrics.NewRegistry()
	}
	counters := newMetrics(config.Registry)
	server := &Server{
		settings: config.Settings, protocol: config.Protocol, clock: config.Clock, log: config.Log,
		metrics: counters, state: newState(config, counters), started: config.Clock.Now(),
		startupDelay: clock.Span(rand.Int64N(int64(startupSpread))), source: config.Source, refreshing: make(chan struct{}, 1),
		hopRequests: newHopRequests(config.Clock), quotas: newQuotas(config, counters), fairness: newFairness(config, counters),
	}
	server.lastTick.Store(int64(server.started))
	server.memory = newCallerMemory(config.Settings)
	gometrics.NewRegisteredFunctionalGauge("callers.held", config.Registry, server.memory.Used)
	server.state.responseMemory.OnShort(func() bool { return server.memory.DropAnswer(server.clock.Now()) })
	server.conns, server.sideConns = newTracker(server), newTracker(server)
	server.sideConns.mayEvict = true
	server.ending, server.endRequests = context.WithCancel(context.WithoutCancel(ctx))
	ctx, server.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := server.bind(ctx); err != nil {
		server.Close()
		return nil, err
	}
	if err := server.startMesh(ctx, config); err != nil {
		server.Close()
		return nil, err
	}
	server.startLoops(ctx, config.Source)
	for i, l := range server.listeners {
		serving := server.servers[i]
		switch {
		case serving == server.callerServer || serving == server.hopServer:
			l = trackedListener{l, server.conns, serving == server.callerServer}
		case serving.IdleTimeout > 0:
			l = trackedListener{l, server.sideConns, false}
		}
		go func() { _ = serving.Serve(l) }()
	}
	server.log.Info("started", zap.String("front", server.settings.FrontAddress), zap.String("region", string(server.settings.Region)),
		zap.String("zone", string(server.settings.Zone)), zap.Strings("seeds", server.settings.Seeds), zap.Bool("first", server.settings.FirstStart))
	return server, nil
}

// bind opens the listeners.
func (s *Server) bind(ctx context.Context) error {
	paths := s.protocol.Paths()
	hop := net.JoinHostPort(s.settings.IP, strconv.Itoa(s.settings.HopPort))
	var err error
	if s.callerServer, err = s.listen(ctx, &s.settings.FrontAddress, http.HandlerFunc(s.serveCaller)); err != nil {
		return err
	}
	s.conns.attach(s.callerServer)
	if s.hopServer, err = s.listen(ctx, &hop, s.instanceHandler()); err != nil {
		return err
	}
	s.conns.attach(s.hopServer)
	s.settings.HopPort = portOf(hop)
	ready := mux.NewRouter().SkipClean(true) // no redirects
	ready.HandleFunc(paths.Ready, s.serveReady)
	if err := s.listenSide(ctx, &s.settings.ReadyAddress, ready); err != nil {
		return err
	}
	directory := mux.NewRouter().SkipClean(true)
	directory.HandleFunc(paths.Directory, s.serveDirectory)
	if err := s.listenSide(ctx, &s.settings.DirectoryAddress, directory); err != nil {
		return err
	}
	if s.settings.MetricsAddress != "" {
		if _, err := s.listen(ctx, &s.settings.MetricsAddress, s.metrics); err != nil {
			return err
		}
	}
	return nil
}

// instanceHandler serves the other instances. Requests of callers that are passed on are
// identified by a header and not dispatched by a router, which would change their paths.
func (s *Server) instanceHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch inner := r.Header.Get(headerHop) == ""; {
		case inner && strings.HasPrefix(r.RequestURI, syncPath):
			s.serveSync(w, r)
		case inner && strings.HasPrefix(r.RequestURI, streamPath):
			s.serveStreamOrigin(w, r)
		case inner && strings.HasPrefix(r.RequestURI, cancelPath):
			s.serveCancel(w, r)
		case inner && strings.HasPrefix(r.RequestURI, indirectPath):
			s.serveIndirectCheck(w, r)
		default:
			s.serveHop(w, r)
		}
	})
}

// listenSide is listen for an address with short requests of any sender.
func (s *Server) listenSide(ctx context.Context, address *string, handler http.Handler) error {
	server, err := s.listen(ctx, address, handler)
	if err != nil {
		return err
	}
	server.IdleTimeout, server.ReadTimeout, server.WriteTimeout = sideIdleTimeout, sideTransfer, sideTransfer
	s.sideConns.attach(server)
	return nil
}

// listen binds an address, which may have port 0, and replaces it with the actual one.
func (s *Server) listen(ctx context.Context, address *string, handler http.Handler) (*http.Server, error) {
	listener, err := sock.Default().Listen(ctx, *address)
	if err != nil {
		return nil, fault.Wrap("listen", KindListen, err)
	}
	*address = listener.Addr().String()
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		DisableGeneralOptionsHandler: true, // OPTIONS * is a request like any other
		ErrorLog:                     zap.NewStdLog(s.log.Named("http").WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	s.listeners = append(s.listeners, listener)
	s.servers = append(s.servers, server)
	return server, nil
}

func portOf(address string) int {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0
	}
	number, _ := strconv.Atoi(port) // a bound address has a numeric port
	return number
}

// startMesh starts the exchange with the other instances.
func (s *Server) startMesh(ctx context.Context, config Config) error {
	node, err := mesh.Start(ctx, mesh.Config{
		Self: mesh.Record{
			Name: s.settings.Name, Incarnation: ident.Incarnation(time.Now().UnixNano()), Region: s.settings.Region,
			Zone: s.settings.Zone, Mesh: s.settings.MeshAddress, Front: s.settings.FrontAddress,
			Hop: net.JoinHostPort(s.settings.IP, strconv.Itoa(s.settings.HopPort)),
		},
		Seeds: s.settings.Seeds, Zones: len(s.settings.Zones), Clock: s.clock, Log: s.log, Seed: config.Seed, Facts: s.state.facts, OnFacts: s.state.applyFacts,
		OnQuota: s.quotas.receive,
		OnPanic: s.countPanic, OnSent: func(bytes int) { s.metrics.meshBytes.Inc(int64(bytes)) },
		OnOmitted: func(facts int) { s.metrics.meshOmitted.Inc(int64(facts)) },
	})
	if err != nil {
		return err
	}
	s.node = node
	s.quotas.node.Store(node)
	return nil
}

// startLoops starts the background loops of the instance.
func (s *Server) startLoops(ctx context.Context, source Source) {
	list := store.NewFollower(store.Config{
		Reader: source, Clock: s.clock, Prefix: source.EndpointPrefix(), Interval: listReadInterval,
		WatchTimeout: min(maxListWatch, boundOrDefault(s.settings.ListBound)/watchDivisor),
		OnUpdate:     s.state.applyOwnList, OnResult: s.state.storeResultHandler("endpoints"),
	})
	control := store.NewFollower(store.Config{
		Reader: source, Clock: s.clock, Prefix: source.ControlPrefix(), Interval: controlReadInterval,
		WatchTimeout: boundOrDefault(s.settings.ControlBound) / watchDivisor,
		OnUpdate:     s.state.applyOwnControl, OnResult: s.state.storeResultHandler("control"),
	})
	s.tasks.Go(func() { s.repeat(ctx, "list", func() { s.followList(ctx, list) }) })
	s.tasks.Go(func() { s.repeat(ctx, "control", func() { s.followControl(ctx, control) }) })
	s.tasks.Go(func() { s.runEvery(ctx, "health checks", checkInterval.Duration(), s.tick) })
	s.tasks.Go(func() { s.runEvery(ctx, "zones", zoneInterval.Duration(), s.watchZones) })
	s.tasks.Go(func() { s.runEvery(ctx, "streams", shareInterval.Duration(), s.shareStreams) })
	s.tasks.Go(func() { s.runEvery(ctx, "limits", quotaInterval.Duration(), s.shareQuota) })
	s.tasks.Go(func() { s.runEvery(ctx, "key lease", leaseInterval.Duration(), s.renewLease) })
	s.tasks.Go(func() { s.runEvery(ctx, "maintenance", maintainInterval, s.maintain) })
	s.tasks.Go(func() {
		s.awaitReady(ctx)
		s.runEvery(ctx, "outage", outageInterval.Duration(), s.syncDuringOutage)
	})
}

// tick records that the process runs, logs changes of the key lease and starts the health checks that are due.
func (s *Server) tick(ctx context.Context) {
	s.lastTick.Store(int64(s.clock.Now()))
	s.state.noteLease()
	s.startHealthChecks(ctx)
}

// awaitReady waits until the instance can serve and announces that immediately. If the store does
// not answer, it queries the other instances.
func (s *Server) awaitReady(ctx context.Context) {
	queryAt := s.clock.Now().Add(storeGrace)
	retry := newStartupBackoff()
	for ctx.Err() == nil && !s.state.ready() {
		if now := s.clock.Now(); !now.Before(queryAt) {
			s.contain("startup", func() { s.syncWithAny(ctx) })
			queryAt = now.Add(randomAround(retry.Next()))
		}
		clock.Sleep(ctx, startupPollInterval)
	}
	if ctx.Err() == nil && !s.draining() {
		s.contain("startup", func() { s.announce(mesh.Ready) })
	}
}

// contain calls fn. A panic, such as one caused by malformed data, ends only this call.
func (s *Server) contain(task string, fn func()) {
	defer logs.RecoverPanic(s.log, task, s.countPanic)
	fn()
}

// repeat calls fn until ctx ends. A panic ends only the current call.
func (s *Server) repeat(ctx context.Context, task string, fn func()) {
	for ctx.Err() == nil {
		s.contain(task, fn)
		clock.Sleep(ctx, panicPause)
	}
}

func (s *Server) countPanic() { s.metrics.panics.Inc(1) }

func boundOrDefault(bound clock.Span) clock.Span {
	return cmp.Or(bound, defaultPropagationBound)
}

// runEvery calls fn at a fixed interval until ctx ends. A panic ends only the current call.
func (s *Server) runEvery(ctx context.Context, task string, pause time.Duration, fn func(context.Context)) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.contain(task, func() { fn(ctx) })
		}
	}
}

// maintain closes idle connections, ends overloads, forgets requests whose connections broke long ago, and updates the instances that divide cold endpoints among
// themselves.
func (s *Server) maintain(context.Context) {
	s.updateMembers()
	s.quotas.recordShares()
	s.fairness.maintain()
	s.memory.DropSlow(s.clock.Now())
	now := time.Now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for _, r := range s.state.relays {
		r.CloseIdle(now)
	}
	s.state.removeAllOutdated(s.clock.Now())
}

// updateMembers tells the pool which instances of the region divide limits among themselves.
func (s *Server) updateMembers() {
	names, settled := s.node.RegionMembers()
	s.state.withPool(func(p *pool.Pool, _ clock.Time) { p.SetMembers(names, settled) })
}

// Reload applies new settings. Addresses are not changed.
func (s *Server) Reload(settings Settings) {
	s.log.Info("settings reloaded", zap.Strings("seeds", settings.Seeds))
	s.node.SetSeeds(settings.Seeds)
}

// MeshAddress returns the address for datagrams from other instances.
func (s *Server) MeshAddress() string { return s.node.Address() }

// Settings returns the settings of the instance, with the addresses that were bound.
func (s *Server) Settings() Settings { return s.settings }

func (s *Server) randomUint64() uint64    { return rand.Uint64() }
func (s *Server) randomFraction() float64 { return rand.Float64() }

// Close stops the instance immediately.
func (s *Server) Close() {
	s.cancel()
	s.endRequests()
	s.conns.cutOff()
	for i, l := range s.listeners {
		_ = s.servers[i].Close()
		_ = l.Close()
	}
	s.tasks.Wait()
}
