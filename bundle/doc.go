// Package bundle holds the versioned document that operators sign: its types,
// its checks, its signature and the version in force.
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

// Home lists the regions that data of one home may be served in.
type Home struct {
	Name    ident.Home     `json:"name"`
	Regions []ident.Region `json:"regions"`
}

// Class is a class of urgency with its targets.
type Class struct {
	Name ident.Class `json:"name"`
	// Urgency orders classes; 0 is the most urgent.
	Urgency int `json:"urgency"`
	// First is the target for the time to the first token.
	First clock.Span `json:"first"`
	// Between is the target for the time between tokens.
	Between clock.Span `json:"between"`
	// Deadline is the longest time that a request of this class may wait for its first token.
	Deadline clock.Span `json:"deadline"`
	// Tokens is the highest answer limit of a request of this class; 0 means no bound.
	Tokens ident.Tokens `json:"tokens"`
	// Share is the largest share of an endpoint's slots that the class may hold, above 0 and up to 1.
	Share float64 `json:"share"`
}

// Kinds of service.
const (
	// Engine is a model engine that streams completions.
	Engine ServiceKind = "engine"
	// Plain is an ordinary HTTP service.
	Plain ServiceKind = "plain"
)

// ServiceKind tells which protocol the endpoints of a service speak.
type ServiceKind string

// Service is something callers can use.
type Service struct {
	Name    ident.Service  `json:"name"`
	Kind    ServiceKind    `json:"kind"`
	Regions []ident.Region `json:"regions"`
	// Transit lets an entry outside the allowed regions pass this service's data to an allowed endpoint.
	Transit bool `json:"transit"`
	// Continue says that an engine can continue an answer from the text already sent.
	Continue bool `json:"continue"`
	// Fence says that the engines refuse an order with an old fencing number.
	Fence bool `json:"fence"`
	// Model is the model that the engines of this service load.
	Model string `json:"model"`
	// Validity is how long a ticket for this service is valid.
	Validity clock.Span `json:"validity"`
	// Calls lists what a plain service offers. An engine has none: its completions are idempotent.
	Calls []Call `json:"calls"`
}

// Call is one operation of a plain service.
type Call struct {
	Method string `json:"method"`
	// Path is matched exactly, or as a prefix if it ends in "/".
	Path       string `json:"path"`
	Idempotent bool   `json:"idempotent"`
	Hedge      bool   `json:"hedge"`
	// Dedupe names the header in which the service takes a key by which it carries
	// out equal calls only once; empty if it has none. Only calls that are not
	// idempotent have it.
	Dedupe string `json:"dedupe"`
}

// Limits bounds what an entry accepts and keeps.
type Limits struct {
	// Body is the largest request body.
	Body ident.Bytes `json:"body"`
	// Queue is the largest number of requests that wait at one entry for one service.
	Queue int `json:"queue"`
	// Caller is the largest number of requests of one caller that are at one entry.
	Caller int `json:"caller"`
	// Answers bounds the memory for the answers that the ticket ledger keeps.
	Answers ident.Bytes `json:"answers"`
	// Loads is the largest number of engines of one region that load a model at the
	// same time, which bounds what they draw from the weight store.
	Loads int `json:"loads"`
}

// Retry bounds retries and hedges.
type Retry struct {
	// Share is the largest ratio of retries and hedges to first tries.
	Share float64 `json:"share"`
	// Burst is how many retries may be saved up.
	Burst float64 `json:"burst"`
	// Attempts is the largest number of tries of one request, across entries.
	Attempts ident.Try `json:"attempts"`
}

// Weights are the deployment's preferences; 1 is neutral, 0 ignores the measure.
type Weights struct {
	Away  float64 `json:"away"`
	Cost  float64 `json:"cost"`
	Short float64 `json:"short"`
	Tail  float64 `json:"tail"`
}

// Link bounds what an entry sends from one region to another, in bytes a second.
type Link struct {
	From   ident.Region `json:"from"`
	To     ident.Region `json:"to"`
	Budget ident.Bytes  `json:"budget"`
}
