package pool

import (
	"slices"

	"github.com/tanagerbridge/tanagerbridge/ident"
)

// maxStandings bounds the processes of one endpoint whose statements are kept. More than one is kept
// so that an older entry of the list cannot take back what the newest process has said.
const maxStandings = 8

// Process identifies one process of an endpoint.
type Process struct {
	ID          ident.Endpoint
	Incarnation int64
}

// Statement is what an endpoint says about itself in an answer.
type Statement struct {
	// Leaving reports whether the endpoint wants no further requests before its next restart.
	Leaving bool
	// Malformed reports whether a part of the statement could not be parsed.
	Malformed bool
}

// News tells which parts of a statement were not known before.
type News struct {
	Leaving   bool
	Malformed bool
}

// standing is what one process of an endpoint has said so far.
type standing struct {
	leaving   bool
	malformed bool
}

// standing returns what the current process of the endpoint has said.
func (e *endpoint) standing() standing { return e.standings[e.Incarnation] }

// leaving reports whether the endpoint must not get new requests because it leaves, according to the
// list or to itself.
func (e *endpoint) leaving() bool { return e.Leaving || e.standing().leaving }

// setStanding keeps what a process has said.
func (e *endpoint) setStanding(incarnation int64, said standing) {
	if e.standings == nil {
		e.standings = make(map[int64]standing)
	}
	e.standings[incarnation] = said
	for len(e.standings) > maxStandings {
		delete(e.standings, e.oldestStanding(incarnation))
	}
}

// oldestStanding returns the oldest process that has said something, apart from the given one and
// from the current one.
func (e *endpoint) oldestStanding(except int64) (oldest int64) {
	found := false
	for incarnation := range e.standings {
		if incarnation != except && incarnation != e.Incarnation && (!found || incarnation < oldest) {
			oldest, found = incarnation, true
		}
	}
	return oldest
}

// Process returns the process to which a request was sent.
func (s *Send) Process() Process { return Process{s.endpoint.ID, s.incarnation} }

// Process returns the process that an entry of the list describes.
func (i *Info) Process() Process { return Process{i.ID, i.Incarnation} }

// RecordStatement records what a process has said in an answer and returns what was not known before.
// A process that has said that it leaves can't take that back.
func (p *Pool) RecordStatement(from Process, statement Statement) (news News) {
	known := p.endpoints[from.ID]
	if known == nil {
		return News{}
	}
	said := known.standings[from.Incarnation]
	news = News{Leaving: statement.Leaving && !said.leaving, Malformed: statement.Malformed && !said.malformed}
	if news == (News{}) {
		return news
	}
	said.leaving = said.leaving || statement.Leaving
	said.malformed = said.malformed || statement.Malformed
	known.setStanding(from.Incarnation, said)
	return news
}

// MaySend reports whether the endpoint of a send that has begun still takes requests. It is called
// right before the request is written.
func (p *Pool) MaySend(send *Send) bool { return !send.endpoint.leaving() }

// Block tells why no endpoint of the region takes a request.
type Block string

// Blocks.
const (
	// BlockNone: an endpoint may take the request soon, or nothing is known.
	BlockNone Block = ""
	// BlockLeaving: all endpoints that could serve the request leave, at least one by its own word.
	BlockLeaving Block = "endpoints leaving"
)

// Blocked tells whether waiting for an endpoint of the region is useless because all that could serve
// the request have said so.
func (p *Pool) Blocked(request Request) Block {
	block := BlockNone
	for _, e := range p.service(request.Service).regional {
		excluded := p.evacuated[e.Zone] || slices.Contains(request.ExcludedEndpoints, e.ID)
		switch {
		case e.standing().leaving:
			block = BlockLeaving
		case !e.Leaving && !excluded:
			return BlockNone
		}
	}
	return block
}
