// Package pool chooses the endpoint of a request. It keeps what this instance knows of
// the endpoints: their state, the work on them, their speed and what their caches hold.
// It is not safe for concurrent use and takes the time as an argument.
package pool

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Info is what the platform publishes about an endpoint.
type Info struct {
	ID      ident.Endpoint
	Service ident.Service
	// Address is IP:PORT.
	Address string
	Zone    ident.Zone
	Region  ident.Region
	// Slots is how many requests the endpoint runs at once.
	Slots   int
	Leaving bool
	// Cold is how long the endpoint stays cold from now on.
	Cold clock.Span
	// Born tells apart the processes that run under one id.
	Born int64
}

// Load is what an endpoint says of its own load.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes at this moment, as a multiple of the usual time.
	Pace float64
}

// Part is one part of a prompt that requests may share.
type Part struct {
	ID     uint64
	Tokens ident.Tokens
}

// Ask is a request to be placed.
type Ask struct {
	Service ident.Service
	// Engine says that the service's endpoints are model engines.
	Engine bool
	// Memory is an engine's KV cache in tokens.
	Memory ident.Tokens
	// ColdRate is how many requests a second a cold endpoint takes.
	ColdRate float64
	// Connections is the most connections that an endpoint takes from all instances; 0 for
	// no bound.
	Connections int
	Parts       []Part
	// Prompt is the whole prompt, Output the most tokens of the answer.
	Prompt ident.Tokens
	Output ident.Tokens
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Target is the time until the first byte within which the answer earns most.
	Target clock.Span
	// Homes are the regions that may serve the request; none means all.
	Homes []ident.Region
	// Avoid holds endpoints that have failed this request.
	Avoid []ident.Endpoint
}

// Choice is the endpoint for a request.
type Choice struct {
	Endpoint ident.Endpoint
	Address  string
	// Delay is the expected time until the first byte of the answer.
	Delay clock.Span
	// Wait is the part of Delay before the endpoint begins to run the request.
	Wait clock.Span
	// Cost is Delay and what the request takes from others, for comparing places.
	Cost clock.Span
	// Missing is the part of the prompt that the endpoint has to read.
	Missing ident.Tokens
}

// Outcome says how a send ended.
type Outcome string

// Outcomes.
const (
	// Done: the endpoint answered.
	Done Outcome = "done"
	// Failed: the endpoint answered with a failure of its own.
	Failed Outcome = "failed"
	// Full: the endpoint did not run the request.
	Full Outcome = "full"
	// Moved: another endpoint has the address.
	Moved Outcome = "moved"
	// Broken: the connection ended before the answer was complete.
	Broken Outcome = "broken"
	// Unreachable: no connection could be made.
	Unreachable Outcome = "unreachable"
	// Late: the endpoint did not answer in time.
	Late Outcome = "late"
	// Canceled: the caller left or another send has answered.
	Canceled Outcome = "canceled"
)
