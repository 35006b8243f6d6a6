// Package mesh implements membership and the exchange of short, idempotent facts between the
// instances over UDP: which instances exist, their state, and the load of the endpoints.
//
// Each instance increments a counter in its own record. In each round it sends a heartbeat to a few
// monitors of its region; a monitor that hears nothing probes the instance, directly and through
// others, and then tells all instances that it is down. An instance that is wrongly considered down
// refutes that with a higher counter. Records also spread by gossip, and an instance whose counter
// does not change for a long time is considered gone without a monitor. Datagrams may be lost,
// delayed or duplicated, and no decision depends on their order.
package mesh

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/quota"
	"github.com/tanagerbridge/tanagerbridge/resume"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindListen says that the address cannot be bound.
	KindListen Kind = "listening"
	// KindTooLarge says that a message does not fit into a datagram.
	KindTooLarge Kind = "too large"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// State is the lifecycle state that an instance publishes.
type State uint8

// States.
const (
	// Starting: the instance has no configuration yet.
	Starting State = iota
	// Ready: the instance accepts requests.
	Ready
	// Leaving: the instance must not be named to callers any more; it still serves requests for a
	// short time.
	Leaving
	// Closed: the instance refuses new requests and completes those in progress.
	Closed
)

// Record describes one instance.
type Record struct {
	Name        ident.Entry
	Incarnation ident.Incarnation
	// Counter is incremented by the instance in each round.
	Counter uint64
	State   State
	Region  ident.Region
	Zone    ident.Zone
	// Mesh is the address for datagrams, Front the one for callers and Hop the one for requests
	// that another instance passes on.
	Mesh  string
	Front string
	Hop   string
}

// DownNotice says that an instance is down: a monitor heard nothing of it after this counter value.
type DownNotice struct {
	Name        ident.Entry
	Incarnation ident.Incarnation
	Counter     uint64
}

// Message is the content of one datagram, or of several if there is much to report; see EncodeMessage. Its
// fields can't be changed without breaking the exchange with other builds.
type Message struct {
	From Record
	// Receiver is the name of the intended receiver, or empty if the sender knows only its address.
	Receiver ident.Entry
	// Heartbeat reports whether the receiver is one of the sender's monitors.
	Heartbeat bool
	// Down lists instances that are down, and RelayDown asks the receiver to tell its region.
	Down      []DownNotice
	RelayDown bool
	// Probe lists instances that the receiver is asked to probe for the sender.
	Probe []ident.Entry
	// Reached lists instances that have answered such a probe.
	Reached []ident.Entry
	// Join requests the records of many instances, those of the sender's region from JoinFrom on.
	Join     bool
	JoinFrom ident.Entry
	// HearsReceiver reports whether the sender has recently received a message from the receiver.
	HearsReceiver bool
	// Records describe some other instances.
	Records []Record
	Facts
	// WantReply requests an immediate message in return.
	WantReply bool
	// Sent is the sender's time, EchoedTime the latest Sent value received from the receiver and
	// HoldTime the time since then. From these the receiver computes the round-trip time.
	Sent       clock.Time
	EchoedTime clock.Time
	HoldTime   clock.Span
}

// Facts is what an instance reports about endpoints and requests.
type Facts struct {
	// Loads is the sender's load on the endpoints of its region; it is sent within the region only.
	Loads []EndpointLoad
	// Services is the capacity of the sender's region, sorted by service; it is sent to other regions only.
	Services []pool.Summary
	// Refusals tells which requests are refused, also to instances that don't know why.
	Refusals []gossip.Refusal
	// CrashReports is what is known of requests that crash endpoints, Parts the same of prompt parts. They
	// are sent in datagrams of their own: a build accepts only arrays with its own number of fields.
	CrashReports []gossip.CrashReport `msgpack:"-"`
	Parts        gossip.PartFacts     `msgpack:"-"`
	// Streams tells the origins of streams that began at the sender.
	Streams []resume.Stream `msgpack:"-"`
	// ServiceRange is the part of the region's services that Services tells.
	ServiceRange ServiceRange `msgpack:"-"`
	// Reach tells of which services the sender does not reach all endpoints of its region.
	Reach []ServiceReach `msgpack:"-"`
	// Quota is a message about the limits of customers. It is handed to Config.OnQuota, without the other facts.
	Quota quota.Message `msgpack:"-"`
}

// EndpointLoad is the load that the sender puts on one endpoint.
type EndpointLoad struct {
	Endpoint ident.Endpoint
	Count    int
	// PrefillBacklog holds the prompt tokens that await prefill, by priority.
	PrefillBacklog []ident.Tokens
	MemoryTokens   ident.Tokens
}

