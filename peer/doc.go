// Package peer connects an entry to the others: it runs the probes of the member
// table over the network and carries news, questions about tickets, bundles and
// handed-over ledgers.
package peer

import (
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// Kind classifies the errors of this package.
type Kind string

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Kinds of error.
const (
	// Invalid: the node can't be started with these settings.
	Invalid Kind = "invalid"
	// Unreachable: the other entry did not answer.
	Unreachable Kind = "unreachable"
	// NoSuccessor: no peer took the ledger over.
	NoSuccessor Kind = "no successor"
	// Refused: this entry does not take a ledger, since it is leaving itself.
	Refused Kind = "refused"
)

// Core is what the node needs from the daemon. Its methods are called from several
// goroutines and must not block for long.
type Core interface {
	// News returns what to send with the next probe, without members. The node may
	// change its slices.
	News() news.News
	// Hear takes what came with a probe or its answer.
	Hear(news.News)
	// Ask answers a peer's question about a ticket.
	Ask(ticket.Ticket) ledger.Outcome
	// Bundle returns the signed bundle in force, or nil.
	Bundle() []byte
	// Offer takes a signed bundle that a peer has.
	Offer([]byte)
	// Adopt takes over the ledger of an entry that leaves.
	Adopt(ledger.Handover) error
}

// Kinds of request on the wire.
const (
	pingKind  = "ping"
	relayKind = "relay"
	askKind   = "ask"
	fetchKind = "fetch"
	handKind  = "hand"
)

// ping carries news both ways. Seq is 0 if it serves only to push news.
type ping struct {
	Seq  uint64    `msgpack:"seq"`
	News news.News `msgpack:"news"`
}

type ack struct {
	Seq  uint64    `msgpack:"seq"`
	News news.News `msgpack:"news"`
}

// relay asks the receiver to ping the target; the answer is an ack of the receiver.
type relay struct {
	Seq    uint64      `msgpack:"seq"`
	Target ident.Entry `msgpack:"target"`
	News   news.News   `msgpack:"news"`
}

type ask struct {
	Ticket ticket.Ticket `msgpack:"ticket"`
}

type told struct {
	Outcome ledger.Outcome `msgpack:"outcome"`
}

type fetch struct{}

type given struct {
	Bundle []byte `msgpack:"bundle"`
}

// hand carries the sender's last record too, so that the successor is known even if the
// sender dies before it can announce it.
type hand struct {
	Handover ledger.Handover `msgpack:"handover"`
	Sender   news.Member     `msgpack:"sender"`
}

type taken struct{}

func (ack) Name() string   { return "ack" }
func (told) Name() string  { return "told" }
func (given) Name() string { return "given" }
func (taken) Name() string { return "taken" }
