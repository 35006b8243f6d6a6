// Package gate is the forwarding daemon: it takes requests of any method, path and body,
// finds their route in the table in force, sends them to an endpoint and passes the answer
// on. What the platform calls things stands behind Dialect and Source.
package gate

import (
	"net/http"

	gometrics "github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/pool"
	"github.com/tanagerbridge/tanagerbridge/store"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// Listening says that an address can't be bound.
	Listening Kind = "listening"
	// Invalid says that a setting can't be used.
	Invalid Kind = "invalid"
	// Peer says that what another instance answered can't be used.
	Peer Kind = "peer"
	// Silent says that an endpoint has not answered in time.
	Silent Kind = "silent"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Settings are what an instance learns at its start.
type Settings struct {
	Name   ident.Entry
	Zone   ident.Zone
	Region ident.Region
	// Zones maps the zones of the deployment to their regions.
	Zones map[ident.Zone]ident.Region
	IP    string
	// Front, Ready, Directory and Mesh are IP:PORT: for callers, for readiness checks, for
	// callers that ask where to connect, and for datagrams between instances.
	Front     string
	Ready     string
	Directory string
	Mesh      string
	// HopPort is the port for requests that another instance passes on.
	HopPort int
	// Metrics is the address for metrics; empty for none.
	Metrics string
	// Seeds are Mesh addresses of some instances; they may be out of date.
	Seeds []string
	// Memory and Descriptors are the limits of the process; 0 for none.
	Memory      ident.Bytes
	Descriptors int
	// Grace is the time between the signal to stop and the kill.
	Grace clock.Span
	Retry RetryBounds
	// FirstStart says that the whole system starts for the first time: no earlier process has
	// used up what the instances share.
	FirstStart bool
	// Validity is the longest time that callers use an answer of the directory.
	Validity clock.Span
	// Store is the address of the key-value store.
	Store string
	// ListBound is the time in which a departure on the list of endpoints must take effect,
	// ControlBound the same for a change of the configuration; 0 for the defaults.
	ListBound    clock.Span
	ControlBound clock.Span
}

// RetryBounds limits the retries of all instances together.
type RetryBounds struct {
	Ratio  float64
	Window clock.Span
	Slack  float64
}

// Check returns an error of kind Invalid that names the first setting that can't be used.
func (s Settings) Check() error {
	switch {
	case s.Name == "":
		return fault.Newf("settings", Invalid, "name is empty")
	case s.Region == "":
		return fault.Newf("settings", Invalid, "region is empty")
	case s.Grace < 0 || s.Validity < 0 || s.ListBound < 0 || s.ControlBound < 0:
		return fault.Newf("settings", Invalid, "negative time")
	case s.HopPort < 0 || s.HopPort > 65535:
		return fault.Newf("settings", Invalid, "hop port %d", s.HopPort)
	case s.Retry.Ratio < 0 || s.Retry.Slack < 0:
		return fault.Newf("settings", Invalid, "negative retry budget")
	}
	return nil
}

// Head is what a request says of itself.
type Head struct {
	// Attempt is the id of one send of a caller.
	Attempt string
	// Left is how long the caller waits; Bounded says that it told so.
	Left    clock.Span
	Bounded bool
	Model   string
	// Prompt is the size of the prompt, Output the most tokens of the answer.
	Prompt ident.Tokens
	Output ident.Tokens
	Parts  []pool.Part
	// LastEvent is the id of the last event that the caller has of a stream.
	LastEvent string
}

// Forward is what the system tells an endpoint beside the request.
type Forward struct {
	Endpoint ident.Endpoint
	// Left is how long the endpoint may work.
	Left clock.Span
	// Priority is set if Ranked; 0 is the most urgent.
	Priority int
	Ranked   bool
	// LastEvent is the id of the last event that has been passed on.
	LastEvent string
}

// Answer is what an endpoint's answer says beside its body.
type Answer struct {
	// Attempt is the id of the request that was answered.
	Attempt string
	// NotRun says that the request was not run and never will be.
	NotRun bool
	// Moved says that another endpoint has the address.
	Moved  bool
	Signed bool
	// Endpoint is the id of the endpoint, in answers to health checks.
	Endpoint ident.Endpoint
	// Cold is how long the endpoint stays cold.
	Cold   clock.Span
	Load   pool.Load
	Loaded bool
}

// Paths are the paths of the calls to an instance.
type Paths struct {
	Ready     string
	Directory string
}

// Question is a caller's question where to connect.
type Question struct {
	Host   string
	Region ident.Region
	Zone   ident.Zone
}

// Dialect translates between what callers and endpoints speak and the project's types.
type Dialect interface {
	Paths() Paths
	Question(r *http.Request) Question
	// Location returns the body of the answer to a question, to be encoded as JSON.
	Location(addresses []string, validity clock.Span) any
	Head(h http.Header) Head
	// Strip removes the headers that only the system may set.
	Strip(h http.Header)
	Forward(h http.Header, f Forward)
	Answer(status int, h http.Header) Answer
	// Later says when to come back with a request that was not run.
	Later(h http.Header, after clock.Span)
}

// Source reads what the platform publishes.
type Source interface {
	store.Reader
	EndpointPrefix() string
	ControlPrefix() string
	// Endpoints returns the endpoints and the keys that can't be read.
	Endpoints(s store.Snapshot) ([]pool.Info, []string)
	// Control returns the table, nil if there is none, and the evacuated zones.
	Control(s store.Snapshot) (*bundle.Table, []ident.Zone, error)
}

// Config constructs a Server.
type Config struct {
	Settings Settings
	Dialect  Dialect
	Source   Source
	Clock    clock.Clock
	Log      *zap.Logger
	// Registry gets the metrics; nil makes a new one.
	Registry gometrics.Registry
	Seed     uint64
}
