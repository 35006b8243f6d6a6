package pool

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// absenceGrace is how long an endpoint that is missing after an outage of the list may
	// take to come back.
	absenceGrace = 2300 * clock.Millisecond
	// outage is the time between two readings of the list after which entries may have
	// lapsed without the endpoint being gone.
	outage = 2500 * clock.Millisecond
	// forgetAfter is how long an endpoint that is gone is kept while requests run there.
	forgetAfter = clock.Minute
)

// Config configures a Pool.
type Config struct {
	Self   ident.Entry
	Region ident.Region
	Seed   uint64
}

// Pool holds the endpoints of all services.
type Pool struct {
	c         Config
	endpoints map[ident.Endpoint]*endpoint
	services  map[ident.Service]*service
	evacuated map[ident.Zone]bool
	// listed is when the list was last read.
	listed clock.Time
	// graceUntil is until when endpoints that are missing after an outage are kept.
	graceUntil clock.Time
	// members are the instances of the region that share cold endpoints, this one among them.
	members []ident.Entry
	// settled says that the members have been heard of for long enough.
	settled bool
	turn    uint64
}

// service is what the endpoints of one service have in common.
type service struct {
	local []*endpoint
	// all are the endpoints of all regions.
	all []*endpoint
	// hold is the mean time that a request takes at an endpoint.
	hold float64
	// first is the mean time to the first byte without waiting or reading.
	first float64
	// rate is how many prompt tokens an endpoint reads in a ms.
	rate float64
}

// Defaults of the estimates until requests have been seen.
const (
	defaultHold  = 300.0 // ms
	defaultFirst = 60.0  // ms
)

// New returns an empty Pool.
func New(c Config) *Pool {
	return &Pool{
		c: c, endpoints: make(map[ident.Endpoint]*endpoint), services: make(map[ident.Service]*service),
		evacuated: make(map[ident.Zone]bool), turn: c.Seed,
	}
}

// Reborn is the Change.What of an endpoint whose process was started anew under its id.
const Reborn = "reborn"

// Change says what a new list changed about one endpoint.
type Change struct {
	Endpoint ident.Endpoint
	Service  ident.Service
	What     string
}

// Sync takes a new list, read at the given time, and returns what it changed. Endpoints
// that are missing right after an outage of the list are kept for a short time, since
// their entries may have lapsed meanwhile.
func (p *Pool) Sync(now, read clock.Time, list []Info) (changes []Change) {
	if p.listed > 0 && read.Sub(p.listed) > outage {
		p.graceUntil = read.Add(absenceGrace)
	}
	p.listed = read
	seen := make(map[ident.Endpoint]bool, len(list))
	for _, i := range list {
		seen[i.ID] = true
		if what := p.syncOne(now, i); what != "" {
			changes = append(changes, Change{i.ID, i.Service, what})
		}
	}
	for id, e := range p.endpoints {
		if seen[id] {
			continue
		}
		if what := p.miss(now, e); what != "" {
			changes = append(changes, Change{id, e.Service, what})
		}
	}
	p.index()
	return changes
}

// Confirm records that the list was unchanged when it was read at the given time.
func (p *Pool) Confirm(read clock.Time) { p.listed = max(p.listed, read) }

func (p *Pool) syncOne(now clock.Time, i Info) string {
	e := p.endpoints[i.ID]
	if e == nil {
		e = newEndpoint(i)
		e.coldUntil = now.Add(i.Cold)
		p.endpoints[i.ID] = e
		return "added"
	}
	what := ""
	switch {
	case e.Born != i.Born && i.Born != 0:
		what = Reborn
		fresh := newEndpoint(i)
		fresh.sends, fresh.reading, fresh.holding = e.sends, e.reading, e.holding
		*e = *fresh
	case e.gone:
		what = "back"
	case i.Leaving && !e.Leaving:
		what = "leaving"
	case e.Address != i.Address:
		what = "moved"
		e.cache.clear()
	}
	// A departure stays known even if an older entry is read again.
	i.Leaving = i.Leaving || e.Leaving && e.Born == i.Born && !e.gone
	e.Info, e.gone, e.absent = i, false, 0
	if i.Cold > 0 {
		e.coldUntil = now.Add(i.Cold)
	}
	return what
}

func (p *Pool) miss(now clock.Time, e *endpoint) string {
	switch {
	case e.gone:
		if len(e.sends) == 0 && now.Sub(e.absent) > forgetAfter {
			delete(p.endpoints, e.ID)
		}
		return ""
	case now.Before(p.graceUntil):
		return ""
	default:
		e.gone, e.absent = true, now
		e.cache.clear()
		return "gone"
	}
}

