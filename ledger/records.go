package ledger

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// recordSet holds the records of one incarnation. All times are on the clock of this
// process.
type recordSet struct {
	entry       ident.Entry
	incarnation ident.Incarnation
	margin      clock.Span
	// clockOffset is added to times on the issuer's clock to convert them.
	clockOffset clock.Span
	// expiredUntil is the time of the last expire: records with an expiry up to then were
	// deleted.
	expiredUntil clock.Time
	// lastExpiry is when the records of all tickets of the incarnation have expired.
	lastExpiry clock.Time
	partial    bool
	records    map[uint64]*ticketRecord
}

// ticketRecord is the record of one ticket.
type ticketRecord struct {
	sequence     uint64
	expiry       clock.Time
	firstRequest ident.Request
	state        State // Running, Done, Unknown or Void
	// homeBound is set if the request is bound to a home; its answer is not handed over.
	homeBound  bool
	dropped    bool
	answer     Answer
	answerSize ident.Bytes // counted by answerCache; 0 if no answer is held
}

func newRecordSet(entry ident.Entry, incarnation ident.Incarnation, margin clock.Span) *recordSet {
	return &recordSet{entry: entry, incarnation: incarnation, margin: margin, records: make(map[uint64]*ticketRecord)}
}

func (s *recordSet) covers(ticket ticket.Ticket) bool {
	return ticket.Entry == s.entry && ticket.Incarnation == s.incarnation
}

// expiry returns when the record of a ticket expires. It is derived from the ticket
// alone, so that it also shows whether a missing record may have expired.
func (s *recordSet) expiry(ticket ticket.Ticket) clock.Time {
	return ticket.Deadline.Add(s.margin).Add(s.clockOffset)
}

// mayHaveExpired reports whether the record of a ticket, if there was one, may have expired.
func (s *recordSet) mayHaveExpired(ticket ticket.Ticket) bool {
	return !s.expiry(ticket).After(s.expiredUntil)
}

func (s *recordSet) find(sequence uint64) *ticketRecord { return s.records[sequence] }

func (s *recordSet) add(record *ticketRecord) { s.records[record.sequence] = record }

func (s *recordSet) expire(now clock.Time, cache *answerCache) {
	s.expiredUntil = max(s.expiredUntil, now)
	for n, r := range s.records {
		if r.expiry.After(s.expiredUntil) || r.state == Running {
			continue
		}
		cache.discard(r)
		delete(s.records, n)
	}
}

func (r *ticketRecord) verdict() Verdict {
	switch {
	case r.state == Running:
		return Verdict{Decision: Join, RunningRequest: r.firstRequest}
	case r.state == Done && r.dropped:
		return Verdict{Decision: AnswerDropped}
	case r.state == Done:
		return Verdict{Decision: Replay, Answer: r.answer}
	default:
		return Verdict{Decision: r.state}
	}
}

func (r *ticketRecord) outcome() Outcome {
	return Outcome{State: r.state, Dropped: r.dropped, Answer: r.answer}
}

// answerOverheadBytes is counted for each answer in addition to its content.
const answerOverheadBytes = 128

// answerCache limits the memory for the answers in records.
type answerCache struct {
	limit ident.Bytes
	total ident.Bytes
	// stored lists records by age of their answer, oldest first. Records whose answer was
	// discarded stay in the list until compact.
	stored []*ticketRecord
}

// store stores an answer in a record and evicts the oldest other answers to make room.
// An answer over the limit is dropped.
func (a *answerCache) store(record *ticketRecord, answer Answer) {
	size := answer.size()
	if size > a.limit {
		record.dropped = true
		return
	}
	record.answer, record.answerSize = answer, size
	a.total += size
	a.stored = append(a.stored, record)
	a.evict()
}

func (a *answerCache) setLimit(limit ident.Bytes) {
	a.limit = max(limit, 0)
	a.evict()
}

func (a *answerCache) evict() {
	for a.total > a.limit {
		record := a.stored[0]
		a.stored[0] = nil
		a.stored = a.stored[1:]
		if record.answerSize > 0 {
			a.discard(record)
			record.dropped = true
		}
	}
}

// discard removes the answer from a record.
func (a *answerCache) discard(record *ticketRecord) {
	a.total -= record.answerSize
	record.answer, record.answerSize = Answer{}, 0
}

func (a *answerCache) compact() {
	kept := a.stored[:0]
	for _, r := range a.stored {
		if r.answerSize > 0 {
			kept = append(kept, r)
		}
	}
	clear(a.stored[len(kept):])
	a.stored = kept
}

func (a Answer) size() ident.Bytes {
	size := answerOverheadBytes + len(a.Body)
	for name, values := range a.Header {
		size += len(name)
		for _, v := range values {
			size += len(v)
		}
	}
	return ident.Bytes(size)
}
