package mesh

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/logs"
	"github.com/tanagerbridge/tanagerbridge/quota"
	"github.com/tanagerbridge/tanagerbridge/resume"
)

// Config holds the settings and callbacks of a Node.
type Config struct {
	Self  Record
	Seeds []string
	// Zones is the number of availability zones of the deployment.
	Zones int
	Clock clock.Clock
	Log   *zap.Logger
	Seed  uint64
	// Facts returns what this instance reports to the others.
	Facts func() Facts
	// OnFacts is called with the facts that another instance reports.
	OnFacts func(from Record, facts Facts)
	// OnQuota is called with a message about the limits of customers; it may be nil.
	OnQuota func(from Record, message quota.Message)
	// OnPanic is called after a panic in a round or while a datagram was processed; it may be nil.
	OnPanic func()
	// OnSent is called with the size of each datagram sent; it may be nil.
	OnSent func(bytes int)
	// OnOmitted is called with the number of facts that a message has no room for; it may be nil.
	OnOmitted func(facts int)
}

// omittedLogInterval is the minimum time between two log lines on facts that are left out.
const omittedLogInterval = 10 * clock.Second

// Node sends and receives the messages of one instance. It is safe for concurrent use.
type Node struct {
	config     Config
	socket     *net.UDPConn
	mu         sync.Mutex
	table      *Table
	aliveCount int
	// omittedLogged is when facts that were left out were last logged, as a clock.Time; 0 is never.
	omittedLogged atomic.Int64
}

// Start binds the UDP socket at Config.Self.Mesh and runs until ctx ends. Errors have kind
// KindListen.
func Start(ctx context.Context, config Config) (*Node, error) {
	address, err := net.ResolveUDPAddr("udp4", config.Self.Mesh)
	if err != nil {
		return nil, fault.Wrap("listen", KindListen, err)
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fault.Wrap("listen", KindListen, err)
	}
	config.Self.Mesh = socket.LocalAddr().String()
	node := &Node{config: config, socket: socket, table: NewTable(config.Clock.Now(), config.Self, config.Seeds, config.Seed)}
	go node.receive(ctx)
	go node.run(ctx)
	return node, nil
}

func (n *Node) run(ctx context.Context) {
	defer n.socket.Close() //nolint:errcheck // the process is ending
	for {
		n.sendRound()
		select {
		case <-ctx.Done():
			return
		case <-time.After(roundInterval.Duration()):
		}
	}
}

// sendRound sends the messages of one round. A panic ends only that.
func (n *Node) sendRound() {
	defer logs.RecoverPanic(n.config.Log, "round", n.config.OnPanic)
	facts := n.config.Facts()
	n.send(withTable(n, func(t *Table, now clock.Time) []OutgoingMessage {
		t.RemoveExpired(now)
		n.logAlive(len(t.Alive(now)))
		return t.NextRound(now, facts)
	}))
}

func (n *Node) logAlive(count int) {
	if count == n.aliveCount {
		return
	}
	n.config.Log.Info("instances changed", zap.Int("alive", count), zap.Int("before", n.aliveCount))
	n.aliveCount = count
}

func (n *Node) receive(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		size, _, err := n.socket.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				n.config.Log.Warn("receiving datagram failed", zap.Error(err))
				time.Sleep(roundInterval.Duration())
			}
			continue
		}
		n.handle(buffer[:size])
	}
}

// handle processes one datagram. A panic ends only that.
func (n *Node) handle(datagram []byte) {
	defer logs.RecoverPanic(n.config.Log, "datagram", n.config.OnPanic)
	message, err := ParseDatagram(datagram)
	if err != nil {
		n.config.Log.Warn("malformed datagram", zap.Error(err))
		return
	}
	accepted := false
	replies := withTable(n, func(t *Table, now clock.Time) []OutgoingMessage {
		accepted = t.Accepts(message)
		return t.Receive(now, message)
	})
	switch {
	case accepted && message.Quota != (quota.Message{}):
		if n.config.OnQuota != nil {
			n.config.OnQuota(message.From, message.Quota)
		}
	case accepted:
		n.config.OnFacts(message.From, message.Facts)
	}
	n.send(replies)
}

func (n *Node) send(messages []OutgoingMessage) {
	for _, l := range messages {
		encoded, err := EncodeMessage(l.Message)
		if err != nil {
			n.config.Log.Warn("message not sent", zap.Error(err))
			continue
		}
		n.sendData(l.Address, encoded)
	}
}

// sendData sends datagrams to an address.
func (n *Node) sendData(to string, encoded Datagrams) {
	n.reportOmitted(to, encoded.Omitted)
	address, err := net.ResolveUDPAddr("udp4", to)
	if err != nil {
		n.config.Log.Warn("invalid instance address", zap.String("address", to), zap.Error(err))
		return
	}
	for _, data := range encoded.Data {
		// A lost datagram is superseded by the next round, or missed.
		_, _ = n.socket.WriteToUDP(data, address)
		if n.config.OnSent != nil {
			n.config.OnSent(len(data))
		}
	}
}

