// Package gossip defines the gossip payload that entries exchange with every probe. All
// updates are idempotent, since they may arrive late, twice or not at all.
package gossip

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// State is the state of a member as seen by other members.
type State string

// States of a member.
const (
	Alive   State = "alive"
	Suspect State = "suspect"
	Failed  State = "failed"
	Leaving State = "leaving"
	Left    State = "left"
)

// Member is a membership update about one entry.
type Member struct {
	Entry       ident.Entry       `msgpack:"entry"`
	Incarnation ident.Incarnation `msgpack:"incarnation"`
	// Generation is incremented by the member itself, to refute a failure report or to
	// announce a state.
	Generation uint64       `msgpack:"generation"`
	State      State        `msgpack:"state"`
	Region     ident.Region `msgpack:"region"`
	Zone       ident.Zone   `msgpack:"zone"`
	// Successor is the entry that owns this incarnation's tickets after a handover.
	Successor ident.Entry `msgpack:"successor,omitempty"`
}

// Digest is the SHA-256 digest of a signed bundle's body.
type Digest [32]byte

// Bundle identifies the bundle in force at the sender.
type Bundle struct {
	Version ident.Version `msgpack:"version"`
	Digest  Digest        `msgpack:"digest"`
}

// Departure reports that an endpoint is leaving.
type Departure struct {
	Endpoint ident.Endpoint `msgpack:"endpoint"`
	// Age is the time since the sender learned of it.
	Age clock.Span `msgpack:"age"`
}

// CrashReport reports that a request was in flight at an endpoint when that crashed.
type CrashReport struct {
	Fingerprint ident.Fingerprint `msgpack:"fingerprint"`
	// Refused means that no entry should run the request again.
	Refused bool `msgpack:"refused"`
	// Regions are the regions that may learn of a request bound to its home; empty means all.
	Regions []ident.Region `msgpack:"regions,omitempty"`
	// Remaining is the remaining validity of the report.
	Remaining clock.Span `msgpack:"rest"`
	// Crash identifies the crash; 0 in the reports of earlier builds, which name none.
	Crash ident.Crash `msgpack:"crash,omitempty"`
	// Starting is set if the request had no output yet, or only since moments before the crash.
	Starting bool `msgpack:"start,omitempty"`
}

// Refusal reports that a request is refused because it crashed endpoints. Its encoding as an array is
// that of the crash reports of earlier builds.
type Refusal struct {
	Fingerprint ident.Fingerprint
	// Refused is always set; earlier builds also send suspicions.
	Refused bool
	// Regions are the regions that may learn of a request bound to its home; empty means all.
	Regions []ident.Region
	// Remaining is the remaining time of the refusal.
	Remaining clock.Span
}

// Visible reports whether entries of the region may learn of the refusal.
func (r Refusal) Visible(to ident.Region) bool { return visible(r.Regions, to) }

// Visible reports whether entries of the region may learn of the report.
func (r CrashReport) Visible(to ident.Region) bool { return visible(r.Regions, to) }

// visible reports whether a region is one of those that may learn of something; none listed means all.
func visible(regions []ident.Region, to ident.Region) bool {
	return len(regions) == 0 || slices.Contains(regions, to)
}

// VisibleTo returns the facts that a region may learn of.
func VisibleTo[T interface{ Visible(to ident.Region) bool }](region ident.Region, facts []T) (visible []T) {
	for _, f := range facts {
		if f.Visible(region) {
			visible = append(visible, f)
		}
	}
	return visible
}

// Load summarises the load of one service in the sender's region.
type Load struct {
	Region  ident.Region  `msgpack:"region"`
	Service ident.Service `msgpack:"service"`
	Slots   int           `msgpack:"slots"`
	Free    int           `msgpack:"free"`
	Waiting int           `msgpack:"waiting"`
	// ExpectedWait is the expected queueing time of a new request.
	ExpectedWait clock.Span `msgpack:"wait"`
	// Age is the age of these figures.
	Age clock.Span `msgpack:"age"`
}

// Payload is the gossip payload of a probe.
type Payload struct {
	From         ident.Entry       `msgpack:"from"`
	Incarnation  ident.Incarnation `msgpack:"incarnation"`
	Region       ident.Region      `msgpack:"region"`
	Members      []Member          `msgpack:"members,omitempty"`
	Bundle       Bundle            `msgpack:"bundle"`
	Departures   []Departure       `msgpack:"departures,omitempty"`
	CrashReports []CrashReport     `msgpack:"accusations,omitempty"`
	Loads        []Load            `msgpack:"loads,omitempty"`
}
