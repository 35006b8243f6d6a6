// Package assign decides which model orders an entry sends to which engines: it
// compares the models that the bundle in force names with those that the engines
// report. It is a pure aggregate without goroutine, socket or clock of its own, and
// not safe for concurrent use.
//
// Orders only ever add a model. An order that a late process sends again therefore
// does no harm, even at an engine that ignores the fencing number.
package assign

import (
	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Config constructs a Planner.
type Config struct {
	// Entry and Region are those of this process.
	Entry  ident.Entry
	Region ident.Region
	// Seed makes the delays differ between entries.
	Seed uint64
}

// Member is an entry that is alive.
type Member struct {
	Entry  ident.Entry
	Region ident.Region
}

// Runner is an engine on the list.
type Runner struct {
	Endpoint ident.Endpoint
	Address  string
	Service  ident.Service
	Region   ident.Region
	// Leaving says that the engine needs no model any more.
	Leaving bool
}

// View is what a plan is made from.
type View struct {
	Document *bundle.Document
	// Live are the entries that are alive, this one included.
	Live []Member
	// Runners are in order of service, region and name.
	Runners []Runner
}

// Report is what an engine says of its models.
type Report struct {
	// Lists says that the engine tells its models. One that doesn't gets no orders.
	Lists   bool
	Models  []string
	Loading []string
}

// Number identifies an order of this process.
type Number uint64

// Order tells an engine to have a model. It is idempotent.
type Order struct {
	Number   Number
	Endpoint ident.Endpoint
	Address  string
	Model    string
	// Fence is the version of the bundle that the order follows from.
	Fence ident.Version
}

// Result is what became of an order.
type Result string

// Results.
const (
	// Accepted says that the engine loads the model.
	Accepted Result = "accepted"
	// Present says that the engine had the model already.
	Present Result = "present"
	// Stale says that the engine has seen a higher fencing number.
	Stale Result = "stale"
	// Later says that the engine takes no order at present or was not reached.
	Later Result = "later"
	// Failed says that no usable answer came; the engine may have got the order.
	Failed Result = "failed"
	// Unsent says that Confirm did not allow the order.
	Unsent Result = "unsent"
)

// Counts counts orders by what became of them, since the process started.
type Counts struct {
	Accepted int64
	Present  int64
	Stale    int64
	Later    int64
	Failed   int64
}

const (
	// settle is how long an engine is seen without its model before it is ordered
	// one. It is longer than two reads of an engine's report, which are 1 s apart, so
	// that all entries of the region see the same engines without a model before one
	// of them acts.
	settle = 3 * clock.Second
	// farther is how many times longer that takes for engines of other regions, whose
	// reports are read half as often.
	farther = 2
	// jitter spreads the orders of different entries.
	jitter = clock.Second
	// fresh is how old the report of an engine may be for it to get an order.
	fresh = 5 * clock.Second
	// holding is how old the report of an engine may be for it to count as loading.
	holding = 15 * clock.Second
	// begins is how long after an order the report may not yet show the load.
	begins = 2 * clock.Second
	// turn is how long the engines behind wait for one that does not begin to load,
	// because its orders fail or the entry that should order is out of order.
	turn = 15 * clock.Second
	// valid is how long after the decision an order may be sent; a process that was
	// stopped in between must not send it.
	valid = clock.Second
	// backoff is the first delay after a failed order; it doubles up to longest.
	backoff = clock.Second
	longest = clock.Minute
)
