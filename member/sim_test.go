package member_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const step = 100 * clock.Millisecond

// packet is one message of the simulated network. The origin of a relayed ping is the
// entry that requested it.
type packet struct {
	due      clock.Time
	kind     string
	from, to ident.Entry
	origin   ident.Entry
	target   ident.Entry
	seq      uint64
	updates  []gossip.Member
}

type process struct {
	table  *member.Table
	paused bool
	inbox  []packet
}

// network runs several tables against a simulated clock and network.
type network struct {
	now       clock.Time
	names     []ident.Entry
	processes map[ident.Entry]*process
	list      []watch.Instance
	blocked   map[[2]ident.Entry]bool // links from the first to the second entry
	loss      float64
	random    *rand.Rand
	inFlight  []packet
	onSend    func(p packet)
	tableTime time.Duration // wall time spent in the tables
}

// measure adds the duration of f to tableTime.
func (w *network) measure(f func()) {
	start := time.Now()
	f()
	w.tableTime += time.Since(start)
}

func newNetwork(n, regions int, seed uint64) *network {
	w := &network{
		now: 60000, processes: make(map[ident.Entry]*process), blocked: make(map[[2]ident.Entry]bool),
		random: rand.New(rand.NewPCG(seed, 1)), onSend: func(packet) {},
	}
	for i := range n {
		name := fmt.Sprintf("e%d", i)
		w.names = append(w.names, ident.Entry(name))
		w.list = append(w.list, watch.Instance{
			Name: name, Role: watch.RoleEntry, Region: ident.Region(fmt.Sprintf("r%d", i%regions)), Zone: "z",
			State: watch.StateLive, Peer: "127.0.0.1:1",
		})
	}
	for i := range n {
		w.start(i, 1)
	}
	return w
}

func (w *network) start(i int, incarnation ident.Incarnation) {
	l := w.list[i]
	t := member.New(member.Config{
		Self: gossip.Member{Entry: w.names[i], Incarnation: incarnation, Region: l.Region, Zone: l.Zone},
		Seed: uint64(i),
	})
	t.Sync(w.now, w.list)
	w.processes[w.names[i]] = &process{table: t}
}

func (w *network) table(i int) *member.Table { return w.processes[w.names[i]].table }

func (w *network) state(i, of int) gossip.State {
	m, _ := w.table(i).Find(w.names[of])
	return m.State
}

func (w *network) isolate(i int, on bool) {
	for _, n := range w.names {
		w.blocked[[2]ident.Entry{w.names[i], n}] = on
		w.blocked[[2]ident.Entry{n, w.names[i]}] = on
	}
}

func (w *network) run(s clock.Span) {
	for end := w.now.Add(s); w.now.Before(end); {
		w.advance()
	}
}

func (w *network) advance() {
	w.now = w.now.Add(step)
	var due []packet
	w.inFlight = slices.DeleteFunc(w.inFlight, func(p packet) bool {
		if p.due.After(w.now) {
			return false
		}
		due = append(due, p)
		return true
	})
	for _, p := range due {
		w.processes[p.to].inbox = append(w.processes[p.to].inbox, p)
	}
	for _, n := range w.names {
		w.runProcess(n)
	}
}

func (w *network) runProcess(n ident.Entry) {
	p := w.processes[n]
	if p.paused {
		return
	}
	var requests []member.ProbeRequest
	w.measure(func() { requests = p.table.Tick(w.now) })
	for _, s := range requests {
		q := packet{kind: string(s.Kind), from: n, to: s.To, target: s.Target, seq: s.Seq}
		w.send(q)
	}
	inbox := p.inbox
	p.inbox = nil
	for _, q := range inbox {
		w.deliver(p.table, q)
	}
}

func (w *network) deliver(t *member.Table, p packet) {
	w.measure(func() { t.Merge(w.now, p.updates) })
	switch p.kind {
	case "ping":
		w.send(packet{kind: "ack", from: p.to, to: p.from, target: p.to, origin: p.origin, seq: p.seq})
	case "relay":
		w.send(packet{kind: "ping", from: p.to, to: p.target, origin: p.from, seq: p.seq})
	case "ack":
		if p.origin == "" {
			w.measure(func() { t.RecordAck(w.now, p.target, p.seq) })
		} else {
			w.send(packet{kind: "ack", from: p.to, to: p.origin, target: p.target, seq: p.seq})
		}
	}
}

func (w *network) send(p packet) {
	w.measure(func() { p.updates = w.processes[p.from].table.UpdatesTo(p.to) })
	w.onSend(p)
	if w.blocked[[2]ident.Entry{p.from, p.to}] || w.random.Float64() < w.loss {
		return
	}
	p.due = w.now.Add(clock.Span(w.random.IntN(60)))
	if w.loss > 0 && w.random.IntN(8) == 0 {
		p.due = p.due.Add(clock.Span(w.random.IntN(3000)))
	}
	w.inFlight = append(w.inFlight, p)
	if w.loss > 0 && w.random.IntN(8) == 0 {
		p.due = p.due.Add(clock.Span(w.random.IntN(1000)))
		w.inFlight = append(w.inFlight, p)
	}
}
