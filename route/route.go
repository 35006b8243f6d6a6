// Package route chooses the endpoint for a request. A policy keeps the little state
// that its choices need, such as turns and random numbers from a seed; it is not
// safe for concurrent use.
package route

import (
	"math/rand/v2"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/news"
)

// Kind classifies the errors of this package.
type Kind string

// Unknown is the kind of error for a policy name that does not exist.
const Unknown Kind = "unknown"

// Error is the error type of this package.
type Error = fault.Error[Kind]

// Names of policies.
const (
	// Random picks any endpoint.
	Random = "random"
	// Robin takes endpoints in turn.
	Robin = "robin"
	// Least picks the endpoint whose last report was the lowest.
	Least = "least"
	// Single is one queue in order of arrival for all classes.
	Single = "single"
	// Tanager is the policy that the other ones are compared with.
	Tanager = "tanager"
)

// Ask is one request to be placed.
type Ask struct {
	Request ident.Request
	Service ident.Service
	Class   ident.Class
	// Urgency orders classes; 0 is the most urgent.
	Urgency int
	// Long says that the class is not urgent.
	Long bool
	// Size is the expected time that the request occupies a slot.
	Size   clock.Span
	Prefix ident.Prefix
	// Regions are those in which the request may run, in order of preference.
	Regions []ident.Region
	// Waited is how long the request has been in the queue.
	Waited clock.Span
	// First is the class's target for the time to the first token; 0 means 1.6 s
	// for urgent work and 8 s for long work.
	First clock.Span
	// Alone says that the request must run on an endpoint that runs nothing else.
	Alone bool
	// Avoid lists the endpoints that were tried already; they are taken only if no
	// other endpoint is known in any allowed region.
	Avoid []ident.Endpoint
	// Bytes is what the request puts on a link between regions.
	Bytes ident.Bytes
}

// View is what a policy sees. Slices that it returns are read before the next call
// for the same service and region.
type View interface {
	// Region returns the region of the entry.
	Region() ident.Region
	// Candidates returns the endpoints of a service in a region that may get work.
	Candidates(ident.Service, ident.Region) []fleet.Candidate
	// Remote returns the last summary heard of a service in another region.
	Remote(ident.Service, ident.Region) (news.Load, bool)
	// Link reports whether the budget of the link to a region allows that many bytes.
	Link(to ident.Region, n ident.Bytes) bool
	// Weights returns the deployment's preferences.
	Weights() bundle.Weights
	// Share returns the largest share of slots that a class may hold.
	Share(ident.Class) float64
	// Waiting returns the number of requests that wait at this entry for a service.
	Waiting(ident.Service) int
}

// Choice is where a request goes.
type Choice struct {
	Endpoint ident.Endpoint
	Region   ident.Region
	// Away says that Region is not that of the entry.
	Away bool
}

// Policy chooses endpoints.
type Policy interface {
	// String returns the policy's name.
	String() string
	// Choose returns where to send the request now, or false if it has to wait. A
	// choice is taken to be carried out.
	Choose(now clock.Time, a Ask, v View) (Choice, bool)
	// Queues reports whether work waits at the entry; otherwise it is sent at once
	// and waits at the endpoint.
	Queues() bool
	// Classes reports whether the policy tells classes apart.
	Classes() bool
}

// New returns the policy of that name.
func New(name string, seed uint64) (Policy, error) {
	random := rand.New(rand.NewPCG(seed, 1))
	switch name {
	case Random:
		return &plain{name: name, pick: pickRandom(random), picker: newPicker(random)}, nil
	case Robin:
		return &plain{name: name, pick: pickRobin(), picker: newPicker(random)}, nil
	case Least:
		return &plain{name: name, pick: pickLeast, picker: newPicker(random)}, nil
	case Single:
		return &single{picker: newPicker(random)}, nil
	case Tanager:
		return newTanager(random), nil
	}
	return nil, fault.Newf("new", Unknown, "policy %q", name)
}
