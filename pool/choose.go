package pool

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// defaultTokensPerMs is the assumed prefill rate until prompts have been observed. A sample
	// needs at least minRateSampleTokens, enters the moving average with rateSampleWeight and is
	// clamped to the estimate times or divided by maxRateSampleRatio.
	defaultTokensPerMs  = 40.0
	minRateSampleTokens = 2000
	rateSampleWeight    = 0.03
	maxRateSampleRatio  = 2.0
	// basePrefillWeight weighs prefill time against waiting time: prefill also slows the other
	// requests on the endpoint, and recomputed prefixes evict cached ones that others need.
	basePrefillWeight = 3.0
	// pressureDoublingMs is the mean prefill backlog at which the prefill weight doubles, and
	// maxPressureFactor bounds that increase: the busier the engines, the more cached prefixes are
	// worth.
	pressureDoublingMs = 100.0
	maxPressureFactor  = 4.0
	// concurrencyCostMs is the assumed slowdown of a new request by each request that runs on the
	// engine. It only affects the comparison of endpoints.
	concurrencyCostMs = 2.0
	// prefillStallFraction is the part of the prefill time that is charged for each other request
	// on the engine: their token streams pause meanwhile.
	prefillStallFraction = 0.2
	// backlogStallFraction is the part of the backlog's prefill time that is charged as pauses of
	// the new request's own token stream.
	backlogStallFraction = 0.3
	// firstAffinityMissFraction and secondAffinityMissFraction are the parts of the shared prefix
	// that are assumed to be uncached at the two endpoints that all instances prefer for it;
	// regionalAffinityMissFraction is the same for the preferred endpoint of this region.
	firstAffinityMissFraction    = 0.25
	secondAffinityMissFraction   = 0.6
	regionalAffinityMissFraction = 0.8
	// memoryFraction is the part of an engine's KV cache that may be in use before a new request
	// is expected to wait.
	memoryFraction = 0.9
	// minMemoryWaitFactor is the minimum wait at an endpoint without free KV cache, as a multiple
	// of the mean service time.
	minMemoryWaitFactor = 0.25
	// connectionFraction is the part of an endpoint's connection limit that is used for requests;
	// the rest is left for idle connections and health checks.
	connectionFraction = 0.8
	// coldRateFraction is the part of a cold endpoint's rate limit that its owner uses, so that
	// two instances that both consider themselves the owner stay below the limit.
	coldRateFraction = 0.7
	// meanSampleWeight is the weight of the newest sample in the moving averages of a service, and
	// maxFirstByteRatio bounds a sample of the time to first byte relative to the average.
	// Endpoints slower than maxSamplePace contribute no such samples.
	meanSampleWeight  = 0.02
	maxFirstByteRatio = 4
	maxSamplePace     = 1.2
	// baseEjection is the first ejection period of a failing endpoint; it doubles up to
	// maxEjection.
	baseEjection = 1500 * clock.Millisecond
	maxEjection  = 12 * clock.Second
	// minEjectFailureRatio is the failure ratio from which an endpoint may be ejected, and
	// minEjectMeanFactor the minimum ratio to the mean of the other endpoints.
	minEjectFailureRatio = 0.35
	minEjectMeanFactor   = 2.0
	// minEjectResults is the minimum number of results before an endpoint may be ejected.
	minEjectResults = 5
	// maxEjectedDivisor bounds the ejected endpoints of a region to 1/maxEjectedDivisor of all.
	maxEjectedDivisor = 3
)

// Plan holds the inputs for placing a request, computed at one point in time.
type Plan struct {
	Request
	// AffinityRegion is the region of the endpoint that is preferred among all regions for the
	// prompt's shared prefix, or "" if there is no shared prefix.
	AffinityRegion ident.Region
	affinity       [2]*endpoint
	// prefixes are the prefixes of the prompt, from the shortest on.
	prefixes []prefix
	// loads holds the load of the region's endpoints, in their order.
	loads []endpointLoad
	// prefillWeight weighs prefill time against waiting time.
	prefillWeight float64
}

// Plan prepares the placement of a request.
func (p *Pool) Plan(now clock.Time, request Request) Plan {
	service := p.service(request.Service)
	prefixes := prefixesOf(request.Parts)
	plan := Plan{
		Request: request, affinity: topByAffinity(service.all, prefixes, request), prefixes: prefixes,
		loads: make([]endpointLoad, len(service.regional)), prefillWeight: basePrefillWeight,
	}
	if best := plan.affinity[0]; best != nil && request.Engine {
		plan.AffinityRegion = best.Region
	}
	backlogTokens := ident.Tokens(0)
	for i, e := range service.regional {
		plan.loads[i] = e.currentLoad(now)
		backlogTokens += plan.loads[i].prefillBacklog.total()
	}
	if len(service.regional) > 0 {
		backlogMs := float64(backlogTokens) / service.tokensPerMs / float64(len(service.regional))
		plan.prefillWeight = basePrefillWeight * min(maxPressureFactor, 1+backlogMs/pressureDoublingMs)
	}
	return plan
}

