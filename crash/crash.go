// Package crash keeps the fingerprints of requests that are suspected of crashing
// the endpoints that run them, so that each such request affects two at most.
package crash

import (
	"container/list"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
)

// Verdict says how a request may run.
type Verdict string

// Verdicts.
const (
	// Clear is for a request that may run anywhere.
	Clear Verdict = "clear"
	// Alone is for a suspect, which may run on an endpoint that runs nothing else.
	Alone Verdict = "alone"
	// Refused is for a request that must not run.
	Refused Verdict = "refused"
)

const (
	// term is the default of Config.Term.
	term = 10 * clock.Minute
	// capacity bounds the number of fingerprints kept, about 1 MB in all.
	capacity = 4096
	// maxTold bounds the accusations of one message, about 2 KB.
	maxTold = 64
	// drift is by how much the end of an accusation may grow while entries pass
	// it on, because a message's delay is not known to its receiver.
	drift = 5 * clock.Second
	// skew is by how much it may shrink, because clocks of machines differ in rate
	// by up to about 100 ppm, which makes 60 ms in 10 minutes.
	skew = 100 * clock.Millisecond
)

// Config configures Suspects.
type Config struct {
	// Term is how long a suspicion or refusal holds; 0 means 10 minutes.
	Term clock.Span
}

// Mark is one request in flight on an endpoint that crashed.
type Mark struct {
	Fingerprint ident.Fingerprint
	// Alone says that the request was dispatched to run alone.
	Alone bool
	// Regions are those that may learn of a home-bound request; empty means all.
	Regions []ident.Region
}

// Suspects keeps the suspected fingerprints, the 4,096 most recently used ones.
// It is not safe for concurrent use.
type Suspects struct {
	term    clock.Span
	records map[ident.Fingerprint]*list.Element
	// order has the most recently used record in front.
	order *list.List
}

// record is what is known of one fingerprint.
type record struct {
	fingerprint ident.Fingerprint
	regions     []ident.Region
	verdict     Verdict
	ends        clock.Time
	// share is the sum over crashes of 1/n for n requests in flight.
	share float64
	// seen says that this entry saw a crash with the request in flight.
	seen bool
	// running says that the suspect's run alone has started.
	running bool
	// past is the end of the last suspicion that was cleared.
	past clock.Time
}

// New returns empty Suspects.
func New(c Config) *Suspects {
	if c.Term <= 0 {
		c.Term = term
	}
	return &Suspects{
		term:    c.Term,
		records: map[ident.Fingerprint]*list.Element{},
		order:   list.New(),
	}
}

// Crashed records a crash of an endpoint with the given requests in flight and
// returns what to tell the other entries. A suspect among them is refused: with
// two crashes it has used up what one request may affect. Those that share the
// endpoint with a suspect that ran alone are not suspected.
func (s *Suspects) Crashed(now clock.Time, inFlight []Mark) []news.Accusation {
	marks := unique(inFlight)
	cause := s.alone(now, marks)
	told := make([]news.Accusation, 0, len(marks))
	for _, m := range marks {
		if cause != nil && m.Fingerprint != *cause {
			continue
		}
		r := s.accuse(now, m.Fingerprint, 1/float64(len(marks)))
		r.regions = m.Regions
		told = append(told, r.accusation(now))
	}
	return told
}

// alone returns the only suspect of marks if it ran alone.
func (s *Suspects) alone(now clock.Time, marks []Mark) *ident.Fingerprint {
	var found *ident.Fingerprint
	for _, m := range marks {
		if r := s.get(now, m.Fingerprint); r == nil || r.verdict == Clear {
			continue
		}
		if found != nil || !m.Alone {
			return nil
		}
		found = &m.Fingerprint
	}
	return found
}

// accuse records one crash with f in flight.
func (s *Suspects) accuse(now clock.Time, f ident.Fingerprint, share float64) *record {
	r := s.get(now, f)
	if r == nil {
		r = s.add(f)
		r.verdict = Clear
	}
	switch r.verdict {
	case Clear:
		r.verdict = Alone
		r.share = 0
	default:
		r.verdict = Refused
	}
	r.share += share
	r.seen = true
	r.running = false
	r.ends = now.Add(s.term)
	return r
}

// Verdict returns how a request with fingerprint f may run.
func (s *Suspects) Verdict(now clock.Time, f ident.Fingerprint) Verdict {
	if r := s.get(now, f); r != nil {
		return r.verdict
	}
	return Clear
}

// Share returns the probability, as far as crashes tell, that f caused a crash:
// the sum of 1/n over the crashes with n requests in flight, at most 1.
func (s *Suspects) Share(now clock.Time, f ident.Fingerprint) float64 {
	r := s.get(now, f)
	if r == nil || r.verdict == Clear {
		return 0
	}
	return min(1, r.share)
}

