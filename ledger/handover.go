package ledger

import (
	"cmp"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// MaxHandoverSize limits the msgpack encoding of a Handover. It is well below the 2 MB that
// fit in a frame between entries.
const MaxHandoverSize ident.Bytes = 1 << 20

const (
	// handoverOverhead is the maximum size of an encoded Handover without records.
	handoverOverhead ident.Bytes = 512
	// recordOverhead is the maximum size of an encoded Record without its answer.
	recordOverhead ident.Bytes = 128
)

// Seal closes the ledger and returns the records for the successor. From then on Begin
// runs no request without a record. Requests that are still running are handed over as
// Unknown. If the encoding would exceed MaxHandoverSize, answers are left out, then the
// records that expire first, in which case Partial is set. Seal may be called again, for
// example after another outcome was recorded.
func (l *Ledger) Seal(now clock.Time) Handover {
	l.sealed = true
	packer := handoverPacker{now: now, budget: MaxHandoverSize}
	handover := packer.pack(l.own)
	for _, b := range l.adopted {
		handover.Inherited = append(handover.Inherited, packer.pack(b))
	}
	packer.addAnswers(l.answers.stored)
	return handover
}

// handoverPacker builds handovers within a size budget.
type handoverPacker struct {
	now     clock.Time
	budget  ident.Bytes
	answers []packedAnswer
}

// packedAnswer refers to the handover record into which an answer can be copied.
type packedAnswer struct {
	record *ticketRecord
	target *Record
}

func (p *handoverPacker) pack(set *recordSet) Handover {
	handover := Handover{
		Entry: set.entry, Incarnation: set.incarnation, SealedAt: p.now.Add(-set.clockOffset), Margin: set.margin,
		Remaining: set.lastExpiry.Sub(p.now), Partial: set.partial,
	}
	p.budget -= handoverOverhead
	records := set.latestExpiryFirst()
	if fit := int(max(p.budget, 0) / recordOverhead); len(records) > fit {
		handover.Partial = true
		records = records[:fit]
	}
	p.budget -= recordOverhead * ident.Bytes(len(records))
	handover.Records = make([]Record, len(records))
	for i, r := range records {
		handover.Records[i] = Record{r.sequence, r.expiry.Sub(p.now), Outcome{State: r.handoverState(), Dropped: r.state == Done}}
		// The successor may be in a region to which the answer must not be sent.
		if r.answerSize > 0 && !r.homeBound {
			p.answers = append(p.answers, packedAnswer{r, &handover.Records[i]})
		}
	}
	return handover
}

// addAnswers adds the answers, newest first, until one does not fit.
func (p *handoverPacker) addAnswers(stored []*ticketRecord) {
	targets := make(map[*ticketRecord]*Record, len(p.answers))
	for _, a := range p.answers {
		targets[a.record] = a.target
	}
	for _, r := range slices.Backward(stored) {
		target := targets[r]
		if target == nil || r.answerSize == 0 {
			continue
		}
		if p.budget -= r.answer.packedSize(); p.budget < 0 {
			return
		}
		target.Outcome = r.outcome()
	}
}

// packedSize returns an upper bound for the encoded size of an answer. A msgpack string
// takes up to 5 bytes in addition to its content.
func (a Answer) packedSize() ident.Bytes {
	size := a.size()
	for _, values := range a.Header {
		size += ident.Bytes(10 + 5*len(values))
	}
	return size
}

// handoverState returns the state for the successor, which cannot observe a running request.
func (r *ticketRecord) handoverState() State {
	if r.state == Running {
		return Unknown
	}
	return r.state
}

// latestExpiryFirst returns the records ordered by expiry, latest first.
func (s *recordSet) latestExpiryFirst() []*ticketRecord {
	list := make([]*ticketRecord, 0, len(s.records))
	for _, r := range s.records {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *ticketRecord) int {
		return cmp.Or(cmp.Compare(b.expiry, a.expiry), cmp.Compare(a.sequence, b.sequence))
	})
	return list
}

// Adopt makes this ledger answer for the sealed ledgers of a handover. Adopting the same
// incarnation again adds new outcomes. A handover of this incarnation itself is ignored.
func (l *Ledger) Adopt(now clock.Time, handover Handover) {
	l.adoptSet(now, handover)
	for _, inherited := range handover.Inherited {
		l.adoptSet(now, inherited)
	}
}

func (l *Ledger) adoptSet(now clock.Time, handover Handover) {
	if handover.Entry == l.config.Entry && handover.Incarnation == l.config.Incarnation {
		return
	}
	set := l.adoptedSet(handover.Entry, handover.Incarnation)
	if set == nil {
		set = newRecordSet(handover.Entry, handover.Incarnation, handover.Margin)
		set.clockOffset, set.expiredUntil, set.partial = now.Sub(handover.SealedAt), now, handover.Partial
		l.adopted = append(l.adopted, set)
	}
	// A sealed ledger gains no records, so one complete handover is sufficient.
	set.partial = set.partial && handover.Partial
	// The transmission delay must not make a record expire before recordSet.expiry, so
	// both are relative to the issuer's clock.
	sealedAt := handover.SealedAt.Add(set.clockOffset)
	set.lastExpiry = max(set.lastExpiry, sealedAt.Add(handover.Remaining))
	for _, r := range handover.Records {
		l.adoptRecord(set, sealedAt, r)
	}
}

func (l *Ledger) adoptRecord(set *recordSet, sealedAt clock.Time, received Record) {
	known := set.find(received.Sequence)
	if known != nil && known.state != Unknown {
		return
	}
	if known == nil {
		known = &ticketRecord{sequence: received.Sequence, expiry: sealedAt.Add(received.Remaining)}
		set.add(known)
	}
	l.settle(known, received.Outcome)
}
