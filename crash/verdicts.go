package crash

import (
	"cmp"
	"math"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// update derives the verdicts anew if the evidence has changed or some of it has expired.
func (p *Parts) update(now clock.Time) {
	if !p.changed && now.Before(p.nextExpiry) {
		return
	}
	p.changed, p.nextExpiry = false, math.MaxInt64
	p.removeExpired(now)
	clear(p.verdicts)
	explained := make(map[ident.Crash]bool)
	for _, record := range p.candidates() {
		verdict := record.weigh(explained)
		if min(verdict.Crashes, verdict.Requests) < minPartEvidence {
			continue
		}
		p.verdicts[record.part] = verdict
		for _, e := range record.pairs {
			explained[e.crash] = true
		}
	}
}

// removeExpired removes the parts whose last crash is longer ago than the term, and sets nextExpiry.
func (p *Parts) removeExpired(now clock.Time) {
	for record := range p.suspect.all() {
		expires := record.pairs[0].expires
		if !now.Before(expires) {
			p.suspect.remove(record.part)
			continue
		}
		p.nextExpiry = min(p.nextExpiry, expires)
	}
}

// candidates returns the parts with evidence in the order in which they may explain crashes. First
// parts come last, as they are in all requests of the others. Among the others, the one at the most crashes
// comes first, since an unproven part after the cause is at some of its crashes only, and of those at
// equally many the deepest, since the parts before one are in all of its requests.
func (p *Parts) candidates() (records []*partRecord) {
	for record := range p.suspect.all() {
		if record.weight >= minPartEvidence {
			records = append(records, record)
		}
	}
	slices.SortFunc(records, func(a, b *partRecord) int {
		return cmp.Or(
			cmp.Compare(min(b.depth, 1), min(a.depth, 1)), cmp.Compare(b.weight, a.weight),
			cmp.Compare(b.depth, a.depth), cmp.Compare(a.part, b.part),
		)
	})
	return records
}

// weigh counts the crashes that are not explained, and the requests at them.
func (r *partRecord) weigh(explained map[ident.Crash]bool) PartVerdict {
	crashes, requests := make(map[ident.Crash]bool), make(map[ident.Fingerprint]bool)
	for _, e := range r.pairs {
		if !explained[e.crash] {
			crashes[e.crash], requests[e.request] = true, true
		}
	}
	return PartVerdict{Part: r.part, Crashes: len(crashes), Requests: len(requests)}
}
