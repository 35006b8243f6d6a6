// Package route selects the endpoint for a request. A policy keeps the state that its
// choices need, such as round-robin positions and a seeded random source. It is not safe
// for concurrent use.
package route

import (
	"math/rand/v2"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Kind classifies the errors of this package.
type Kind string

// KindUnknown is the error kind for a policy name that does not exist.
const KindUnknown Kind = "unknown"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Policy names.
const (
	// Random selects an endpoint uniformly at random.
	Random = "random"
	// RoundRobin selects endpoints in round-robin order.
	RoundRobin = "robin"
	// LeastLoaded selects the endpoint with the least load in its last report.
	LeastLoaded = "least"
	// SingleQueue keeps one first-in, first-out queue for all classes.
	SingleQueue = "single"
	// Tanager is the policy of this project; the others are baselines for comparison.
	Tanager = "tanager"
)

// Request describes a request to be placed.
type Request struct {
	Request ident.Request
	Service ident.Service
	Class   ident.Class
	// Urgency ranks classes; 0 is the most urgent.
	Urgency int
	// Long is set if the class may hold only a share of the slots, since its work is not urgent.
	Long bool
	// ExpectedDuration is the expected time for which the request occupies a slot.
	ExpectedDuration clock.Span
	Prefix           ident.Prefix
	// Regions are the regions that may run the request, in order of preference.
	Regions []ident.Region
	// Waited is how long the request has been queued.
	Waited clock.Span
	// FirstTokenTarget is the class's target for the time to the first token; 0 means 1.6 s
	// for urgent and 8 s for long work.
	FirstTokenTarget clock.Span
	// Exclusive requires an endpoint that runs nothing else.
	Exclusive bool
	// Tried lists the endpoints that were already tried. They are used only if no other
	// endpoint is known in any allowed region.
	Tried []ident.Endpoint
	// Bytes is the traffic that the request causes on a link between regions.
	Bytes ident.Bytes
}

// View gives a policy access to the state that it decides on. Slices that it returns are
// valid until the next call for the same service and region.
type View interface {
	// Region returns the region of the entry.
	Region() ident.Region
	// Candidates returns the endpoints of a service in a region that may receive work.
	Candidates(ident.Service, ident.Region) []fleet.Candidate
	// RemoteLoad returns the last load summary received for a service in another region.
	RemoteLoad(ident.Service, ident.Region) (gossip.Load, bool)
	// LinkAllows reports whether the budget of the link to a region allows size bytes.
	LinkAllows(to ident.Region, size ident.Bytes) bool
	// Weights returns the preferences of the deployment.
	Weights() bundle.Weights
	// ClassShare returns the largest share of slots that a class may hold.
	ClassShare(ident.Class) float64
	// QueueLength returns the number of requests queued at this entry for a service.
	QueueLength(ident.Service) int
}

// Choice is the destination of a request.
type Choice struct {
	Endpoint ident.Endpoint
	Region   ident.Region
	// Remote is set if Region is not the region of the entry.
	Remote bool
}

// Policy selects endpoints.
type Policy interface {
	// String returns the policy's name.
	String() string
	// Choose returns where to send the request now, or false if it has to wait. The policy
	// assumes that the choice is carried out.
	Choose(now clock.Time, request Request, view View) (Choice, bool)
	// QueuesAtEntry reports whether requests are queued at the entry; otherwise they are sent at
	// once and wait at the endpoint.
	QueuesAtEntry() bool
	// UsesClasses reports whether the policy distinguishes classes.
	UsesClasses() bool
}

// New returns the named policy. Its error is of kind KindUnknown.
func New(name string, seed uint64) (Policy, error) {
	random := rand.New(rand.NewPCG(seed, 1))
	switch name {
	case Random:
		return &immediate{name: name, pick: pickRandom(random), picker: newPicker(random)}, nil
	case RoundRobin:
		return &immediate{name: name, pick: pickRoundRobin(), picker: newPicker(random)}, nil
	case LeastLoaded:
		return &immediate{name: name, pick: pickLeastLoaded, picker: newPicker(random)}, nil
	case SingleQueue:
		return &singleQueue{picker: newPicker(random)}, nil
	case Tanager:
		return newTanager(random), nil
	}
	return nil, fault.Newf("new", KindUnknown, "policy %q", name)
}
