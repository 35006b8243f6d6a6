package mesh

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

// peer is another instance.
type peer struct {
	Record
	// counterSeen is when the counter was last seen to increase, lastMessage when the last message
	// of the instance itself arrived.
	counterSeen clock.Time
	lastMessage clock.Time
	// hearsSelf reports whether the peer recently received a message from this instance.
	hearsSelf bool
	// peerSendTime is the peer's clock in its last message that carries one, echoHeldFrom when that
	// message arrived, and roundTrip the estimated minimum round-trip time.
	peerSendTime clock.Time
	echoHeldFrom clock.Time
	roundTrip    clock.Span
	// reports is what the peer has told of the capacity of its region, the oldest report first.
	reports []serviceReport
	// reach is what the peer has told of the endpoints that it reaches, by service.
	reach map[ident.Service]reachReport
	// down reports whether a monitor has declared the instance down, downSince is when this one learned
	// of that, and downCounter the counter above which it is up again.
	down        bool
	downSince   clock.Time
	downCounter uint64
	// monitored reports whether this instance is one of the peer's monitors, probedAt is when it sent
	// a probe that is not answered yet, 0 if none, and reachedAt when another instance last reached
	// the peer.
	monitored bool
	probedAt  clock.Time
	reachedAt clock.Time
}

// Table is what an instance knows about the other instances. It is not safe for concurrent use.
type Table struct {
	self    Record
	started clock.Time
	// grewAt is when an instance last became known.
	grewAt clock.Time
	peers  map[ident.Entry]*peer
	seeds  []string
	// lastReceived is when the last message of any instance of a region arrived.
	lastReceived map[ident.Region]clock.Time
	// names holds the remembered instances in sorted order, as of the last round.
	names []ident.Entry
	// regionPeers and remotePeers are the numbers of remembered instances in this region and in
	// the others.
	regionPeers, remotePeers int
	regionCount              int

	regionCursor int
	remoteCursor int
	// requestCursor is the position in the instances that are asked for the capacity of their region.
	requestCursor int
	// joinCursor is where the next reply to this instance, while it joins, is to list its region.
	joinCursor int
	rng        *rand.Rand

	// services is the capacity of this region as of the last round.
	services []pool.Summary

	// round counts the rounds, and lastRound is when the last one began.
	round     uint64
	lastRound clock.Time
	// lastMessage is when the last message of any instance arrived.
	lastMessage clock.Time
	// detectFrom is the time before which silent instances are not probed.
	detectFrom    clock.Time
	probeRequests []probeRequest
	lastRefuted   clock.Time
}

// NewTable returns a Table that knows only the addresses of the seeds.
func NewTable(now clock.Time, self Record, seeds []string, seed uint64) *Table {
	table := &Table{
		self: self, started: now, peers: make(map[ident.Entry]*peer),
		lastReceived: make(map[ident.Region]clock.Time), rng: rand.New(rand.NewPCG(seed, 1)),
	}
	// If all instances started at the same position, they would send to the same peer at the same
	// time.
	table.regionCursor, table.remoteCursor = table.rng.IntN(math.MaxInt32), table.rng.IntN(math.MaxInt32)
	table.SetSeeds(seeds)
	return table
}

// SetSeeds replaces the addresses that are contacted while no live instance is known there.
func (t *Table) SetSeeds(seeds []string) {
	t.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == t.self.Mesh })
}

// SetState changes the published state of this instance. It never returns to an earlier state.
func (t *Table) SetState(state State) { t.self.State = max(t.self.State, state) }

// Self returns the record of this instance.
func (t *Table) Self() Record { return t.self }

// Accepts reports whether a message is meant for this instance and from another one. An address may
// have belonged to another instance before.
func (t *Table) Accepts(message Message) bool {
	return message.From.Name != t.self.Name && message.From.Name != "" && (message.Receiver == "" || message.Receiver == t.self.Name)
}