const (
	// roundInterval is the time between two rounds of messages. From largeFleetSize other instances
	// on, facts are sent in every largeFleetRounds-th round only, which bounds the control traffic.
	roundInterval    = 200 * clock.Millisecond
	largeFleetRounds = 2
	largeFleetSize   = 40
	// regionFanout and remoteFanout are how many instances of the own region and of other regions
	// get a message per round. They bound what an instance sends, regardless of the size of the
	// fleet.
	regionFanout = 6
	remoteFanout = 2
	// startGossipRecords and maxGossipRecords are the maximum number of other instances' records in a
	// message within the region, shortly after the start and later, maxRemoteRecords the same to other
	// regions, and maxJoinRegional and maxJoinOthers that in the reply to an instance that joins.
	startGossipRecords = 4
	maxGossipRecords   = 2
	maxRemoteRecords   = 1
	maxJoinRegional    = 32
	maxJoinOthers      = 12
	// joinFanout is how many instances of the own region are asked for records in each round with
	// facts during settleTime.
	joinFanout = 2
	// minRegionHops is how many instances of another region an instance wants to know early that
	// accept hops, and regionRequestFanout how many it asks in each round until then.
	minRegionHops       = 4
	regionRequestFanout = 12
	// maxLoads bounds the endpoint loads in one message; the largest ones are kept.
	maxLoads = 160
	// minAliveTimeout is how long an instance counts as alive without a counter change in a small
	// fleet.
	minAliveTimeout = 1800 * clock.Millisecond
	// aliveCycles is how many complete cycles of sending to all instances this timeout covers in a
	// large fleet.
	aliveCycles = 3
	// zoneMonitors and otherZoneMonitors are how many instances of its own zone and of the other
	// zones of its region monitor an instance, so that the loss of a zone is noticed too.
	zoneMonitors      = 2
	otherZoneMonitors = 2
	// suspectTimeout is the silence after which a monitor probes an instance, and probeTimeout the
	// time for an answer before it is declared down. indirectProbes is how many other instances are
	// asked to probe it too.
	suspectTimeout = 600 * clock.Millisecond
	probeTimeout   = 400 * clock.Millisecond
	indirectProbes = 2
	// manyDown is the number of recent notices from which an instance also monitors the instances that
	// it sends facts to: all monitors of an instance may have died with it.
	manyDown = 3
	// recentMessage is the age of an instance's own last message up to which a notice that it is
	// down is ignored.
	recentMessage = 600 * clock.Millisecond
	// maxRoundDelay is the delay of a round from which this instance assumes that it was itself
	// suspended or overloaded, and gives others a new suspectTimeout.
	maxRoundDelay = 200 * clock.Millisecond
	// noticeRetention is how long a notice is repeated in messages with facts, maxNotices the maximum
	// number in one message. noticeCounterSlack is by how much the counter may be above that of the
	// notice: others may have heard the instance once more than the monitor.
	noticeRetention    = 3 * clock.Second
	maxNotices         = 64
	noticeCounterSlack = 3
	// refuteInterval is the minimum interval between two refutations of an instance.
	refuteInterval = 1 * clock.Second
	// downRelays is how many instances of each other region are told of an instance that is down;
	// they tell their region.
	downRelays = 4
	// roundTripDecayDivisor limits the growth of the round-trip estimate per sample to
	// 1/roundTripDecayDivisor of the difference.
	roundTripDecayDivisor = 16
	// minRegionTimeout is the minimum time without a message from another region after which its
	// instances count as down, and regionTimeoutRounds the minimum number of rounds in that time.
	minRegionTimeout    = 2 * clock.Second
	regionTimeoutRounds = 8
	// minZoneMembers is the number of instances from which a zone can be told to be lost.
	minZoneMembers = 2
	// peerRetention is how long an instance is remembered after it was last alive. Limits that all
	// instances share are divided by the number of remembered instances.
	peerRetention = 90 * clock.Second
	// settleTime is the time after the start within which the other instances are expected to have
	// announced themselves.
	settleTime = 5 * clock.Second
	// completeTime is the time without a further instance after which the known ones are taken for all.
	completeTime = 1 * clock.Second
	// summaryTTL is how long a report of another region about its services is used.
	summaryTTL = 2 * clock.Second
	// replacementWindow is the time after an instance starts to leave within which its replacement
	// is expected.
	replacementWindow = 15 * clock.Second
	// maxDatagramBytes bounds a message; larger ones would be fragmented into many packets.
	maxDatagramBytes = 8 << 10
)
