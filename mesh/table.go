package mesh

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/pool"
)

// peer is another instance.
type peer struct {
	Record
	// news is when the counter was last seen to rise, direct when a message of its own came.
	news   clock.Time
	direct clock.Time
	// mutual says that the peer lately heard from this instance.
	mutual bool
	// sent is the sender's time in its last message, trip the least time of a round trip lately.
	sent     clock.Time
	trip     clock.Span
	services []pool.Summary
	summary  clock.Time
}

// Table is what an instance knows of the others. It is not safe for concurrent use.
type Table struct {
	self  Record
	start clock.Time
	peers map[ident.Entry]*peer
	seeds []string
	// heard is when a message of any instance of a region last came.
	heard map[ident.Region]clock.Time
	// names are the remembered instances in order, as of the last round.
	names []ident.Entry
	// near and far are how many there are in this region and in the others.
	near, far   int
	regionCount int

	nearPos int
	farPos  int
	random  *rand.Rand
}

// NewTable returns a table that knows only the addresses of seeds.
func NewTable(now clock.Time, self Record, seeds []string, seed uint64) *Table {
	t := &Table{self: self, start: now, peers: make(map[ident.Entry]*peer), heard: make(map[ident.Region]clock.Time), random: rand.New(rand.NewPCG(seed, 1))}
	// Instances that all begin with the same one would write to it at the same time.
	t.nearPos, t.farPos = t.random.IntN(math.MaxInt32), t.random.IntN(math.MaxInt32)
	t.SetSeeds(seeds)
	return t
}

// SetSeeds replaces the addresses that are tried while no instance is known there.
func (t *Table) SetSeeds(seeds []string) {
	t.seeds = slices.DeleteFunc(slices.Clone(seeds), func(s string) bool { return s == t.self.Mesh })
}

// SetState changes what this instance says of itself. It never goes back to an earlier state.
func (t *Table) SetState(s State) { t.self.State = max(t.self.State, s) }

// Self returns this instance's record.
func (t *Table) Self() Record { return t.self }

// Letter is a message with its receiver's address.
type Letter struct {
	Address string
	Message Message
}

// Round raises the counter and returns the messages to send.
func (t *Table) Round(now clock.Time, f Facts) (letters []Letter) {
	t.self.Counter++
	near, far := t.split()
	t.near, t.far, t.regionCount = len(near), len(far), t.regions()
	for _, p := range turn(near, &t.nearPos, nearFan) {
		m := t.message(now, p)
		m.Work, m.Accusations = f.Work, visible(f.Accusations, p.Region)
		letters = append(letters, Letter{p.Mesh, m})
	}
	for _, p := range turn(far, &t.farPos, max(farFan, t.regionCount)) {
		m := t.message(now, p)
		m.Services, m.Accusations = f.Services, visible(f.Accusations, p.Region)
		letters = append(letters, Letter{p.Mesh, m})
	}
	return append(letters, t.toSeeds(now)...)
}

// visible returns the accusations that a region may learn of.
func visible(all []news.Accusation, to ident.Region) (found []news.Accusation) {
	for _, a := range all {
		if a.Visible(to) && len(found) < maxAccusations {
			found = append(found, a)
		}
	}
	return found
}

// Farewell returns messages that tell all instances of this one's state at once.
func (t *Table) Farewell(now clock.Time) (letters []Letter) {
	t.self.Counter++
	for _, p := range t.peers {
		letters = append(letters, Letter{p.Mesh, t.message(now, p)})
	}
	return letters
}

func (t *Table) message(now clock.Time, p *peer) Message {
	return Message{
		From: t.self, Heard: now.Sub(p.direct) < t.span(p), Records: t.sample(now, p.Name),
		Sent: now, Echo: p.sent, Held: now.Sub(p.direct),
	}
}