// Receive processes a message and returns the messages to send in response.
func (t *Table) Receive(now clock.Time, message Message) []OutgoingMessage {
	if !t.Accepts(message) {
		return nil
	}
	known := t.peers[message.From.Name]
	wasDown := known != nil && known.down && known.Incarnation == message.From.Incarnation
	t.mergeRecord(now, message.From)
	for _, r := range message.Records {
		t.mergeRecord(now, r)
	}
	sender := t.peers[message.From.Name]
	if sender == nil || sender.Incarnation != message.From.Incarnation {
		return t.replyToEarlier(sender, message)
	}
	t.recordMessage(now, sender, message)
	t.recordReached(now, message.Reached)
	replies := append(t.receiveNotices(now, message), t.receiveProbes(now, message)...)
	replies = append(replies, t.answerProbes(now, sender)...)
	if message.WantReply || message.Join || wasDown {
		replies = append(replies, t.reply(now, sender, message, wasDown))
	}
	return replies
}

// replyToEarlier tells a process that counts as an earlier one which one is known. A process whose time of
// day was set back before its start can then count itself later.
func (t *Table) replyToEarlier(known *peer, message Message) []OutgoingMessage {
	if known == nil || known.Mesh != message.From.Mesh {
		return nil
	}
	return []OutgoingMessage{{known.Mesh, Message{From: t.self, Receiver: known.Name, Records: []Record{known.Record}}}}
}

// outrank makes this process count as later than one that had its name and address before it.
func (t *Table) outrank(earlier Record) {
	if earlier.Mesh == t.self.Mesh && earlier.Incarnation > t.self.Incarnation && earlier.Incarnation < math.MaxInt64 {
		t.self.Incarnation = earlier.Incarnation + 1
	}
}

// recordMessage updates what is known about the sender of a message.
func (t *Table) recordMessage(now clock.Time, sender *peer, message Message) {
	if message.Heartbeat {
		sender.monitored = true
	} else if sender.probedAt > 0 {
		// The instance answers a probe but sends no heartbeats: it has other monitors now.
		sender.monitored = false
	}
	sender.probedAt = 0
	sender.lastMessage, t.lastMessage, t.lastReceived[sender.Region] = now, now, now
	if message.Sent > 0 {
		sender.hearsSelf, sender.peerSendTime = message.HearsReceiver, message.Sent
		sender.echoHeldFrom = now
	}
	if message.EchoedTime > 0 {
		sender.updateRoundTrip(now.Sub(message.EchoedTime) - message.HoldTime)
	}
	sender.recordReach(now, message.Reach)
	if message.Services != nil {
		sender.addReport(serviceReport{message.ServiceRange, message.Services, now})
	}
}

// reply returns the response to a message: the state of this instance, to another region its
// capacity, records for a joining instance, and a notice for one that was considered down, so that it
// refutes that everywhere.
func (t *Table) reply(now clock.Time, sender *peer, message Message, wasDown bool) OutgoingMessage {
	reply := t.messageTo(now, sender)
	if sender.Region != t.self.Region {
		reply.Services = t.services
	}
	if message.Join {
		reply.Records = t.joinRecords(now, sender, message.JoinFrom)
	}
	if wasDown {
		reply.Down = []DownNotice{{sender.Name, sender.Incarnation, sender.downCounter}}
	}
	return OutgoingMessage{sender.Mesh, reply}
}

// updateRoundTrip adds a sample of the round-trip time. Delays above the minimum are transient, so
// the estimate rises slowly.
func (p *peer) updateRoundTrip(sample clock.Span) {
	switch {
	case sample < 0:
	case p.roundTrip == 0 || sample < p.roundTrip:
		p.roundTrip = sample
	default:
		p.roundTrip += (sample - p.roundTrip) / roundTripDecayDivisor
	}
}

// mergeRecord stores a record if it is newer than the known one.
func (t *Table) mergeRecord(now clock.Time, record Record) {
	if record.Name == t.self.Name {
		t.outrank(record)
		return
	}
	if record.Name == "" {
		return
	}
	known := t.peers[record.Name]
	switch {
	case known == nil:
		t.peers[record.Name] = &peer{Record: record, counterSeen: now}
		t.grewAt = now
	case record.Incarnation > known.Incarnation:
		*known = peer{Record: record, counterSeen: now}
	case record.Incarnation == known.Incarnation && record.Counter > known.Counter:
		known.Record, known.counterSeen = record, now
		if record.Counter > known.downCounter {
			known.down = false
		}
	}
}

