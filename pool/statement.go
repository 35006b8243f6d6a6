package pool

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// maxSelfReports bounds the processes of one endpoint whose statements are kept. More than one is kept
// so that an older entry of the list cannot take back what the newest process has said.
const maxSelfReports = 8

// Process identifies one process of an endpoint.
type Process struct {
	ID          ident.Endpoint
	Incarnation int64
}

// Statement is what an endpoint says about itself in an answer.
type Statement struct {
	// Leaving reports whether the endpoint wants no further requests before its next restart.
	Leaving bool
	// Pause is how long the endpoint wants no requests from this instance; 0 is no statement.
	Pause clock.Span
	// Limit is the rate of requests that the endpoint takes, and Brittle the rate of rejections for want of room
	// above which it crashes.
	Limit   RateStatement
	Brittle RateStatement
	// Malformed reports whether a part of the statement could not be parsed.
	Malformed bool
}

// Learned tells which parts of a statement were not known before.
type Learned struct {
	Leaving bool
	// Paused reports whether a pause has begun; a later end of one is known already.
	Paused bool
	// Limited reports whether a rate limit has begun or changed, LimitEnded whether one has ended.
	Limited    bool
	LimitEnded bool
	// Brittle reports whether the endpoint has become brittle or bears another rate of rejections,
	// BrittleEnded whether it is no longer brittle.
	Brittle      bool
	BrittleEnded bool
	Malformed    bool
}

// selfReport is what one process of an endpoint has said so far.
type selfReport struct {
	leaving   bool
	malformed bool
	// pausedUntil is when the endpoint may get requests again, by its own word and in this instance's turn.
	pausedUntil clock.Time
	limit       statedRate
	brittle     statedRate
	// brittleAsked is when the last request was sent whose answer said whether the process is brittle. It is only kept once
	// any endpoint has been brittle.
	brittleAsked clock.Time
}

// selfReport returns what the current process of the endpoint has said.
func (e *endpoint) selfReport() selfReport { return e.selfReports[e.Incarnation] }

// leaving reports whether the endpoint must not get new requests because it leaves, according to the
// list or to itself.
func (e *endpoint) leaving() bool { return e.Leaving || e.selfReport().leaving }

// setSelfReport keeps what a process has said.
func (e *endpoint) setSelfReport(incarnation int64, said selfReport) {
	if e.selfReports == nil {
		e.selfReports = make(map[int64]selfReport)
	}
	e.selfReports[incarnation] = said
	for len(e.selfReports) > maxSelfReports {
		delete(e.selfReports, e.oldestSelfReport(incarnation))
	}
}

// oldestSelfReport returns the oldest process that has said something, apart from the given one and
// from the current one.
func (e *endpoint) oldestSelfReport(except int64) (oldest int64) {
	found := false
	for incarnation := range e.selfReports {
		if incarnation != except && incarnation != e.Incarnation && (!found || incarnation < oldest) {
			oldest, found = incarnation, true
		}
	}
	return oldest
}

// Process returns the process to which a request was sent. Unlike the methods of Pool it may be called at
// any time.
func (s *Send) Process() Process { return s.process }

// Build returns the version of the software to which a request was sent. It may be called at any time.
func (s *Send) Build() ident.Build { return s.build }

// Process returns the process that an entry of the list describes.
func (i *Info) Process() Process { return Process{i.ID, i.Incarnation} }

// RecordStatement records an answer of a process and what it has said in it, and returns what was not known before.
// A process that has said that it leaves can't take that back.
func (p *Pool) RecordStatement(now clock.Time, from Process, statement Statement) Learned {
	known := p.endpoints[from.ID]
	if known == nil {
		return Learned{}
	}
	known.answeredAt = now
	before := known.selfReports[from.Incarnation]
	said := before
	said.leaving = said.leaving || statement.Leaving
	said.malformed = said.malformed || statement.Malformed
	said.pausedUntil = max(said.pausedUntil, p.returnTime(now, known, statement.Pause))
	said.limit.apply(now, statement.Limit)
	said.brittle.apply(now, statement.Brittle)
	if p.brittleSeen {
		said.brittleAsked = max(said.brittleAsked, statement.Brittle.Asked)
	}
	if said == before {
		return Learned{}
	}
	known.setSelfReport(from.Incarnation, said)
	learned := said.learnedSince(before, now)
	if statement.Brittle.Named {
		p.brittleSeen = true
		p.service(known.Service).brittle.record(now, said.brittle.rate)
	}
	if said.pausedUntil > before.pausedUntil {
		p.pauses[from] = said.pausedUntil
	}
	if from.Incarnation != known.Incarnation {
		return learned
	}
	if said.limit.stated != before.limit.stated {
		known.permits = permits{}
	}
	if said.pausedUntil > before.pausedUntil || learned.LimitEnded || learned.BrittleEnded {
		known.trialLimit = 1
	}
	return learned
}

// learnedSince tells what a report has that the one before it has not.
func (r selfReport) learnedSince(before selfReport, now clock.Time) Learned {
	return Learned{
		Leaving:      r.leaving && !before.leaving,
		Paused:       r.pausedUntil > before.pausedUntil && !now.Before(before.pausedUntil),
		Limited:      r.limit.changedSince(before.limit),
		LimitEnded:   r.limit.endedSince(before.limit),
		Brittle:      r.brittle.changedSince(before.brittle),
		BrittleEnded: r.brittle.endedSince(before.brittle),
		Malformed:    r.malformed && !before.malformed,
	}
}

