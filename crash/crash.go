// Package crash tracks the fingerprints of requests that are suspected of crashing
// endpoints, so that one request crashes at most two of them.
package crash

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Verdict tells how a request may be run.
type Verdict string

// Verdicts.
const (
	// VerdictClear allows the request to run on any endpoint.
	VerdictClear Verdict = "clear"
	// VerdictExclusive restricts a suspect to an endpoint that runs nothing else.
	VerdictExclusive Verdict = "alone"
	// VerdictRefused forbids the request to run.
	VerdictRefused Verdict = "refused"
)

const (
	// defaultTerm is used if Config.Term is not set.
	defaultTerm = 10 * clock.Minute
	// maxRecords bounds the fingerprints in memory, which take about 1 MB.
	maxRecords = 4096
	// maxReports bounds the crash reports in one message, which take about 2 KB.
	maxReports = 64
	// maxDelay is how much later the expiry of a forwarded crash report may be than the
	// original, since the receiver does not know the delay of the message.
	maxDelay = 5 * clock.Second
	// maxClockDrift is how much earlier it may be, since the clock rates of machines
	// differ by up to about 100 ppm, which is 60 ms in 10 minutes.
	maxClockDrift = 100 * clock.Millisecond
)

// Config configures Suspects.
type Config struct {
	// Term is how long a suspicion or refusal holds; 0 or less means 10 minutes.
	Term clock.Span
}

// InFlightRequest is a request that was in flight on an endpoint when it crashed.
type InFlightRequest struct {
	Fingerprint ident.Fingerprint
	// Exclusive is set if the request was dispatched to an endpoint that runs nothing else.
	Exclusive bool
	// Regions lists the regions to which a home-bound request may be reported; empty
	// means all.
	Regions []ident.Region
	// Parts lists the prompt parts that other requests may share, in order.
	Parts []ident.Part
	// Starting is set if the request had no output yet, or only since moments before the crash.
	Starting bool
	// Crash identifies the crash of the endpoint.
	Crash ident.Crash
}

// Suspects is an LRU table of up to 4,096 suspected fingerprints. It is not safe for
// concurrent use.
type Suspects struct {
	term    clock.Span
	records *lru[ident.Fingerprint, *fingerprintRecord]
}

// fingerprintRecord is the state of one fingerprint.
type fingerprintRecord struct {
	fingerprint ident.Fingerprint
	regions     []ident.Region
	verdict     Verdict
	expires     clock.Time
	// probability is the sum over crashes of 1/n for n requests in flight; it may exceed 1.
	probability float64
	// observed is set if this entry itself saw a crash with the request in flight.
	observed bool
	// running is set while the suspect's only run is reserved or in progress; see Reserve.
	running bool
	// clearedUntil is when the last cleared suspicion would have expired.
	clearedUntil clock.Time
}

// New returns an empty table.
func New(config Config) *Suspects {
	if config.Term <= 0 {
		config.Term = defaultTerm
	}
	return &Suspects{term: config.Term, records: newLRU[ident.Fingerprint, *fingerprintRecord](maxRecords)}
}

// RecordEndpointCrash records the crash of an endpoint with the given requests in flight and
// returns the crash reports to send to the other entries. A request that was already a
// suspect is refused, as this is its second crash. If a suspect ran alone, the other
// requests on the endpoint are not suspected.
func (s *Suspects) RecordEndpointCrash(now clock.Time, inFlight []InFlightRequest) []gossip.CrashReport {
	requests := deduplicate(inFlight)
	suspect := s.soleSuspect(now, requests)
	reports := make([]gossip.CrashReport, 0, len(requests))
	for _, m := range requests {
		if suspect != nil && m.Fingerprint != *suspect {
			continue
		}
		record := s.recordCrash(now, m.Fingerprint, 1/float64(len(requests)))
		record.regions = m.Regions
		reports = append(reports, record.report(now))
	}
	return reports
}

