package pool

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// peerLoadTTL is how long a load report of another instance is used.
	peerLoadTTL = 1500 * clock.Millisecond
	// paceTTL is how long an endpoint's report of its own pace is used.
	paceTTL = 600 * clock.Millisecond
	// reportedLoadTTL is how long an endpoint's report of its own load is used. The reports of other instances take longer
	// in a large fleet.
	reportedLoadTTL = 300 * clock.Millisecond
	// fullBackoff is how long an endpoint that refused a request gets no further ones.
	fullBackoff = 60 * clock.Millisecond
	// healthCheckInterval is the minimum interval between two health checks of an endpoint.
	healthCheckInterval = 300 * clock.Millisecond
	// failureSampleWeight is the weight of the newest result in the moving failure ratio.
	failureSampleWeight = 0.1
)

// endpoint is the state of one endpoint as known to this instance.
type endpoint struct {
	Info
	// idHash is the hash of the id.
	idHash uint64
	// selfReports holds what each known process of the endpoint has said about itself, by incarnation.
	selfReports map[int64]selfReport
	// trialLimit bounds the sends in progress that began after a pause, until the endpoint has answered
	// enough of them; 0 is no bound. trials is their number.
	trialLimit int
	trials     int
	permits    permits
	// share and risks are this instance's part of the slots of a brittle endpoint and of the rejections that
	// it bears, others is the load of the other instances there, and rejected is when it last rejected a request
	// of this instance. checks is the number of health checks in progress, and lingers holds until when requests
	// and checks count that were given up.
	share    share
	others   othersLoad
	risks    permits
	rejected clock.Time
	checks   int
	lingers  []clock.Time
	// delisted reports whether the endpoint has been removed from the published list.
	delisted bool
	// missingSince is when the endpoint was removed from the list; 0 if it is listed.
	missingSince clock.Time
	// coldUntil is when the endpoint stops being cold.
	coldUntil clock.Time
	// needsCheck reports whether the endpoint must pass a health check before its next request.
	needsCheck bool
	// wantsCheck reports whether the endpoint is to be checked but gets requests meanwhile.
	wantsCheck  bool
	lastChecked clock.Time
	// fullUntil is when an endpoint that refused a request may get requests again.
	fullUntil clock.Time
	// unreachedSince is when no connection to the endpoint could be made, or several others that stand for it failed
	// the same; 0 if it has been reached since. reachedAt is when it was last reached, and answeredAt when one of its
	// processes last answered.
	unreachedSince clock.Time
	reachedAt      clock.Time
	answeredAt     clock.Time
	// ejectedUntil is when an ejected endpoint may get requests again.
	ejectedUntil clock.Time
	ejections    int

	sends map[*Send]struct{}
	// prefillBacklog holds the prompt tokens of this instance's sends that have no first byte yet.
	prefillBacklog Backlog
	// memoryTokens is the KV cache, in tokens, that this instance's sends take.
	memoryTokens ident.Tokens
	peerLoads    map[ident.Entry]PeerLoad

	// reported is what the endpoint last told of its load.
	reported    reportedLoad
	pace        float64
	paceUpdated clock.Time

	failureRatio float64
	resultCount  int
	cache        prefixCache
	nextColdSend clock.Time
}

// PeerLoad is the load that one instance puts on an endpoint.
type PeerLoad struct {
	Count          int
	PrefillBacklog Backlog
	MemoryTokens   ident.Tokens
	Received       clock.Time
}

// sane returns a received load without negative numbers, which would make an endpoint look better than idle.
func (l PeerLoad) sane(now clock.Time) PeerLoad {
	l.Received, l.Count, l.MemoryTokens = now, max(0, l.Count), max(0, l.MemoryTokens)
	for i, n := range l.PrefillBacklog {
		l.PrefillBacklog[i] = max(0, n)
	}
	return l
}

// Send is one request that is being sent to an endpoint or runs there.
type Send struct {
	endpoint *endpoint
	request  Request
	choice   Choice
	started  clock.Time
	// process is the process of the endpoint when the send began, and build the version of its software.
	process  Process
	build    ident.Build
	answered bool
	// trial reports whether the send counts in endpoint.trials.
	trial bool
	// excess reports whether the send began although as many trials as allowed were in progress, or
	// without a permit.
	excess bool
	// permitted reports whether the send has a permit of an endpoint with a rate limit.
	permitted bool
	// onUnreached is called when the send is overdue at an endpoint that is not reached; it may be nil.
	onUnreached func()
	// placed reports whether there was room for the send at a brittle endpoint or a permit for a possible
	// rejection, risked whether it holds such a permit.
	placed bool
	risked bool
}

func newEndpoint(info Info) *endpoint {
	return &endpoint{
		Info: info, idHash: xxhash.Sum64String(string(info.ID)), sends: make(map[*Send]struct{}), peerLoads: make(map[ident.Entry]PeerLoad), pace: 1,
	}
}

// reportedLoad is the load that an endpoint has told.
type reportedLoad struct {
	// count is the number of requests that ran or waited there, own the number of those of this instance.
	count, own int
	at         clock.Time
}

// currentCount returns the number of requests at an endpoint according to its last report and to what this instance
// has sent and completed since, or false if the report is too old.
func (r reportedLoad) currentCount(now clock.Time, own int) (count int, known bool) {
	return max(own, r.count+own-r.own), r.at > 0 && now.Sub(r.at) <= reportedLoadTTL
}

// endpointLoad is the load of an endpoint from this instance and from all others with a recent
// report. The endpoint's own recent report replaces their count.
type endpointLoad struct {
	count          int
	prefillBacklog Backlog
	memoryTokens   ident.Tokens
}

func (e *endpoint) currentLoad(now clock.Time) endpointLoad {
	load := endpointLoad{count: len(e.sends), prefillBacklog: e.prefillBacklog, memoryTokens: e.memoryTokens}
	for name, p := range e.peerLoads {
		if now.Sub(p.Received) > peerLoadTTL {
			delete(e.peerLoads, name)
			continue
		}
		load.count += p.Count
		load.prefillBacklog.add(p.PrefillBacklog)
		load.memoryTokens += p.MemoryTokens
	}
	if count, known := e.reported.currentCount(now, len(e.sends)); known {
		load.count = count
	}
	return load
}

func (e *endpoint) currentPace(now clock.Time) float64 {
	if now.Sub(e.paceUpdated) > paceTTL {
		return 1
	}
	return e.pace
}

func (e *endpoint) recordResult(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	e.failureRatio += failureSampleWeight * (value - e.failureRatio)
	e.resultCount++
}

func (e *endpoint) isCold(now clock.Time) bool { return now.Before(e.coldUntil) }

// usable reports whether the endpoint may get requests.
func (e *endpoint) usable(now clock.Time) bool {
	return !e.delisted && !e.leaving() && !e.paused(now) && !e.needsCheck && !e.unreached() && !now.Before(e.ejectedUntil)
}
