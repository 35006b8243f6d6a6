// Package entry is the daemon: it serves callers, operators and peers, and
// carries out what the core decides.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/peer"
	"github.com/tanagerbridge/tanagerbridge/route"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Settings says that a setting can't be used.
	Settings Kind = "settings"
	// Listening says that an address can't be bound.
	Listening Kind = "listening"
	// Interrupted says that a shutdown cut off requests in progress.
	Interrupted Kind = "interrupted"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Server is one running entry instance.
type Server struct {
	settings config.Entry
	log      *zap.Logger
	clock    clock.Clock
	shell    *shell
	tickets  *ticket.Keys
	client   *client
	node     *peer.Node
	metrics  *metrics

	callers listener
	admin   listener
	stop    context.CancelFunc
	tasks   sync.WaitGroup
	closing sync.Once
	// drainNow is closed when an operator asks for a drain.
	drainNow  chan struct{}
	drainOnce sync.Once
}

// Start runs an entry until Drain or Close. It returns once all addresses are
// bound; the entry takes work when it has a bundle and has heard from its peers.
func Start(ctx context.Context, settings config.Entry, log *zap.Logger) (*Server, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	s := &Server{
		settings: settings,
		clock:    clock.NewSystem(),
		metrics:  newMetrics(),
		client:   newClient(),
		drainNow: make(chan struct{}),
	}
	s.log = log.With(zap.String("entry", string(settings.Name)), zap.String("region", string(settings.Region)))
	ctx, s.stop = context.WithCancel(context.WithoutCancel(ctx))
	if err := s.bind(ctx); err != nil {
		s.stop()
		return nil, err
	}
	if err := s.build(); err != nil {
		s.unbind()
		return nil, err
	}
	if err := s.join(ctx); err != nil {
		s.unbind()
		return nil, err
	}
	s.run(ctx)
	s.log.Info("started", zap.String("listen", s.Address()), zap.String("admin", s.Admin()), zap.String("peer", s.Peer()))
	return s, nil
}

// build makes the core and the keys from the settings.
func (s *Server) build() error {
	keys, err := bundle.ParseKeys(s.settings.Keys.Bundle)
	if err != nil {
		return fault.Wrap("--bundle-keys", Settings, err)
	}
	if s.tickets, err = ticket.ParseKeys(s.settings.Keys.Tickets); err != nil {
		return fault.Wrap("--ticket-keys", Settings, err)
	}
	seed := s.settings.Seed
	if seed == 0 {
		seed = randomNumber()
	}
	policy, err := route.New(s.settings.Policy, seed)
	if err != nil {
		return fault.Wrap("--policy", Settings, err)
	}
	force := bundle.NewForce(keys)
	incarnation := ident.Incarnation(time.Now().UnixNano())
	s.shell = newShell(s.clock, force, core.New(core.Config{
		Entry: s.settings.Name, Incarnation: incarnation, Region: s.settings.Region,
		Address: s.Address(), Seed: seed, Force: force, Policy: policy,
	}))
	s.shell.incarnation = incarnation
	s.shell.order = s.order
	return nil
}

// bind opens the sockets for callers and operators; nothing is accepted yet.
func (s *Server) bind(ctx context.Context) error {
	var err error
	if s.callers, err = listen(ctx, s.settings.Listen.Caller, s.metrics.track(s.callerRoutes())); err != nil {
		return fault.Wrap("--listen", Listening, err)
	}
	if s.admin, err = listen(ctx, s.settings.Listen.Admin, s.adminRoutes()); err != nil {
		s.callers.close()
		return fault.Wrap("--admin", Listening, err)
	}
	return nil
}

func (s *Server) unbind() {
	s.stop()
	s.callers.close()
	s.admin.close()
}

// join starts the exchange with the other entries.
func (s *Server) join(ctx context.Context) error {
	secrets, err := parseSecrets(s.settings.Keys.Fleet)
	if err == nil {
		s.node, err = peer.Start(ctx, peer.Config{
			Self: news.Member{
				Entry: s.settings.Name, Incarnation: s.shell.incarnation, State: news.Alive,
				Region: s.settings.Region, Zone: s.settings.Zone,
			},
			Listen: s.settings.Listen.Peer, Secrets: secrets, Core: peerCore{s}, Log: s.log, Clock: s.clock,
			Metrics: s.metrics.registry, Seed: randomNumber(),
		})
	}
	if err != nil {
		return fault.Wrap("--peer", Listening, err)
	}
	s.shell.connect(s.node)
	return nil
}

func (s *Server) run(ctx context.Context) {
	s.callers.serve()
	s.admin.serve()
	s.spawn(func() { s.tickLoop(ctx) })
	s.spawn(func() { s.watchBundle(ctx) })
	s.spawn(func() { s.watchList(ctx) })
	s.spawn(func() { s.pollEndpoints(ctx) })
}

func (s *Server) spawn(task func()) { s.tasks.Go(task) }

// Address returns the host:port at which callers reach the entry.
func (s *Server) Address() string { return s.callers.address() }

// Admin returns the host:port at which operators reach the entry.
func (s *Server) Admin() string { return s.admin.address() }

// Peer returns the host:port at which other entries reach the entry.
func (s *Server) Peer() string { return s.node.Address() }

// Close ends the entry at once, cutting off what is in progress. It returns an
// *Error of kind Interrupted that says how many requests that were.
func (s *Server) Close() error {
	cut := 0
	s.closing.Do(func() {
		cut = s.shell.inProgress()
		s.stop()
		s.callers.close()
		s.admin.close()
		s.node.Close()
		s.client.close()
		s.tasks.Wait()
	})
	if cut > 0 {
		return fault.Newf("close", Interrupted, "%d requests in progress were cut off", cut)
	}
	return nil
}

// listener is an HTTP server with its bound socket.
type listener struct {
	socket net.Listener
	server *http.Server
}

const (
	headerTimeout = 10 * time.Second
	headerBytes   = 64 << 10
)

func listen(ctx context.Context, address string, handler http.Handler) (listener, error) {
	socket, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return listener{}, err
	}
	return listener{socket: socket, server: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerBytes,
	}}, nil
}

func (l listener) serve() { go func() { _ = l.server.Serve(l.socket) }() }

func (l listener) address() string { return l.socket.Addr().String() }

func (l listener) close() {
	_ = l.server.Close()
	_ = l.socket.Close()
}

func randomNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}