// soleSuspect returns the only suspect among requests if it ran alone, otherwise nil.
func (s *Suspects) soleSuspect(now clock.Time, requests []InFlightRequest) *ident.Fingerprint {
	var found *ident.Fingerprint
	for _, m := range requests {
		if record := s.get(now, m.Fingerprint); record == nil || record.verdict == VerdictClear {
			continue
		}
		if found != nil || !m.Exclusive {
			return nil
		}
		found = &m.Fingerprint
	}
	return found
}

// recordCrash records one crash with fingerprint in flight; probability is the probability
// that it was the cause.
func (s *Suspects) recordCrash(now clock.Time, fingerprint ident.Fingerprint, probability float64) *fingerprintRecord {
	record := s.get(now, fingerprint)
	if record == nil {
		record = s.add(fingerprint)
		record.verdict = VerdictClear
	}
	switch record.verdict {
	case VerdictClear:
		record.verdict = VerdictExclusive
		record.probability = 0
	default:
		record.verdict = VerdictRefused
	}
	record.probability += probability
	record.observed = true
	record.running = false
	record.expires = now.Add(s.term)
	return record
}

// Verdict returns how a request with this fingerprint may be run.
func (s *Suspects) Verdict(now clock.Time, fingerprint ident.Fingerprint) Verdict {
	if record := s.get(now, fingerprint); record != nil {
		return record.verdict
	}
	return VerdictClear
}

// CrashProbability estimates the probability that a request with this fingerprint caused a crash:
// the sum of 1/n over the crashes with n requests in flight, at most 1.
func (s *Suspects) CrashProbability(now clock.Time, fingerprint ident.Fingerprint) float64 {
	record := s.get(now, fingerprint)
	if record == nil || record.verdict == VerdictClear {
		return 0
	}
	return min(1, record.probability)
}

// Reserve reserves the only run of a suspect and returns false if it is already reserved,
// so that two copies of one request cannot crash two endpoints at the same time.
// RecordEndpointCrash, RecordCompletion and Release release the reservation. Requests with
// VerdictClear always get true, those with VerdictRefused false.
func (s *Suspects) Reserve(now clock.Time, fingerprint ident.Fingerprint) bool {
	record := s.get(now, fingerprint)
	if record == nil || record.verdict == VerdictClear {
		return true
	}
	if record.verdict == VerdictRefused || record.running {
		return false
	}
	record.running = true
	return true
}

// Release releases the reservation of a run without a result, such as a cancelled one.
func (s *Suspects) Release(now clock.Time, fingerprint ident.Fingerprint) {
	if record := s.get(now, fingerprint); record != nil {
		record.running = false
	}
}

// RecordCompletion records that a suspect has completed. The record is kept until the suspicion
// would have expired, so that crash reports that other entries still forward are not
// mistaken for new ones.
func (s *Suspects) RecordCompletion(now clock.Time, fingerprint ident.Fingerprint) {
	record := s.get(now, fingerprint)
	if record == nil || record.verdict == VerdictRefused {
		return
	}
	record.verdict = VerdictClear
	record.clearedUntil = record.expires
	record.running = false
}

// MergeCrashReports merges the crash reports of another entry and reports whether anything changed.
func (s *Suspects) MergeCrashReports(now clock.Time, reports []gossip.CrashReport) bool {
	changed := false
	for _, r := range reports {
		if r.Remaining <= 0 {
			continue
		}
		r.Remaining = min(r.Remaining, s.term)
		if s.merge(now, r) {
			changed = true
		}
	}
	return changed
}

// merge merges one crash report and reports whether anything changed.
func (s *Suspects) merge(now clock.Time, report gossip.CrashReport) bool {
	expires := now.Add(report.Remaining)
	record := s.get(now, report.Fingerprint)
	if record == nil {
		record = s.add(report.Fingerprint)
		record.regions = report.Regions
		record.verdict = VerdictExclusive
		record.expires = expires
		if report.Refused {
			record.verdict = VerdictRefused
		}
		return true
	}
	if report.Refused {
		return record.mergeRefusal(expires)
	}
	return record.mergeSuspicion(expires)
}

