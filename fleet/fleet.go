// Package fleet holds what one entry knows of the endpoints: their state, their
// load, how slow they are compared with their peers, and the entry's own attempts
// in flight on them.
package fleet

import (
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// unlistedTerm is how long an endpoint stays after the list dropped it, as long as
	// it answers: the list is stale at times.
	unlistedTerm = 60 * clock.Second
	// maxReportAge is how old an endpoint's last report may be for it to count as answering.
	maxReportAge = 3 * clock.Second
	// misses is how many reports in a row may be missed before an endpoint is down.
	misses = 3
	// departureTerm is how long others are told that an endpoint is leaving, twice the
	// lag of the instance list.
	departureTerm = 60 * clock.Second
	// unlisted bounds the departures kept of endpoints that are not on the list.
	unlisted = 1024
)

// Config configures a Fleet.
type Config struct {
	// Region is the region of the entry.
	Region ident.Region
	// Seed makes the times of probes differ between entries.
	Seed uint64
}

// Fleet holds the endpoints. It is not safe for concurrent use.
type Fleet struct {
	config    Config
	random    *rand.Rand
	endpoints map[ident.Endpoint]*endpoint
	// groups is in order of service and region.
	groups   []*group
	attempts map[key]*attempt
	// gone holds departures of endpoints that are not on the list, oldest first.
	gone  []departure
	wants []want
	// synced says that a list has been seen.
	synced bool
}

// key names one attempt.
type key struct {
	request ident.Request
	try     ident.Try
}

// departure is the news that an endpoint is leaving.
type departure struct {
	endpoint ident.Endpoint
	at       clock.Time
}

// Target is an endpoint whose report is worth reading.
type Target struct {
	Endpoint ident.Endpoint
	Address  string
	Service  ident.Service
	Region   ident.Region
	// Used says that this entry has attempts in flight at the service in the region.
	Used bool
}

// want is the model that the endpoints of a service need.
type want struct {
	service ident.Service
	model   string
}

// New returns an empty Fleet.
func New(c Config) *Fleet {
	return &Fleet{
		config:    c,
		random:    rand.New(rand.NewPCG(c.Seed, 0)),
		endpoints: map[ident.Endpoint]*endpoint{},
		attempts:  map[key]*attempt{},
	}
}

// Sync takes in the instance list. Rows of entries are ignored.
func (f *Fleet) Sync(now clock.Time, list []watch.Instance) {
	f.expire(now)
	listed := make(map[ident.Endpoint]bool, len(list))
	for _, i := range list {
		if i.Role != watch.RoleEndpoint {
			continue
		}
		listed[ident.Endpoint(i.Name)] = true
		f.list(now, i)
	}
	f.synced = true
	for _, g := range f.groups {
		for _, e := range g.endpoints {
			if !listed[e.name] && e.missing == 0 {
				e.missing = now
				g.changed = true
			}
		}
	}
	f.sweep(now)
}

// list takes in one row of the list.
func (f *Fleet) list(now clock.Time, i watch.Instance) {
	e := f.endpoints[ident.Endpoint(i.Name)]
	if e == nil || !e.same(i) {
		if e != nil {
			f.remove(e)
		}
		e = f.add(now, i)
	}
	e.missing = 0
	e.group.changed = true
	if i.Slots > 0 && !e.reported {
		e.slots = i.Slots
	}
	if i.State == watch.StateLeaving {
		e.leave(now)
	}
}

// add makes an endpoint of a row of the list. Endpoints of the first list are
// taken to be warm: it is the entry that is new.
func (f *Fleet) add(now clock.Time, i watch.Instance) *endpoint {
	e := newEndpoint(now, i)
	if f.synced {
		e.warming = now
		e.relisted = true
	}
	f.endpoints[e.name] = e
	g := f.group(e.service, e.region)
	g.add(e)
	e.group = g
	for _, d := range f.gone {
		if d.endpoint == e.name {
			e.leave(d.at)
		}
	}
	f.adopt(now, e)
	return e
}

// adopt moves the attempts that are still in flight on e, from before the list
// dropped it for a while, to e.
func (f *Fleet) adopt(now clock.Time, e *endpoint) {
	var found []*attempt
	for _, r := range f.attempts {
		if r.endpoint != nil && r.endpoint.name == e.name && r.endpoint.address == e.address {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].older(found[j]) })
	for _, r := range found {
		r.endpoint = e
		e.begin(now, r, 0)
	}
}

// remove takes e off the table. Its attempts stay accounted until they end.
func (f *Fleet) remove(e *endpoint) {
	e.group.remove(e)
	delete(f.endpoints, e.name)
}

// sweep removes the endpoints that are off the list and don't answer, are leaving
// or have been off it for long.
func (f *Fleet) sweep(now clock.Time) {
	for _, g := range f.groups {
		for _, v := range slices.Backward(g.endpoints) {
			if e := v; e.over(now) {
				f.remove(e)
			}
		}
	}
}

