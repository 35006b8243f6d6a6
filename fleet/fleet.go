// Package fleet tracks the endpoints as one entry sees them: their state, load and
// speed relative to their peers, and the attempts that the entry has in flight on them.
package fleet

import (
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// unlistedRetention is how long an endpoint that still answers is kept after it
	// disappears from the instance list, which is stale at times.
	unlistedRetention = 60 * clock.Second
	// maxReportAge is the maximum age of the last report of an endpoint that counts as
	// answering.
	maxReportAge = 3 * clock.Second
	// MissedReportLimit is the number of consecutive missed reports after which an
	// endpoint is down.
	MissedReportLimit = 3
	// departureTTL is how long a departure is passed on to other entries. It is twice
	// the lag of the instance list.
	departureTTL = 60 * clock.Second
	// maxUnlistedDepartures bounds the stored departures of endpoints that are not on
	// the instance list.
	maxUnlistedDepartures = 1024
)

// Config configures a Fleet.
type Config struct {
	// Region is the region of this entry.
	Region ident.Region
	// Seed seeds the jitter of probe times, so that entries probe at different times.
	Seed uint64
}

// Fleet tracks the endpoints. It is not safe for concurrent use.
type Fleet struct {
	config    Config
	random    *rand.Rand
	endpoints map[ident.Endpoint]*endpoint
	// groups is sorted by service and region.
	groups   []*group
	attempts map[attemptKey]*attempt
	// unlistedDepartures holds departures of endpoints that are not on the instance
	// list, oldest first.
	unlistedDepartures []departure
	requirements       []modelRequirement
	// synced is set once an instance list has been applied.
	synced bool
}

// attemptKey identifies an attempt.
type attemptKey struct {
	request ident.Request
	number  ident.Attempt
}

// departure records since when an endpoint has been leaving.
type departure struct {
	endpoint ident.Endpoint
	since    clock.Time
}

// Target is an endpoint to poll for its load report.
type Target struct {
	Endpoint ident.Endpoint
	Address  string
	Service  ident.Service
	Region   ident.Region
	// InUse is set if this entry has attempts in flight at the service in the region.
	InUse bool
}

// modelRequirement is the model that the endpoints of a service must have loaded.
type modelRequirement struct {
	service ident.Service
	model   string
}

// New returns a Fleet without endpoints.
func New(config Config) *Fleet {
	return &Fleet{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, 0)),
		endpoints: map[ident.Endpoint]*endpoint{},
		attempts:  map[attemptKey]*attempt{},
	}
}

// Sync applies the instance list. Rows with a role other than endpoint are ignored.
func (f *Fleet) Sync(now clock.Time, list []watch.Instance) {
	f.expireDepartures(now)
	listed := make(map[ident.Endpoint]bool, len(list))
	for _, i := range list {
		if i.Role != watch.RoleEndpoint {
			continue
		}
		listed[ident.Endpoint(i.Name)] = true
		f.applyInstance(now, i)
	}
	f.synced = true
	for _, g := range f.groups {
		for _, e := range g.endpoints {
			if !listed[e.name] && e.missingSince == 0 {
				e.missingSince = now
				g.dirty = true
			}
		}
	}
	f.removeExpired(now)
}

// applyInstance applies one row of the instance list.
func (f *Fleet) applyInstance(now clock.Time, instance watch.Instance) {
	endpoint := f.endpoints[ident.Endpoint(instance.Name)]
	if endpoint == nil || !endpoint.sameInstance(instance) {
		if endpoint != nil {
			f.removeEndpoint(endpoint)
		}
		endpoint = f.addEndpoint(now, instance)
	}
	endpoint.missingSince = 0
	endpoint.group.dirty = true
	if instance.Slots > 0 && !endpoint.reported {
		endpoint.slots = instance.Slots
	}
	if instance.State == watch.StateLeaving {
		endpoint.markLeaving(now)
	}
}