// toSeeds greets seeds at which no live instance is known.
func (t *Table) toSeeds(now clock.Time) (letters []Letter) {
	for _, s := range t.seeds {
		known := false
		for _, p := range t.peers {
			known = known || p.Mesh == s && t.alive(now, p)
		}
		if !known {
			letters = append(letters, Letter{s, Message{From: t.self, Reply: true}})
		}
	}
	return letters
}

// split returns the remembered instances of this region and of the others, in the order
// of their names.
func (t *Table) split() (near, far []*peer) {
	t.names = slices.Sorted(maps.Keys(t.peers))
	for _, name := range t.names {
		p := t.peers[name]
		if p.Region == t.self.Region {
			near = append(near, p)
		} else {
			far = append(far, p)
		}
	}
	return near, far
}

func (t *Table) regions() int {
	seen := make(map[ident.Region]bool)
	for _, p := range t.peers {
		seen[p.Region] = true
	}
	return len(seen)
}

// turn takes the next n in a circle.
func turn(all []*peer, position *int, n int) (next []*peer) {
	for range min(n, len(all)) {
		*position++
		next = append(next, all[*position%len(all)])
	}
	return next
}

// sample returns some live records for gossip.
func (t *Table) sample(now clock.Time, to ident.Entry) (records []Record) {
	if len(t.names) == 0 {
		return nil
	}
	start := t.random.IntN(len(t.names))
	step := 1 + t.random.IntN(len(t.names))
	for i := range min(len(t.names), 2*gossipRecords) {
		p := t.peers[t.names[(start+i*step)%len(t.names)]]
		if p == nil || p.Name == to || !t.alive(now, p) {
			continue
		}
		if records = append(records, p.Record); len(records) == gossipRecords {
			break
		}
	}
	return records
}

// Hear takes a message and returns the answer to a greeting, or nil.
func (t *Table) Hear(now clock.Time, m Message) *Letter {
	if m.From.Name == t.self.Name || m.From.Name == "" {
		return nil
	}
	t.learn(now, m.From)
	for _, r := range m.Records {
		t.learn(now, r)
	}
	p := t.peers[m.From.Name]
	if p == nil || p.Incarnation != m.From.Incarnation {
		return nil
	}
	p.direct, p.mutual, p.sent = now, m.Heard, m.Sent
	if m.Echo > 0 {
		p.measure(now.Sub(m.Echo) - m.Held)
	}
	t.heard[p.Region] = now
	if m.Services != nil {
		p.services, p.summary = m.Services, now
	}
	if m.Reply {
		return &Letter{p.Mesh, t.message(now, p)}
	}
	return nil
}

// measure takes the time of a round trip. Delays beyond the least one come and go; the
// estimate follows them slowly.
func (p *peer) measure(trip clock.Span) {
	switch {
	case trip < 0:
	case p.trip == 0 || trip < p.trip:
		p.trip = trip
	default:
		p.trip += (trip - p.trip) / tripPart
	}
}

// learn takes a record if it is newer than the known one.
func (t *Table) learn(now clock.Time, r Record) {
	if r.Name == t.self.Name || r.Name == "" {
		return
	}
	p := t.peers[r.Name]
	switch {
	case p == nil:
		t.peers[r.Name] = &peer{Record: r, news: now}
	case r.Incarnation > p.Incarnation:
		*p = peer{Record: r, news: now}
	case r.Incarnation == p.Incarnation && r.Counter > p.Counter:
		p.Record, p.news = r, now
	}
}

// Forget drops instances that have not been alive for a long time.
func (t *Table) Forget(now clock.Time) {
	maps.DeleteFunc(t.peers, func(_ ident.Entry, p *peer) bool { return now.Sub(p.news) > knownSpan })
}

// span is how long an instance may be silent: some of the turns that it takes to write to
// all instances of its kind, near or far.
func (t *Table) span(p *peer) clock.Span {
	turns := t.far/max(farFan, t.regionCount) + 1
	if p.Region == t.self.Region {
		turns = t.near/nearFan + 1
	}
	return max(aliveSpan, aliveRounds*clock.Span(turns)*t.Pause())
}

