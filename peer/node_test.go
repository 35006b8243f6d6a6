package peer_test

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/peer"
	"github.com/tanagerbridge/tanagerbridge/ticket"
	"github.com/tanagerbridge/tanagerbridge/watch"
	"github.com/tanagerbridge/tanagerbridge/wire"
)

const (
	waitTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
)

// stubDelegate is a peer.Delegate that accepts every bundle with a higher version.
type stubDelegate struct {
	mu         sync.Mutex
	current    gossip.Bundle
	bundle     []byte
	offers     int
	conflicts  int
	departures []gossip.Departure
	merged     []gossip.Departure
	ledger     *ledger.Ledger
	adopts     bool
	leases     *crash.Leases
	adopted    []ledger.Handover
}

// lock locks the mutex and returns the function that unlocks it.
func (s *stubDelegate) lock() func() {
	s.mu.Lock()
	return s.mu.Unlock
}

func (s *stubDelegate) set(change func(*stubDelegate)) {
	defer s.lock()()
	change(s)
}

func (s *stubDelegate) Gossip() gossip.Payload {
	defer s.lock()()
	return gossip.Payload{Bundle: s.current, Departures: s.departures}
}

func (s *stubDelegate) MergeGossip(payload gossip.Payload) {
	defer s.lock()()
	s.merged = append(s.merged, payload.Departures...)
}

func (s *stubDelegate) HandleLease(request crash.LeaseRequest) crash.LeaseReply {
	defer s.lock()()
	return crash.LeaseReply{Granted: s.leases.Grant(1, request.Fingerprint, request.Holder)}
}

func (s *stubDelegate) TicketOutcome(issued ticket.Ticket) ledger.Outcome {
	defer s.lock()()
	if outcome, ok := s.ledger.AdoptedOutcome(1, issued); ok {
		return outcome
	}
	return s.ledger.ResolveTicket(1, issued)
}

func (s *stubDelegate) Bundle() []byte {
	defer s.lock()()
	return s.bundle
}

func (s *stubDelegate) OfferBundle(b []byte) {
	defer s.lock()()
	s.offers++
	offered := bundleOf(b)
	if offered.Version == s.current.Version && offered != s.current {
		s.conflicts++
	}
	if offered.Version > s.current.Version {
		s.current, s.bundle = offered, b
	}
}

func (s *stubDelegate) AdoptLedger(handover ledger.Handover) error {
	defer s.lock()()
	if !s.adopts {
		return errors.New("no room")
	}
	s.adopted = append(s.adopted, handover)
	s.ledger.Adopt(1, handover)
	return nil
}

// bundleOf decodes a test bundle: one byte of version and one of digest.
func bundleOf(b []byte) gossip.Bundle {
	return gossip.Bundle{Version: ident.Version(b[0]), Digest: gossip.Digest{b[1]}}
}

func (s *stubDelegate) version() ident.Version { return s.Gossip().Bundle.Version }

type fleet struct {
	nodes     []*peer.Node
	delegates []*stubDelegate
	list      []watch.Instance
}

var regions = []ident.Region{"gauteng", "kzn", "gauteng"}

func start(t *testing.T, secrets ...wire.Secrets) *fleet {
	t.Helper()
	f := &fleet{}
	for i, r := range regions {
		name := ident.Entry(fmt.Sprintf("e%d", i))
		secret := wire.Secrets{Current: []byte("the secret of the fleet")}
		if i < len(secrets) {
			secret = secrets[i]
		}
		delegate := &stubDelegate{adopts: true, leases: crash.NewLeases(), ledger: ledger.New(ledger.Config{Entry: name, Incarnation: 1, Margin: clock.Minute, AnswerLimit: 1 << 20})}
		node, err := peer.Start(t.Context(), peer.Config{
			Self:   gossip.Member{Entry: name, Incarnation: 1, Region: r, Zone: "z"},
			Listen: "127.0.0.1:0", Delegate: delegate, Seed: uint64(i), Secrets: secret,
			Period: 100 * clock.Millisecond, Suspicion: clock.Second,
		})
		require.NoError(t, err)
		t.Cleanup(node.Close)
		f.nodes, f.delegates = append(f.nodes, node), append(f.delegates, delegate)
		f.list = append(f.list, watch.Instance{
			Name: string(name), Role: watch.RoleEntry, Region: r, Zone: "z", State: watch.StateLive, Peer: node.Address(),
		})
	}
	for _, n := range f.nodes {
		n.Sync(f.list)
	}
	return f
}