// Choose returns the endpoint of this region with the lowest estimated cost, or false if no
// endpoint is eligible. The plan must have been made at the time now.
func (p *Pool) Choose(now clock.Time, plan Plan) (best Choice, ok bool) {
	service := p.service(plan.Service)
	regionalBest := topByAffinity(service.regional, plan.prefixes, plan.Request)[0]
	avoided := p.avoidedZones(now)
	lowestCost := 0.0
	p.rotation++
	for n := range service.regional {
		index := (n + int(p.rotation%uint64(len(service.regional)))) % len(service.regional)
		candidate := service.regional[index]
		if avoided[candidate.Zone] || !p.eligible(now, candidate, plan.Request) {
			continue
		}
		choice, cost := service.estimate(now, candidate, plan.loads[index], plan, plan.missFraction(candidate, regionalBest))
		price := p.placeCost(now, candidate)
		choice.Cost += clock.Span(price)
		if cost += price; !ok || cost < lowestCost {
			best, ok, lowestCost = choice, true, cost
		}
	}
	return best, ok
}

// missFraction returns the part of the shared prefix that is assumed to be uncached at an endpoint
// if this instance has not sent it there.
func (p *Plan) missFraction(candidate, regionalBest *endpoint) float64 {
	switch candidate {
	case p.affinity[0]:
		return firstAffinityMissFraction
	case p.affinity[1]:
		return secondAffinityMissFraction
	case regionalBest:
		return regionalAffinityMissFraction
	}
	return 1
}

func (p *Pool) eligible(now clock.Time, candidate *endpoint, request Request) bool {
	if !request.takes(candidate) || !candidate.usable(now) || p.excluded(candidate, request) || now.Before(candidate.fullUntil) || !candidate.mayTry() {
		return false
	}
	if !p.hasPermit(now, candidate, request.Priority) || !p.hasPlace(now, candidate, request.Priority) {
		return false
	}
	if request.MaxConnections > 0 && len(candidate.sends) >= p.connectionLimit(request) {
		return false
	}
	if !candidate.isCold(now) || request.ColdRate <= 0 {
		return true
	}
	return p.ownsCold(candidate) && !now.Before(candidate.nextColdSend)
}

// connectionLimit returns this instance's part of the connections that an endpoint accepts. The
// endpoint resets excess connections together with the requests on them.
func (p *Pool) connectionLimit(request Request) int {
	return max(1, int(connectionFraction*float64(request.MaxConnections))/max(1, len(p.members)))
}

// ownsCold reports whether this instance is the only one that may send to a cold endpoint. The
// limit applies to all instances together, and they do not know each other's send rates.
func (p *Pool) ownsCold(candidate *endpoint) bool {
	if !p.settled {
		return false
	}
	owner := watch.Rendezvous(string(candidate.ID), p.members, 1)
	return len(owner) == 1 && owner[0] == p.config.Self
}

// topByAffinity returns the two endpoints with the highest rendezvous hash for a prompt's shared
// prefix. All instances choose the same ones, so that the prefix is computed once. Endpoints with a rate
// limit are only chosen if there are no others.
func topByAffinity(endpoints []*endpoint, prefixes []prefix, request Request) [2]*endpoint {
	key := sharedPrefixKey(prefixes)
	if key == 0 {
		return [2]*endpoint{}
	}
	best := rankByAffinity(endpoints, key, request, (*endpoint).limited)
	if best[0] == nil {
		best = rankByAffinity(endpoints, key, request, func(*endpoint) bool { return false })
	}
	return best
}

// rankByAffinity returns the two endpoints with the highest rendezvous hash for a key, leaving out some.
func rankByAffinity(endpoints []*endpoint, key uint64, request Request, leaveOut func(*endpoint) bool) (best [2]*endpoint) {
	var highestHash [2]uint64
	for _, e := range endpoints {
		if leaveOut(e) || e.leaving() || e.delisted || !request.takes(e) || !request.allows(e.Region) {
			continue
		}
		hash := mixHash(key ^ e.idHash)
		switch {
		case best[0] == nil || hash > highestHash[0]:
			best[0], best[1] = e, best[0]
			highestHash[0], highestHash[1] = hash, highestHash[0]
		case best[1] == nil || hash > highestHash[1]:
			best[1], highestHash[1] = e, hash
		}
	}
	return best
}