func (p *Pool) index() {
	for _, s := range p.services {
		s.local, s.all = s.local[:0], s.all[:0]
	}
	for _, id := range slices.Sorted(maps.Keys(p.endpoints)) {
		e := p.endpoints[id]
		if e.gone {
			continue
		}
		s := p.service(e.Service)
		s.all = append(s.all, e)
		if e.Region == p.c.Region {
			s.local = append(s.local, e)
		}
	}
}

func (p *Pool) service(name ident.Service) *service {
	s := p.services[name]
	if s == nil {
		s = &service{hold: defaultHold, first: defaultFirst, rate: defaultRate}
		p.services[name] = s
	}
	return s
}

// Evacuate takes the zones whose endpoints must get no requests. Endpoints of a zone that
// is given back may be cold without having said so: they must pass a health check.
func (p *Pool) Evacuate(zones []ident.Zone) {
	next := make(map[ident.Zone]bool, len(zones))
	for _, z := range zones {
		next[z] = true
	}
	for _, e := range p.endpoints {
		if p.evacuated[e.Zone] && !next[e.Zone] {
			e.suspect = true
		}
	}
	p.evacuated = next
}

// Members takes the instances of the region, this one among them. settled says that
// instances that exist have had the time to make themselves known.
func (p *Pool) Members(names []ident.Entry, settled bool) {
	slices.Sort(names)
	p.members, p.settled = names, settled
}

// Hear takes what another instance of the region tells of its work, by endpoint.
func (p *Pool) Hear(now clock.Time, from ident.Entry, loads map[ident.Endpoint]PeerLoad) {
	for id, e := range p.endpoints {
		l, ok := loads[id]
		if !ok {
			delete(e.peers, from)
			continue
		}
		l.At = now
		e.peers[from] = l
	}
}

// Work returns the work of this instance by endpoint, for its peers.
func (p *Pool) Work() map[ident.Endpoint]PeerLoad {
	found := make(map[ident.Endpoint]PeerLoad)
	for id, e := range p.endpoints {
		if len(e.sends) > 0 {
			found[id] = PeerLoad{Count: len(e.sends), Reading: e.reading, Holding: e.holding}
		}
	}
	return found
}

// Load takes what an endpoint says of itself.
func (p *Pool) Load(now clock.Time, id ident.Endpoint, l Load) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	if l.Pace > 0 {
		e.pace, e.paceAt = l.Pace, now
	}
}

// Check is the result of a health check.
type Check struct {
	Healthy bool
	// Same says that the endpoint that answered is the one that was asked.
	Same bool
	Cold clock.Span
}

// Checked takes the result of a health check. A suspected endpoint that is healthy gets
// requests again.
func (p *Pool) Checked(now clock.Time, id ident.Endpoint, c Check) {
	e := p.endpoints[id]
	if e == nil {
		return
	}
	if c.Cold > 0 {
		e.coldUntil = now.Add(c.Cold)
	}
	if c.Healthy && c.Same {
		e.suspect = false
	}
}

// Due returns the suspected endpoints of this region that are to be checked now.
func (p *Pool) Due(now clock.Time) (due []Info) {
	for _, s := range p.services {
		for _, e := range s.local {
			if e.suspect && !e.Leaving && now.Sub(e.checked) >= checkInterval {
				e.checked = now
				due = append(due, e.Info)
			}
		}
	}
	return due
}

// Summary is what one region can do for a service.
type Summary struct {
	Service ident.Service
	// Free is the number of free slots, Slots the number of all.
	Free  int
	Slots int
	// Wait is the expected wait of a new request for a slot at the best endpoint.
	Wait clock.Span
	// Reading is the mean backlog of an engine, by rank.
	Reading []ident.Tokens
}

// Summaries returns what this region can do, by service.
func (p *Pool) Summaries(now clock.Time) (all []Summary) {
	for name, s := range p.services {
		sum := Summary{Service: name, Wait: -1}
		var reading Backlog
		usable := ident.Tokens(0)
		for _, e := range s.local {
			if !e.usable(now) || p.evacuated[e.Zone] || e.cold(now) {
				continue
			}
			w := e.work(now)
			sum.Slots += e.Slots
			sum.Free += max(0, e.Slots-w.count)
			reading.add(w.reading)
			usable++
			wait := clock.Span(s.wait(now, e, w))
			if sum.Wait < 0 || wait < sum.Wait {
				sum.Wait = wait
			}
		}
		if sum.Slots > 0 {
			for i := range reading {
				reading[i] /= usable
			}
			sum.Reading = reading.Compact()
			all = append(all, sum)
		}
	}
	slices.SortFunc(all, func(a, b Summary) int { return cmp.Compare(a.Service, b.Service) })
	return all
}
