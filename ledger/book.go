package ledger

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// book holds the records of one incarnation. All its times are on the clock of
// this process.
type book struct {
	entry       ident.Entry
	incarnation ident.Incarnation
	margin      clock.Span
	// shift turns a time of the issuer's clock into one of this process's.
	shift clock.Span
	// horizon is the time of the last expire: records due until then were dropped.
	horizon clock.Time
	// last is when the last record can be dropped.
	last    clock.Time
	partial bool
	records map[uint64]*record
}

// record is what is known of one ticket.
type record struct {
	sequence uint64
	due      clock.Time
	first    ident.Request
	state    State // Running, Done, Unknown or Void
	// bound says that the request is bound to a home; its answer stays here.
	bound   bool
	dropped bool
	answer  Answer
	size    ident.Bytes // counted by answers; 0 if no answer is held
}

func newBook(e ident.Entry, i ident.Incarnation, margin clock.Span) *book {
	return &book{entry: e, incarnation: i, margin: margin, records: make(map[uint64]*record)}
}

func (b *book) issued(t ticket.Ticket) bool {
	return t.Entry == b.entry && t.Incarnation == b.incarnation
}

// due returns when a record of t is dropped. It depends on the ticket only, so
// it also tells whether a record that is missing may have been dropped.
func (b *book) due(t ticket.Ticket) clock.Time {
	return t.Deadline.Add(b.margin).Add(b.shift)
}

// forgotten reports whether a record of t, if there was one, may have been dropped.
func (b *book) forgotten(t ticket.Ticket) bool { return !b.due(t).After(b.horizon) }

func (b *book) find(sequence uint64) *record { return b.records[sequence] }

func (b *book) add(r *record) { b.records[r.sequence] = r }

func (b *book) expire(now clock.Time, a *answers) {
	b.horizon = max(b.horizon, now)
	for s, r := range b.records {
		if r.due.After(b.horizon) || r.state == Running {
			continue
		}
		a.release(r)
		delete(b.records, s)
	}
}

func (r *record) verdict() Verdict {
	switch {
	case r.state == Running:
		return Verdict{Kind: Join, First: r.first}
	case r.state == Done && r.dropped:
		return Verdict{Kind: Gone}
	case r.state == Done:
		return Verdict{Kind: Replay, Answer: r.answer}
	default:
		return Verdict{Kind: r.state}
	}
}

func (r *record) outcome() Outcome {
	return Outcome{State: r.state, Dropped: r.dropped, Answer: r.answer}
}

// answerOverhead is counted for each answer on top of its content, in bytes.
const answerOverhead = 128

// answers bounds the memory of the answers that records hold.
type answers struct {
	limit ident.Bytes
	total ident.Bytes
	// held has the oldest answer first; records that were released stay until compact.
	held []*record
}

// hold keeps answer in r and drops the oldest answers of others to make room.
func (a *answers) hold(r *record, answer Answer) {
	size := answer.size()
	if size > a.limit {
		r.dropped = true
		return
	}
	r.answer, r.size = answer, size
	a.total += size
	a.held = append(a.held, r)
	a.trim()
}

func (a *answers) bound(n ident.Bytes) {
	a.limit = max(n, 0)
	a.trim()
}

func (a *answers) trim() {
	for a.total > a.limit {
		r := a.held[0]
		a.held[0] = nil
		a.held = a.held[1:]
		if r.size > 0 {
			a.release(r)
			r.dropped = true
		}
	}
}

// release takes the answer away from a record.
func (a *answers) release(r *record) {
	a.total -= r.size
	r.answer, r.size = Answer{}, 0
}

func (a *answers) compact() {
	kept := a.held[:0]
	for _, r := range a.held {
		if r.size > 0 {
			kept = append(kept, r)
		}
	}
	clear(a.held[len(kept):])
	a.held = kept
}

func (a Answer) size() ident.Bytes {
	n := answerOverhead + len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return ident.Bytes(n)
}