// mixHash spreads the bits of a combined hash (the finalizer of SplitMix64).
func mixHash(hash uint64) uint64 {
	hash = (hash ^ hash>>30) * 0xbf58476d1ce4e5b9
	hash = (hash ^ hash>>27) * 0x94d049bb133111eb
	return hash ^ hash>>31
}

// EstimateRegion estimates the wait, the delay and the cost of a request in another region from
// that region's summary. Delay and cost include the wait.
func (p *Pool) EstimateRegion(plan Plan, region ident.Region, summary Summary) (wait, delay, cost clock.Span) {
	service := p.service(plan.Service)
	if !plan.Engine {
		return summary.Wait, summary.Wait + clock.Span(service.meanFirstByteMs), summary.Wait + clock.Span(service.meanFirstByteMs)
	}
	ahead, stretch := Expand(summary.PrefillBacklog).delay(clampPriority(plan.Priority), service.tokensPerMs)
	wait = summary.Wait + clock.Span(ahead)
	uncachedTokens := float64(plan.PromptTokens)
	if region == plan.AffinityRegion {
		uncachedTokens -= float64(sharedPrefixTokens(plan.Parts)) * (1 - firstAffinityMissFraction)
	}
	prefillMs := uncachedTokens / service.tokensPerMs
	return wait, wait + clock.Span(service.meanFirstByteMs+prefillMs*stretch), wait + clock.Span(service.meanFirstByteMs+prefillMs*plan.prefillWeight)
}

// estimate returns the expected delay of a request at an endpoint and its cost, which also counts
// the slowdown of other requests there. missFraction is the part of the shared prefix that is
// assumed to be uncached if this instance has not sent it there.
func (s *serviceState) estimate(now clock.Time, candidate *endpoint, load endpointLoad, plan Plan, missFraction float64) (Choice, float64) {
	choice := Choice{Endpoint: candidate.ID, Address: candidate.Address}
	pace := candidate.currentPace(now)
	wait := s.slotWait(now, candidate, load)
	if !plan.Engine {
		delay := wait + s.meanFirstByteMs*pace
		choice.Wait, choice.Delay, choice.Cost = clock.Span(wait), clock.Span(delay), clock.Span(delay)
		return choice, delay
	}
	choice.UncachedTokens = max(0, plan.PromptTokens-candidate.cache.cachedTokens(plan.prefixes))
	uncachedTokens := float64(choice.UncachedTokens) - (1-missFraction)*min(float64(choice.UncachedTokens), float64(sharedPrefixTokens(plan.Parts)))
	memoryNeeded := load.memoryTokens + choice.UncachedTokens + plan.MaxOutputTokens
	if limit := float64(plan.KVTokens) * memoryFraction; limit > 0 && float64(memoryNeeded) > limit {
		wait += s.meanServiceMs * (float64(memoryNeeded)/limit - 1 + minMemoryWaitFactor)
	}
	ahead, stretch := load.prefillBacklog.delay(clampPriority(plan.Priority), s.tokensPerMs)
	delay := wait + (ahead+uncachedTokens/s.tokensPerMs*stretch+s.meanFirstByteMs)*pace
	stallMs := float64(load.prefillBacklog.total()) / s.tokensPerMs * backlogStallFraction
	interferenceMs := float64(load.count) * (concurrencyCostMs + uncachedTokens/s.tokensPerMs*prefillStallFraction)
	cost := wait + (ahead+s.meanFirstByteMs+stallMs+uncachedTokens/s.tokensPerMs*plan.prefillWeight)*pace + interferenceMs
	choice.Wait, choice.Delay, choice.Cost = clock.Span(wait+ahead*pace), clock.Span(delay), clock.Span(cost)
	return choice, cost
}

// slotWait returns the expected time in ms until a slot is free.
func (s *serviceState) slotWait(now clock.Time, candidate *endpoint, load endpointLoad) float64 {
	excess := load.count + 1 - max(1, candidate.Slots)
	if excess <= 0 {
		return 0
	}
	return float64(excess) * s.meanServiceMs * candidate.currentPace(now) / float64(max(1, candidate.Slots))
}

