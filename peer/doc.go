// Package peer implements the protocol between entries: it runs the probes of the member
// table over the network and exchanges gossip, ticket outcomes, bundles and ledgers.
package peer

import (
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// Kind classifies the errors of this package.
type Kind string

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Kinds of errors.
const (
	// KindInvalid means that the node can't be started with the given settings.
	KindInvalid Kind = "invalid"
	// KindUnreachable means that the other entry did not answer, or not as expected.
	KindUnreachable Kind = "unreachable"
	// KindNoSuccessor means that no peer accepted the ledger.
	KindNoSuccessor Kind = "no successor"
	// KindRefused means that this entry accepts no ledger, since it is leaving itself.
	KindRefused Kind = "refused"
)

// Delegate is the entry's state as seen by its node. Its methods are called concurrently and
// must not block for long.
type Delegate interface {
	// Gossip returns the gossip for the next probe, without members. The node may modify
	// its slices.
	Gossip() gossip.Payload
	// MergeGossip merges gossip received with a probe or its answer.
	MergeGossip(gossip.Payload)
	// TicketOutcome returns the outcome of a ticket that a peer asks about.
	TicketOutcome(ticket.Ticket) ledger.Outcome
	// HandleLease processes a lease request of a peer.
	HandleLease(crash.LeaseRequest) crash.LeaseReply
	// Bundle returns the signed bundle in force, or nil.
	Bundle() []byte
	// OfferBundle passes on a signed bundle fetched from a peer.
	OfferBundle([]byte)
	// AdoptLedger takes over the ledger of a leaving entry. An error declines it.
	AdoptLedger(ledger.Handover) error
}

// Request kinds on the wire.
const (
	pingKind     = "ping"
	relayKind    = "relay"
	queryKind    = "ask"
	fetchKind    = "fetch"
	handoverKind = "hand"
	leaseKind    = "lease"
)

// pingRequest probes the receiver and exchanges gossip. Seq is 0 for pings outside the
// probe schedule, such as pushes.
type pingRequest struct {
	Seq    uint64         `msgpack:"seq"`
	Gossip gossip.Payload `msgpack:"news"`
}

type ack struct {
	Seq    uint64         `msgpack:"seq"`
	Gossip gossip.Payload `msgpack:"news"`
}

// relayRequest asks the receiver to ping the target. The receiver acks if that succeeds.
type relayRequest struct {
	Seq    uint64         `msgpack:"seq"`
	Target ident.Entry    `msgpack:"target"`
	Gossip gossip.Payload `msgpack:"news"`
}

type queryRequest struct {
	Ticket ticket.Ticket `msgpack:"ticket"`
}

type queryReply struct {
	Outcome ledger.Outcome `msgpack:"outcome"`
}

type leaseReply struct {
	Reply crash.LeaseReply `msgpack:"reply"`
}

type fetchRequest struct{}

type fetchReply struct {
	Bundle []byte `msgpack:"bundle"`
}

// handoverRequest includes the sender's final record, so that the successor becomes known
// even if the sender dies before announcing it.
type handoverRequest struct {
	Handover ledger.Handover `msgpack:"handover"`
	Sender   gossip.Member   `msgpack:"sender"`
}

type handoverReply struct{}

func (ack) Name() string           { return "ack" }
func (queryReply) Name() string    { return "told" }
func (fetchReply) Name() string    { return "given" }
func (handoverReply) Name() string { return "taken" }
func (leaseReply) Name() string    { return "leased" }
