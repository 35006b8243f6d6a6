package mesh

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// OutgoingMessage is a message with the address of its receiver.
type OutgoingMessage struct {
	Address string
	Message Message
}

// NextRound increments the counter and returns the messages to send: heartbeats, probes and, unless
// the round is left out in a large fleet, gossip and facts.
func (t *Table) NextRound(now clock.Time, facts Facts) []OutgoingMessage {
	t.self.Counter++
	t.round++
	regional, remote := t.peersByRegion()
	t.regionPeers, t.remotePeers, t.regionCount = len(regional), len(remote), t.countRegions()
	t.services = facts.Services
	messages := append(t.heartbeats(now, regional), t.detect(now, regional)...)
	if t.round%t.factRounds() == 0 {
		messages = append(messages, t.factMessages(now, regional, remote, facts)...)
	}
	messages = append(messages, t.regionRequests(now, remote)...)
	return append(messages, t.seedMessages(now)...)
}

func (t *Table) heartbeats(now clock.Time, regional []*peer) (messages []OutgoingMessage) {
	for _, p := range t.monitors(now, regional) {
		messages = append(messages, OutgoingMessage{p.Mesh, Message{From: t.self, Receiver: p.Name, Heartbeat: true}})
	}
	return messages
}

// factMessages returns the messages with gossip and facts to the next instances of the cycles.
func (t *Table) factMessages(now clock.Time, regional, remote []*peer, facts Facts) (messages []OutgoingMessage) {
	loads, notices := largestLoads(facts.Loads), t.recentNotices(now)
	for i, p := range nextInCycle(regional, &t.regionCursor, regionFanout) {
		p.monitored = p.monitored || len(notices) >= manyDown
		message := t.messageTo(now, p)
		if i < joinFanout && !t.Settled(now) {
			message.Join, message.JoinFrom = true, t.nextJoinWindow(regional)
		}
		message.Down, message.Loads, message.Reach = notices, loads, facts.Reach
		message.setCrashFacts(facts, p.Region)
		messages = append(messages, OutgoingMessage{p.Mesh, message})
	}
	for _, p := range nextInCycle(remote, &t.remoteCursor, max(remoteFanout, t.regionCount)) {
		message := t.messageTo(now, p)
		message.Down, message.Services, message.Reach = notices, facts.Services, facts.Reach
		message.setCrashFacts(facts, p.Region)
		messages = append(messages, OutgoingMessage{p.Mesh, message})
	}
	return messages
}

// largestLoads returns at most maxLoads of the loads, the largest first.
func largestLoads(loads []EndpointLoad) []EndpointLoad {
	sorted := slices.Clone(loads)
	slices.SortFunc(sorted, func(a, b EndpointLoad) int { return cmp.Compare(b.Count, a.Count) })
	return sorted[:min(len(sorted), maxLoads)]
}

// setCrashFacts adds what the receiver's region may learn of crashes.
func (m *Message) setCrashFacts(facts Facts, region ident.Region) {
	m.Refusals, m.CrashReports = gossip.VisibleTo(region, facts.Refusals), gossip.VisibleTo(region, facts.CrashReports)
	m.Parts = facts.Parts.VisibleTo(region)
}

// StateMessages returns messages to all instances that publish the state of this one. They carry no
// gossip: their number is that of the instances.
func (t *Table) StateMessages(now clock.Time) (messages []OutgoingMessage) {
	t.self.Counter++
	for _, name := range slices.Sorted(maps.Keys(t.peers)) {
		p := t.peers[name]
		messages = append(messages, OutgoingMessage{p.Mesh, t.plainMessage(now, p)})
	}
	return messages
}

// plainMessage returns a message with the state of this instance only.
func (t *Table) plainMessage(now clock.Time, receiver *peer) Message {
	return Message{
		From: t.self, Receiver: receiver.Name, HearsReceiver: now.Sub(receiver.lastMessage) < t.aliveTimeout(receiver),
		Sent: now, EchoedTime: receiver.peerSendTime, HoldTime: now.Sub(receiver.echoHeldFrom),
	}
}

// messageTo returns a message with the state of this instance and with gossip.
func (t *Table) messageTo(now clock.Time, receiver *peer) Message {
	count := maxGossipRecords
	switch {
	case receiver.Region != t.self.Region:
		count = maxRemoteRecords
	case !t.Settled(now):
		count = startGossipRecords
	}
	message := t.plainMessage(now, receiver)
	message.Records = t.gossipSample(now, receiver.Name, count)
	return message
}

