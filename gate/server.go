package gate

import (
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
	"github.com/tanagerbridge/tanagerbridge/mesh"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/store"
)

const (
	// headerTimeout bounds the time for the head of a request.
	headerTimeout = 10 * time.Second
	// headerBytes bounds the head of a request; the table's own limit is lower.
	headerBytes = 64 << 10
	// defaultBound is the time in which what is published must take effect if the settings
	// name none.
	defaultBound = 3 * clock.Second
	// listShare is into how many parts that time is divided for the pause between two readings
	// of the list of endpoints, and controlShare for one wait of the watch for the
	// configuration. Each call is paid for.
	listShare    = 3
	controlShare = 2
	// maxListInterval bounds that pause: a longer one would be taken for an outage.
	maxListInterval = 1500 * clock.Millisecond
	// controlInterval is how often the whole configuration is read again beside the watch.
	controlInterval = 6 * clock.Second
	// checkPause is the pause between two looks for endpoints to check.
	checkPause = 50 * clock.Millisecond
	// beginPause is the pause between two looks whether a new instance can serve, and storeChance
	// how long the store has to answer before other instances are asked.
	beginPause  = 20 * clock.Millisecond
	storeChance = 200 * clock.Millisecond
	// maintainPause is the pause between two rounds of maintenance.
	maintainPause = time.Second
)

// Server is one running instance.
type Server struct {
	settings Settings
	dialect  Dialect
	clock    clock.Clock
	log      *zap.Logger
	metrics  *metrics
	state    *state
	node     *mesh.Node
	draining atomic.Bool
	// refusing says that a leaving instance takes no further requests.
	refusing atomic.Bool
	// came is when a caller last opened a connection or sent a request, as a clock.Time.
	came atomic.Int64
	// bodies is the memory that requests' bodies take, in bytes.
	bodies atomic.Int64

	callers   *http.Server
	hops      *http.Server
	listeners []net.Listener
	servers   []*http.Server
	idle      *idleConns
	stop      context.CancelFunc
	tasks     sync.WaitGroup
}

// Start binds all addresses and begins to serve. The instance is ready when it has read
// the configuration and the list of endpoints.
func Start(ctx context.Context, c Config) (*Server, error) {
	if err := c.Settings.Check(); err != nil {
		return nil, err
	}
	if c.Registry == nil {
		c.Registry = gometrics.NewRegistry()
	}
	m := newMetrics(c.Registry)
	s := &Server{settings: c.Settings, dialect: c.Dialect, clock: c.Clock, log: c.Log, metrics: m, state: newState(c, m)}
	s.idle = newIdleConns(s)
	ctx, s.stop = context.WithCancel(context.WithoutCancel(ctx))
	if err := s.bind(ctx); err != nil {
		s.Close()
		return nil, err
	}
	if err := s.join(ctx, c); err != nil {
		s.Close()
		return nil, err
	}
	s.run(ctx, c.Source)
	for i, l := range s.listeners {
		go func() { _ = s.servers[i].Serve(l) }()
	}
	s.log.Info("started", zap.String("front", s.settings.Front), zap.String("region", string(s.settings.Region)),
		zap.String("zone", string(s.settings.Zone)), zap.Strings("seeds", s.settings.Seeds), zap.Bool("first", s.settings.FirstStart))
	return s, nil
}

// bind opens the sockets.
func (s *Server) bind(ctx context.Context) error {
	paths := s.dialect.Paths()
	hop := net.JoinHostPort(s.settings.IP, strconv.Itoa(s.settings.HopPort))
	var err error
	if s.callers, err = s.listen(ctx, &s.settings.Front, http.HandlerFunc(s.front)); err != nil {
		return err
	}
	s.callers.ConnState = s.idle.changed
	if s.hops, err = s.listen(ctx, &hop, s.innerRoutes()); err != nil {
		return err
	}
	s.settings.HopPort = portOf(hop)
	ready := mux.NewRouter()
	ready.HandleFunc(paths.Ready, s.answerReady)
	if _, err := s.listen(ctx, &s.settings.Ready, ready); err != nil {
		return err
	}
	directory := mux.NewRouter()
	directory.HandleFunc(paths.Directory, s.answerDirectory)
	if _, err := s.listen(ctx, &s.settings.Directory, directory); err != nil {
		return err
	}
	if s.settings.Metrics != "" {
		if _, err := s.listen(ctx, &s.settings.Metrics, s.metrics); err != nil {
			return err
		}
	}
	return nil
}

// innerRoutes serves the other instances. Requests of callers that are passed on carry a
// header; a router would change their paths.
func (s *Server) innerRoutes() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch inner := r.Header.Get(headerHop) == ""; {
		case inner && r.RequestURI == pathView:
			s.answerView(w, r)
		case inner && strings.HasPrefix(r.RequestURI, pathList):
			s.answerList(w, r)
		default:
			s.hop(w, r)
		}
	})
}

