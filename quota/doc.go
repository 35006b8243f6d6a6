// Package quota decides which requests of customers are within their limits. A limit applies to all instances
// together, so each instance uses a share of it: a part of its own, and what the allocator has granted it for a
// limited time out of the parts that the instances delegate.
//
// The package has no goroutine, socket or clock. It may miss any message, and time may jump forward by any amount:
// what others rely on expires by itself, always later at the instance that gave a share away than at the one that
// uses it.
package quota

import (
	"github.com/cespare/xxhash/v2"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Share is a fraction of the limit of a customer.
type Share float64

// Hash identifies a customer in messages.
type Hash uint64

// Process identifies one process of an instance. Times of different processes are not comparable.
type Process uint64

// HashOf returns the hash of a customer's name.
func HashOf(c ident.Customer) Hash { return Hash(xxhash.Sum64String(string(c))) }

const (
	// shareInterval is the time between two share requests, or instanceInterval for each instance if that is longer,
	// which bounds the messages that the allocator handles to 500 per second.
	shareInterval    = 200 * clock.Millisecond
	instanceInterval = 2 * clock.Millisecond
	// earlyDivisor divides the interval before the next share request after a rejection, unless the demand for the limit
	// is known to be above it: a larger share may be had.
	earlyDivisor = 4
	// grantIntervals is the term of a grant in intervals, and delegationTerms that of a delegation in terms of a grant. A
	// restarted instance has to do without its base share for the term of a delegation.
	grantIntervals  = 3
	delegationTerms = 2
	// maxTerm bounds the terms that messages of other instances name.
	maxTerm = clock.Minute
	// marginDivisor and minMargin are what is added to a term where a share is counted as given away: clocks differ
	// by up to 0.5 %, in both directions.
	marginDivisor = 100
	minMargin     = 20 * clock.Millisecond
	// minimumShare is the part of its base share that an instance never delegates, and defaultPart the part of the
	// delegated shares that is granted for customers that an instance does not list. One instance can get the rest,
	// 0.94 of a limit; requirement 13 asks for 0.9.
	minimumShare = 0.03
	defaultPart  = 0.03
	// unsettledDivisor reduces the base share of a process that may know only some of the instances.
	unsettledDivisor = 2
	// calmDebt is the part of what a limit allows in debtWindow that all instances together may admit in advance while
	// the demand for the limit is below it. Without it, requests that arrive in twos and threes at an instance with a
	// small share would be rejected far below the limit. Requirement 10 leaves a quarter.
	calmDebt   = 0.2
	debtWindow = 8 * clock.Second
	// demandTime and slowDemandTime are the time constants of the demand that is reported. The fast one is used if it
	// differs from the slow one by more than demandDeviations standard deviations. costSamples is the number of requests
	// that the mean cost is taken over. The demand counts as gone after minSilence without a request in which
	// silentRequests would have arrived at the estimated rate.
	demandTime       = 1 * clock.Second
	slowDemandTime   = 4 * clock.Second
	demandDeviations = 3
	costSamples      = 16
	silentRequests   = 10
	minSilence       = 200 * clock.Millisecond
	// calmPart is the part of the rest that is granted beyond the demand. What is left is for instances whose first
	// requests arrive while the others hold grants.
	calmPart = 0.75
	// idleTime is how long a customer without requests and without debt is remembered.
	idleTime = 10 * clock.Second
	// answerTimeout is the time without an answer, and minUnanswered the number of requests, after which an allocator
	// is skipped for skipTime. That doubles up to maxSkipTime while it does not answer, as one of another build does:
	// each attempt costs the shares that others have granted meanwhile.
	answerTimeout = 1 * clock.Second
	minUnanswered = 2
	skipTime      = 5 * clock.Second
	maxSkipTime   = 80 * clock.Second
	// toldTime is how long the number of instances that another one has named is used.
	toldTime = 10 * clock.Second
	// maxInstances bounds the number of instances that another one may name.
	maxInstances = 4096
	// maxListed bounds the customers of a share request: with 14 bytes each it fits into a datagram of 8 KiB.
	maxListed = 400
	// maxRetryAfter bounds the time that a rejected caller is asked to wait.
	maxRetryAfter = clock.Minute
)

// Message is what instances send each other about shares; one field is set.
type Message struct {
	Request *Request `msgpack:",omitempty"`
	Grant   *Grant   `msgpack:",omitempty"`
}

// Stamp is a time on the clock of a process.
type Stamp struct {
	Process Process
	Time    clock.Time
}

// Request asks an allocator for shares and delegates one to it.
type Request struct {
	Sent Stamp
	// Echo is the time of the allocator in its latest grant. Without it nothing is delegated.
	Echo Stamp
	// Delegated is the share that the allocator may assign for Term after Echo.
	Delegated Share
	Term      clock.Span
	// Known is the number of instances that the sender remembers.
	Known int
	// Customers are those with the largest demand, and Demands their demand as a fraction of the limit.
	Customers []Hash
	Demands   []float32
}

// Grant answers a request.
type Grant struct {
	Sent Stamp
	// Answers is Request.Sent. The shares may be used for Term after that.
	Answers Stamp
	Term    clock.Span
	Known   int
	// Default is the share for each customer, to which Shares are added. Scarce tells whether the demand for the limit
	// is above it.
	Default   float32
	Customers []Hash
	Shares    []float32
	Scarce    []bool
}

// Outgoing is a message to another instance.
type Outgoing struct {
	To      ident.Entry
	Message Message
}

// Members is what an instance knows about the others.
type Members struct {
	// Known is the number of instances that may exist, including this one.
	Known int
	// Settled reports whether the others have had enough time to announce themselves.
	Settled bool
	// Live lists the instances of all regions that are alive, including this one.
	Live []ident.Entry
}

// intervalOf returns the time between share requests.
func intervalOf(instances int) clock.Span {
	return max(shareInterval, instanceInterval*clock.Span(instances))
}

func grantTerm(instances int) clock.Span { return grantIntervals * intervalOf(instances) }

func delegationTerm(instances int) clock.Span { return delegationTerms * grantTerm(instances) }

// withMargin returns a term as the instance counts it that has given a share away.
func withMargin(term clock.Span) clock.Span { return term + max(minMargin, term/marginDivisor) }
