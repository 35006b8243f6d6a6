// Package crash tracks the fingerprints of requests that are suspected of crashing
// endpoints, so that one request crashes at most two of them.
package crash

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

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
	// retention is how long the crashes of a request that was at two or more are kept, and the longest
	// time for which it is refused.
	retention = 10 * clock.Minute
	// minRefusedCrashes is the number of crashes from which a request is refused, and maxCrashes bounds
	// those that are kept of one request.
	minRefusedCrashes = 2
	maxCrashes        = 8
	// maxRecords bounds the fingerprints in memory that were at one crash, and again those that were at
	// more. Together they take about 1 MB.
	maxRecords = 4096
	// maxReports bounds the crash reports in one message, which take about 2 KB.
	maxReports = 32
	// maxRefusals bounds the refusals in one message.
	maxRefusals = 16
	// trialInterval is the time between two trials of a request whose refusal has ended.
	trialInterval = 10 * clock.Second
)

// Config configures Suspects.
type Config struct {
	// Term is how long a suspicion holds after a crash, and a refusal after the second one. The refusal
	// doubles with each further crash, up to 10 minutes; 0 or less means 10 minutes.
	Term clock.Span
	// SameCrash is the time within which crashes with the same id are the same one; 0 means that ids
	// are unique.
	SameCrash clock.Span
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

// ID identifies the crash of an endpoint. Words that tell its crashes apart may follow, such as the incarnation.
func ID(endpoint ident.Endpoint, words ...string) ident.Crash {
	return ident.Crash(xxhash.Sum64String(strings.Join(append([]string{string(endpoint)}, words...), "\x00")))
}

// Suspects finds the requests that crash endpoints. It keeps, by fingerprint, the crashes at which a
// request was in flight, and the verdict follows from these alone, so that entries with the same evidence
// agree, in whatever order it arrives. It is not safe for concurrent use.
type Suspects struct {
	config Config
	// suspected holds the requests that were at one crash, repeated those that were at more, so that
	// bystanders of many crashes can't displace these.
	suspected *lru[ident.Fingerprint, *fingerprintRecord]
	repeated  *lru[ident.Fingerprint, *fingerprintRecord]
	// reportCursor is the position in the reports that are told in turn.
	reportCursor int
}

// fingerprintRecord is the evidence against one fingerprint.
type fingerprintRecord struct {
	fingerprint ident.Fingerprint
	regions     []ident.Region
	// crashes is sorted by time, the newest first.
	crashes []evidence
	// refusedUntil is the end of a refusal that another entry has reported. Its evidence may arrive later.
	refusedUntil clock.Time
	// nextTrial is when a request that was at several crashes may be tried again; see StartTrial.
	nextTrial clock.Time
	// running is set while the suspect's only run is reserved or in progress; see Reserve.
	running bool
}

// evidence says that the request was in flight at an endpoint when that crashed.
type evidence struct {
	crash    ident.Crash
	at       clock.Time
	starting bool
	// own is set if this entry has seen the crash, and probability is then 1/n for n requests in flight.
	own         bool
	probability float64
	// cleared is set once the request has completed after the crash.
	cleared bool
}

// New returns an empty table.
func New(config Config) *Suspects {
	if config.Term <= 0 {
		config.Term = defaultTerm
	}
	return &Suspects{
		config:    config,
		suspected: newLRU[ident.Fingerprint, *fingerprintRecord](maxRecords),
		repeated:  newLRU[ident.Fingerprint, *fingerprintRecord](maxRecords),
	}
}

// RecordEndpointCrash records the crash of an endpoint with the given requests in flight and
// returns the crash reports to send to the other entries. If a suspect ran alone, the other
// requests on the endpoint are not suspected.
func (s *Suspects) RecordEndpointCrash(now clock.Time, inFlight []InFlightRequest) []gossip.CrashReport {
	requests := deduplicate(inFlight)
	suspect := s.soleSuspect(now, requests)
	reports := make([]gossip.CrashReport, 0, len(requests))
	for _, m := range requests {
		if suspect != nil && m.Fingerprint != *suspect {
			continue
		}
		record := s.getOrAdd(now, m.Fingerprint)
		record.running, record.regions = false, m.Regions
		seen := evidence{crash: m.Crash, at: now, starting: m.Starting, own: true, probability: 1 / float64(len(requests))}
		s.add(record, seen)
		reports = append(reports, s.report(now, record, seen))
	}
	return reports
}

// soleSuspect returns the only suspect among requests if it ran alone, otherwise nil.
func (s *Suspects) soleSuspect(now clock.Time, requests []InFlightRequest) *ident.Fingerprint {
	var found *ident.Fingerprint
	for _, m := range requests {
		if s.Verdict(now, m.Fingerprint) == VerdictClear {
			continue
		}
		if found != nil || !m.Exclusive {
			return nil
		}
		found = &m.Fingerprint
	}
	return found
}

// Verdict returns how a request with this fingerprint may be run. One that was at several crashes may run
// alone after its refusal.
func (s *Suspects) Verdict(now clock.Time, fingerprint ident.Fingerprint) Verdict {
	if record := s.get(now, fingerprint); record != nil {
		return s.verdictOf(now, record)
	}
	return VerdictClear
}

func (s *Suspects) verdictOf(now clock.Time, record *fingerprintRecord) Verdict {
	if now.Before(record.refusedUntil) || now.Before(s.refusalEnd(record)) {
		return VerdictRefused
	}
	if count, _ := record.uncleared(); count > 0 {
		return VerdictExclusive
	}
	return VerdictClear
}

// refusalEnd returns when the refusal because of the crashes that are known ends, or 0 if there are too few.
func (s *Suspects) refusalEnd(record *fingerprintRecord) clock.Time {
	count, last := record.uncleared()
	if count < minRefusedCrashes {
		return 0
	}
	return last.Add(clock.Doubled(s.config.Term, retention, count-minRefusedCrashes))
}

// uncleared returns the number of crashes since the last completion, and when the last of them was.
func (r *fingerprintRecord) uncleared() (count int, last clock.Time) {
	for _, e := range r.crashes {
		if e.cleared {
			continue
		}
		if count == 0 {
			last = e.at
		}
		count++
	}
	return count, last
}

// CrashProbability estimates the probability that a request with this fingerprint caused a crash:
// the sum of 1/n over the crashes with n requests in flight, at most 1.
func (s *Suspects) CrashProbability(now clock.Time, fingerprint ident.Fingerprint) float64 {
	sum := 0.0
	if record := s.get(now, fingerprint); record != nil {
		for _, e := range record.crashes {
			if !e.cleared {
				sum += e.probability
			}
		}
	}
	return min(1, sum)
}

// Reserve reserves the only run of a suspect and returns false if it is already reserved,
// so that two copies of one request cannot crash two endpoints at the same time.
// RecordEndpointCrash, RecordCompletion and Release release the reservation. Requests with
// VerdictClear always get true, those with VerdictRefused false.
func (s *Suspects) Reserve(now clock.Time, fingerprint ident.Fingerprint) bool {
	switch s.Verdict(now, fingerprint) {
	case VerdictClear:
		return true
	case VerdictRefused:
		return false
	}
	record := s.get(now, fingerprint)
	if record.running {
		return false
	}
	record.running = true
	return true
}

// NeedsTrial reports whether a request was at several crashes and is no longer refused, so that one run at a time
// shows whether it still crashes endpoints.
func (s *Suspects) NeedsTrial(now clock.Time, fingerprint ident.Fingerprint) bool {
	record := s.get(now, fingerprint)
	if record == nil || s.verdictOf(now, record) != VerdictExclusive {
		return false
	}
	count, _ := record.uncleared()
	return count >= minRefusedCrashes
}

// StartTrial reports whether such a request may run now, and if so records that it does: once in trialInterval, the
// time within which a crash becomes known.
func (s *Suspects) StartTrial(now clock.Time, fingerprint ident.Fingerprint) bool {
	record := s.get(now, fingerprint)
	if record == nil || now.Before(record.nextTrial) {
		return false
	}
	record.nextTrial = now.Add(trialInterval)
	return true
}

// Release releases the reservation of a run without a result, such as a cancelled one.
func (s *Suspects) Release(now clock.Time, fingerprint ident.Fingerprint) {
	if record := s.get(now, fingerprint); record != nil {
		record.running = false
	}
}

// RecordCompletion records that a request has completed, which clears it of the crashes known so far.
// These are kept, so that reports of them that other entries still forward are not taken for new ones. The
// end of a run that began before the refusal doesn't end that.
func (s *Suspects) RecordCompletion(now clock.Time, fingerprint ident.Fingerprint) {
	record := s.get(now, fingerprint)
	if record == nil || s.verdictOf(now, record) == VerdictRefused {
		return
	}
	record.running = false
	for i := range record.crashes {
		record.crashes[i].cleared = true
	}
}

// MergeCrashReports merges the crash reports of another entry and reports whether anything changed.
func (s *Suspects) MergeCrashReports(now clock.Time, reports []gossip.CrashReport) bool {
	changed := false
	for _, r := range reports {
		if r.Remaining > 0 && (r.Refused || r.Crash != 0) && s.merge(now, r) {
			changed = true
		}
	}
	return changed
}

// merge merges one crash report and reports whether anything changed.
func (s *Suspects) merge(now clock.Time, report gossip.CrashReport) bool {
	before := s.Verdict(now, report.Fingerprint)
	record := s.getOrAdd(now, report.Fingerprint)
	if record.crashes == nil {
		record.regions = report.Regions
	}
	refusedUntil := now.Add(min(report.Remaining, retention))
	added := false
	if report.Crash != 0 {
		at := now.Add(min(report.Remaining, retention) - retention)
		refusedUntil = at.Add(s.config.Term)
		added = s.add(record, evidence{crash: report.Crash, at: at, starting: report.Starting})
	}
	if report.Refused {
		record.refusedUntil = max(record.refusedUntil, refusedUntil)
	}
	return added || s.verdictOf(now, record) != before
}

// add adds a crash to a record unless it is known, and reports whether it did.
func (s *Suspects) add(record *fingerprintRecord, seen evidence) bool {
	if slices.ContainsFunc(record.crashes, func(known evidence) bool { return s.same(known, seen) }) {
		return false
	}
	record.crashes = append(record.crashes, seen)
	slices.SortStableFunc(record.crashes, func(a, b evidence) int { return cmp.Or(cmp.Compare(b.at, a.at), cmp.Compare(a.crash, b.crash)) })
	record.crashes = record.crashes[:min(len(record.crashes), maxCrashes)]
	if len(record.crashes) >= minRefusedCrashes {
		s.suspected.remove(record.fingerprint)
		s.repeated.put(record.fingerprint, record)
	}
	return true
}

// same reports whether two pieces of evidence are of the same crash.
func (s *Suspects) same(a, b evidence) bool {
	switch {
	case a.crash != b.crash:
		return false
	case s.config.SameCrash == 0:
		return true
	case a.own && b.own:
		return false // this entry sees each crash once
	}
	return max(a.at, b.at).Sub(min(a.at, b.at)) <= s.config.SameCrash
}

// CrashReports returns the crash reports to send to other entries, at most 32: the most important ones
// and, if there are more, some of the others in turn.
func (s *Suspects) CrashReports(now clock.Time) []gossip.CrashReport {
	var reports []gossip.CrashReport
	for _, table := range []*lru[ident.Fingerprint, *fingerprintRecord]{s.repeated, s.suspected} {
		for record := range table.all() {
			if s.expired(now, record) {
				table.remove(record.fingerprint)
				continue
			}
			reports = append(reports, s.reportsOf(now, record)...)
		}
	}
	slices.SortStableFunc(reports, compareReports)
	return selectInTurn(reports, maxReports, &s.reportCursor)
}

// Refusals returns the requests that are refused because of the crashes that are known, the most recently
// used first, at most 16.
func (s *Suspects) Refusals(now clock.Time) (refusals []gossip.Refusal) {
	for record := range s.repeated.all() {
		if end := s.refusalEnd(record); now.Before(end) && len(refusals) < maxRefusals {
			refusals = append(refusals, gossip.Refusal{Fingerprint: record.fingerprint, Refused: true, Regions: record.regions, Remaining: end.Sub(now)})
		}
	}
	return refusals
}

// MergeRefusals merges the refusals of another entry, of which the crashes may not be known.
func (s *Suspects) MergeRefusals(now clock.Time, refusals []gossip.Refusal) {
	for _, r := range refusals {
		if r.Refused && r.Remaining > 0 {
			s.merge(now, gossip.CrashReport{Fingerprint: r.Fingerprint, Refused: true, Regions: r.Regions, Remaining: r.Remaining})
		}
	}
}

// compareReports orders crash reports by importance: those of refused requests, then those of requests
// that were starting, then the newest.
func compareReports(a, b gossip.CrashReport) int {
	return cmp.Or(compareBool(a.Refused, b.Refused), compareBool(a.Starting, b.Starting), cmp.Compare(b.Remaining, a.Remaining))
}

// compareBool orders true before false.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// ReportsOf returns the crash reports of a fingerprint, or none if it is not suspected.
func (s *Suspects) ReportsOf(now clock.Time, fingerprint ident.Fingerprint) []gossip.CrashReport {
	if record := s.get(now, fingerprint); record != nil {
		return s.reportsOf(now, record)
	}
	return nil
}

func (s *Suspects) reportsOf(now clock.Time, record *fingerprintRecord) (reports []gossip.CrashReport) {
	for _, e := range record.crashes {
		if !e.cleared && now.Before(e.at.Add(retention)) {
			reports = append(reports, s.report(now, record, e))
		}
	}
	return reports
}

// report converts one crash of a record to the message sent to other entries.
func (s *Suspects) report(now clock.Time, record *fingerprintRecord, seen evidence) gossip.CrashReport {
	return gossip.CrashReport{
		Fingerprint: record.fingerprint, Refused: now.Before(s.refusalEnd(record)), Regions: record.regions,
		Remaining: seen.at.Add(retention).Sub(now), Crash: seen.crash, Starting: seen.starting,
	}
}

// get returns the unexpired record of fingerprint, or nil, and marks it as used.
func (s *Suspects) get(now clock.Time, fingerprint ident.Fingerprint) *fingerprintRecord {
	record, ok := s.repeated.get(fingerprint)
	if !ok {
		if record, ok = s.suspected.get(fingerprint); !ok {
			return nil
		}
	}
	if s.expired(now, record) {
		s.repeated.remove(fingerprint)
		s.suspected.remove(fingerprint)
		return nil
	}
	return record
}

// expired reports whether a record can't affect a verdict any more.
func (s *Suspects) expired(now clock.Time, record *fingerprintRecord) bool {
	if now.Before(record.refusedUntil) {
		return false
	}
	term := s.config.Term
	if len(record.crashes) >= minRefusedCrashes {
		term = max(term, retention)
	}
	return len(record.crashes) == 0 || !now.Before(record.crashes[0].at.Add(term))
}

// getOrAdd returns the record of fingerprint, a new one if there is none.
func (s *Suspects) getOrAdd(now clock.Time, fingerprint ident.Fingerprint) *fingerprintRecord {
	record := s.get(now, fingerprint)
	if record == nil {
		record = &fingerprintRecord{fingerprint: fingerprint}
		s.suspected.put(fingerprint, record)
	}
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
