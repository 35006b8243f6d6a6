package crash

import (
	"cmp"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// defaultPartTerm is used if PartsConfig.Term is not set.
	defaultPartTerm = 2 * clock.Minute
	// minPartEvidence is the number of crashes, and of requests at them, from which a part is refused.
	minPartEvidence = 2
	// maxParts bounds the parts with evidence, maxPairs the evidence against one of them,
	// maxPairsPerCrash that of one crash, so that two crashes are always kept, and maxClearedParts the
	// parts that are known to be harmless; together they take about 1 MB.
	maxParts         = 512
	maxPairs         = 16
	maxPairsPerCrash = 4
	maxClearedParts  = 4096
	// maxPartReports and maxPartClearances bound what is in one message, about 1.5 KB.
	maxPartReports    = 32
	maxPartClearances = 16
	// minForwarded is the remaining validity below which nothing is reported or merged any more:
	// each receiver knows it for longer than the sender by the delay of the message.
	minForwarded = 5 * clock.Second
	// announceTime is how long a clearance is told to the others after evidence against the part arrived.
	announceTime = 10 * clock.Second
	// firstTrialDelay is the time from the last crash to the first trial of a refused part. It doubles
	// with each trial, up to maxTrialDelay, which is shorter than the term of the evidence.
	firstTrialDelay = 20 * clock.Second
	maxTrialDelay   = 80 * clock.Second
)

// PartsConfig configures Parts.
type PartsConfig struct {
	// Term is how long evidence holds after the last crash, and a clearance after the last completion;
	// 0 or less means 2 minutes.
	Term clock.Span
}

// PartVerdict tells that requests with a part are refused.
type PartVerdict struct {
	Part ident.Part
	// Crashes and Requests are the distinct ones that are known of and not explained by another part.
	Crashes  int
	Requests int
}

// Parts finds the prompt parts that crash endpoints, whatever else a request holds. One crash has one
// cause: the crashes that a refused part explains do not count for others, and a part is never
// refused while a recent request with it has completed. The verdicts follow from the evidence alone,
// so that instances with the same evidence agree. It is not safe for concurrent use.
type Parts struct {
	term    clock.Span
	suspect *lru[ident.Part, *partRecord]
	cleared *lru[ident.Part, *clearance]
	// verdicts holds the refused parts as of the last change, valid before nextExpiry.
	verdicts   map[ident.Part]PartVerdict
	changed    bool
	nextExpiry clock.Time
	// reportCursor is the position in the reports that are told in turn.
	reportCursor int
}

// partRecord is the evidence against one part.
type partRecord struct {
	part  ident.Part
	depth int
	// pairs is sorted by expiry, the newest first.
	pairs []pair
	// weight is the number of crashes, or of requests at them if that is less.
	weight int
	// trials counts the trials of this instance since the last clearance, and lastTrial is when the
	// last one began.
	trials    int
	lastTrial clock.Time
}

// pair says that a request with the part was starting at an endpoint when that crashed.
type pair struct {
	crash   ident.Crash
	request ident.Fingerprint
	regions []ident.Region
	expires clock.Time
}

// clearance says that a request with the part has completed.
type clearance struct {
	part          ident.Part
	regions       []ident.Region
	expires       clock.Time
	announceUntil clock.Time
}

// NewParts returns Parts that know of no crash.
func NewParts(config PartsConfig) *Parts {
	if config.Term <= 0 {
		config.Term = defaultPartTerm
	}
	return &Parts{
		term: config.Term, suspect: newLRU[ident.Part, *partRecord](maxParts), cleared: newLRU[ident.Part, *clearance](maxClearedParts),
		verdicts: make(map[ident.Part]PartVerdict),
	}
}

// RecordCrash records the requests that were in flight on an endpoint when it crashed. Those that
// were not starting are no evidence.
func (p *Parts) RecordCrash(now clock.Time, inFlight []InFlightRequest) {
	for _, m := range inFlight {
		if !m.Starting {
			continue
		}
		for depth, part := range m.Parts {
			p.add(now, part, depth, pair{m.Crash, m.Fingerprint, m.Regions, now.Add(p.term)})
		}
	}
}