// awaitConverged waits until every node is ready and knows the incarnation of every other.
func (f *fleet) awaitConverged(t *testing.T) {
	t.Helper()
	eventually(t, func() bool {
		for _, n := range f.nodes {
			known := 0
			for _, m := range n.Live() {
				known += int(min(m.Incarnation, 1))
			}
			if !n.Ready() || known != len(f.nodes)-1 {
				return false
			}
		}
		return true
	})
}

func eventually(t *testing.T, condition func() bool) {
	t.Helper()
	require.Eventually(t, condition, waitTimeout, pollInterval)
}

// Guards against a bundle that does not reach every entry, and against an undetected
// conflict of two bundles with the same version.
func TestBundleSpreads(t *testing.T) {
	f := start(t)
	f.awaitConverged(t)
	f.delegates[0].OfferBundle([]byte{7, 1})
	f.nodes[0].PushGossip()
	for _, c := range f.delegates {
		eventually(t, func() bool { return c.version() == 7 })
	}
	f.delegates[1].set(func(c *stubDelegate) {
		c.current, c.bundle = gossip.Bundle{Version: 7, Digest: gossip.Digest{2}}, []byte{7, 2}
	})
	eventually(t, func() bool {
		defer f.delegates[0].lock()()
		return f.delegates[0].conflicts == 1
	})
	require.Equal(t, gossip.Digest{1}, f.delegates[0].Gossip().Bundle.Digest)
	require.LessOrEqual(t, f.delegates[0].offers, 3, "a rejected bundle is not fetched again with every probe")
}

// Guards against a push that waits for the next probes.
func TestPush(t *testing.T) {
	f := start(t)
	f.awaitConverged(t)
	f.delegates[2].set(func(c *stubDelegate) { c.departures = []gossip.Departure{{Endpoint: "r7"}} })
	for range 100 {
		f.nodes[2].PushGossip()
	}
	for _, c := range f.delegates[:2] {
		eventually(t, func() bool {
			defer c.lock()()
			return slices.ContainsFunc(c.merged, func(d gossip.Departure) bool { return d.Endpoint == "r7" })
		})
	}
}

// Guards against a ticket query that goes to the wrong entry, and against the outcome
// "not run" for a ticket whose owner is unreachable.
func TestQueryTicket(t *testing.T) {
	f := start(t)
	f.awaitConverged(t)
	issued := f.delegates[1].ledger.Issue(1, "orders", "", clock.Minute)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	outcome, err := f.nodes[0].QueryTicket(ctx, issued)
	require.NoError(t, err)
	require.Equal(t, ledger.Void, outcome.State)
	f.nodes[1].Close()
	_, err = f.nodes[0].QueryTicket(ctx, issued)
	require.Equal(t, peer.KindUnreachable, fault.KindOf[peer.Kind](err))
	eventually(t, func() bool { return len(f.nodes[0].Live()) == 1 })
}

// Guards against a lease that goes to the wrong entry, and against one that is taken for granted
// because its owner is unreachable.
func TestLease(t *testing.T) {
	f := start(t)
	f.awaitConverged(t)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	request := func(holder ident.Request) crash.LeaseRequest {
		return crash.LeaseRequest{Fingerprint: 7, Holder: crash.Holder{Entry: "e", Incarnation: 1, Request: holder}}
	}
	owner := f.delegates[1].ledger.Issue(1, "orders", "", clock.Minute).Entry
	require.True(t, f.nodes[0].Lease(ctx, owner, request("a")).Granted)
	require.False(t, f.nodes[2].Lease(ctx, owner, request("b")).Granted)
	f.nodes[1].Close()
	require.False(t, f.nodes[0].Lease(ctx, owner, request("a")).Granted)
}

