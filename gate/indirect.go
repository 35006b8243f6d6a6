package gate

import (
	"context"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/mesh"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// indirectPath is the path at which an instance checks an endpoint for another one and tells whether it reaches it:
	// indirectPath + endpoint / incarnation / time since the connections broke in ms.
	indirectPath = "/tanager/indirect/"
	// indirectTimeout bounds one question, and maxCheckers the instances that are asked in turn.
	indirectTimeout = 900 * clock.Millisecond
	maxCheckers     = 3
	// maxIndirectBytes bounds an answer.
	maxIndirectBytes = 64
	// maxBrokenAge bounds the age that a question may name.
	maxBrokenAge = brokenTerm
	// questionInterval is the time between two questions about one endpoint to which there was no definite answer.
	questionInterval = clock.Second
	// lateAnswerMargin is how much later than the end of the connections an endpoint must have answered to count as up: an
	// answer may have been on its way.
	lateAnswerMargin = 100 * clock.Millisecond
	// maxReferenceChecks bounds the health checks of other endpoints that show whether this instance has its links.
	maxReferenceChecks = 2
)

// linkState is what an instance finds out about its link to an endpoint.
type linkState string

// Link states.
const (
	// linkReached: the endpoint answers.
	linkReached linkState = "reached"
	// linkRefused: the endpoint refuses connections, while another one answers.
	linkRefused linkState = "refused"
	// linkUnknown: the instance can't tell; it may have lost its own links.
	linkUnknown linkState = "unknown"
)

// confirmCrash finds out whether an endpoint that refuses connections, and whose connections broke, has crashed. Lost
// links of this instance look the same.
func (s *Server) confirmCrash(ctx context.Context, info pool.Info) {
	broken, ok := s.state.lastBroken(info.ID)
	if !ok || !s.state.startQuestion(info.ID, broken) {
		return
	}
	said := s.checkIndirectly(ctx, info, broken)
	if said == linkUnknown && s.reachesOthers(ctx, info.ID, broken) {
		said = linkRefused
	}
	s.log.Info("endpoint refuses connections", zap.String("endpoint", string(info.ID)), zap.String("conclusion", string(said)))
	switch said {
	case linkRefused:
		s.state.settleQuestion(info.ID)
		s.state.recordUnreachable(info.ID)
	case linkReached:
		s.state.settleQuestion(info.ID)
		s.state.recordAnswering(info.ID)
	}
}

// question is a question to other instances about an endpoint whose connections broke.
type question struct {
	at clock.Time
	// settled reports whether there was a definite answer.
	settled bool
}

// startQuestion reports whether other instances are to be asked about an endpoint whose connections last broke at a
// time, and records the question.
func (s *state) startQuestion(id ident.Endpoint, broken clock.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	last, ok := s.questions[id]
	if ok && !broken.After(last.at) && (last.settled || now.Sub(last.at) < questionInterval) {
		return false
	}
	s.questions[id] = question{at: now}
	return true
}

// settleQuestion records that the last question about an endpoint has a definite answer.
func (s *state) settleQuestion(id ident.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.questions[id]
	last.settled = true
	s.questions[id] = last
}

// answeredSince reports whether an endpoint has answered this instance since a time.
func (s *state) answeredSince(id ident.Endpoint, since clock.Time) (answered bool) {
	s.withPool(func(p *pool.Pool, _ clock.Time) { answered = p.AnsweredSince(id, since) })
	return answered
}

// othersAnsweredSince reports whether any other endpoint has.
func (s *state) othersAnsweredSince(id ident.Endpoint, since clock.Time) (answered bool) {
	s.withPool(func(p *pool.Pool, _ clock.Time) { answered = p.OthersAnsweredSince(id, since) })
	return answered
}

// lastBroken returns when a connection to an endpoint last broke.
func (s *state) lastBroken(id ident.Endpoint) (at clock.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeOutdated(s.clock.Now(), id)
	for _, b := range s.brokenRequests[id] {
		at, ok = max(at, b.brokenAt), true
	}
	return at, ok
}

// checkIndirectly asks other instances of the region about an endpoint until one can tell.
func (s *Server) checkIndirectly(ctx context.Context, info pool.Info, broken clock.Time) linkState {
	for _, w := range chooseCheckers(s.node.Alive(), info.ID, s.settings.Region, s.settings.Zone) {
		age := min(maxBrokenAge, s.clock.Now().Sub(broken))
		if said := s.requestIndirectCheck(ctx, w, indirectURI(info.Process(), age)); said != linkUnknown {
			return said
		}
	}
	return linkUnknown
}

