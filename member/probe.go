package member

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Kinds of probe.
const (
	// Ping probes the target directly.
	Ping ProbeKind = "ping"
	// Relay asks another member to ping the target (indirect probe).
	Relay ProbeKind = "relay"
)

const (
	// maxRelays is how many members are asked to probe a target that did not answer.
	maxRelays = 3
	// ProbeTimeoutFactor times the timeout bounds a probe, relays included. A relay across
	// regions may need a new connection on both legs: twice three round trips of 100 ms.
	ProbeTimeoutFactor = 3
	// joinProbes is how many targets are probed per period until the process is ready.
	joinProbes = 8
)

// ProbeKind is the way in which a probe reaches its target.
type ProbeKind string

// ProbeRequest is a probe for the caller of Tick to send. For a ping, To is the target.
type ProbeRequest struct {
	To     ident.Entry
	Kind   ProbeKind
	Target ident.Entry
	Seq    uint64
}

type probe struct {
	target  *record
	seq     uint64
	sentAt  clock.Time // on the activeTime scale
	relayed bool
}

// Tick advances the table's timers and returns the probes to send. It must be called
// several times per timeout.
func (t *Table) Tick(now clock.Time) []ProbeRequest {
	t.detectPause(now)
	if t.started {
		// A late tick counts as one period at most: answers that arrived while this
		// process was slow must be handled before probes time out.
		t.activeTime = t.activeTime.Add(min(max(now.Sub(t.lastTick), 0), t.config.Period))
	}
	t.started = true
	t.lastTick = now
	if t.self.State == gossip.Left {
		return nil
	}
	t.updateTargets()
	requests := t.expireProbes()
	t.becomeReadyAlone()
	t.failSuspects()
	return t.startProbes(requests)
}

// detectPause detects a gap between two ticks. State from before the gap is stale: suspicions
// are dropped and answers to earlier probes are ignored.
func (t *Table) detectPause(now clock.Time) {
	if !t.started || now.Sub(t.lastTick) <= t.config.PauseThreshold {
		return
	}
	t.lastTick = now
	t.epoch++
	t.ready = false
	t.resumedAt = t.activeTime
	t.nextProbeAt = t.activeTime
	t.firstSeq = t.seq + 1
	t.probes = nil
	for _, r := range t.order {
		if r.State == gossip.Suspect {
			r.State = r.priorState
		}
	}
	t.pending = slices.DeleteFunc(t.pending, func(u *pendingUpdate) bool { return isFailureReport(u.State) })
}

// expireProbes requests indirect probes of targets that missed the timeout, and suspects
// those that no probe reached.
func (t *Table) expireProbes() []ProbeRequest {
	var requests []ProbeRequest
	kept := t.probes[:0]
	for _, p := range t.probes {
		waited := t.activeTime.Sub(p.sentAt)
		if waited >= ProbeTimeoutFactor*t.config.Timeout {
			t.probeFailed(p.target)
			continue
		}
		if waited >= t.config.Timeout && !p.relayed {
			p.relayed = true
			requests = t.relayProbe(requests, p)
		}
		kept = append(kept, p)
	}
	clear(t.probes[len(kept):])
	t.probes = kept
	return requests
}

func (t *Table) probeFailed(target *record) {
	target.failedProbes++
	target.failedEpoch = t.epoch
	if t.ready && (target.State == gossip.Alive || target.State == gossip.Leaving) {
		t.markState(target, gossip.Suspect)
	}
}

// relayProbe requests indirect probes, preferably through members of different regions,
// since a partition between two regions affects all members of the own region alike.
func (t *Table) relayProbe(requests []ProbeRequest, unanswered *probe) []ProbeRequest {
	candidates := t.relayCandidates(t.targets, unanswered.target)
	if len(candidates) < maxRelays {
		candidates = t.relayCandidates(t.order, unanswered.target)
	}
	t.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	var chosen, rest []*record
	for _, r := range candidates {
		sameRegion := func(c *record) bool { return c.Region == r.Region }
		if slices.ContainsFunc(chosen, sameRegion) {
			rest = append(rest, r)
		} else {
			chosen = append(chosen, r)
		}
	}
	chosen = append(chosen, rest...)
	for _, r := range chosen[:min(maxRelays, len(chosen))] {
		requests = append(requests, ProbeRequest{To: r.Entry, Kind: Relay, Target: unanswered.target.Entry, Seq: unanswered.seq})
	}
	return requests
}

func (t *Table) relayCandidates(among []*record, target *record) []*record {
	var candidates []*record
	for _, r := range among {
		if r != target && r.hasAddress && r.State == gossip.Alive {
			candidates = append(candidates, r)
		}
	}
	return candidates
}

// becomeReadyAlone makes a process that got no answer from any target ready without peers
// once Config.AloneTimeout has passed. It requires a list, the only source of peers.
func (t *Table) becomeReadyAlone() {
	if t.ready || !t.synced {
		return
	}
	if len(t.targets) > 0 && t.activeTime.Sub(t.resumedAt) < t.config.AloneTimeout {
		return
	}
	for _, r := range t.targets {
		if r.failedEpoch != t.epoch {
			return
		}
	}
	t.becomeReady()
}

func (t *Table) becomeReady() {
	t.ready = true
	for _, r := range t.order {
		r.suspectedAt = t.activeTime
	}
}

// failSuspects marks members as failed whose suspicion was not refuted in time.
func (t *Table) failSuspects() {
	if !t.ready {
		return
	}
	for _, r := range t.order {
		if r.State == gossip.Suspect && t.activeTime.Sub(r.suspectedAt) >= t.config.Suspicion {
			t.markState(r, gossip.Failed)
		}
	}
}

func (t *Table) startProbes(requests []ProbeRequest) []ProbeRequest {
	if t.activeTime.Before(t.nextProbeAt) || len(t.probeOrder) == 0 {
		return requests
	}
	t.nextProbeAt = t.activeTime.Add(t.config.Period)
	count := 1
	if !t.ready {
		count = min(joinProbes, len(t.probeOrder))
	}
	for range count {
		r := t.nextTarget()
		t.seq++
		t.probes = append(t.probes, &probe{target: r, seq: t.seq, sentAt: t.activeTime})
		requests = append(requests, ProbeRequest{To: r.Entry, Kind: Ping, Target: r.Entry, Seq: t.seq})
	}
	return requests
}

// nextTarget returns the next target in shuffled round-robin order.
func (t *Table) nextTarget() *record {
	if t.probeIndex >= len(t.probeOrder) {
		t.probeIndex = 0
		t.random.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
	}
	target := t.probeOrder[t.probeIndex]
	t.probeIndex++
	return target
}

// RecordAck records that target from answered probe seq, directly or through a relay. The
// updates in the answer must be passed to Merge as well.
func (t *Table) RecordAck(now clock.Time, from ident.Entry, seq uint64) {
	t.detectPause(now)
	if seq < t.firstSeq || seq > t.seq {
		return // sent before the last pause or by an earlier incarnation
	}
	target := t.records[from]
	if target == nil {
		return
	}
	target.failedProbes = 0
	t.probes = slices.DeleteFunc(t.probes, func(p *probe) bool { return p.target == target && p.seq <= seq })
	if !t.ready {
		t.becomeReady()
	}
}