// ShareStreams tells another instance the origins of streams. A datagram may be lost.
func (n *Node) ShareStreams(to Record, streams []resume.Stream) {
	self := withTable(n, func(t *Table, _ clock.Time) Record { return t.Self() })
	n.sendData(to.Mesh, EncodeStreams(self, to.Name, streams))
}

// SendQuota sends messages about the limits of customers to the instances that they name. A datagram may be lost.
func (n *Node) SendQuota(messages []quota.Outgoing) {
	for _, m := range messages {
		var address string
		self := withTable(n, func(t *Table, _ clock.Time) Record {
			address = t.Address(m.To)
			return t.Self()
		})
		if address == "" {
			continue // forgotten meanwhile
		}
		data, err := EncodeQuota(self, m.To, m.Message)
		if err != nil {
			n.config.Log.Warn("message not sent", zap.Error(err))
			continue
		}
		n.sendData(address, Datagrams{Data: [][]byte{data}})
	}
}

// reportOmitted counts the facts that a message has no room for, and logs them now and then.
func (n *Node) reportOmitted(to string, facts int) {
	if facts == 0 {
		return
	}
	if n.config.OnOmitted != nil {
		n.config.OnOmitted(facts)
	}
	now, last := n.config.Clock.Now(), n.omittedLogged.Load()
	if last > 0 && now.Sub(clock.Time(last)) < omittedLogInterval || !n.omittedLogged.CompareAndSwap(last, int64(now)) {
		return
	}
	n.config.Log.Warn("facts left out of a message", zap.Int("facts", facts), zap.String("to", to))
}

// SetState publishes the new state of this instance immediately.
func (n *Node) SetState(state State) {
	n.send(withTable(n, func(t *Table, now clock.Time) []OutgoingMessage {
		t.SetState(state)
		return t.StateMessages(now)
	}))
}

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.SetSeeds(seeds)
}

// Alive returns the other instances that are reachable and ready.
func (n *Node) Alive() []Record { return withTable(n, (*Table).Alive) }

// StartingInRegion returns the other instances of this region that have no configuration yet.
func (n *Node) StartingInRegion() []Record { return withTable(n, (*Table).StartingInRegion) }

// Leaving returns the instances that have recently started to leave.
func (n *Node) Leaving() []Record { return withTable(n, (*Table).Leaving) }

// LostZones returns the zones of this region whose instances are all gone.
func (n *Node) LostZones() []ident.Zone { return withTable(n, (*Table).LostZones) }

// Regions returns the other regions that are reachable.
func (n *Node) Regions() []Region { return withTable(n, (*Table).Regions) }

// Neighbours returns the other instances of this region that accept hops, with their reach of a service.
func (n *Node) Neighbours(service ident.Service) []Neighbour {
	return withTable(n, func(t *Table, now clock.Time) []Neighbour { return t.Neighbours(now, service) })
}

// Limited returns the names of the instances that reach few endpoints of some service.
func (n *Node) Limited() []ident.Entry { return withTable(n, (*Table).Limited) }

// KnownCount returns the number of instances that may exist, including this one.
func (n *Node) KnownCount() int {
	return withTable(n, func(t *Table, _ clock.Time) int { return t.KnownCount() })
}

// QuotaMembers returns what is known of the instances among which the limits of customers are shared.
func (n *Node) QuotaMembers() quota.Members {
	return withTable(n, func(t *Table, now clock.Time) quota.Members {
		members := quota.Members{Known: t.estimatedCount(now, n.config.Zones), Settled: t.Settled(now) || t.complete(now, n.config.Zones)}
		for _, r := range t.Alive(now) {
			members.Live = append(members.Live, r.Name)
		}
		if self := t.Self(); self.State == Ready {
			members.Live = append(members.Live, self.Name)
		}
		return members
	})
}

// RegionMembers returns the names of all remembered instances of this region, and whether the other
// instances have had enough time to announce themselves.
func (n *Node) RegionMembers() (names []ident.Entry, settled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.RegionMembers(), n.table.Settled(n.config.Clock.Now())
}

// withTable calls fn with the table and the current time while holding the lock.
func withTable[T any](node *Node, fn func(*Table, clock.Time) T) T {
	node.mu.Lock()
	defer node.mu.Unlock()
	return fn(node.table, node.config.Clock.Now())
}

// State returns the published state of this instance.
func (n *Node) State() State {
	return withTable(n, func(t *Table, _ clock.Time) State { return t.Self().State })
}

// Address returns the address for datagrams.
func (n *Node) Address() string { return n.socket.LocalAddr().String() }
