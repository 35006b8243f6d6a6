// Package gate implements the forwarding server. It accepts requests with any method, path and
// body, matches them against the routing table in force, sends them to an endpoint and forwards
// the response. The protocol of the platform is abstracted by Protocol and Source.
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
	"github.com/tanagerbridge/tanagerbridge/resume"
	"github.com/tanagerbridge/tanagerbridge/store"
)

// Kind classifies the errors of this package.
type Kind string

// Kinds of errors.
const (
	// KindListen says that an address cannot be bound.
	KindListen Kind = "listening"
	// KindInvalid says that a setting is invalid.
	KindInvalid Kind = "invalid"
	// KindPeerResponse says that the response of another instance is unusable.
	KindPeerResponse Kind = "peer"
	// KindFirstByteTimeout says that an endpoint did not respond in time.
	KindFirstByteTimeout Kind = "silent"
	// KindUnreached says that an endpoint did not respond in time and can't be connected to.
	KindUnreached Kind = "unreached"
	// KindNoHealthCheck says that the service of an endpoint has no health check.
	KindNoHealthCheck Kind = "unchecked"
)

// Error is the error of this package.
type Error = fault.Error[Kind]

// Settings are the start parameters of an instance.
type Settings struct {
	Name   ident.Entry
	Zone   ident.Zone
	Region ident.Region
	// Zones maps each zone of the deployment to its region.
	Zones map[ident.Zone]ident.Region
	IP    string
	// FrontAddress, ReadyAddress, DirectoryAddress and MeshAddress are listen addresses (IP:PORT) for
	// callers, readiness checks, directory queries and datagrams between instances.
	FrontAddress     string
	ReadyAddress     string
	DirectoryAddress string
	MeshAddress      string
	// HopPort is the port for requests that other instances pass on.
	HopPort int
	// MetricsAddress is the listen address for metrics; empty disables them.
	MetricsAddress string
	// Seeds are the mesh addresses of some instances; they may be outdated.
	Seeds []string
	// MemoryLimit and DescriptorLimit are the limits of the process; 0 means no limit.
	MemoryLimit     ident.Bytes
	DescriptorLimit int
	// Grace is the time between the stop signal and the kill.
	Grace clock.Span
	Retry RetryBounds
	// FirstStart reports whether the whole system starts for the first time, so that no earlier
	// process can have used a part of the shared budgets.
	FirstStart bool
	// Validity is the longest time that callers use a directory response.
	Validity clock.Span
	// StoreAddress is the address of the key-value store.
	StoreAddress string
	// ListBound is the time within which a departure from the list of endpoints must take effect,
	// ControlBound the same for a change of the configuration; 0 selects the defaults.
	ListBound    clock.Span
	ControlBound clock.Span
	// RevokeBound is the time after the withdrawal of a key from which no request with it may run; 0 selects the
	// default. It applies only if RevokeStrict is set.
	RevokeBound  clock.Span
	RevokeStrict bool
}

// RetryBounds limits the retries of all instances together.
type RetryBounds struct {
	Ratio  float64
	Window clock.Span
	Slack  float64
}

// Check returns an error of kind KindInvalid for the first invalid setting.
func (s Settings) Check() error {
	switch {
	case s.Name == "":
		return fault.Newf("settings", KindInvalid, "name is empty")
	case s.Region == "":
		return fault.Newf("settings", KindInvalid, "region is empty")
	case s.Grace < 0 || s.Validity < 0 || s.ListBound < 0 || s.ControlBound < 0 || s.RevokeBound < 0:
		return fault.Newf("settings", KindInvalid, "negative duration")
	case s.HopPort < 0 || s.HopPort > 65535:
		return fault.Newf("settings", KindInvalid, "hop port %d is out of range", s.HopPort)
	case s.Retry.Ratio < 0 || s.Retry.Slack < 0:
		return fault.Newf("settings", KindInvalid, "negative retry budget")
	}
	return nil
}

// RequestMeta is the metadata of a request.
type RequestMeta struct {
	// AttemptID identifies one send by the caller.
	AttemptID string
	// Timeout is how long the caller waits; it is valid if HasTimeout is set.
	Timeout    clock.Span
	HasTimeout bool
	Model      string
	// PromptTokens is the length of the prompt, MaxOutputTokens the maximum length of the completion.
	PromptTokens    ident.Tokens
	MaxOutputTokens ident.Tokens
	Parts           []pool.PromptPart
	// LastEventID is the id of the last stream event that the caller has received.
	LastEventID string
	// FirstAttempt is the attempt that brought the first event of the stream that the caller resumes, or empty.
	FirstAttempt resume.Attempt
	// Key is the key by which the caller identifies its customer, or empty.
	Key string
}