// regionRequests returns, shortly after the start, requests for the capacity of the regions of which
// few instances are known to accept hops: the cycle of facts would reach them late.
func (t *Table) regionRequests(now clock.Time, remote []*peer) (messages []OutgoingMessage) {
	if t.Settled(now) {
		return nil
	}
	hops := make(map[ident.Region]int)
	var silent []*peer
	for _, p := range remote {
		switch {
		case t.acceptsHops(now, p):
			hops[p.Region]++
		case !p.down:
			silent = append(silent, p)
		}
	}
	missing := slices.DeleteFunc(silent, func(p *peer) bool { return hops[p.Region] >= minRegionHops })
	for _, p := range nextInCycle(missing, &t.requestCursor, regionRequestFanout) {
		message := t.messageTo(now, p)
		message.WantReply, message.Services = true, t.services
		messages = append(messages, OutgoingMessage{p.Mesh, message})
	}
	return messages
}

// seedMessages returns messages to the seeds at which no live instance is known.
func (t *Table) seedMessages(now clock.Time) (messages []OutgoingMessage) {
	for _, s := range t.seeds {
		known := false
		for _, p := range t.peers {
			known = known || p.Mesh == s && t.alive(now, p)
		}
		if !known {
			messages = append(messages, OutgoingMessage{s, Message{From: t.self, WantReply: true, Join: !t.Settled(now)}})
		}
	}
	return messages
}

// peersByRegion returns the remembered instances of this region and of the others, sorted by name.
func (t *Table) peersByRegion() (regional, remote []*peer) {
	t.names = slices.Sorted(maps.Keys(t.peers))
	for _, name := range t.names {
		known := t.peers[name]
		if known.Region == t.self.Region {
			regional = append(regional, known)
		} else {
			remote = append(remote, known)
		}
	}
	return regional, remote
}

func (t *Table) countRegions() int {
	seen := make(map[ident.Region]bool)
	for _, p := range t.peers {
		seen[p.Region] = true
	}
	return len(seen)
}

// nextInCycle returns the next count peers in cyclic order and advances the cursor.
func nextInCycle(peers []*peer, cursor *int, count int) (next []*peer) {
	for range min(count, len(peers)) {
		*cursor++
		next = append(next, peers[*cursor%len(peers)])
	}
	return next
}

// gossipSample returns up to count records of live instances.
func (t *Table) gossipSample(now clock.Time, receiver ident.Entry, count int) (records []Record) {
	if len(t.names) == 0 {
		return nil
	}
	start := t.rng.IntN(len(t.names))
	step := 1 + t.rng.IntN(len(t.names))
	for i := range min(len(t.names), 2*count) {
		candidate := t.peers[t.names[(start+i*step)%len(t.names)]]
		if candidate == nil || candidate.Name == receiver || !t.alive(now, candidate) {
			continue
		}
		if records = append(records, candidate.Record); len(records) == count {
			break
		}
	}
	return records
}

// nextJoinWindow returns the name from which the next reply to a joining instance is to list the
// region. The windows overlap, since the replying instance knows instances that this one does not.
func (t *Table) nextJoinWindow(regional []*peer) ident.Entry {
	name := regional[t.joinCursor%len(regional)].Name
	t.joinCursor += maxJoinRegional / 2
	return name
}

// joinRecords returns records for an instance that joins: those of its region from a name on, in
// cyclic order, and a few others. An instance that knows no name yet gets them from a random one on.
func (t *Table) joinRecords(now clock.Time, receiver *peer, from ident.Entry) []Record {
	records := t.filter(func(p *peer) bool {
		return p.Region == receiver.Region && p.Name != receiver.Name && t.alive(now, p)
	})
	start := t.rng.IntN(len(records) + 1)
	if from != "" {
		start, _ = slices.BinarySearchFunc(records, from, func(r Record, name ident.Entry) int { return cmp.Compare(r.Name, name) })
	}
	records = slices.Concat(records[start:], records[:start])
	records = records[:min(len(records), maxJoinRegional)]
	return append(records, t.gossipSample(now, receiver.Name, maxJoinOthers)...)
}
