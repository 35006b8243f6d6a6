package ledger

import (
	"cmp"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// MaxHandover bounds the msgpack form of a Handover in bytes. It stays well
// below the 2 MB that a frame between entries holds.
const MaxHandover ident.Bytes = 1 << 20

const (
	// bookBytes bounds the msgpack form of a Handover without records.
	bookBytes ident.Bytes = 512
	// recordBytes bounds the msgpack form of a Record without its answer.
	recordBytes ident.Bytes = 128
)

// Seal ends the ledger: from now on Begin runs nothing that is not recorded
// yet. It returns the records for the successor; requests that still run are handed
// over as Unknown. If the records exceed MaxHandover, answers and then records
// with the shortest rest are left out, and Partial is set for the latter. Seal may
// be repeated, for example after another outcome was recorded.
func (l *Ledger) Seal(now clock.Time) Handover {
	l.sealed = true
	p := packer{now: now, budget: MaxHandover}
	h := p.pack(l.own)
	for _, b := range l.adopted {
		h.Inherited = append(h.Inherited, p.pack(b))
	}
	p.addAnswers(l.answers.held)
	return h
}

// packer fills handovers within a budget of bytes.
type packer struct {
	now    clock.Time
	budget ident.Bytes
	packed []packed
}

// packed is where a record with an answer went.
type packed struct {
	record *record
	target *Record
}

func (p *packer) pack(b *book) Handover {
	h := Handover{
		Entry: b.entry, Incarnation: b.incarnation, Clock: p.now.Add(-b.shift), Margin: b.margin,
		Rest: b.last.Sub(p.now), Partial: b.partial,
	}
	p.budget -= bookBytes
	records := b.longest()
	if fit := int(max(p.budget, 0) / recordBytes); len(records) > fit {
		h.Partial = true
		records = records[:fit]
	}
	p.budget -= recordBytes * ident.Bytes(len(records))
	h.Records = make([]Record, len(records))
	for i, r := range records {
		h.Records[i] = Record{r.sequence, r.due.Sub(p.now), Outcome{State: r.handedState(), Dropped: r.state == Done}}
		// The successor may be in a region where the answer must not go.
		if r.size > 0 && !r.bound {
			p.packed = append(p.packed, packed{r, &h.Records[i]})
		}
	}
	return h
}

// addAnswers fills in the newest answers first, until one does not fit.
func (p *packer) addAnswers(held []*record) {
	targets := make(map[*record]*Record, len(p.packed))
	for _, one := range p.packed {
		targets[one.record] = one.target
	}
	for _, r := range slices.Backward(held) {
		target := targets[r]
		if target == nil || r.size == 0 {
			continue
		}
		if p.budget -= r.answer.packedSize(); p.budget < 0 {
			return
		}
		target.Outcome = r.outcome()
	}
}

// packedSize bounds the msgpack form of an answer; a text takes up to 5 bytes
// besides its content.
func (a Answer) packedSize() ident.Bytes {
	n := a.size()
	for _, values := range a.Header {
		n += ident.Bytes(10 + 5*len(values))
	}
	return n
}

// handedState is the state for a successor, which can't follow an execution.
func (r *record) handedState() State {
	if r.state == Running {
		return Unknown
	}
	return r.state
}

// longest returns the records, those with the longest rest first.
func (b *book) longest() []*record {
	list := make([]*record, 0, len(b.records))
	for _, r := range b.records {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *record) int {
		return cmp.Or(cmp.Compare(b.due, a.due), cmp.Compare(a.sequence, b.sequence))
	})
	return list
}

// Adopt makes this ledger answer for the sealed ledgers of a handover. Adopting
// the same incarnation again adds what is new. A handover of this incarnation
// itself is ignored.
func (l *Ledger) Adopt(now clock.Time, h Handover) {
	l.adoptOne(now, h)
	for _, inherited := range h.Inherited {
		l.adoptOne(now, inherited)
	}
}

func (l *Ledger) adoptOne(now clock.Time, h Handover) {
	if h.Entry == l.config.Entry && h.Incarnation == l.config.Incarnation {
		return
	}
	b := l.adoptedBook(h.Entry, h.Incarnation)
	if b == nil {
		b = newBook(h.Entry, h.Incarnation, h.Margin)
		b.shift, b.horizon, b.partial = now.Sub(h.Clock), now, h.Partial
		l.adopted = append(l.adopted, b)
	}
	// A sealed ledger gains no records, so one complete handover is enough.
	b.partial = b.partial && h.Partial
	// Time on the way here must not shorten a record's rest below that of
	// book.due, so both count from the issuer's clock.
	sealed := h.Clock.Add(b.shift)
	b.last = max(b.last, sealed.Add(h.Rest))
	for _, r := range h.Records {
		l.adoptRecord(b, sealed, r)
	}
}

func (l *Ledger) adoptRecord(b *book, sealed clock.Time, r Record) {
	known := b.find(r.Sequence)
	if known != nil && known.state != Unknown {
		return
	}
	if known == nil {
		known = &record{sequence: r.Sequence, due: sealed.Add(r.Rest)}
		b.add(known)
	}
	l.settle(known, r.Outcome)
}