// ForwardMeta is the metadata that is added to a request to an endpoint.
type ForwardMeta struct {
	Endpoint ident.Endpoint
	// Timeout is the time that the endpoint may take.
	Timeout clock.Span
	// Priority is valid if HasPriority is set; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// LastEventID is the id of the last stream event that has been forwarded.
	LastEventID string
	// Customer is the customer on whose behalf the request is sent, or empty.
	Customer ident.Customer
}

// RateField is a header field in which an endpoint may name a rate.
type RateField struct {
	// Named reports whether it names one, which is then Rate.
	Named bool
	Rate  pool.Rate
	// Malformed is the start of a value that names none, or empty.
	Malformed string
}

// ResponseMeta is the metadata of an endpoint's response.
type ResponseMeta struct {
	// AttemptID identifies the request that the response belongs to.
	AttemptID string
	// NotRun reports whether the request was not run and never will be.
	NotRun bool
	// Moved reports whether the address now belongs to another endpoint.
	Moved  bool
	Signed bool
	// Endpoint is the id of the endpoint; it is set in responses to health checks.
	Endpoint ident.Endpoint
	// ColdRemaining is the remaining time during which the endpoint is cold.
	ColdRemaining clock.Span
	Load          pool.Load
	HasLoad       bool
	// Leaving reports whether the endpoint says that it leaves. MalformedLeaving is the start of a value
	// that is no such statement, or empty.
	Leaving          bool
	MalformedLeaving string
	// Limit is the rate of requests that the endpoint takes from all instances together, and Brittle the rate of
	// rejections to all instances above which it crashes, if it names them.
	Limit   RateField
	Brittle RateField
	// Pause is how long an endpoint that refuses the request wants no further ones; 0 is no statement.
	Pause clock.Span
}

// Paths are the URL paths on which an instance serves the platform's calls.
type Paths struct {
	Ready     string
	Directory string
}

// DirectoryQuery is a directory query: a caller asks where to connect.
type DirectoryQuery struct {
	Host   string
	Region ident.Region
	Zone   ident.Zone
}

// Protocol translates between the protocol of callers and endpoints and the types of this project.
type Protocol interface {
	Paths() Paths
	DirectoryQuery(r *http.Request) DirectoryQuery
	// DirectoryResponse returns the body of a directory response, to be encoded as JSON.
	DirectoryResponse(addresses []string, validity clock.Span) any
	RequestMeta(h http.Header) RequestMeta
	// StripReserved removes the header fields that only the system may set.
	StripReserved(h http.Header)
	// StripCredentials removes the header fields that hold the caller's key and the customer's name.
	StripCredentials(h http.Header)
	SetForwardHeader(h http.Header, f ForwardMeta)
	ResponseMeta(status int, h http.Header) ResponseMeta
	// CopyAttemptID copies the header field that says which request a response answers from the
	// request to the response.
	CopyAttemptID(response, request http.Header)
	// SetRetryAfter sets the header fields that state when to retry a request that was not run.
	SetRetryAfter(h http.Header, after clock.Span)
}

// Source reads the data that the platform publishes.
type Source interface {
	store.Reader
	EndpointPrefix() string
	ControlPrefix() string
	// Endpoint parses an entry of the list. Its id is the key without EndpointPrefix.
	Endpoint(item store.Item) (pool.Info, error)
	// Control returns the routing table, or nil if there is none, and the evacuated zones.
	Control(s store.Snapshot) (*bundle.Table, []ident.Zone, error)
	// WithoutKeys returns an item that another instance has sent with digests in place of the customers' keys; those
	// that are read from the store have them already.
	WithoutKeys(item store.Item) store.Item
}

// Config holds the dependencies of a Server.
type Config struct {
	Settings Settings
	Protocol Protocol
	Source   Source
	// Clock must include the time for which the machine is suspended if Settings.RevokeStrict is set.
	Clock clock.Clock
	Log   *zap.Logger
	// Registry receives the metrics; if nil, a new one is created.
	Registry gometrics.Registry
	Seed     uint64
}