// RecordCompletion records that a request with the parts has completed, which drops the evidence
// against them. regions lists the regions that may learn of it; empty means all.
func (p *Parts) RecordCompletion(now clock.Time, parts []ident.Part, regions []ident.Region) {
	for _, part := range parts {
		known := p.clear(now, part, now.Add(p.term))
		known.regions = regions
	}
}

// Merge merges what another instance reports. It is idempotent, and the order of reports does not
// matter.
func (p *Parts) Merge(now clock.Time, facts gossip.PartFacts) {
	for _, c := range facts.PartClearances[:min(len(facts.PartClearances), maxPartClearances)] {
		if _, known := p.clearanceOf(now, c.Part); known || c.Remaining < minForwarded {
			continue
		}
		p.clear(now, c.Part, now.Add(min(c.Remaining, p.term))).regions = c.Regions
	}
	for _, r := range facts.PartReports[:min(len(facts.PartReports), maxPartReports)] {
		if r.Remaining >= minForwarded {
			p.add(now, r.Part, r.Depth, pair{r.Crash, r.Request, r.Regions, now.Add(min(r.Remaining, p.term))})
		}
	}
}

// Facts returns what is reported to the other instances: evidence, and the clearances of parts that
// others have evidence against.
func (p *Parts) Facts(now clock.Time) (facts gossip.PartFacts) {
	for record := range p.suspect.all() {
		for _, e := range record.pairs {
			if remaining := e.expires.Sub(now); remaining >= minForwarded {
				facts.PartReports = append(facts.PartReports, gossip.PartReport{
					Part: record.part, Depth: record.depth, Crash: e.crash, Request: e.request, Regions: e.regions, Remaining: remaining,
				})
			}
		}
	}
	slices.SortFunc(facts.PartReports, func(a, b gossip.PartReport) int {
		return cmp.Or(cmp.Compare(b.Remaining, a.Remaining), cmp.Compare(a.Part, b.Part), cmp.Compare(a.Request, b.Request))
	})
	facts.PartReports = selectInTurn(facts.PartReports, maxPartReports, &p.reportCursor)
	for known := range p.cleared.all() {
		remaining := known.expires.Sub(now)
		if len(facts.PartClearances) < maxPartClearances && now.Before(known.announceUntil) && remaining >= minForwarded {
			facts.PartClearances = append(facts.PartClearances, gossip.PartClearance{Part: known.part, Regions: known.regions, Remaining: remaining})
		}
	}
	return facts
}

// selectInTurn returns the first half of a message's reports and, if there are more than fit, some of the
// others in turn, from the cursor on.
func selectInTurn[T any](reports []T, most int, cursor *int) []T {
	if len(reports) <= most {
		return reports
	}
	selected, rest := slices.Clone(reports[:most/2]), reports[most/2:]
	for range most - most/2 {
		*cursor = (*cursor + 1) % len(rest)
		selected = append(selected, rest[*cursor])
	}
	return selected
}

// Refused returns the first of the parts that is refused.
func (p *Parts) Refused(now clock.Time, parts []ident.Part) (ident.Part, bool) {
	p.update(now)
	if len(p.verdicts) == 0 {
		return 0, false
	}
	for _, part := range parts {
		if _, ok := p.verdicts[part]; ok {
			return part, true
		}
	}
	return 0, false
}

// Verdicts returns the refused parts, sorted by id.
func (p *Parts) Verdicts(now clock.Time) []PartVerdict {
	p.update(now)
	verdicts := make([]PartVerdict, 0, len(p.verdicts))
	for _, v := range p.verdicts {
		verdicts = append(verdicts, v)
	}
	slices.SortFunc(verdicts, func(a, b PartVerdict) int { return cmp.Compare(a.Part, b.Part) })
	return verdicts
}