// addEndpoint creates an endpoint from a row of the list. Endpoints on the first list
// count as warm, since it is this entry that has just started.
func (f *Fleet) addEndpoint(now clock.Time, instance watch.Instance) *endpoint {
	endpoint := newEndpoint(now, instance)
	if f.synced {
		endpoint.warmingSince = now
		endpoint.addedLater = true
	}
	f.endpoints[endpoint.name] = endpoint
	group := f.groupFor(endpoint.service, endpoint.region)
	group.add(endpoint)
	endpoint.group = group
	for _, d := range f.unlistedDepartures {
		if d.endpoint == endpoint.name {
			endpoint.markLeaving(d.since)
		}
	}
	f.adoptAttempts(now, endpoint)
	return endpoint
}

// adoptAttempts assigns to endpoint the attempts still in flight from before the list
// temporarily dropped the endpoint.
func (f *Fleet) adoptAttempts(now clock.Time, endpoint *endpoint) {
	var inFlight []*attempt
	for _, r := range f.attempts {
		if r.endpoint != nil && r.endpoint.name == endpoint.name && r.endpoint.address == endpoint.address {
			inFlight = append(inFlight, r)
		}
	}
	sort.Slice(inFlight, func(i, j int) bool { return inFlight[i].startedBefore(inFlight[j]) })
	for _, r := range inFlight {
		r.endpoint = endpoint
		endpoint.addAttempt(now, r, 0)
	}
}

// removeEndpoint deletes an endpoint. Its attempts stay accounted for until they end.
func (f *Fleet) removeEndpoint(endpoint *endpoint) {
	endpoint.group.remove(endpoint)
	delete(f.endpoints, endpoint.name)
}

// removeExpired deletes the endpoints that are off the list and do not answer, are
// leaving, or have been off it for longer than unlistedRetention.
func (f *Fleet) removeExpired(now clock.Time) {
	for _, g := range f.groups {
		for _, v := range slices.Backward(g.endpoints) {
			if endpoint := v; endpoint.expired(now) {
				f.removeEndpoint(endpoint)
			}
		}
	}
}

// groupFor returns the group of a service in a region, creating it if necessary.
func (f *Fleet) groupFor(service ident.Service, region ident.Region) *group {
	position := sort.Search(len(f.groups), func(i int) bool {
		group := f.groups[i]
		return group.service > service || group.service == service && group.region >= region
	})
	if position < len(f.groups) && f.groups[position].service == service && f.groups[position].region == region {
		return f.groups[position]
	}
	group := &group{service: service, region: region, model: f.requiredModel(service)}
	f.groups = append(f.groups, nil)
	copy(f.groups[position+1:], f.groups[position:])
	f.groups[position] = group
	return group
}

// SetModel sets the model that the endpoints of a service must have loaded. Endpoints that
// report their models without it receive no work until they have loaded it.
func (f *Fleet) SetModel(service ident.Service, model string) {
	if f.requiredModel(service) == model {
		return
	}
	f.requirements = slices.DeleteFunc(f.requirements, func(w modelRequirement) bool { return w.service == service })
	f.requirements = append(f.requirements, modelRequirement{service: service, model: model})
	for _, g := range f.groups {
		if g.service == service {
			g.requireModel(model)
		}
	}
}

func (f *Fleet) requiredModel(service ident.Service) string {
	for _, w := range f.requirements {
		if w.service == service {
			return w.model
		}
	}
	return ""
}

func (g *group) requireModel(model string) {
	g.model = model
	g.dirty = true
	for _, e := range g.endpoints {
		if e.state == Live && !e.hasModel(model) {
			e.state = Loading
		}
	}
}

// findGroup returns the group of a service in a region, or nil if there is none.
func (f *Fleet) findGroup(service ident.Service, region ident.Region) *group {
	for _, g := range f.groups {
		if g.service == service && g.region == region {
			return g
		}
	}
	return nil
}

// Targets returns the endpoints to poll for load reports, sorted by service, region and
// name.
func (f *Fleet) Targets() []Target {
	var targets []Target
	for _, g := range f.groups {
		used := slices.ContainsFunc(g.endpoints, func(e *endpoint) bool { return len(e.attempts) > 0 })
		for _, e := range g.endpoints {
			targets = append(targets, Target{
				Endpoint: e.name, Address: e.address, Service: e.service, Region: e.region, InUse: used,
			})
		}
	}
	return targets
}

