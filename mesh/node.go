package mesh

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Config configures a Node.
type Config struct {
	Self  Record
	Seeds []string
	Clock clock.Clock
	Log   *zap.Logger
	Seed  uint64
	// Facts returns what this instance tells the others.
	Facts func() Facts
	// Heard takes what another instance tells.
	Heard func(from Record, f Facts)
}

// Node sends and receives the messages of one instance. It is safe for concurrent use.
type Node struct {
	c      Config
	socket *net.UDPConn
	mu     sync.Mutex
	table  *Table
	alive  int
}

// Start binds the socket of Config.Self.Mesh and runs until ctx ends.
func Start(ctx context.Context, c Config) (*Node, error) {
	address, err := net.ResolveUDPAddr("udp4", c.Self.Mesh)
	if err != nil {
		return nil, fault.Wrap("listen", Listening, err)
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, fault.Wrap("listen", Listening, err)
	}
	c.Self.Mesh = socket.LocalAddr().String()
	n := &Node{c: c, socket: socket, table: NewTable(c.Clock.Now(), c.Self, c.Seeds, c.Seed)}
	go n.receive(ctx)
	go n.run(ctx)
	return n, nil
}

func (n *Node) run(ctx context.Context) {
	defer n.socket.Close() //nolint:errcheck // the process is ending
	for {
		facts := n.c.Facts()
		pause := round
		n.send(get(n, func(t *Table, now clock.Time) []Letter {
			t.Forget(now)
			pause = t.Pause()
			n.logAlive(len(t.Alive(now)))
			return t.Round(now, facts)
		}))
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause.Duration()):
		}
	}
}

func (n *Node) logAlive(count int) {
	if count == n.alive {
		return
	}
	n.c.Log.Info("instances changed", zap.Int("alive", count), zap.Int("before", n.alive))
	n.alive = count
}

func (n *Node) receive(ctx context.Context) {
	buffer := make([]byte, 64<<10)
	for ctx.Err() == nil {
		size, _, err := n.socket.ReadFromUDP(buffer)
		if err != nil {
			if ctx.Err() == nil {
				n.c.Log.Warn("receive failed", zap.Error(err))
				time.Sleep(round.Duration())
			}
			continue
		}
		var m Message
		if err := msgpack.Unmarshal(buffer[:size], &m); err != nil {
			n.c.Log.Warn("message can't be read", zap.Error(err))
			continue
		}
		answer := get(n, func(t *Table, now clock.Time) *Letter { return t.Hear(now, m) })
		n.c.Heard(m.From, m.Facts)
		if answer != nil {
			n.send([]Letter{*answer})
		}
	}
}

// Encode returns the bytes of a datagram: structs are arrays, which takes half the bytes
// that field names would.
func Encode(m Message) ([]byte, error) {
	var data bytes.Buffer
	e := msgpack.NewEncoder(&data)
	e.UseArrayEncodedStructs(true)
	if err := e.Encode(m); err != nil {
		return nil, err
	}
	return data.Bytes(), nil
}

func (n *Node) send(letters []Letter) {
	for _, l := range letters {
		data, err := Encode(l.Message)
		if err != nil || len(data) > maxDatagram {
			n.c.Log.Warn("message can't be sent", zap.Int("bytes", len(data)), zap.Error(err))
			continue
		}
		address, err := net.ResolveUDPAddr("udp4", l.Address)
		if err != nil {
			n.c.Log.Warn("bad address", zap.String("address", l.Address), zap.Error(err))
			continue
		}
		// A lost datagram is repeated by the next round.
		_, _ = n.socket.WriteToUDP(data, address)
	}
}

// SetState tells the others of this instance's new state at once.
func (n *Node) SetState(s State) {
	n.send(get(n, func(t *Table, now clock.Time) []Letter {
		t.SetState(s)
		return t.Farewell(now)
	}))
}

// SetSeeds replaces the seeds.
func (n *Node) SetSeeds(seeds []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.SetSeeds(seeds)
}

// Alive returns the instances that are there and not leaving, this one apart.
func (n *Node) Alive() []Record { return get(n, (*Table).Alive) }

// Stopping returns the instances that have lately begun to leave.
func (n *Node) Stopping() []Record { return get(n, (*Table).Stopping) }

// Regions returns the other regions that can be reached.
func (n *Node) Regions() []Region { return get(n, (*Table).Regions) }

// Known returns how many instances there may be, this one among them.
func (n *Node) Known() int {
	return get(n, func(t *Table, _ clock.Time) int { return t.Known() })
}

// Neighbours returns the names of all remembered instances of this region and whether the
// others have had the time to make themselves known.
func (n *Node) Neighbours() (names []ident.Entry, settled bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Neighbours(), n.table.Settled(n.c.Clock.Now())
}

// get returns what the table says now.
func get[T any](n *Node, fn func(*Table, clock.Time) T) T {
	n.mu.Lock()
	defer n.mu.Unlock()
	return fn(n.table, n.c.Clock.Now())
}

// State returns what this instance says of itself.
func (n *Node) State() State {
	return get(n, func(t *Table, _ clock.Time) State { return t.Self().State })
}

// Address returns the address for datagrams.
func (n *Node) Address() string { return n.socket.LocalAddr().String() }