// chooseCheckers returns the instances of a region to ask about an endpoint, those of other zones first: a zone may lose
// its links as a whole. All instances of a zone prefer the same ones, so that one health check answers many questions.
func chooseCheckers(alive []mesh.Record, id ident.Endpoint, region ident.Region, zone ident.Zone) (chosen []mesh.Record) {
	records := make(map[ident.Entry]mesh.Record)
	var near, far []ident.Entry
	for _, r := range alive {
		if r.Region != region {
			continue
		}
		records[r.Name] = r
		if r.Zone == zone {
			near = append(near, r.Name)
		} else {
			far = append(far, r.Name)
		}
	}
	for _, names := range [][]ident.Entry{far, near} {
		for _, name := range watch.Rendezvous(string(id), names, maxCheckers-len(chosen)) {
			chosen = append(chosen, records[name])
		}
	}
	return chosen
}

func indirectURI(process pool.Process, age clock.Span) string {
	return indirectPath + url.PathEscape(string(process.ID)) + "/" + strconv.FormatInt(process.Incarnation, 10) + "/" + strconv.FormatInt(int64(age), 10)
}

func (s *Server) requestIndirectCheck(ctx context.Context, checker mesh.Record, uri string) linkState {
	ctx, cancel := context.WithTimeout(ctx, indirectTimeout.Duration())
	defer cancel()
	data, err := s.queryInstance(ctx, checker.Hop, uri, maxIndirectBytes)
	if err != nil {
		s.log.Info("asking another instance for an endpoint failed", zap.String("of", string(checker.Name)), zap.Error(err))
		return linkUnknown
	}
	if said := linkState(data); said == linkReached || said == linkRefused {
		return said
	}
	return linkUnknown
}

// serveIndirectCheck answers an instance that asks whether this one reaches an endpoint.
func (s *Server) serveIndirectCheck(w http.ResponseWriter, r *http.Request) {
	process, age, ok := parseIndirectURI(r.RequestURI)
	if !ok {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	said := linkUnknown
	if info, listed := s.state.listedProcess(process); listed {
		said = s.observeLink(r.Context(), info, s.clock.Now().Add(-age))
	}
	s.log.Info("another instance asked for an endpoint", zap.String("endpoint", string(process.ID)), zap.String("said", string(said)))
	_, _ = w.Write([]byte(said)) // an error only means that the instance has disconnected
}

func parseIndirectURI(uri string) (process pool.Process, age clock.Span, ok bool) {
	fields := strings.Split(strings.TrimPrefix(uri, indirectPath), "/")
	if len(fields) != 3 {
		return process, 0, false
	}
	id, idErr := url.PathUnescape(fields[0])
	incarnation, incarnationErr := strconv.ParseInt(fields[1], 10, 64)
	ms, ageErr := strconv.ParseInt(fields[2], 10, 64)
	if idErr != nil || incarnationErr != nil || ageErr != nil || ms < 0 || ms > int64(maxBrokenAge) {
		return process, 0, false
	}
	return pool.Process{ID: ident.Endpoint(id), Incarnation: incarnation}, clock.Span(ms), true
}

// listedProcess returns the entry of the list for a process of an endpoint.
func (s *state) listedProcess(process pool.Process) (pool.Info, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry, ok := s.listing.entries[process.ID]
	return entry.Info, ok && entry.Info.Incarnation == process.Incarnation && entry.Info.Region == s.settings.Region
}

// observeLink tells whether this instance reaches an endpoint to which connections of another instance broke at a time.
func (s *Server) observeLink(ctx context.Context, info pool.Info, broken clock.Time) linkState {
	if s.state.answeredSince(info.ID, broken.Add(lateAnswerMargin)) {
		return linkReached
	}
	said := s.checkLink(ctx, info)
	if said == linkRefused && !s.reachesOthers(ctx, info.ID, broken) {
		return linkUnknown
	}
	return said
}

// checkLink makes a health check to find out whether an endpoint can be reached.
func (s *Server) checkLink(ctx context.Context, info pool.Info) linkState {
	check, err := s.checkHealth(ctx, info)
	switch {
	case err == nil && check.SameEndpoint:
		return linkReached
	case isRefused(err):
		return linkRefused
	}
	return linkUnknown
}

// reachesOthers reports whether another endpoint has answered this instance since a time, or does now. It does if there
// is no other one that may be checked, so that nothing shows lost links.
func (s *Server) reachesOthers(ctx context.Context, id ident.Endpoint, since clock.Time) bool {
	if s.state.othersAnsweredSince(id, since) {
		return true
	}
	checked := false
	for _, i := range s.state.referenceEndpoints(id) {
		check, err := s.checkHealth(ctx, i)
		if err == nil && check.SameEndpoint {
			return true
		}
		checked = checked || !notChecked(err)
	}
	return !checked
}

// referenceEndpoints returns some other endpoints of the region that are not leaving.
func (s *state) referenceEndpoints(id ident.Endpoint) (found []pool.Info) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []ident.Entry
	for other, entry := range s.listing.entries {
		if other != id && entry.Info.Region == s.settings.Region && !s.pool.Leaving(other) {
			names = append(names, ident.Entry(other))
		}
	}
	for _, name := range watch.Rendezvous(string(s.settings.Name)+string(id), names, maxReferenceChecks) {
		found = append(found, s.listing.entries[ident.Endpoint(name)].Info)
	}
	return found
}