// mergeRefusal applies a refusal by another entry.
func (r *fingerprintRecord) mergeRefusal(expires clock.Time) bool {
	if r.verdict == VerdictRefused {
		return false
	}
	r.verdict = VerdictRefused
	r.expires = expires
	return true
}

// mergeSuspicion applies a suspicion of another entry. A forwarded copy of this record
// expires at most maxClockDrift earlier and maxDelay later than the record; a copy of a
// cleared suspicion expires when that one would have. Any other expiry means another
// crash.
func (r *fingerprintRecord) mergeSuspicion(expires clock.Time) bool {
	late := expires.After(r.expires.Add(maxDelay))
	early := expires.Before(r.expires.Add(-maxClockDrift)) && expires.After(r.clearedUntil.Add(maxDelay))
	switch {
	case r.verdict == VerdictRefused:
		return false
	case r.verdict == VerdictClear && late:
		r.verdict = VerdictExclusive
		r.expires = expires
		return true
	case r.verdict == VerdictExclusive && r.observed && (late || early):
		r.verdict = VerdictRefused
		return true
	case r.verdict == VerdictExclusive && late:
		r.expires = expires
	}
	return false
}

// CrashReports returns the crash reports to send to other entries, most recently used
// first. At most 64 are returned, since they are part of every probe.
func (s *Suspects) CrashReports(now clock.Time) []gossip.CrashReport {
	var reports []gossip.CrashReport
	for record := range s.records.all() {
		if len(reports) == maxReports {
			break
		}
		if record.verdict == VerdictClear || !now.Before(record.expires) {
			continue
		}
		reports = append(reports, record.report(now))
	}
	return reports
}

// ReportsOf returns the crash report of a fingerprint, or none if it is not suspected.
func (s *Suspects) ReportsOf(now clock.Time, fingerprint ident.Fingerprint) []gossip.CrashReport {
	record := s.get(now, fingerprint)
	if record == nil || record.verdict == VerdictClear {
		return nil
	}
	return []gossip.CrashReport{record.report(now)}
}

// report converts a record to the message sent to other entries.
func (r *fingerprintRecord) report(now clock.Time) gossip.CrashReport {
	return gossip.CrashReport{
		Fingerprint: r.fingerprint,
		Refused:     r.verdict == VerdictRefused,
		Regions:     r.regions,
		Remaining:   r.expires.Sub(now),
	}
}

// get returns the unexpired record of fingerprint, or nil, and marks it as used.
func (s *Suspects) get(now clock.Time, fingerprint ident.Fingerprint) *fingerprintRecord {
	record, ok := s.records.get(fingerprint)
	if !ok {
		return nil
	}
	if !now.Before(record.expires) {
		s.records.remove(fingerprint)
		return nil
	}
	return record
}

// add creates a record and evicts the least recently used one if there are too many.
func (s *Suspects) add(fingerprint ident.Fingerprint) *fingerprintRecord {
	record := &fingerprintRecord{fingerprint: fingerprint}
	s.records.put(fingerprint, record)
	return record
}

// deduplicate returns one request per fingerprint, with Exclusive set if any of them has it.
func deduplicate(requests []InFlightRequest) []InFlightRequest {
	seen := make(map[ident.Fingerprint]int, len(requests))
	kept := make([]InFlightRequest, 0, len(requests))
	for _, m := range requests {
		index, ok := seen[m.Fingerprint]
		if ok {
			kept[index].Exclusive = kept[index].Exclusive || m.Exclusive
			continue
		}
		seen[m.Fingerprint] = len(kept)
		kept = append(kept, m)
	}
	return kept
}
