package pool

import (
	"cmp"
	"maps"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// delistGrace is how long endpoints that are missing from the list after an outage are kept,
	// so that they can register again.
	delistGrace = 2300 * clock.Millisecond
	// minListOutage is the time between two reads of the list after which entries may have expired
	// although their endpoints are up.
	minListOutage = 2500 * clock.Millisecond
	// copyTerm is how long after a restore of the list from a copy an entry may be older than what was known
	// before: until its endpoint has written it again, or it has expired.
	copyTerm = 10 * clock.Second
	// delistedRetention is how long a delisted endpoint is kept before it is deleted; its requests
	// must have ended too.
	delistedRetention = clock.Minute
)

// Config holds the settings of a Pool.
type Config struct {
	Self   ident.Entry
	Region ident.Region
	Seed   uint64
	// FirstStart reports whether the whole system starts for the first time, so that no stream has begun before.
	FirstStart bool
}

// Pool holds the endpoints of all services.
type Pool struct {
	config    Config
	endpoints map[ident.Endpoint]*endpoint
	services  map[ident.Service]*serviceState
	// zones holds the zones of the region.
	zones     map[ident.Zone]*zoneState
	reach     reach
	evacuated map[ident.Zone]bool
	// lastListed is when the list was last read.
	lastListed clock.Time
	// buildsKnownFrom is when this instance will have followed the list for as long as a stream may be resumed.
	buildsKnownFrom clock.Time
	// graceUntil is the time until which endpoints that are missing from the list after an outage
	// are kept.
	graceUntil clock.Time
	// copiedUntil is the time until which the list may have entries of a copy whose endpoints are gone.
	copiedUntil clock.Time
	// missing holds the endpoints that the list does not have: those that are delisted, and those
	// that are kept for delistGrace.
	missing map[ident.Endpoint]*endpoint
	// active holds the endpoints with sends of this instance.
	active map[ident.Endpoint]*endpoint
	// peerReports holds the endpoints of the last report of each other instance.
	peerReports map[ident.Entry][]*endpoint
	// pauses holds the processes that have asked for a pause, with its end.
	pauses map[Process]clock.Time
	// brittleSeen is set once any endpoint has said that it is brittle.
	brittleSeen bool
	// reportTimes holds when each other instance last reported its loads.
	reportTimes map[ident.Entry]clock.Time
	// members are the instances of the region that divide cold endpoints, connections and rate limits
	// among themselves. This one is missing before the first SetMembers and while it ends.
	members []ident.Entry
	// settled reports whether the other instances have had enough time to announce themselves.
	settled bool
	// rotation moves the endpoint at which Choose starts, so that endpoints of equal cost take
	// turns, and the endpoint of a suspected zone that is checked next.
	rotation uint64
}

// serviceState holds the endpoints and the estimates of one service.
type serviceState struct {
	regional []*endpoint
	// all holds the endpoints of all regions, regional those of this region.
	all []*endpoint
	// builds counts the listed endpoints by the version of their software. Versions that were listed are kept as
	// long as a stream of theirs may be resumed.
	builds map[ident.Build]*buildUse
	// meanServiceMs is the mean time that an endpoint takes for a request.
	meanServiceMs float64
	// meanFirstByteMs is the mean time to first byte without waiting and prefill.
	meanFirstByteMs float64
	// tokensPerMs is the prefill rate of an endpoint.
	tokensPerMs float64
	// unmet is when a request of each priority last found no permit of an endpoint with a rate limit, and
	// nextReturnMs when the next refused caller is asked to come back, in ms on the clock.
	unmet        [PriorityLevels]clock.Time
	nextReturnMs float64
	brittle      brittleService
}

// Estimates used until requests have been observed.
const (
	defaultServiceMs   = 300.0
	defaultFirstByteMs = 60.0
)

// New returns an empty Pool.
func New(config Config) *Pool {
	return &Pool{
		config: config, endpoints: make(map[ident.Endpoint]*endpoint), services: make(map[ident.Service]*serviceState), zones: make(map[ident.Zone]*zoneState),
		evacuated: make(map[ident.Zone]bool), rotation: config.Seed, missing: make(map[ident.Endpoint]*endpoint),
		active: make(map[ident.Endpoint]*endpoint), peerReports: make(map[ident.Entry][]*endpoint), pauses: make(map[Process]clock.Time),
		reportTimes: make(map[ident.Entry]clock.Time),
		reach:       reach{failed: make(map[ident.Endpoint]struct{}), refused: make(map[ident.Endpoint]clock.Time)},
	}
}