// Guards against outcomes that are lost when an entry leaves: if the first peer declines
// the ledger another takes it over, and every other entry learns the successor.
func TestLeave(t *testing.T) {
	f := start(t)
	f.awaitConverged(t)
	l := f.delegates[0].ledger
	ran := l.Issue(1, "orders", "", clock.Minute)
	unseen := l.Issue(1, "orders", "", clock.Minute)
	require.Equal(t, ledger.Run, l.Begin(1, ran, "q1").Decision)
	l.Finish(1, ran.Sequence, ledger.Outcome{State: ledger.Done, Answer: ledger.Answer{Status: 201}})
	f.delegates[2].set(func(c *stubDelegate) { c.adopts = false })
	f.nodes[0].Drain()
	eventually(t, func() bool { return len(f.nodes[1].Live()) == 1 })

	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	require.NoError(t, f.nodes[0].Leave(ctx, l.Seal(1)))
	f.nodes[0].Close()
	require.Len(t, f.delegates[1].adopted, 1)
	for _, n := range f.nodes[1:] {
		eventually(t, func() bool {
			outcome, err := n.QueryTicket(ctx, ran)
			return err == nil && outcome.State == ledger.Done && outcome.Answer.Status == 201
		})
		outcome, err := n.QueryTicket(ctx, unseen)
		require.NoError(t, err)
		require.Equal(t, ledger.Void, outcome.State)
	}
}

// Guards against an entry that reports a successful departure although no peer took its
// ledger.
func TestLeaveAlone(t *testing.T) {
	f := start(t)
	f.awaitConverged(t)
	f.nodes[1].Close()
	f.nodes[2].Close()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	err := f.nodes[0].Leave(ctx, f.delegates[0].ledger.Seal(1))
	require.Equal(t, peer.KindNoSuccessor, fault.KindOf[peer.Kind](err))
	require.False(t, f.nodes[0].Ready())
}

// Guards against a departure that is not announced because the handover used up the
// deadline.
func TestLeaveOutOfTime(t *testing.T) {
	f := start(t)
	f.awaitConverged(t)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	require.Error(t, f.nodes[0].Leave(ctx, f.delegates[0].ledger.Seal(1)))
	f.nodes[0].Close()
	for _, n := range f.nodes[1:] {
		eventually(t, func() bool { return n.Members()[0].State == gossip.Left })
	}
}

// Guards against a process with another secret that exchanges gossip or counts as a peer.
func TestUnauthenticatedIsNoPeer(t *testing.T) {
	f := start(t, wire.Secrets{Current: []byte("the secret of another fleet")})
	f.delegates[0].OfferBundle([]byte{9, 9})
	for _, n := range f.nodes[1:] {
		eventually(t, func() bool { return len(n.Live()) == 1 && n.Ready() })
	}
	eventually(t, f.nodes[0].Ready)
	require.Zero(t, f.delegates[1].version())
	require.Zero(t, f.delegates[2].version())
}

// Guards against an entry that counts as live because another one answers at its address.
func TestAddressOfAnotherEntry(t *testing.T) {
	f := start(t)
	wrong := slices.Clone(f.list)
	wrong[1].Peer = f.list[2].Peer
	f.nodes[0].Sync(wrong)
	f.nodes[1].Close()
	eventually(t, func() bool {
		live := f.nodes[0].Live()
		return len(live) == 1 && live[0].Entry == "e2"
	})
}

// Guards against a start that succeeds without a name, delegate, listener or secret.
func TestStartErrors(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	good := peer.Config{
		Self: gossip.Member{Entry: "e", Incarnation: 1}, Listen: "127.0.0.1:0", Delegate: &stubDelegate{},
		Secrets: wire.Secrets{Current: []byte("the secret of the fleet")},
	}
	for name, change := range map[string]func(*peer.Config){
		"no name":     func(c *peer.Config) { c.Self.Entry = "" },
		"no delegate": func(c *peer.Config) { c.Delegate = nil },
		"no secret":   func(c *peer.Config) { c.Secrets = wire.Secrets{} },
		"port used":   func(c *peer.Config) { c.Listen = listener.Addr().String() },
	} {
		c := good
		change(&c)
		_, err := peer.Start(t.Context(), c)
		require.Equal(t, peer.KindInvalid, fault.KindOf[peer.Kind](err), name)
	}
}