// Start reserves the run of a suspect and returns false if one has started, so
// that two copies of one request can't crash two endpoints at the same time.
// Crashed, Cleared and Stop end the reservation. It returns true for a request
// that is clear and false for one that is refused.
func (s *Suspects) Start(now clock.Time, f ident.Fingerprint) bool {
	r := s.get(now, f)
	if r == nil || r.verdict == Clear {
		return true
	}
	if r.verdict == Refused || r.running {
		return false
	}
	r.running = true
	return true
}

// Stop ends a run that has proved nothing, such as a cancelled one.
func (s *Suspects) Stop(now clock.Time, f ident.Fingerprint) {
	if r := s.get(now, f); r != nil {
		r.running = false
	}
}

// Cleared records that a suspect has completed. It stays on record as clear until
// its suspicion would have ended, so that an accusation that other entries still
// pass on is not taken for a new one.
func (s *Suspects) Cleared(now clock.Time, f ident.Fingerprint) {
	r := s.get(now, f)
	if r == nil || r.verdict == Refused {
		return
	}
	r.verdict = Clear
	r.past = r.ends
	r.running = false
}

// Hear takes in what another entry knows and reports whether anything changed.
func (s *Suspects) Hear(now clock.Time, told []news.Accusation) bool {
	changed := false
	for _, a := range told {
		if a.Rest <= 0 {
			continue
		}
		a.Rest = min(a.Rest, s.term)
		if s.hear(now, a) {
			changed = true
		}
	}
	return changed
}

// hear takes in one accusation.
func (s *Suspects) hear(now clock.Time, a news.Accusation) bool {
	ends := now.Add(a.Rest)
	r := s.get(now, a.Fingerprint)
	if r == nil {
		r = s.add(a.Fingerprint)
		r.regions = a.Regions
		r.verdict = Alone
		r.ends = ends
		if a.Refused {
			r.verdict = Refused
		}
		return true
	}
	if a.Refused {
		return r.refuse(ends)
	}
	return r.suspect(ends)
}

// refuse takes in a refusal by another entry.
func (r *record) refuse(ends clock.Time) bool {
	if r.verdict == Refused {
		return false
	}
	r.verdict = Refused
	r.ends = ends
	return true
}

// suspect takes in a suspicion by another entry. A copy of this record that comes
// back ends at most skew earlier than the record and at most drift later, and a
// copy of one that was cleared ends when that did; anything else is about another
// crash.
func (r *record) suspect(ends clock.Time) bool {
	late := ends.After(r.ends.Add(drift))
	early := ends.Before(r.ends.Add(-skew)) && ends.After(r.past.Add(drift))
	switch {
	case r.verdict == Refused:
		return false
	case r.verdict == Clear && late:
		r.verdict = Alone
		r.ends = ends
		return true
	case r.verdict == Alone && r.seen && (late || early):
		r.verdict = Refused
		return true
	case r.verdict == Alone && late:
		r.ends = ends
	}
	return false
}

// Accusations returns what to tell other entries, most recently used first. The
// number is bounded, since it goes with every probe.
func (s *Suspects) Accusations(now clock.Time) []news.Accusation {
	var told []news.Accusation
	for e := s.order.Front(); e != nil && len(told) < maxTold; e = e.Next() {
		r := e.Value.(*record)
		if r.verdict == Clear || !now.Before(r.ends) {
			continue
		}
		told = append(told, r.accusation(now))
	}
	return told
}

// accusation returns r in the form for other entries.
func (r *record) accusation(now clock.Time) news.Accusation {
	return news.Accusation{
		Fingerprint: r.fingerprint,
		Refused:     r.verdict == Refused,
		Regions:     r.regions,
		Rest:        r.ends.Sub(now),
	}
}

// get returns the record of f if it still holds, and marks it as used.
func (s *Suspects) get(now clock.Time, f ident.Fingerprint) *record {
	e, ok := s.records[f]
	if !ok {
		return nil
	}
	r := e.Value.(*record)
	if !now.Before(r.ends) {
		s.order.Remove(e)
		delete(s.records, f)
		return nil
	}
	s.order.MoveToFront(e)
	return r
}

// add makes a record of f and drops the least recently used one if there are too many.
func (s *Suspects) add(f ident.Fingerprint) *record {
	r := &record{fingerprint: f}
	s.records[f] = s.order.PushFront(r)
	if s.order.Len() > capacity {
		e := s.order.Back()
		s.order.Remove(e)
		delete(s.records, e.Value.(*record).fingerprint)
	}
	return r
}

// unique returns marks without repeated fingerprints; a mark that ran alone wins.
func unique(marks []Mark) []Mark {
	seen := make(map[ident.Fingerprint]int, len(marks))
	kept := make([]Mark, 0, len(marks))
	for _, m := range marks {
		at, ok := seen[m.Fingerprint]
		if ok {
			kept[at].Alone = kept[at].Alone || m.Alone
			continue
		}
		seen[m.Fingerprint] = len(kept)
		kept = append(kept, m)
	}
	return kept
}