// Kinds of changes that show a crash.
const (
	// Restarted is the kind of an endpoint whose process was restarted under the same id.
	Restarted = "reborn"
	// Gone is the kind of an endpoint that is no longer listed.
	Gone = "gone"
)

// Change describes how a new list changed one endpoint.
type Change struct {
	Endpoint ident.Endpoint
	Service  ident.Service
	// Kind is "added", "back", "leaving", "moved", Gone or Restarted.
	Kind string
}

// Update applies the endpoints of the list that were changed or removed since the last call and
// returns the changes. The list was complete as of the time read. Endpoints that are missing shortly
// after an outage of the list are kept for delistGrace, since their entries may have expired during
// the outage; a later call without changes drops them.
func (p *Pool) Update(now, read clock.Time, changed []Info, removed []ident.Endpoint) (changes []Change) {
	p.recordListed(read)
	for _, i := range changed {
		if kind := p.putEndpoint(now, i); kind != "" {
			changes = append(changes, Change{i.ID, i.Service, kind})
		}
	}
	for _, id := range removed {
		if e := p.endpoints[id]; e != nil {
			p.missing[id] = e
		}
	}
	return append(changes, p.markAllMissing(now)...)
}

// markAllMissing records for each endpoint that the list does not have how long it has been missing.
func (p *Pool) markAllMissing(now clock.Time) (changes []Change) {
	for id, e := range p.missing {
		if kind := p.markMissing(now, e); kind != "" {
			changes = append(changes, Change{id, e.Service, kind})
		}
	}
	return changes
}

// recordListed records when the list was current and whether that ends an outage of the list.
func (p *Pool) recordListed(read clock.Time) {
	if p.lastListed == 0 && !p.config.FirstStart {
		p.resetBuildHistory(read)
	}
	if p.lastListed > 0 && read.Sub(p.lastListed) > minListOutage {
		p.graceUntil = read.Add(delistGrace)
		p.resetBuildHistory(read)
	}
	p.lastListed = max(p.lastListed, read)
}

// RecordRestore records that the list comes from a copy since now. Endpoints that the copy lacks are kept
// for delistGrace, and older entries than those known change nothing.
func (p *Pool) RecordRestore(now clock.Time) {
	p.graceUntil, p.copiedUntil = max(p.graceUntil, now.Add(delistGrace)), now.Add(copyTerm)
	p.resetBuildHistory(now)
}

// outdated reports whether an entry of the list is older than what is known of the endpoint.
func (p *Pool) outdated(now clock.Time, known *endpoint, entry Info) bool {
	copied := now.Before(p.copiedUntil)
	switch {
	case known.Incarnation == 0 || entry.Incarnation == 0:
		return false
	case known.Incarnation != entry.Incarnation:
		return copied && entry.Incarnation < known.Incarnation
	case known.Sequence == 0 || entry.Sequence == 0:
		return false
	}
	return entry.Sequence < known.Sequence || copied && known.delisted && entry.Sequence == known.Sequence
}

// putEndpoint applies an entry of the list and keeps the index of the services.
func (p *Pool) putEndpoint(now clock.Time, info Info) string {
	known := p.endpoints[info.ID]
	if known != nil && p.outdated(now, known, info) {
		if !known.delisted {
			delete(p.missing, info.ID)
		}
		return ""
	}
	if known != nil && !known.delisted && (known.Service != info.Service || known.Region != info.Region || known.Zone != info.Zone || known.Build != info.Build) {
		p.removeFromIndex(now, known)
	}
	kind := p.mergeEndpoint(now, info)
	delete(p.missing, info.ID)
	p.addToIndex(now, p.endpoints[info.ID])
	return kind
}

