// Package news declares what entries tell each other in every probe: short,
// idempotent facts that may arrive late, twice or not at all.
package news

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// State is the state of a member as seen by others.
type State string

// States of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Failed  State = "failed"
	Leaving State = "leaving"
	Left    State = "left"
)

// Member is one update about one entry.
type Member struct {
	Entry       ident.Entry       `msgpack:"entry"`
	Incarnation ident.Incarnation `msgpack:"incarnation"`
	// Generation is raised by the member itself to refute a suspicion.
	Generation uint64       `msgpack:"generation"`
	State      State        `msgpack:"state"`
	Region     ident.Region `msgpack:"region"`
	Zone       ident.Zone   `msgpack:"zone"`
	// Successor is the entry that answers for this incarnation's tickets after a handover.
	Successor ident.Entry `msgpack:"successor,omitempty"`
}

// Digest is the SHA-256 of a signed bundle's body.
type Digest [32]byte

// Bundle names the version in force at the sender.
type Bundle struct {
	Version ident.Version `msgpack:"version"`
	Digest  Digest        `msgpack:"digest"`
}

// Departure says that an endpoint is leaving.
type Departure struct {
	Endpoint ident.Endpoint `msgpack:"endpoint"`
	// Age is how long ago the sender learned it.
	Age clock.Span `msgpack:"age"`
}

// Accusation says that a request is suspected of crashing endpoints.
type Accusation struct {
	Fingerprint ident.Fingerprint `msgpack:"fingerprint"`
	// Refused says that no entry should run the request any more.
	Refused bool `msgpack:"refused"`
	// Regions are those that may learn of a home-bound request; empty means all.
	Regions []ident.Region `msgpack:"regions,omitempty"`
	// Rest is how long the accusation still holds.
	Rest clock.Span `msgpack:"rest"`
}

// Visible tells whether entries of a region may learn of the accusation.
func (a Accusation) Visible(to ident.Region) bool {
	return len(a.Regions) == 0 || slices.Contains(a.Regions, to)
}

// Load summarises one service in the sender's region.
type Load struct {
	Region  ident.Region  `msgpack:"region"`
	Service ident.Service `msgpack:"service"`
	Slots   int           `msgpack:"slots"`
	Free    int           `msgpack:"free"`
	Waiting int           `msgpack:"waiting"`
	// Wait is the expected wait of a new request.
	Wait clock.Span `msgpack:"wait"`
	Age  clock.Span `msgpack:"age"`
}

// News is the payload of a probe.
type News struct {
	From        ident.Entry       `msgpack:"from"`
	Incarnation ident.Incarnation `msgpack:"incarnation"`
	Region      ident.Region      `msgpack:"region"`
	Members     []Member          `msgpack:"members,omitempty"`
	Bundle      Bundle            `msgpack:"bundle"`
	Departures  []Departure       `msgpack:"departures,omitempty"`
	Accusations []Accusation      `msgpack:"accusations,omitempty"`
	Loads       []Load            `msgpack:"loads,omitempty"`
}