// listen binds an address, which may have port 0, and writes the one in use back.
func (s *Server) listen(ctx context.Context, address *string, handler http.Handler) (*http.Server, error) {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", *address)
	if err != nil {
		return nil, fault.Wrap("listen", Listening, err)
	}
	*address = l.Addr().String()
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes,
		ErrorLog: zap.NewStdLog(s.log.Named("http").WithOptions(zap.IncreaseLevel(zap.ErrorLevel))),
	}
	s.listeners = append(s.listeners, l)
	s.servers = append(s.servers, server)
	return server, nil
}

func portOf(address string) int {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0
	}
	n, _ := strconv.Atoi(port) // a bound address has a numeric port
	return n
}

// join starts the exchange with the other instances.
func (s *Server) join(ctx context.Context, c Config) error {
	node, err := mesh.Start(ctx, mesh.Config{
		Self: mesh.Record{
			Name: s.settings.Name, Incarnation: ident.Incarnation(time.Now().UnixNano()), Region: s.settings.Region,
			Zone: s.settings.Zone, Mesh: s.settings.Mesh, Front: s.settings.Front,
			Hop: net.JoinHostPort(s.settings.IP, strconv.Itoa(s.settings.HopPort)),
		},
		Seeds: s.settings.Seeds, Clock: s.clock, Log: s.log, Seed: c.Seed, Facts: s.state.facts, Heard: s.state.heard,
	})
	if err != nil {
		return err
	}
	s.node = node
	return nil
}

// run starts the loops that keep the instance's view up to date.
func (s *Server) run(ctx context.Context, source Source) {
	interval := min(maxListInterval, orDefault(s.settings.ListBound)/listShare)
	list := store.NewFollower(store.Config{
		Reader: source, Clock: s.clock, Prefix: source.EndpointPrefix(), Interval: interval,
		Changed: s.state.ownList, Failed: s.state.storeFailed("endpoints"),
	})
	control := store.NewFollower(store.Config{
		Reader: source, Clock: s.clock, Prefix: source.ControlPrefix(), Interval: controlInterval, Wait: orDefault(s.settings.ControlBound) / controlShare,
		Changed: s.state.ownControl, Failed: s.state.storeFailed("control"),
	})
	s.tasks.Go(func() { s.followList(ctx, list, interval) })
	s.tasks.Go(func() { control.Run(ctx) })
	s.tasks.Go(func() { every(ctx, checkPause.Duration(), s.check) })
	s.tasks.Go(func() { every(ctx, maintainPause, s.maintain) })
	s.tasks.Go(func() {
		s.begin(ctx)
		every(ctx, viewPause.Duration(), s.learn)
	})
}

// begin waits until the instance can serve and tells the others at once. It asks them for
// what they know if the store does not answer.
func (s *Server) begin(ctx context.Context) {
	ask := s.clock.Now().Add(storeChance)
	for ctx.Err() == nil && !s.state.ready() {
		if !s.clock.Now().Before(ask) {
			s.askView(ctx)
		}
		clock.Sleep(ctx, beginPause)
	}
	if ctx.Err() == nil && !s.draining.Load() {
		s.announce(mesh.Ready)
	}
}

func orDefault(bound clock.Span) clock.Span {
	if bound == 0 {
		return defaultBound
	}
	return bound
}

// every calls fn again and again until ctx ends.
func every(ctx context.Context, pause time.Duration, fn func(context.Context)) {
	ticker := time.NewTicker(pause)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			fn(ctx)
		}
	}
}

// maintain closes idle connections and passes on who may use cold endpoints.
func (s *Server) maintain(context.Context) {
	names, settled := s.node.Neighbours()
	s.state.locked(func(p *pool.Pool, _ clock.Time) { p.Members(names, settled) })
	now := time.Now()
	s.state.mu.Lock()
	defer s.state.mu.Unlock()
	for _, r := range s.state.relays {
		r.Trim(now)
	}
}

// Reload takes new settings. Addresses stay as they are.
func (s *Server) Reload(n Settings) {
	s.log.Info("settings reloaded", zap.Strings("seeds", n.Seeds))
	s.node.SetSeeds(n.Seeds)
}

// MeshAddress returns the address at which other instances reach this one.
func (s *Server) MeshAddress() string { return s.node.Address() }

// Addresses returns the addresses in use.
func (s *Server) Addresses() Settings { return s.settings }

func (s *Server) random() uint64    { return rand.Uint64() }
func (s *Server) fraction() float64 { return rand.Float64() }

// Close ends the instance at once.
func (s *Server) Close() {
	s.stop()
	for i, l := range s.listeners {
		_ = s.servers[i].Close()
		_ = l.Close()
	}
	s.tasks.Wait()
}
