package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/sock"
	"github.com/tanagerbridge/tanagerbridge/watch"
	"github.com/tanagerbridge/tanagerbridge/wire"
)

// tickInterval is a quarter of the default probe timeout.
const tickInterval = 100 * time.Millisecond

// Config configures a Node. Zero spans take the defaults of package member.
type Config struct {
	Self gossip.Member
	// Listen is the host:port to listen on for other entries; port 0 picks a free one.
	Listen   string
	Secrets  wire.Secrets
	Delegate Delegate
	Log      *zap.Logger
	Clock    clock.Clock
	// Metrics receives the counters of this package and of package wire; nil creates a
	// registry.
	Metrics metrics.Registry
	Seed    uint64

	// These correspond to the fields of member.Config.
	Period, Timeout, Suspicion, PauseThreshold, AloneTimeout clock.Span
}

// Node is an entry's connection to its peers. It is safe for concurrent use.
type Node struct {
	config       Config
	server       *wire.Server
	client       *wire.Client
	listener     net.Listener
	counters     counters
	pushRequests chan struct{}
	cancel       context.CancelFunc
	tasks        sync.WaitGroup

	mu          sync.Mutex
	table       *member.Table
	addresses   map[ident.Entry]string // from the platform's list
	fetchTimes  fetchTimes
	pushes      map[ident.Entry]bool // pushes in progress; true if another must follow
	loggedLive  int
	loggedReady bool
}

// Start listens and starts probing. The node has no peers until Sync is called, and runs
// until ctx is cancelled or Close is called. Errors are of kind KindInvalid.
func Start(ctx context.Context, config Config) (*Node, error) {
	if config.Log == nil {
		config.Log = zap.NewNop()
	}
	if config.Clock == nil {
		config.Clock = clock.NewSystem()
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	if config.Timeout == 0 {
		config.Timeout = member.DefaultTimeout
	}
	if config.Self.Entry == "" || config.Delegate == nil {
		return nil, fault.Newf("start", KindInvalid, "entry name and delegate are required")
	}
	node := &Node{
		config: config, counters: newCounters(config.Metrics), pushRequests: make(chan struct{}, 1), addresses: make(map[ident.Entry]string),
		fetchTimes: make(fetchTimes), pushes: make(map[ident.Entry]bool),
	}
	node.table = member.New(member.Config{
		Self: config.Self, Seed: config.Seed, Period: config.Period, Timeout: config.Timeout,
		Suspicion: config.Suspicion, PauseThreshold: config.PauseThreshold, AloneTimeout: config.AloneTimeout,
	})
	if err := node.listen(ctx); err != nil {
		return nil, err
	}
	node.run(ctx)
	return node, nil
}

func (n *Node) listen(ctx context.Context) error {
	var err error
	n.client, err = wire.NewClient(wire.ClientConfig{Secrets: n.config.Secrets})
	if err != nil {
		return fault.Wrap("start", KindInvalid, err)
	}
	n.server, err = wire.NewServer(wire.ServerConfig{Secrets: n.config.Secrets, Metrics: n.config.Metrics})
	if err != nil {
		return fault.Wrap("start", KindInvalid, err)
	}
	wire.Handle(n.server, pingKind, n.handlePing)
	wire.Handle(n.server, relayKind, n.handleRelay)
	wire.Handle(n.server, queryKind, n.handleQuery)
	wire.Handle(n.server, fetchKind, n.handleFetch)
	wire.Handle(n.server, handoverKind, n.handleHandover)
	wire.Handle(n.server, leaseKind, n.handleLease)
	n.listener, err = sock.Default().Listen(ctx, n.config.Listen)
	if err != nil {
		return fault.Wrap("start", KindInvalid, err)
	}
	return nil
}

func (n *Node) run(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(ctx)
	n.tasks.Go(func() { _ = n.server.Serve(ctx, n.listener) })
	n.tasks.Go(func() { n.probeLoop(ctx) })
	n.tasks.Go(func() { n.pushLoop(ctx) })
}

// Close stops the node without notifying the peers. For a graceful shutdown, call Leave
// first.
func (n *Node) Close() {
	n.cancel()
	n.client.Close()
	n.server.Close()
	n.tasks.Wait()
}

// Address returns the host:port on which the node listens.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Sync applies the platform's list, the only source of peer addresses.
func (n *Node) Sync(list []watch.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Sync(n.now(), list)
	for _, i := range list {
		if i.Role == watch.RoleEntry && i.Peer != "" {
			n.addresses[ident.Entry(i.Name)] = i.Peer
		}
	}
	// The table keeps unlisted members for a while; their addresses are kept as long.
	for e := range n.addresses {
		if _, ok := n.table.Find(e); !ok {
			delete(n.addresses, e)
		}
	}
}

// Live returns the other entries that take work, sorted by name, including suspects until
// they are marked as failed.
func (n *Node) Live() []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Live()
}

// Members returns all other entries in any state, sorted by name.
func (n *Node) Members() []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Members()
}

// Ready reports whether this entry may take new work.
func (n *Node) Ready() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Ready(n.now())
}

func (n *Node) address(entry ident.Entry) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	address, ok := n.addresses[entry]
	return address, ok
}

// call sends a request to an entry. Errors are of kind KindUnreachable and have the operation op.
func call[Request, Reply any](ctx context.Context, n *Node, op string, to ident.Entry, kind string, request Request) (Reply, error) {
	var none Reply
	address, ok := n.address(to)
	if !ok {
		return none, fault.Newf(op, KindUnreachable, "no address known for %s", to)
	}
	reply, err := wire.Call[Request, Reply](ctx, n.client, address, kind, request)
	if err != nil {
		return none, fault.Wrap(op, KindUnreachable, err)
	}
	return reply, nil
}

// logChanges logs when the number of live members or the readiness has changed.
func (n *Node) logChanges() {
	n.mu.Lock()
	live, ready := len(n.table.Live()), n.table.Ready(n.now())
	changed := live != n.loggedLive || ready != n.loggedReady
	n.loggedLive, n.loggedReady = live, ready
	superseded := n.table.Superseded()
	n.mu.Unlock()
	if changed {
		n.config.Log.Info("membership changed", zap.Int("live", live), zap.Bool("ready", ready), zap.Bool("superseded", superseded))
	}
}