// MaySend reports whether the endpoint of a send that has begun still takes requests. It is called
// right before the request is written and takes a permit if the endpoint limits their rate, and room if it is brittle.
func (p *Pool) MaySend(now clock.Time, send *Send) bool {
	if !send.request.takes(send.endpoint) || send.endpoint.Build != send.build {
		return false // the endpoint has restarted since it was chosen
	}
	if send.excess || send.endpoint.leaving() || send.endpoint.paused(now) {
		return false
	}
	needsPermit := send.endpoint.limited() && !send.permitted
	if needsPermit && !p.permitReady(now, send.endpoint) || !p.takePlace(now, send) {
		return false
	}
	if needsPermit {
		send.endpoint.permits.take()
		send.permitted = true
	}
	return true
}

// MayCheck is the same for a health check. EndCheck must follow if it returns true.
func (p *Pool) MayCheck(now clock.Time, id ident.Endpoint) bool {
	known := p.endpoints[id]
	if known == nil || known.leaving() || known.paused(now) || known.limited() && !p.permitReady(now, known) || !p.mayCheckBrittle(now, known) {
		return false
	}
	if known.limited() {
		known.permits.take()
	}
	known.checks++
	return true
}

// Block tells why no endpoint of the region takes a request.
type Block string

// Blocks.
const (
	// BlockNone: an endpoint may take the request soon, or nothing is known.
	BlockNone Block = ""
	// BlockLeaving: all endpoints that could serve the request leave, at least one by its own word.
	BlockLeaving Block = "endpoints leaving"
	// BlockPaused: all of them leave or have asked for a pause, at least one for a pause.
	BlockPaused Block = "endpoints paused"
	// BlockLimited: all of them leave, have asked for a pause or limit the rate of requests, and this
	// instance has no permit for any that does.
	BlockLimited Block = "endpoints limited"
	// BlockBrittle: the same, or they are brittle and have no room that this instance may use.
	BlockBrittle Block = "endpoints brittle"
)

// Blocked tells whether waiting for an endpoint of the region is useless because all that could serve
// the request have said so, and after what time the first of them takes requests again if that is known.
// A request that found no permit comes before less urgent ones for a short time.
func (p *Pool) Blocked(now clock.Time, request Request) (block Block, after clock.Span) {
	service := p.service(request.Service)
	for _, e := range service.regional {
		if !request.takes(e) {
			continue
		}
		reason, wait := p.blockOf(now, e, request)
		switch {
		case reason == BlockLeaving:
			if block == BlockNone {
				block = BlockLeaving
			}
		case !e.Leaving && !p.evacuated[e.Zone] && reason != BlockNone:
			if block == BlockNone || block == BlockLeaving || wait < after {
				block, after = reason, wait
			}
		case !e.Leaving && !p.excluded(e, request):
			return BlockNone, 0
		}
	}
	return block, service.recordUnmet(now, request, block, after)
}

// Saturated reports whether endpoints of the region are in use that could serve a request, and it is only for lack of
// capacity if none takes it now: they have refused requests, are cold or have no permit, room or connection left.
func (p *Pool) Saturated(now clock.Time, request Request) bool {
	avoided := p.avoidedZones(now)
	return slices.ContainsFunc(p.service(request.Service).regional, func(e *endpoint) bool {
		return request.takes(e) && e.usable(now) && !avoided[e.Zone] && !p.evacuated[e.Zone]
	})
}

// excluded reports whether a request must not go to an endpoint, whatever that says.
func (p *Pool) excluded(e *endpoint, request Request) bool {
	return p.evacuated[e.Zone] || slices.Contains(request.ExcludedEndpoints, e.ID) || slices.Contains(request.ExcludedAddresses, e.Address)
}

// blockOf tells whether an endpoint has said that it takes no request now, and for how long.
func (p *Pool) blockOf(now clock.Time, e *endpoint, request Request) (Block, clock.Span) {
	switch {
	case e.selfReport().leaving:
		return BlockLeaving, 0
	case e.paused(now):
		return BlockPaused, e.selfReport().pausedUntil.Sub(now)
	case e.limited() && !p.hasPermit(now, e, request.Priority):
		wait, known := p.permitWait(now, e)
		if !known {
			wait = maxReturnQueue
		}
		return BlockLimited, max(wait, 1)
	}
	if _, brittle := p.brittle(e); brittle && !p.hasPlace(now, e, request.Priority) {
		wait, _ := p.placeWait(now, e)
		return BlockBrittle, max(wait, 1)
	}
	return BlockNone, 0
}

// recordUnmet records a request that found no permit or no room and returns after what time it may find some.
// first is when the first endpoint takes a request again.
func (s *serviceState) recordUnmet(now clock.Time, request Request, block Block, first clock.Span) clock.Span {
	switch block {
	case BlockBrittle:
		s.unmet[clampPriority(request.Priority)] = now
		return s.waitForRoom(now, first)
	case BlockLimited:
		s.unmet[clampPriority(request.Priority)] = now
	case BlockNone, BlockLeaving, BlockPaused:
	}
	return first
}