func (p *Pool) mergeEndpoint(now clock.Time, info Info) string {
	known := p.endpoints[info.ID]
	if known == nil {
		known = newEndpoint(info)
		known.coldUntil = now.Add(info.ColdRemaining)
		if p.cutOff() {
			known.unreachedSince = now
		}
		p.endpoints[info.ID] = known
		return "added"
	}
	if info.Incarnation == 0 {
		info.Incarnation = known.Incarnation
	}
	forgotten := known.delisted && known.Incarnation == 0
	if forgotten {
		known.selfReports = nil // nothing tells whether this is still the same process
	}
	kind := ""
	switch {
	case known.Incarnation != info.Incarnation:
		kind = Restarted
		restarted := newEndpoint(info)
		restarted.sends, restarted.prefillBacklog, restarted.memoryTokens = known.sends, known.prefillBacklog, known.memoryTokens
		restarted.selfReports, restarted.unreachedSince = known.selfReports, known.unreachedSince
		*known = *restarted
	case known.delisted:
		kind = "back"
	case info.Leaving && !known.Leaving:
		kind = "leaving"
	case known.Address != info.Address:
		kind = "moved"
		known.cache.clear()
	}
	// An endpoint that is leaving stays so even if an older entry is read afterwards.
	info.Leaving = info.Leaving || known.Leaving && known.Incarnation == info.Incarnation && !forgotten
	known.Info, known.delisted, known.missingSince = info, false, 0
	if info.ColdRemaining > 0 {
		known.coldUntil = now.Add(info.ColdRemaining)
	}
	return kind
}

func (p *Pool) markMissing(now clock.Time, missing *endpoint) string {
	switch {
	case missing.delisted:
		if len(missing.sends) == 0 && now.Sub(missing.missingSince) > delistedRetention {
			delete(p.endpoints, missing.ID)
			delete(p.missing, missing.ID)
		}
		return ""
	case now.Before(p.graceUntil):
		return ""
	default:
		p.removeFromIndex(now, missing)
		missing.delisted, missing.missingSince = true, now
		missing.cache.clear()
		return Gone
	}
}

func compareID(e *endpoint, id ident.Endpoint) int { return cmp.Compare(e.ID, id) }

// addToIndex adds an endpoint to the lists of its service, which are sorted by id, unless it is
// there already.
func (p *Pool) addToIndex(now clock.Time, e *endpoint) {
	service := p.service(e.Service)
	listed := len(service.all)
	service.all = insertEndpoint(service.all, e)
	service.countBuild(now, e.Build, len(service.all)-listed)
	if e.Region == p.config.Region {
		before := len(service.regional)
		service.regional = insertEndpoint(service.regional, e)
		p.zone(e.Zone).endpoints += len(service.regional) - before
	}
}

// removeFromIndex removes an endpoint from the lists of its service.
func (p *Pool) removeFromIndex(now clock.Time, e *endpoint) {
	service := p.service(e.Service)
	listed := len(service.all)
	service.all = deleteEndpoint(service.all, e)
	service.countBuild(now, e.Build, len(service.all)-listed)
	before := len(service.regional)
	service.regional = deleteEndpoint(service.regional, e)
	p.zone(e.Zone).endpoints += len(service.regional) - before
}

func insertEndpoint(list []*endpoint, e *endpoint) []*endpoint {
	if i, found := slices.BinarySearchFunc(list, e.ID, compareID); !found {
		return slices.Insert(list, i, e)
	}
	return list
}

func deleteEndpoint(list []*endpoint, e *endpoint) []*endpoint {
	if i, found := slices.BinarySearchFunc(list, e.ID, compareID); found {
		return slices.Delete(list, i, i+1)
	}
	return list
}

func (p *Pool) service(name ident.Service) *serviceState {
	service := p.services[name]
	if service == nil {
		service = &serviceState{builds: make(map[ident.Build]*buildUse), meanServiceMs: defaultServiceMs, meanFirstByteMs: defaultFirstByteMs, tokensPerMs: defaultTokensPerMs}
		p.services[name] = service
	}
	return service
}

// SetEvacuatedZones sets the zones whose endpoints must not get requests. Endpoints of a zone that
// is no longer evacuated may have become cold without a report and must pass a health check first.
func (p *Pool) SetEvacuatedZones(zones []ident.Zone) {
	evacuated := make(map[ident.Zone]bool, len(zones))
	for _, z := range zones {
		evacuated[z] = true
	}
	for _, e := range p.endpoints {
		if p.evacuated[e.Zone] && !evacuated[e.Zone] {
			e.needsCheck = true
		}
	}
	p.evacuated = evacuated
}

