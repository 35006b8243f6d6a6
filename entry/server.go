// Package entry implements the gateway daemon: it serves callers, operators and peers, and
// executes the decisions of the core.
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
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/peer"
	"github.com/tanagerbridge/tanagerbridge/route"
	"github.com/tanagerbridge/tanagerbridge/sock"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindInvalidSettings means that a setting is invalid.
	KindInvalidSettings Kind = "settings"
	// KindListen means that an address can't be bound.
	KindListen Kind = "listening"
	// KindInterrupted means that a shutdown cut off requests in progress.
	KindInterrupted Kind = "interrupted"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Server is a running entry.
type Server struct {
	settings config.Entry
	log      *zap.Logger
	clock    clock.Clock
	shell    *shell
	tickets  *ticket.Keys
	client   *client
	node     *peer.Node
	metrics  *metrics

	callerServer httpServer
	adminServer  httpServer
	cancel       context.CancelFunc
	tasks        sync.WaitGroup
	closeOnce    sync.Once
	// drainRequested is closed when a drain is requested.
	drainRequested chan struct{}
	drainOnce      sync.Once
}

// Start starts an entry, which runs until Drain or Close. It returns once all addresses
// are bound; the entry is ready when it has a bundle and its peers have answered. Errors
// are of the kinds KindInvalidSettings and KindListen, or those of config.Entry.Check.
func Start(ctx context.Context, settings config.Entry, log *zap.Logger) (*Server, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	s := &Server{
		settings:       settings,
		clock:          clock.NewSystem(),
		metrics:        newMetrics(),
		client:         newClient(),
		drainRequested: make(chan struct{}),
	}
	s.log = log.With(zap.String("entry", string(settings.Name)), zap.String("region", string(settings.Region)))
	ctx, s.cancel = context.WithCancel(context.WithoutCancel(ctx))
	if err := s.bind(ctx); err != nil {
		s.cancel()
		return nil, err
	}
	if err := s.buildCore(); err != nil {
		s.abortStart()
		return nil, err
	}
	if err := s.startNode(ctx); err != nil {
		s.abortStart()
		return nil, err
	}
	s.startTasks(ctx)
	s.log.Info("started", zap.String("listen", s.Address()), zap.String("admin", s.AdminAddress()), zap.String("peer", s.PeerAddress()))
	return s, nil
}

// buildCore creates the core and the keys from the settings.
func (s *Server) buildCore() error {
	keys, err := bundle.ParseKeys(s.settings.Keys.Bundle)
	if err != nil {
		return fault.Wrap("--bundle-keys", KindInvalidSettings, err)
	}
	if s.tickets, err = ticket.ParseKeys(s.settings.Keys.Tickets); err != nil {
		return fault.Wrap("--ticket-keys", KindInvalidSettings, err)
	}
	seed := s.settings.Seed
	if seed == 0 {
		seed = randomNumber()
	}
	policy, err := route.New(s.settings.Policy, seed)
	if err != nil {
		return fault.Wrap("--policy", KindInvalidSettings, err)
	}
	bundles := bundle.NewActive(keys)
	incarnation := ident.Incarnation(time.Now().UnixNano())
	s.shell = newShell(s.log, s.clock, bundles, core.New(core.Config{
		Entry: s.settings.Name, Incarnation: incarnation, Region: s.settings.Region,
		Address: s.Address(), Seed: seed, Bundles: bundles, Policy: policy,
	}))
	s.shell.incarnation = incarnation
	s.shell.executeOrder = s.executeOrder
	return nil
}

// bind opens the sockets for callers and operators, without accepting connections yet.
func (s *Server) bind(ctx context.Context) error {
	var err error
	if s.callerServer, err = listen(ctx, s.settings.Listen.Caller, s.metrics.trackActive(s.callerRoutes())); err != nil {
		return fault.Wrap("--listen", KindListen, err)
	}
	if s.adminServer, err = listen(ctx, s.settings.Listen.Admin, s.adminRoutes()); err != nil {
		s.callerServer.close()
		return fault.Wrap("--admin", KindListen, err)
	}
	return nil
}

func (s *Server) abortStart() {
	s.cancel()
	s.callerServer.close()
	s.adminServer.close()
}

// startNode starts the protocol with the other entries.
func (s *Server) startNode(ctx context.Context) error {
	secrets, err := parseSecrets(s.settings.Keys.Fleet)
	if err == nil {
		s.node, err = peer.Start(ctx, peer.Config{
			Self: gossip.Member{
				Entry: s.settings.Name, Incarnation: s.shell.incarnation, State: gossip.Alive,
				Region: s.settings.Region, Zone: s.settings.Zone,
			},
			Listen: s.settings.Listen.Peer, Secrets: secrets, Delegate: peerDelegate{s}, Log: s.log, Clock: s.clock,
			Metrics: s.metrics.registry, Seed: randomNumber(),
		})
	}
	if err != nil {
		return fault.Wrap("--peer", KindListen, err)
	}
	s.shell.setPeers(s.node)
	return nil
}

func (s *Server) startTasks(ctx context.Context) {
	s.callerServer.serve()
	s.adminServer.serve()
	s.spawn(func() { s.tickLoop(ctx) })
	s.spawn(func() { s.watchBundle(ctx) })
	s.spawn(func() { s.watchList(ctx) })
	s.spawn(func() { s.pollEndpoints(ctx) })
}

// tickPeriod is how often the core checks deadlines.
const tickPeriod = 50 * clock.Millisecond

func (s *Server) tickLoop(ctx context.Context) {
	ticker := time.NewTicker(tickPeriod.Duration())
	defer ticker.Stop()
	for {
		s.shell.apply(core.Tick{})
		s.shell.apply(core.MembersUpdated{Live: s.node.Live(), Ready: s.node.Ready()})
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (s *Server) spawn(task func()) { s.tasks.Go(task) }

// Address returns the host:port for callers.
func (s *Server) Address() string { return s.callerServer.address() }

// AdminAddress returns the host:port for operators.
func (s *Server) AdminAddress() string { return s.adminServer.address() }

// PeerAddress returns the host:port for other entries.
func (s *Server) PeerAddress() string { return s.node.Address() }

// Close stops the entry at once. If it cuts off requests in progress, it returns an *Error
// of kind KindInterrupted with their number. Further calls do nothing.
func (s *Server) Close() error {
	cut := 0
	s.closeOnce.Do(func() {
		cut = s.shell.inProgress()
		s.cancel()
		s.callerServer.close()
		s.adminServer.close()
		s.node.Close()
		s.client.close()
		s.tasks.Wait()
	})
	if cut > 0 {
		return fault.Newf("close", KindInterrupted, "%d requests in progress were cut off", cut)
	}
	return nil
}

// httpServer is an HTTP server with its bound socket.
type httpServer struct {
	socket net.Listener
	server *http.Server
}

const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
)

func listen(ctx context.Context, address string, handler http.Handler) (httpServer, error) {
	socket, err := sock.Default().Listen(ctx, address)
	if err != nil {
		return httpServer{}, err
	}
	return httpServer{socket: socket, server: &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
	}}, nil
}

func (h httpServer) serve() { go func() { _ = h.server.Serve(h.socket) }() }

func (h httpServer) address() string { return h.socket.Addr().String() }

func (h httpServer) close() {
	_ = h.server.Close()
	_ = h.socket.Close()
}

func randomNumber() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}