// State returns the state of the named endpoint, or "" if it is unknown.
func (f *Fleet) State(name ident.Endpoint) State {
	if endpoint := f.endpoints[name]; endpoint != nil {
		return endpoint.state
	}
	return ""
}

// Address returns the address of the named endpoint, or "" if it is unknown.
func (f *Fleet) Address(name ident.Endpoint) string {
	if endpoint := f.endpoints[name]; endpoint != nil {
		return endpoint.address
	}
	return ""
}

// Report applies a load report of the named endpoint. Unknown endpoints are ignored.
func (f *Fleet) Report(now clock.Time, name ident.Endpoint, report Report) {
	if endpoint := f.endpoints[name]; endpoint != nil {
		endpoint.applyReport(now, report)
	}
}

// RecordMissedReport records that the report of the named endpoint could not be read.
func (f *Fleet) RecordMissedReport(now clock.Time, name ident.Endpoint) {
	endpoint := f.endpoints[name]
	if endpoint == nil {
		return
	}
	endpoint.missedReports++
	if endpoint.missedReports >= MissedReportLimit {
		endpoint.markDown()
	}
	if endpoint.expired(now) {
		f.removeEndpoint(endpoint)
	}
}

// MarkLeaving records that the named endpoint refuses work because it is leaving. It returns
// false if that was already known.
func (f *Fleet) MarkLeaving(now clock.Time, name ident.Endpoint) bool {
	return f.recordDeparture(now, now, name)
}

// ApplyDepartures applies departures received from another entry and reports whether any was new.
// A departure from before the instance was listed concerns a predecessor with the same
// name and is ignored.
func (f *Fleet) ApplyDepartures(now clock.Time, departures []gossip.Departure) bool {
	changed := false
	for _, d := range departures {
		if d.Age >= departureTTL || d.Age < 0 {
			continue
		}
		if f.recordDeparture(now, now.Add(-d.Age), d.Endpoint) {
			changed = true
		}
	}
	return changed
}

// recordDeparture records that the named endpoint has been leaving since the given time.
func (f *Fleet) recordDeparture(now, since clock.Time, name ident.Endpoint) bool {
	if endpoint := f.endpoints[name]; endpoint != nil {
		if endpoint.state == Leaving || endpoint.addedLater && since.Before(endpoint.listedAt) {
			return false
		}
		endpoint.markLeaving(since)
		return true
	}
	f.expireDepartures(now)
	for _, d := range f.unlistedDepartures {
		if d.endpoint == name {
			return false
		}
	}
	if len(f.unlistedDepartures) >= maxUnlistedDepartures {
		f.unlistedDepartures = f.unlistedDepartures[1:]
	}
	f.unlistedDepartures = append(f.unlistedDepartures, departure{endpoint: name, since: since})
	return true
}

// expireDepartures removes expired departures of endpoints that are not on the list.
func (f *Fleet) expireDepartures(now clock.Time) {
	kept := f.unlistedDepartures[:0]
	for _, d := range f.unlistedDepartures {
		if now.Sub(d.since) < departureTTL {
			kept = append(kept, d)
		}
	}
	f.unlistedDepartures = kept
}

// Departures returns the endpoints that started to leave within the last minute.
func (f *Fleet) Departures(now clock.Time) []gossip.Departure {
	var departures []gossip.Departure
	for _, g := range f.groups {
		for _, e := range g.endpoints {
			if e.state == Leaving && now.Sub(e.leavingSince) < departureTTL {
				departures = append(departures, gossip.Departure{Endpoint: e.name, Age: now.Sub(e.leavingSince)})
			}
		}
	}
	for _, d := range f.unlistedDepartures {
		if now.Sub(d.since) < departureTTL {
			departures = append(departures, gossip.Departure{Endpoint: d.endpoint, Age: now.Sub(d.since)})
		}
	}
	return departures
}