// RemoveExpired removes instances that have not been alive for peerRetention.
func (t *Table) RemoveExpired(now clock.Time) {
	maps.DeleteFunc(t.peers, func(_ ident.Entry, p *peer) bool { return now.Sub(p.counterSeen) > peerRetention })
}

// aliveTimeout returns how long an instance counts as alive without a counter change: a multiple of
// the time that it takes to send to all instances of its region or of the other regions.
func (t *Table) aliveTimeout(other *peer) clock.Span {
	roundsPerCycle := t.remotePeers/max(remoteFanout, t.regionCount) + 1
	if other.Region == t.self.Region {
		roundsPerCycle = t.regionPeers/regionFanout + 1
	}
	return max(minAliveTimeout, aliveCycles*clock.Span(roundsPerCycle)*t.factInterval())
}

// factRounds returns the number of rounds from one message with facts to the next.
func (t *Table) factRounds() uint64 {
	if len(t.peers) >= largeFleetSize {
		return largeFleetRounds
	}
	return 1
}

func (t *Table) factInterval() clock.Span { return roundInterval * clock.Span(t.factRounds()) }

func (t *Table) alive(now clock.Time, other *peer) bool {
	return !other.down && now.Sub(other.counterSeen) < t.aliveTimeout(other) && (other.Region == t.self.Region || t.regionAlive(now, other.Region))
}

// regionAlive reports whether a message of any instance of another region arrived recently. Each
// region sends several per round, so that the loss of a region is detected before its instances
// time out.
func (t *Table) regionAlive(now clock.Time, region ident.Region) bool {
	last, ok := t.lastReceived[region]
	return ok && now.Sub(last) < max(minRegionTimeout, regionTimeoutRounds*t.factInterval())
}

// Alive returns the other instances that are reachable and ready, sorted by name.
func (t *Table) Alive(now clock.Time) []Record {
	return t.filter(func(p *peer) bool { return p.State == Ready && t.alive(now, p) })
}

// StartingInRegion returns the other instances of this region that have no configuration yet,
// sorted by name.
func (t *Table) StartingInRegion(now clock.Time) []Record {
	return t.filter(func(p *peer) bool { return p.State == Starting && p.Region == t.self.Region && t.alive(now, p) })
}

// Leaving returns the instances that have recently started to leave, sorted by name. Each of them
// is replaced at its address within seconds.
func (t *Table) Leaving(now clock.Time) []Record {
	return t.filter(func(p *peer) bool { return p.State >= Leaving && now.Sub(p.counterSeen) < replacementWindow })
}

// LostZones returns the zones of this region of which several instances are remembered and none is
// alive, sorted by name.
func (t *Table) LostZones(now clock.Time) (lost []ident.Zone) {
	members, alive := make(map[ident.Zone]int), make(map[ident.Zone]bool)
	for _, p := range t.peers {
		if p.Region != t.self.Region || p.State >= Leaving {
			continue
		}
		members[p.Zone]++
		alive[p.Zone] = alive[p.Zone] || t.alive(now, p)
	}
	for zone, count := range members {
		if count >= minZoneMembers && !alive[zone] && zone != t.self.Zone {
			lost = append(lost, zone)
		}
	}
	slices.Sort(lost)
	return lost
}

