// Package mesh lets the instances find each other and tell each other short, idempotent
// facts over UDP: who is there, in which state, and how loaded the endpoints are.
//
// Each instance raises a counter in its own record. Records spread by gossip; an instance
// whose counter stands still for too long counts as gone. Datagrams may be lost, late or
// doubled, and nothing is decided by their order.
package mesh

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Listening says that the address can't be bound.
	Listening Kind = "listening"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// State is what an instance says of itself.
type State uint8

// States.
const (
	// Starting says that the instance has no configuration yet.
	Starting State = iota
	// Ready says that the instance takes work.
	Ready
	// Leaving says that the instance is to be named to nobody; it serves for a moment.
	Leaving
	// Closed says that the instance takes no requests and finishes those in progress.
	Closed
)

// Record describes one instance.
type Record struct {
	Name        ident.Entry
	Incarnation ident.Incarnation
	// Counter is raised by the instance with each round.
	Counter uint64
	State   State
	Region  ident.Region
	Zone    ident.Zone
	// Mesh is the address for datagrams, Front the one for callers and Hop the one for
	// requests that another instance passes on.
	Mesh  string
	Front string
	Hop   string
}

// Message is one datagram.
type Message struct {
	From Record
	// Heard says that the sender has lately heard from the receiver.
	Heard bool
	// Records are some other instances.
	Records []Record
	Facts
	// Reply asks for a message at once.
	Reply bool
	// Sent is the sender's time, Echo the last such time that came from the receiver and Held
	// how long ago that was. They give the receiver the time of a round trip.
	Sent clock.Time
	Echo clock.Time
	Held clock.Span
}

// Facts are what an instance tells of endpoints and requests.
type Facts struct {
	// Work is the sender's work on the endpoints of its region; sent within a region.
	Work []Work
	// Services is what the sender's region can do; sent to other regions.
	Services []pool.Summary
	// Accusations name requests that are suspected of crashing endpoints.
	Accusations []news.Accusation
}

// Work is the sender's work on one endpoint.
type Work struct {
	Endpoint ident.Endpoint
	Count    int
	// Reading holds the prompt tokens still to be read, by rank.
	Reading []ident.Tokens
	Holding ident.Tokens
}

const (
	// round is the time between two rounds of messages, and longRound the same in a fleet of
	// more than smallFleet instances: it bounds the bytes that control takes.
	round      = 200 * clock.Millisecond
	longRound  = 400 * clock.Millisecond
	smallFleet = 40
	// nearFan and farFan are how many instances of the own and of other regions get a
	// message in one round. They bound what an instance sends at any size of the fleet.
	nearFan = 6
	farFan  = 2
	// gossipRecords is how many other records a message carries.
	gossipRecords = 4
	// maxAccusations bounds the accusations of one message.
	maxAccusations = 16
	// aliveSpan is how long an instance counts as alive without news in a small fleet.
	aliveSpan = 1800 * clock.Millisecond
	// aliveRounds is how many turns through all instances make that time in a large fleet.
	aliveRounds = 3
	// tripPart is the part, as a divisor, by which an estimate of a round trip grows.
	tripPart = 16
	// regionSpan is how long no message may come from another region before its instances
	// don't count as alive, and regionRounds the least number of rounds in that time.
	regionSpan   = 2 * clock.Second
	regionRounds = 8
	// knownSpan is how long an instance is remembered after it was last alive. Bounds that
	// all instances share are divided by those that are remembered.
	knownSpan = 90 * clock.Second
	// settleSpan is how long after the start the others have had to make themselves known.
	settleSpan = 5 * clock.Second
	// summaryLife is how long what another region tells of its services counts.
	summaryLife = 2 * clock.Second
	// replaceSpan is how long after it began to leave an instance's replacement is expected.
	replaceSpan = 15 * clock.Second
	// maxDatagram bounds a message in bytes; larger ones would be fragmented into many packets.
	maxDatagram = 8 << 10
)
