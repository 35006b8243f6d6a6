// Package bundle implements the versioned configuration document that operators sign: its
// types and checks, its signature, and the version in force.
package bundle

import (
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Document is the content of a bundle. Times are in ms, sizes in bytes.
type Document struct {
	Version    ident.Version  `json:"version"`
	Deployment string         `json:"deployment"`
	Regions    []ident.Region `json:"regions"`
	Homes      []Home         `json:"homes"`
	Classes    []Class        `json:"classes"`
	Services   []Service      `json:"services"`
	Limits     Limits         `json:"limits"`
	Retry      Retry          `json:"retry"`
	Weights    Weights        `json:"weights"`
	Links      []Link         `json:"links"`
}

// Home lists the regions that may serve data of one home.
type Home struct {
	Name    ident.Home     `json:"name"`
	Regions []ident.Region `json:"regions"`
}

// Class is a request class with its targets.
type Class struct {
	Name ident.Class `json:"name"`
	// Urgency ranks classes; 0 is the most urgent.
	Urgency int `json:"urgency"`
	// FirstTokenTarget is the target for the time to the first token.
	FirstTokenTarget clock.Span `json:"first"`
	// BetweenTokensTarget is the target for the time between tokens.
	BetweenTokensTarget clock.Span `json:"between"`
	// Deadline is the maximum time that a request of the class may wait for its first token.
	Deadline clock.Span `json:"deadline"`
	// MaxTokens is the largest max_tokens of requests in the class; 0 means unbounded.
	MaxTokens ident.Tokens `json:"tokens"`
	// MaxShare is the maximum share of an endpoint's slots for the class, above 0 and up to 1.
	MaxShare float64 `json:"share"`
}

// Service kinds.
const (
	// Engine is a model engine that streams completions.
	Engine ServiceKind = "engine"
	// Plain is an ordinary HTTP service.
	Plain ServiceKind = "plain"
)

// ServiceKind is the protocol of a service's endpoints.
type ServiceKind string

// Service is a service that callers can use.
type Service struct {
	Name    ident.Service  `json:"name"`
	Kind    ServiceKind    `json:"kind"`
	Regions []ident.Region `json:"regions"`
	// Transit allows an entry outside the allowed regions to relay this service's data to an
	// allowed endpoint.
	Transit bool `json:"transit"`
	// Continue is set if an engine can continue a response from the text already sent.
	Continue bool `json:"continue"`
	// ChecksFence is set if the engines reject orders with an outdated fencing number.
	ChecksFence bool `json:"fence"`
	// Model is the model that the engines of this service load.
	Model string `json:"model"`
	// Validity is how long a ticket for this service is valid.
	Validity clock.Span `json:"validity"`
	// Calls lists the operations of a plain service. An engine has none: its completions are
	// idempotent.
	Calls []Call `json:"calls"`
}

// Call is one operation of a plain service.
type Call struct {
	Method string `json:"method"`
	// Path is matched exactly, or as a prefix if it ends in "/".
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	Hedge      bool   `json:"hedge"`
	// KeyHeader is the header for an idempotency key by which the service deduplicates calls;
	// empty if it has none. It applies only to calls that are not idempotent.
	KeyHeader string `json:"dedupe"`
}

// Limits bounds what an entry accepts and stores.
type Limits struct {
	// Body is the maximum size of a request body.
	Body ident.Bytes `json:"body"`
	// Queue is the maximum number of requests queued at one entry for one service.
	Queue int `json:"queue"`
	// Caller is the maximum number of requests of one caller at one entry.
	Caller int `json:"caller"`
	// Answers is the maximum memory for the responses that the ticket ledger stores.
	Answers ident.Bytes `json:"answers"`
	// Loads is the maximum number of engines per region that load a model concurrently,
	// which bounds the load on the weight store.
	Loads int `json:"loads"`
}

// Retry limits retries and hedges.
type Retry struct {
	// Ratio is the maximum ratio of retries and hedges to first sends.
	Ratio float64 `json:"share"`
	// Burst is the maximum number of retries that can be saved up.
	Burst float64 `json:"burst"`
	// MaxAttempts is the maximum number of sends of one request, across entries.
	MaxAttempts ident.Attempt `json:"attempts"`
}

// Weights are the preferences of the deployment; 1 is neutral, 0 ignores the measure.
type Weights struct {
	// Away weighs the cost of sending work to another region: the higher, the longer work
	// waits in its own region first.
	Away float64 `json:"away"`
	// Cost and Short are checked, but no policy uses them.
	Cost  float64 `json:"cost"`
	Short float64 `json:"short"`
	// Tail weighs the tail of the time to the first token: the higher, the earlier requests
	// are hedged; 0 disables hedging.
	Tail float64 `json:"tail"`
}

// Link limits the traffic of one entry from one region to another, in bytes per second.
type Link struct {
	From   ident.Region `json:"from"`
	To     ident.Region `json:"to"`
	Budget ident.Bytes  `json:"budget"`
}