// BeginSend records that a request is sent to the chosen endpoint.
func (p *Pool) BeginSend(now clock.Time, request Request, choice Choice) *Send {
	target := p.endpoints[choice.Endpoint]
	if target == nil {
		target = newEndpoint(Info{ID: choice.Endpoint, Service: request.Service})
		target.delisted = true
	} else {
		p.active[target.ID] = target
	}
	send := &Send{endpoint: target, request: request, choice: choice, started: now, process: target.Process(), build: target.Build}
	target.sends[send] = struct{}{}
	target.beginTrial(send)
	if target.limited() {
		send.permitted = p.takePermit(now, target)
		send.excess = send.excess || !send.permitted
	}
	send.excess = send.excess || !p.takePlace(now, send)
	if request.Engine {
		target.prefillBacklog[clampPriority(request.Priority)] += choice.UncachedTokens
		target.memoryTokens += choice.UncachedTokens + request.MaxOutputTokens
		target.cache.insert(request.Parts, request.KVTokens)
	}
	if target.isCold(now) && request.ColdRate > 0 {
		target.nextColdSend = now.Add(clock.Span(float64(clock.Second) / (request.ColdRate * coldRateFraction)))
	}
	return send
}

// RecordFirstByte records the first byte of the response.
func (p *Pool) RecordFirstByte(now clock.Time, send *Send) {
	if send.answered {
		return
	}
	send.answered = true
	target := send.endpoint
	p.recordZoneAnswer(target)
	p.recordReached(now, target, send.started)
	target.endTrial(send, true)
	if send.request.Engine {
		target.prefillBacklog[clampPriority(send.request.Priority)] -= send.choice.UncachedTokens
	}
	elapsed := now.Sub(send.started)
	if send.choice.Wait == 0 && target.currentPace(now) <= maxSamplePace {
		service := p.service(send.request.Service)
		firstByteMs := float64(elapsed)
		if send.request.Engine {
			service.updateRate(float64(send.choice.UncachedTokens), firstByteMs)
			firstByteMs -= float64(send.choice.UncachedTokens) / service.tokensPerMs
		}
		service.meanFirstByteMs += meanSampleWeight * (min(max(firstByteMs, 1), maxFirstByteRatio*service.meanFirstByteMs) - service.meanFirstByteMs)
	}
}

// updateRate adds a sample of the prefill rate. The prompt must have had no backlog ahead of it.
func (s *serviceState) updateRate(tokens, ms float64) {
	if tokens < minRateSampleTokens || ms <= s.meanFirstByteMs {
		return
	}
	sample := min(maxRateSampleRatio*s.tokensPerMs, max(s.tokensPerMs/maxRateSampleRatio, tokens/(ms-s.meanFirstByteMs)))
	s.tokensPerMs += rateSampleWeight * (sample - s.tokensPerMs)
}

// EndSend records the outcome of a send. Only the first call for a send has an effect.
func (p *Pool) EndSend(now clock.Time, send *Send, outcome Outcome) {
	target := send.endpoint
	if _, ok := target.sends[send]; !ok {
		return
	}
	delete(target.sends, send)
	target.endTrial(send, outcome == Complete || outcome == Failed)
	if len(target.sends) == 0 && p.active[target.ID] == target {
		delete(p.active, target.ID)
	}
	if send.request.Engine {
		if !send.answered {
			target.prefillBacklog[clampPriority(send.request.Priority)] -= send.choice.UncachedTokens
		}
		target.memoryTokens -= send.choice.UncachedTokens + send.request.MaxOutputTokens
	}
	p.recordZoneResult(now, send, outcome)
	p.recordLinkResult(now, send, outcome)
	switch outcome {
	case Complete:
		target.recordResult(false)
		service := p.service(send.request.Service)
		service.meanServiceMs += meanSampleWeight * (float64(now.Sub(send.started)-send.choice.Wait) - service.meanServiceMs)
		service.meanServiceMs = max(service.meanServiceMs, 1)
	case Refused:
		target.fullUntil = now.Add(fullBackoff)
	case Moved, Unreachable, Broken:
		target.needsCheck = true
		target.recordResult(outcome != Moved)
	case Failed, TimedOut, Malformed:
		target.recordResult(true)
	}
	p.endPlace(now, send, outcome)
	p.updateEjection(now, target)
}

// updateEjection ejects an endpoint that fails much more often than the others of its service.
func (p *Pool) updateEjection(now clock.Time, target *endpoint) {
	if target.failureRatio < minEjectFailureRatio || target.resultCount < minEjectResults {
		return
	}
	service := p.service(target.Service)
	failureSum, ejected := 0.0, 0
	for _, o := range service.regional {
		if o != target {
			failureSum += o.failureRatio
		}
		if now.Before(o.ejectedUntil) {
			ejected++
		}
	}
	others := len(service.regional) - 1
	if others < 1 || ejected+1 > len(service.regional)/maxEjectedDivisor || target.failureRatio < minEjectMeanFactor*failureSum/float64(others) {
		return
	}
	target.ejectedUntil = now.Add(min(maxEjection, baseEjection<<min(target.ejections, 4)))
	target.ejections++
	target.failureRatio, target.resultCount = 0, 0
}
