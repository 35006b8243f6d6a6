package member

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
)

// Kinds of probe.
const (
	// Ping asks the target itself.
	Ping Kind = "ping"
	// Relay asks another member to ping the target.
	Relay Kind = "relay"
)

const (
	// maxRelays is how many other members are asked to probe a silent target.
	maxRelays = 3
	// probeTimeouts times the timeout is how long a target has to answer in any way. A relay
	// across regions may need a new connection: three round trips of 100 ms each, twice.
	probeTimeouts = 3
	// burst is how many targets a process probes per period before it is ready.
	burst = 8
)

// Kind tells how a probe reaches its target.
type Kind string

// Send is a probe that the shell must send. For a ping, To is the target.
type Send struct {
	To     ident.Entry
	Kind   Kind
	Target ident.Entry
	Seq    uint64
}

type probe struct {
	target  *record
	seq     uint64
	sent    clock.Time // in active time
	relayed bool
}

// Tick advances the table's timers and returns the probes to send. The shell calls
// it several times per timeout.
func (t *Table) Tick(now clock.Time) []Send {
	t.notice(now)
	if t.started {
		// A late tick counts as one period: answers that arrived while the process
		// was slow must be handled before their absence is held against a member.
		t.active = t.active.Add(min(max(now.Sub(t.ticked), 0), t.c.Period))
	}
	t.started = true
	t.ticked = now
	if t.self.State == news.Left {
		return nil
	}
	t.retarget()
	sends := t.overdue()
	t.settle()
	t.condemn()
	return t.probe(sends)
}

// notice detects a gap between two ticks. Everything that was concluded before the gap
// is out of date: suspicions are dropped and answers to earlier probes don't count.
func (t *Table) notice(now clock.Time) {
	if !t.started || now.Sub(t.ticked) <= t.c.Pause {
		return
	}
	t.ticked = now
	t.life++
	t.ready = false
	t.resumed = t.active
	t.next = t.active
	t.first = t.seq + 1
	t.probes = nil
	for _, r := range t.order {
		if r.State == news.Suspect {
			r.State = r.before
		}
	}
	t.hot = slices.DeleteFunc(t.hot, func(u *rumour) bool { return accuses(u.State) })
}

// overdue asks others about targets that are late and suspects those that nobody reached.
func (t *Table) overdue() []Send {
	var sends []Send
	kept := t.probes[:0]
	for _, p := range t.probes {
		waited := t.active.Sub(p.sent)
		if waited >= probeTimeouts*t.c.Timeout {
			t.silent(p.target)
			continue
		}
		if waited >= t.c.Timeout && !p.relayed {
			p.relayed = true
			sends = t.relay(sends, p)
		}
		kept = append(kept, p)
	}
	clear(t.probes[len(kept):])
	t.probes = kept
	return sends
}

func (t *Table) silent(r *record) {
	r.unanswered++
	r.tried = t.life
	if t.ready && (r.State == news.Alive || r.State == news.Leaving) {
		t.accuse(r, news.Suspect)
	}
}

// relay picks members of different regions first, since a cut between two regions
// affects all members of the own region alike.
func (t *Table) relay(sends []Send, p *probe) []Send {
	through := t.helpers(t.targets, p.target)
	if len(through) < maxRelays {
		through = t.helpers(t.order, p.target)
	}
	t.random.Shuffle(len(through), func(i, j int) { through[i], through[j] = through[j], through[i] })
	var chosen, rest []*record
	for _, r := range through {
		same := func(c *record) bool { return c.Region == r.Region }
		if slices.ContainsFunc(chosen, same) {
			rest = append(rest, r)
		} else {
			chosen = append(chosen, r)
		}
	}
	chosen = append(chosen, rest...)
	for _, r := range chosen[:min(maxRelays, len(chosen))] {
		sends = append(sends, Send{To: r.Entry, Kind: Relay, Target: p.target.Entry, Seq: p.seq})
	}
	return sends
}

func (t *Table) helpers(among []*record, target *record) []*record {
	var helpers []*record
	for _, r := range among {
		if r != target && r.addressed && r.State == news.Alive {
			helpers = append(helpers, r)
		}
	}
	return helpers
}

// settle decides whether a process that has heard from nobody goes on alone. It must
// have a list: without one it has not looked for peers.
func (t *Table) settle() {
	if t.ready || !t.synced {
		return
	}
	if len(t.targets) > 0 && t.active.Sub(t.resumed) < t.c.Alone {
		return
	}
	for _, r := range t.targets {
		if r.tried != t.life {
			return
		}
	}
	t.confirm()
}

func (t *Table) confirm() {
	t.ready = true
	for _, r := range t.order {
		r.suspected = t.active
	}
}

// condemn turns suspicions that were not refuted in time into failures.
func (t *Table) condemn() {
	if !t.ready {
		return
	}
	for _, r := range t.order {
		if r.State == news.Suspect && t.active.Sub(r.suspected) >= t.c.Suspicion {
			t.accuse(r, news.Failed)
		}
	}
}

func (t *Table) probe(sends []Send) []Send {
	if t.active.Before(t.next) || len(t.ring) == 0 {
		return sends
	}
	t.next = t.active.Add(t.c.Period)
	count := 1
	if !t.ready {
		count = min(burst, len(t.ring))
	}
	for range count {
		r := t.turn()
		t.seq++
		t.probes = append(t.probes, &probe{target: r, seq: t.seq, sent: t.active})
		sends = append(sends, Send{To: r.Entry, Kind: Ping, Target: r.Entry, Seq: t.seq})
	}
	return sends
}

// turn returns the next target; every target has its turn before any has a second one.
func (t *Table) turn() *record {
	if t.place >= len(t.ring) {
		t.place = 0
		t.random.Shuffle(len(t.ring), func(i, j int) { t.ring[i], t.ring[j] = t.ring[j], t.ring[i] })
	}
	r := t.ring[t.place]
	t.place++
	return r
}

// Acked takes an answer to probe seq that shows that the target from is running, whether
// it came straight or through a relay. Its news must be passed to Hear as well.
func (t *Table) Acked(now clock.Time, from ident.Entry, seq uint64) {
	t.notice(now)
	if seq < t.first || seq > t.seq {
		return // of an earlier life
	}
	r := t.records[from]
	if r == nil {
		return
	}
	r.unanswered = 0
	t.probes = slices.DeleteFunc(t.probes, func(p *probe) bool { return p.target == r && p.seq <= seq })
	if !t.ready {
		t.confirm()
	}
}
