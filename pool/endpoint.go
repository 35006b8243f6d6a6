package pool

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

const (
	// peerLoadLife is how long what a peer tells of its own work counts.
	peerLoadLife = 1500 * clock.Millisecond
	// paceLife is how long an endpoint's word on its own pace counts.
	paceLife = 600 * clock.Millisecond
	// fullPause is how long an endpoint that refused a request gets no further one.
	fullPause = 60 * clock.Millisecond
	// checkInterval is the pause between two health checks of a suspected endpoint.
	checkInterval = 300 * clock.Millisecond
	// failureWeight is the weight of the newest result in the failure ratio.
	failureWeight = 0.1
)

// endpoint is one endpoint with what this instance knows of it.
type endpoint struct {
	Info
	// gone says that the platform does not list the endpoint any more.
	gone bool
	// absent is when the endpoint was first missing from the list after an outage; 0 if listed.
	absent clock.Time
	// coldUntil is when the endpoint stops to be cold.
	coldUntil clock.Time
	// suspect says that the endpoint must pass a health check before its next request.
	suspect bool
	checked clock.Time
	// fullUntil is when an endpoint that refused work may get some again.
	fullUntil clock.Time
	// ejectedUntil is when an endpoint that fails its requests may get some again.
	ejectedUntil clock.Time
	ejections    int

	sends map[*Send]struct{}
	// reading holds the prompt tokens of this instance's sends without a first byte.
	reading Backlog
	// holding is the number of tokens in memory for this instance's sends.
	holding ident.Tokens
	peers   map[ident.Entry]PeerLoad

	pace   float64
	paceAt clock.Time

	failures float64
	results  int
	cache    cache
	coldNext clock.Time
}

// PeerLoad is the work of another instance on an endpoint.
type PeerLoad struct {
	Count   int
	Reading Backlog
	Holding ident.Tokens
	At      clock.Time
}

// Send is one request on its way to an endpoint or running there.
type Send struct {
	endpoint *endpoint
	ask      Ask
	choice   Choice
	began    clock.Time
	answered bool
}

func newEndpoint(i Info) *endpoint {
	return &endpoint{
		Info: i, sends: make(map[*Send]struct{}), peers: make(map[ident.Entry]PeerLoad), pace: 1,
	}
}

// work is the load of an endpoint by all instances that tell of theirs.
type work struct {
	count   int
	reading Backlog
	holding ident.Tokens
}

func (e *endpoint) work(now clock.Time) work {
	w := work{count: len(e.sends), reading: e.reading, holding: e.holding}
	for name, p := range e.peers {
		if now.Sub(p.At) > peerLoadLife {
			delete(e.peers, name)
			continue
		}
		w.count += p.Count
		w.reading.add(p.Reading)
		w.holding += p.Holding
	}
	return w
}

func (e *endpoint) paceNow(now clock.Time) float64 {
	if now.Sub(e.paceAt) > paceLife {
		return 1
	}
	return e.pace
}

func (e *endpoint) result(failed bool) {
	value := 0.0
	if failed {
		value = 1
	}
	e.failures += failureWeight * (value - e.failures)
	e.results++
}

func (e *endpoint) cold(now clock.Time) bool { return now.Before(e.coldUntil) }

// usable reports whether the endpoint may get a request at all.
func (e *endpoint) usable(now clock.Time) bool {
	return !e.gone && !e.Leaving && !e.suspect && !now.Before(e.ejectedUntil)
}