// StartTrial reports whether a request with the parts may run as a trial, and if so records that it
// does. owns tells whether this instance is the one that tries a part.
func (p *Parts) StartTrial(now clock.Time, parts []ident.Part, owns func(ident.Part) bool) bool {
	p.update(now)
	var refused []*partRecord
	for _, part := range parts {
		if _, ok := p.verdicts[part]; !ok {
			continue
		}
		record, ok := p.suspect.get(part)
		if !ok || now.Before(record.nextTrial(p.term)) || !owns(part) {
			return false
		}
		refused = append(refused, record)
	}
	for _, record := range refused {
		record.trials++
		record.lastTrial = now
	}
	return len(refused) > 0
}

// nextTrial returns when the next trial of the part may begin.
func (r *partRecord) nextTrial(term clock.Span) clock.Time {
	delay := clock.Doubled(firstTrialDelay, maxTrialDelay, r.trials)
	return max(r.pairs[0].expires.Add(-term), r.lastTrial).Add(delay)
}

// clear drops the evidence against a part and returns its clearance, extended to at least expires.
func (p *Parts) clear(now clock.Time, part ident.Part, expires clock.Time) *clearance {
	known, ok := p.cleared.get(part)
	if !ok {
		known = &clearance{part: part}
		p.cleared.put(part, known)
	}
	known.expires = max(known.expires, expires)
	if _, ok := p.suspect.get(part); ok {
		// Other instances may have the same evidence.
		known.announceUntil = now.Add(announceTime)
		p.suspect.remove(part)
		p.changed = true
	}
	return known
}

// clearanceOf returns the clearance of a part if it has not expired.
func (p *Parts) clearanceOf(now clock.Time, part ident.Part) (*clearance, bool) {
	known, ok := p.cleared.get(part)
	return known, ok && now.Before(known.expires)
}

// add adds evidence against a part unless it is cleared.
func (p *Parts) add(now clock.Time, part ident.Part, depth int, evidence pair) {
	if known, ok := p.clearanceOf(now, part); ok {
		known.announceUntil = now.Add(announceTime)
		return
	}
	record, ok := p.suspect.get(part)
	if !ok {
		record = &partRecord{part: part}
		p.evict()
		p.suspect.put(part, record)
	}
	if depth > record.depth {
		record.depth, p.changed = depth, true
	}
	if record.has(evidence) {
		return
	}
	record.pairs = append(record.pairs, evidence)
	record.trim()
	total := record.weigh(nil)
	record.weight = min(total.Crashes, total.Requests)
	p.changed = p.changed || record.has(evidence)
}

// evict makes room for another part: parts that are not refused go first, of these the ones with the
// least evidence, and of these the least recently used.
func (p *Parts) evict() {
	if !p.suspect.full() {
		return
	}
	var least *partRecord
	for record := range p.suspect.all() {
		if least == nil || p.compareEvidence(record, least) <= 0 {
			least = record
		}
	}
	p.suspect.remove(least.part)
	p.changed = true
}

func (p *Parts) compareEvidence(a, b *partRecord) int {
	_, refusedA := p.verdicts[a.part]
	_, refusedB := p.verdicts[b.part]
	switch {
	case refusedA && !refusedB:
		return 1
	case refusedB && !refusedA:
		return -1
	}
	return cmp.Compare(a.weight, b.weight)
}

// has reports whether the evidence is known.
func (r *partRecord) has(evidence pair) bool {
	return slices.ContainsFunc(r.pairs, func(e pair) bool { return e.crash == evidence.crash && e.request == evidence.request })
}

// trim drops evidence beyond the bounds. What is kept does not depend on the order of arrival.
func (r *partRecord) trim() {
	slices.SortFunc(r.pairs, func(a, b pair) int { return cmp.Compare(a.request, b.request) })
	perCrash := make(map[ident.Crash]int)
	r.pairs = slices.DeleteFunc(r.pairs, func(e pair) bool {
		perCrash[e.crash]++
		return perCrash[e.crash] > maxPairsPerCrash
	})
	slices.SortStableFunc(r.pairs, func(a, b pair) int { return cmp.Compare(b.expires, a.expires) })
	r.pairs = r.pairs[:min(len(r.pairs), maxPairs)]
}