// filter returns the records of the peers for which fits returns true, sorted by name.
func (t *Table) filter(fits func(*peer) bool) (records []Record) {
	for _, p := range t.peers {
		if fits(p) {
			records = append(records, p.Record)
		}
	}
	slices.SortFunc(records, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return records
}

// Address returns the address for datagrams of a remembered instance, or an empty string.
func (t *Table) Address(name ident.Entry) string {
	if p := t.peers[name]; p != nil {
		return p.Mesh
	}
	return ""
}

// KnownCount returns the number of instances that may exist, including this one: all that have been
// alive recently, whether they are reachable or not.
func (t *Table) KnownCount() int { return len(t.peers) + 1 }

// estimatedCount returns the number of instances that may exist in a deployment with so many zones. A process that starts
// without a path to the others knows only the seeds, and one in a region that is cut off only the zones of that region:
// zones without a known instance count with the mean of the others, for as long as instances are remembered.
func (t *Table) estimatedCount(now clock.Time, zones int) int {
	seeds := make(map[string]bool)
	for _, address := range t.seeds {
		seeds[address] = true
	}
	count := max(t.KnownCount(), len(seeds)+1)
	if now.Sub(t.started) >= peerRetention {
		return count
	}
	seen := t.seenZones()
	return max(count, (t.KnownCount()*max(zones, seen)+seen-1)/seen)
}

// seenZones returns the number of zones with a remembered instance, including the own one.
func (t *Table) seenZones() int {
	zones := map[ident.Zone]bool{t.self.Zone: true}
	for _, p := range t.peers {
		zones[p.Zone] = true
	}
	return len(zones)
}

// complete reports whether instances of all zones are known and no further one has become known for a while.
func (t *Table) complete(now clock.Time, zones int) bool {
	return zones > 0 && t.seenZones() >= zones && now.Sub(max(t.grewAt, t.started)) >= completeTime
}

// RegionMembers returns the names of all remembered instances of this region, including this one, but
// without those that have announced their end. If all have, it returns only this one.
func (t *Table) RegionMembers() (names []ident.Entry) {
	for name, p := range t.peers {
		if p.Region == t.self.Region && p.State != Closed {
			names = append(names, name)
		}
	}
	if t.self.State != Closed || len(names) == 0 {
		names = append(names, t.self.Name)
	}
	return names
}

// Settled reports whether the other instances have had enough time to announce themselves.
func (t *Table) Settled(now clock.Time) bool { return now.Sub(t.started) >= settleTime }

// Region is what is known about another region.
type Region struct {
	Region ident.Region
	// Hops are the addresses of instances with communication in both directions: those that are
	// ready or, if there are none, those that are leaving and still serve for a short time.
	Hops     []string
	Services []pool.Summary
	// RoundTrip is the minimum round-trip time to any of them; 0 if unknown.
	RoundTrip clock.Span
	// reach holds, by address in Hops, the services of which the instance does not reach all endpoints, in percent.
	reach map[string]map[ident.Service]int
}

// acceptsHops reports whether an instance serves requests and communicates with this one in both
// directions.
func (t *Table) acceptsHops(now clock.Time, other *peer) bool {
	serves := other.State == Ready || other.State == Leaving
	return serves && !other.down && other.hearsSelf && now.Sub(other.lastMessage) < t.aliveTimeout(other) && t.regionAlive(now, other.Region)
}

// Regions returns the other regions that are reachable, sorted by name.
func (t *Table) Regions(now clock.Time) (regions []Region) {
	byName := make(map[ident.Region]*Region)
	reports, limited := make(map[ident.Region][]serviceReport), make(map[ident.Region][]serviceReport)
	leaving := make(map[ident.Region][]string)
	for _, p := range t.peers {
		if p.Region == t.self.Region || !t.acceptsHops(now, p) {
			continue
		}
		region := byName[p.Region]
		if region == nil {
			region = &Region{Region: p.Region}
			byName[p.Region] = region
		}
		if p.State == Ready {
			region.Hops = append(region.Hops, p.Hop)
		} else {
			leaving[p.Region] = append(leaving[p.Region], p.Hop)
		}
		if p.roundTrip > 0 && (region.RoundTrip == 0 || p.roundTrip < region.RoundTrip) {
			region.RoundTrip = p.roundTrip
		}
		region.addReach(t, now, p)
		to := reports
		if t.limited(now, p) {
			to = limited
		}
		for _, r := range p.reports {
			if now.Sub(r.received) < summaryTTL {
				to[p.Region] = addNewer(to[p.Region], r)
			}
		}
	}
	for _, r := range byName {
		if len(r.Hops) == 0 {
			r.Hops = leaving[r.Region]
		}
		slices.Sort(r.Hops)
		if len(reports[r.Region]) == 0 {
			reports[r.Region] = limited[r.Region]
		}
		r.Services = newestServices(reports[r.Region])
		regions = append(regions, *r)
	}
	slices.SortFunc(regions, func(a, b Region) int { return cmp.Compare(a.Region, b.Region) })
	return regions
}
