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
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/watch"
	"github.com/tanagerbridge/tanagerbridge/wire"
)

// tick is a quarter of the probe timeout.
const tick = 100 * time.Millisecond

// Config describes a node. Spans that are zero take the defaults of package member.
type Config struct {
	Self news.Member
	// Listen is the host:port for other entries; port 0 picks a free one.
	Listen  string
	Secrets wire.Secrets
	Core    Core
	Log     *zap.Logger
	Clock   clock.Clock
	// Metrics receives the counters of this package and of package wire; nil keeps them
	// in a registry of the node's own.
	Metrics metrics.Registry
	Seed    uint64

	Period, Timeout, Suspicion, Pause, Alone clock.Span
}

// Node is one entry among its peers. It is safe for concurrent use.
type Node struct {
	c        Config
	server   *wire.Server
	client   *wire.Client
	listener net.Listener
	meter    meter
	urgent   chan struct{}
	cancel   context.CancelFunc
	wait     sync.WaitGroup

	mu        sync.Mutex
	table     *member.Table
	addresses map[ident.Entry]string // from the platform's list only
	fetches   fetches
	pushes    map[ident.Entry]bool // in progress; true if news came up meanwhile
	live      int
	ready     bool
}

// Start listens and begins to probe. The node has no peers until Sync is called. It
// runs until the context ends or Close is called.
func Start(ctx context.Context, c Config) (*Node, error) {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	if c.Clock == nil {
		c.Clock = clock.NewSystem()
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Timeout == 0 {
		c.Timeout = member.DefaultTimeout
	}
	if c.Self.Entry == "" || c.Core == nil {
		return nil, fault.Newf("start", Invalid, "name and core are needed")
	}
	n := &Node{
		c: c, meter: newMeter(c.Metrics), urgent: make(chan struct{}, 1), addresses: make(map[ident.Entry]string),
		fetches: make(fetches), pushes: make(map[ident.Entry]bool),
	}
	n.table = member.New(member.Config{
		Self: c.Self, Seed: c.Seed, Period: c.Period, Timeout: c.Timeout,
		Suspicion: c.Suspicion, Pause: c.Pause, Alone: c.Alone,
	})
	if err := n.listen(ctx); err != nil {
		return nil, err
	}
	n.run(ctx)
	return n, nil
}

func (n *Node) listen(ctx context.Context) error {
	var err error
	n.client, err = wire.NewClient(wire.ClientConfig{Secrets: n.c.Secrets})
	if err != nil {
		return fault.Wrap("start", Invalid, err)
	}
	n.server, err = wire.NewServer(wire.ServerConfig{Secrets: n.c.Secrets, Metrics: n.c.Metrics})
	if err != nil {
		return fault.Wrap("start", Invalid, err)
	}
	wire.Handle(n.server, pingKind, n.pinged)
	wire.Handle(n.server, relayKind, n.relayed)
	wire.Handle(n.server, askKind, n.asked)
	wire.Handle(n.server, fetchKind, n.fetched)
	wire.Handle(n.server, handKind, n.handed)
	var l net.ListenConfig
	n.listener, err = l.Listen(ctx, "tcp", n.c.Listen)
	if err != nil {
		return fault.Wrap("start", Invalid, err)
	}
	return nil
}

func (n *Node) run(ctx context.Context) {
	ctx, n.cancel = context.WithCancel(ctx)
	n.wait.Go(func() { _ = n.server.Serve(ctx, n.listener) })
	n.wait.Go(func() { n.probe(ctx) })
	n.wait.Go(func() { n.push(ctx) })
}

// Close ends the node without a word to the peers. Leave comes first when there is time.
func (n *Node) Close() {
	n.cancel()
	n.client.Close()
	n.server.Close()
	n.wait.Wait()
}

// Address returns the host:port at which the node listens.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Sync takes over the platform's list. It is the only source of peers' addresses.
func (n *Node) Sync(list []watch.Instance) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.Sync(n.now(), list)
	for _, i := range list {
		if i.Role == watch.RoleEntry && i.Peer != "" {
			n.addresses[ident.Entry(i.Name)] = i.Peer
		}
	}
	// The table keeps absent members for a while; so do the addresses.
	for e := range n.addresses {
		if _, ok := n.table.Find(e); !ok {
			delete(n.addresses, e)
		}
	}
}

// Live returns the other entries that take work, by name. A suspect is among them
// until its suspicion has run out.
func (n *Node) Live() []member.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Live()
}

// Members returns all other entries, by name, in any state.
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

func (n *Node) address(e ident.Entry) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	a, ok := n.addresses[e]
	return a, ok
}

// log reports a change of what the table says as a whole.
func (n *Node) log() {
	n.mu.Lock()
	live, ready := len(n.table.Live()), n.table.Ready(n.now())
	changed := live != n.live || ready != n.ready
	n.live, n.ready = live, ready
	superseded := n.table.Superseded()
	n.mu.Unlock()
	if changed {
		n.c.Log.Info("members", zap.Int("live", live), zap.Bool("ready", ready), zap.Bool("superseded", superseded))
	}
}