// SetMembers sets the instances of the region that use endpoints. settled reports whether all
// existing instances have had enough time to announce themselves.
func (p *Pool) SetMembers(names []ident.Entry, settled bool) {
	slices.Sort(names)
	p.members, p.settled = names, settled
	maps.DeleteFunc(p.reportTimes, func(name ident.Entry, _ clock.Time) bool { return !slices.Contains(names, name) })
	maps.DeleteFunc(p.peerReports, func(name ident.Entry, _ []*endpoint) bool {
		_, member := slices.BinarySearch(names, name)
		return !member
	})
}

// SetPeerLoads records the load that another instance of the region reports, by endpoint. The
// report replaces the previous one.
func (p *Pool) SetPeerLoads(now clock.Time, from ident.Entry, loads map[ident.Endpoint]PeerLoad) {
	reported := p.peerReports[from]
	p.reportTimes[from] = now
	for _, e := range reported {
		if _, ok := loads[e.ID]; !ok {
			delete(e.peerLoads, from)
		}
	}
	reported = reported[:0]
	for id, load := range loads {
		if e := p.endpoints[id]; e != nil {
			e.peerLoads[from] = load.sane(now)
			reported = append(reported, e)
		}
	}
	p.peerReports[from] = reported
}

// OwnLoads returns the load of this instance by endpoint, to be reported to the other instances.
func (p *Pool) OwnLoads() map[ident.Endpoint]PeerLoad {
	loads := make(map[ident.Endpoint]PeerLoad, len(p.active))
	for id, e := range p.active {
		loads[id] = PeerLoad{Count: len(e.sends), PrefillBacklog: e.prefillBacklog, MemoryTokens: e.memoryTokens}
	}
	return loads
}

// SetReportedLoad records the load and the pace that an endpoint reports.
func (p *Pool) SetReportedLoad(now clock.Time, id ident.Endpoint, load Load) {
	known := p.endpoints[id]
	if known == nil {
		return
	}
	known.reported = reportedLoad{count: max(0, load.Running) + max(0, load.Waiting), own: len(known.sends), at: now}
	if load.Pace > 0 {
		known.pace, known.paceUpdated = load.Pace, now
	}
}

// Leaving reports whether an endpoint leaves, according to the list or to itself.
func (p *Pool) Leaving(id ident.Endpoint) bool {
	known := p.endpoints[id]
	return known != nil && known.leaving()
}

// Summary is the capacity of one region for a service.
type Summary struct {
	Service ident.Service
	// FreeSlots is the number of free slots, Slots the total.
	FreeSlots int
	Slots     int
	// Wait is the expected wait for a slot at the best endpoint.
	Wait clock.Span
	// PrefillBacklog is the mean prefill backlog per endpoint in tokens, by priority.
	PrefillBacklog []ident.Tokens
}

// Summaries returns the capacity of this region, sorted by service, for the services for which wanted returns
// true. Those without usable endpoints are left out.
func (p *Pool) Summaries(now clock.Time, wanted func(ident.Service) bool) (all []Summary) {
	avoided := p.avoidedZones(now)
	for name, s := range p.services {
		if !wanted(name) {
			continue
		}
		summary := Summary{Service: name, Wait: -1}
		var backlog Backlog
		usableEndpoints := ident.Tokens(0)
		for _, e := range s.regional {
			if !e.usable(now) || p.evacuated[e.Zone] || avoided[e.Zone] || e.isCold(now) {
				continue
			}
			permitWait, known := clock.Span(0), true
			if e.limited() {
				permitWait, known = p.permitWait(now, e)
			}
			if !known {
				continue
			}
			load := e.currentLoad(now)
			slots := e.usableSlots(s.meanServiceMs)
			summary.Slots += slots
			summary.FreeSlots += max(0, slots-load.count)
			backlog.add(load.prefillBacklog)
			usableEndpoints++
			wait := max(permitWait, clock.Span(s.slotWait(now, e, load)))
			if summary.Wait < 0 || wait < summary.Wait {
				summary.Wait = wait
			}
		}
		if summary.Slots > 0 {
			for i := range backlog {
				backlog[i] /= usableEndpoints
			}
			summary.PrefillBacklog = backlog.Compact()
			all = append(all, summary)
		}
	}
	slices.SortFunc(all, func(a, b Summary) int { return cmp.Compare(a.Service, b.Service) })
	return all
}
