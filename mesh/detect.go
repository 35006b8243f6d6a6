package mesh

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// probeRequest is a probe on behalf of a monitor that has not been answered yet.
type probeRequest struct {
	target    ident.Entry
	requester ident.Entry
	expires   clock.Time
}

// monitors returns the instances that monitor this one. All are alive, so that a dead monitor is
// replaced in the next round.
func (t *Table) monitors(now clock.Time, regional []*peer) (monitors []*peer) {
	var sameZone, otherZone []ident.Entry
	for _, p := range regional {
		switch {
		case !t.alive(now, p):
		case p.Zone == t.self.Zone:
			sameZone = append(sameZone, p.Name)
		default:
			otherZone = append(otherZone, p.Name)
		}
	}
	key := string(t.self.Name)
	names := append(watch.Rendezvous(key, sameZone, zoneMonitors), watch.Rendezvous(key, otherZone, otherZoneMonitors)...)
	for _, name := range names {
		monitors = append(monitors, t.peers[name])
	}
	return monitors
}

// detect probes the monitored instances that are silent and returns the messages for that, with
// notices of those that did not answer.
func (t *Table) detect(now clock.Time, regional []*peer) (messages []OutgoingMessage) {
	if t.lastRound > 0 && now.Sub(t.lastRound) > roundInterval+maxRoundDelay {
		t.detectFrom = now.Add(suspectTimeout)
	}
	t.lastRound = now
	// An instance that hears nobody is cut off itself.
	if now.Before(t.detectFrom) || now.Sub(t.lastMessage) > suspectTimeout {
		return nil
	}
	var notices []DownNotice
	for _, p := range regional {
		switch silence := now.Sub(max(p.lastMessage, p.reachedAt)); {
		case !p.monitored:
		case silence < suspectTimeout:
			p.probedAt = 0
		case p.probedAt == 0:
			p.probedAt = now
			messages = append(messages, t.probes(now, p, regional)...)
		case now.Sub(p.probedAt) >= probeTimeout:
			notice := DownNotice{p.Name, p.Incarnation, p.Counter}
			t.markDown(now, p, notice)
			notices = append(notices, notice)
		}
	}
	return append(messages, t.noticeMessages(now, notices)...)
}

// probes returns a direct probe of an instance and requests to others to probe it.
func (t *Table) probes(now clock.Time, target *peer, regional []*peer) []OutgoingMessage {
	messages := []OutgoingMessage{{target.Mesh, Message{From: t.self, Receiver: target.Name, WantReply: true}}}
	start := t.rng.IntN(len(regional))
	for i := range regional {
		helper := regional[(start+i)%len(regional)]
		if helper == target || !t.alive(now, helper) {
			continue
		}
		messages = append(messages, OutgoingMessage{helper.Mesh, Message{From: t.self, Receiver: helper.Name, Probe: []ident.Entry{target.Name}}})
		if len(messages) > indirectProbes {
			break
		}
	}
	return messages
}

// noticeMessages returns messages that tell all instances of this region, and through a few
// instances those of the other regions, that some instances are down.
func (t *Table) noticeMessages(now clock.Time, notices []DownNotice) (messages []OutgoingMessage) {
	if len(notices) == 0 {
		return nil
	}
	relays := make(map[ident.Region]int)
	names := slices.Clone(t.names)
	t.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	for _, name := range names {
		p := t.peers[name]
		if p == nil || !t.alive(now, p) {
			continue
		}
		message := Message{From: t.self, Receiver: p.Name, Down: notices}
		if p.Region != t.self.Region {
			if relays[p.Region]++; relays[p.Region] > downRelays {
				continue
			}
			message.RelayDown = true
		}
		messages = append(messages, OutgoingMessage{p.Mesh, message})
	}
	return messages
}

// receiveNotices applies notices of instances that are down and returns the messages that follow:
// notices for this region, and the refutation of a notice about this instance.
func (t *Table) receiveNotices(now clock.Time, message Message) (messages []OutgoingMessage) {
	for _, n := range message.Down {
		if n.Name == t.self.Name {
			if n.Incarnation == t.self.Incarnation && now.Sub(t.lastRefuted) >= refuteInterval {
				t.lastRefuted = now
				messages = append(messages, t.StateMessages(now)...)
			}
			continue
		}
		known := t.peers[n.Name]
		if known == nil || known.down || known.Incarnation != n.Incarnation || known.Counter > n.Counter+noticeCounterSlack ||
			now.Sub(known.lastMessage) < recentMessage {
			continue
		}
		t.markDown(now, known, n)
	}
	if !message.RelayDown {
		return messages
	}
	for _, r := range t.filter(func(p *peer) bool { return p.Region == t.self.Region && t.alive(now, p) }) {
		messages = append(messages, OutgoingMessage{r.Mesh, Message{From: t.self, Receiver: r.Name, Down: message.Down}})
	}
	return messages
}

// receiveProbes returns probes of the instances that a monitor asks about.
func (t *Table) receiveProbes(now clock.Time, message Message) (messages []OutgoingMessage) {
	for _, name := range message.Probe {
		target := t.peers[name]
		if target == nil {
			continue
		}
		t.probeRequests = append(t.probeRequests, probeRequest{target: name, requester: message.From.Name, expires: now.Add(probeTimeout)})
		messages = append(messages, OutgoingMessage{target.Mesh, Message{From: t.self, Receiver: name, WantReply: true}})
	}
	return messages
}

// answerProbes tells the monitors that asked for a probe of an instance that it has answered.
func (t *Table) answerProbes(now clock.Time, target *peer) (messages []OutgoingMessage) {
	t.probeRequests = slices.DeleteFunc(t.probeRequests, func(r probeRequest) bool {
		if r.target != target.Name {
			return now.After(r.expires)
		}
		if requester := t.peers[r.requester]; requester != nil {
			messages = append(messages, OutgoingMessage{requester.Mesh, Message{From: t.self, Receiver: requester.Name, Reached: []ident.Entry{target.Name}}})
		}
		return true
	})
	return messages
}

// recordReached records which probed instances another instance has reached.
func (t *Table) recordReached(now clock.Time, names []ident.Entry) {
	for _, name := range names {
		if p := t.peers[name]; p != nil {
			p.reachedAt, p.probedAt = now, 0
		}
	}
}

// markDown records that an instance is down until a higher counter arrives than any that it may have
// reached before the notice.
func (t *Table) markDown(now clock.Time, p *peer, notice DownNotice) {
	p.down, p.downCounter, p.downSince = true, max(p.Counter, notice.Counter+noticeCounterSlack), now
	p.monitored, p.probedAt = false, 0
}

// recentNotices returns notices of instances that were declared down recently, from a random one on.
func (t *Table) recentNotices(now clock.Time) (notices []DownNotice) {
	start := t.rng.IntN(len(t.names) + 1)
	for i := range t.names {
		p := t.peers[t.names[(start+i)%len(t.names)]]
		if p != nil && p.down && now.Sub(p.downSince) < noticeRetention && len(notices) < maxNotices {
			notices = append(notices, DownNotice{p.Name, p.Incarnation, p.downCounter - noticeCounterSlack})
		}
	}
	return notices
}