// Pause is the time until the next round.
func (t *Table) Pause() clock.Span {
	if len(t.peers) >= smallFleet {
		return longRound
	}
	return round
}

func (t *Table) alive(now clock.Time, p *peer) bool {
	return now.Sub(p.news) < t.span(p) && (p.Region == t.self.Region || t.heardOf(now, p.Region))
}

// heardOf reports whether a message of any instance of another region came lately. Each
// region sends several in a round, so that its loss shows before its instances run out.
func (t *Table) heardOf(now clock.Time, r ident.Region) bool {
	last, ok := t.heard[r]
	return ok && now.Sub(last) < max(regionSpan, regionRounds*t.Pause())
}

// Alive returns the instances that are there and not leaving, this one apart.
func (t *Table) Alive(now clock.Time) (found []Record) {
	for _, p := range t.peers {
		if t.alive(now, p) && p.State == Ready {
			found = append(found, p.Record)
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// Stopping returns the instances that have lately begun to leave: each is replaced at its
// address within seconds.
func (t *Table) Stopping(now clock.Time) (found []Record) {
	for _, p := range t.peers {
		if p.State >= Leaving && now.Sub(p.news) < replaceSpan {
			found = append(found, p.Record)
		}
	}
	slices.SortFunc(found, func(a, b Record) int { return cmp.Compare(a.Name, b.Name) })
	return found
}

// Known returns how many instances there may be, this one among them: all that have been
// alive lately, whether they can be reached or not.
func (t *Table) Known() int { return len(t.peers) + 1 }

// Neighbours returns the names of all remembered instances of this region, this one among them.
func (t *Table) Neighbours() []ident.Entry {
	names := []ident.Entry{t.self.Name}
	for name, p := range t.peers {
		if p.Region == t.self.Region {
			names = append(names, name)
		}
	}
	return names
}

// Settled reports whether the others have had the time to make themselves known.
func (t *Table) Settled(now clock.Time) bool { return now.Sub(t.start) >= settleSpan }

// Region is what is known of another region.
type Region struct {
	Region ident.Region
	// Hops are the addresses of instances that hear this one and are heard by it: those that
	// are ready or, if there are none, those that are leaving and still serve for a moment.
	Hops     []string
	Services []pool.Summary
	// Trip is the least time of a round trip to any of them; 0 if unknown.
	Trip clock.Span
}

// takesHops reports whether an instance serves, hears this one and is heard by it.
func (t *Table) takesHops(now clock.Time, p *peer) bool {
	serves := p.State == Ready || p.State == Leaving
	return serves && p.mutual && now.Sub(p.direct) < t.span(p) && t.heardOf(now, p.Region)
}

// Regions returns the other regions that can be reached.
func (t *Table) Regions(now clock.Time) (regions []Region) {
	byName := make(map[ident.Region]*Region)
	newest := make(map[ident.Region]clock.Time)
	leaving := make(map[ident.Region][]string)
	for _, p := range t.peers {
		if p.Region == t.self.Region || !t.takesHops(now, p) {
			continue
		}
		r := byName[p.Region]
		if r == nil {
			r = &Region{Region: p.Region}
			byName[p.Region] = r
		}
		if p.State == Ready {
			r.Hops = append(r.Hops, p.Hop)
		} else {
			leaving[p.Region] = append(leaving[p.Region], p.Hop)
		}
		if p.trip > 0 && (r.Trip == 0 || p.trip < r.Trip) {
			r.Trip = p.trip
		}
		if p.summary > newest[p.Region] && now.Sub(p.summary) < summaryLife {
			newest[p.Region], r.Services = p.summary, p.services
		}
	}
	for _, r := range byName {
		if len(r.Hops) == 0 {
			r.Hops = leaving[r.Region]
		}
		slices.Sort(r.Hops)
		regions = append(regions, *r)
	}
	slices.SortFunc(regions, func(a, b Region) int { return cmp.Compare(a.Region, b.Region) })
	return regions
}
