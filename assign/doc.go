// Package assign decides which model orders an entry sends to which engines, by comparing
// the models required by the bundle in force with those that the engines report. It uses
// no goroutines, sockets or clock of its own, and is not safe for concurrent use.
//
// Orders only ever add a model. An order that is sent again late is therefore harmless,
// even at an engine that ignores the fencing number.
package assign

import (
	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Config configures a Planner.
type Config struct {
	// Entry and Region identify this process.
	Entry  ident.Entry
	Region ident.Region
	// Seed seeds the jitter of delays, so that it differs between entries.
	Seed uint64
}

// Member is an entry that is alive.
type Member struct {
	Entry  ident.Entry
	Region ident.Region
}

// Engine is an engine on the instance list.
type Engine struct {
	Endpoint ident.Endpoint
	Address  string
	Service  ident.Service
	Region   ident.Region
	// Leaving is set if the engine is shutting down and needs no model.
	Leaving bool
}

// View is the input of a plan.
type View struct {
	Document *bundle.Document
	// Live are the entries that are alive, including this one.
	Live []Member
	// Engines are sorted by service, region and name.
	Engines []Engine
}

// Report lists the models that an engine reports.
type Report struct {
	// ListsModels is set if the engine reports its models; otherwise it gets no orders.
	ListsModels bool
	Models      []string
	Loading     []string
}

// OrderNumber identifies an order of this process.
type OrderNumber uint64

// Order tells an engine to load a model. It is idempotent.
type Order struct {
	Number   OrderNumber
	Endpoint ident.Endpoint
	Address  string
	Model    string
	// Fence is the bundle version that the order is based on, used as a fencing number.
	Fence ident.Version
}

// Result is the result of an order.
type Result string

// Results of orders.
const (
	// Accepted means that the engine loads the model.
	Accepted Result = "accepted"
	// Present means that the engine already had the model.
	Present Result = "present"
	// Stale means that the engine has seen a higher fencing number.
	Stale Result = "stale"
	// Deferred means that the engine takes no orders at present or was not reached.
	Deferred Result = "later"
	// Failed means that no usable response arrived; the engine may have received the order.
	Failed Result = "failed"
	// Unsent means that MaySend rejected the order.
	Unsent Result = "unsent"
)

// Counts holds the number of orders by result since the process started.
type Counts struct {
	Accepted int64
	Present  int64
	Stale    int64
	Deferred int64
	Failed   int64
}

const (
	// settleDelay is how long an engine must be seen without its model before it gets an
	// order. It is longer than two reads of an engine's report, which are 1 s apart, so that
	// all entries of the region see the same engines without a model before one of them acts.
	settleDelay = 3 * clock.Second
	// remoteDelayFactor multiplies settleDelay for engines of other regions, whose reports
	// are read half as often.
	remoteDelayFactor = 2
	// maxJitter bounds the random delay that spreads the orders of different entries.
	maxJitter = clock.Second
	// maxReportAge is the maximum age of an engine's report for it to get an order.
	maxReportAge = 5 * clock.Second
	// maxLoadingReportAge is the maximum age of a report that counts the engine as loading.
	maxLoadingReportAge = 15 * clock.Second
	// loadStartTimeout is how long after an order a report need not show the load yet.
	loadStartTimeout = 2 * clock.Second
	// turnTimeout is how long the next engines wait for one that does not start to load,
	// because its orders fail or the responsible entry is not working.
	turnTimeout = 15 * clock.Second
	// orderValidity is how long after the decision an order may be sent. A process that was
	// suspended in between must not send it.
	orderValidity = clock.Second
	// initialBackoff is the first delay after a failed order; it doubles up to maxBackoff.
	initialBackoff = clock.Second
	maxBackoff     = clock.Minute
)