// group returns the group of a service in a region and creates it if needed.
func (f *Fleet) group(s ident.Service, r ident.Region) *group {
	at := sort.Search(len(f.groups), func(i int) bool {
		g := f.groups[i]
		return g.service > s || g.service == s && g.region >= r
	})
	if at < len(f.groups) && f.groups[at].service == s && f.groups[at].region == r {
		return f.groups[at]
	}
	g := &group{service: s, region: r, model: f.model(s)}
	f.groups = append(f.groups, nil)
	copy(f.groups[at+1:], f.groups[at:])
	f.groups[at] = g
	return g
}

// Want sets the model that the endpoints of a service need. Those that say that they
// have not got it get no work until they have.
func (f *Fleet) Want(s ident.Service, model string) {
	if f.model(s) == model {
		return
	}
	f.wants = slices.DeleteFunc(f.wants, func(w want) bool { return w.service == s })
	f.wants = append(f.wants, want{service: s, model: model})
	for _, g := range f.groups {
		if g.service == s {
			g.want(model)
		}
	}
}

func (f *Fleet) model(s ident.Service) string {
	for _, w := range f.wants {
		if w.service == s {
			return w.model
		}
	}
	return ""
}

func (g *group) want(model string) {
	g.model = model
	g.changed = true
	for _, e := range g.endpoints {
		if e.state == Live && !e.has(model) {
			e.state = Loading
		}
	}
}

// find returns the group of a service in a region, or nil.
func (f *Fleet) find(s ident.Service, r ident.Region) *group {
	for _, g := range f.groups {
		if g.service == s && g.region == r {
			return g
		}
	}
	return nil
}

// Targets returns the endpoints whose reports should be read, in order of service,
// region and name.
func (f *Fleet) Targets() []Target {
	var found []Target
	for _, g := range f.groups {
		used := slices.ContainsFunc(g.endpoints, func(e *endpoint) bool { return len(e.attempts) > 0 })
		for _, e := range g.endpoints {
			found = append(found, Target{
				Endpoint: e.name, Address: e.address, Service: e.service, Region: e.region, Used: used,
			})
		}
	}
	return found
}

// State returns the state of endpoint n, or "" if it is unknown.
func (f *Fleet) State(n ident.Endpoint) State {
	if e := f.endpoints[n]; e != nil {
		return e.state
	}
	return ""
}

// Address returns the address of endpoint n, or "" if it is unknown.
func (f *Fleet) Address(n ident.Endpoint) string {
	if e := f.endpoints[n]; e != nil {
		return e.address
	}
	return ""
}

// Report takes in the load report of endpoint n.
func (f *Fleet) Report(now clock.Time, n ident.Endpoint, r Report) {
	if e := f.endpoints[n]; e != nil {
		e.report(now, r)
	}
}

// Missed records that the report of endpoint n could not be read.
func (f *Fleet) Missed(now clock.Time, n ident.Endpoint) {
	e := f.endpoints[n]
	if e == nil {
		return
	}
	e.missed++
	if e.missed >= misses {
		e.fail()
	}
	if e.over(now) {
		f.remove(e)
	}
}

// Depart records that endpoint n refuses work because it is leaving; it reports
// whether that was new.
func (f *Fleet) Depart(now clock.Time, n ident.Endpoint) bool { return f.depart(now, now, n) }

// Hear takes in the departures that another entry tells of and reports whether any
// was new. News older than the listing of an instance is about its predecessor of
// the same name and is ignored.
func (f *Fleet) Hear(now clock.Time, told []news.Departure) bool {
	changed := false
	for _, d := range told {
		if d.Age >= departureTerm || d.Age < 0 {
			continue
		}
		if f.depart(now, now.Add(-d.Age), d.Endpoint) {
			changed = true
		}
	}
	return changed
}

// depart records that endpoint n has been leaving since the time at.
func (f *Fleet) depart(now, at clock.Time, n ident.Endpoint) bool {
	if e := f.endpoints[n]; e != nil {
		if e.state == Leaving || e.relisted && at.Before(e.listed) {
			return false
		}
		e.leave(at)
		return true
	}
	f.expire(now)
	for _, d := range f.gone {
		if d.endpoint == n {
			return false
		}
	}
	if len(f.gone) >= unlisted {
		f.gone = f.gone[1:]
	}
	f.gone = append(f.gone, departure{endpoint: n, at: at})
	return true
}

// expire forgets old departures of endpoints that are not on the list.
func (f *Fleet) expire(now clock.Time) {
	kept := f.gone[:0]
	for _, d := range f.gone {
		if now.Sub(d.at) < departureTerm {
			kept = append(kept, d)
		}
	}
	f.gone = kept
}

// Departures returns the endpoints that began to leave within the last minute.
func (f *Fleet) Departures(now clock.Time) []news.Departure {
	var told []news.Departure
	for _, g := range f.groups {
		for _, e := range g.endpoints {
			if e.state == Leaving && now.Sub(e.left) < departureTerm {
				told = append(told, news.Departure{Endpoint: e.name, Age: now.Sub(e.left)})
			}
		}
	}
	for _, d := range f.gone {
		if now.Sub(d.at) < departureTerm {
			told = append(told, news.Departure{Endpoint: d.endpoint, Age: now.Sub(d.at)})
		}
	}
	return told
}
