// Package core is the deterministic decision logic of an entry. It turns events into
// actions, which the surrounding shell carries out, and uses no goroutines, sockets, wall
// clock or global randomness: the same events at the same times give the same actions.
package core

import (
	"math/rand/v2"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/budget"
	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/burn"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/crash"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/ledger"
	"github.com/tanagerbridge/tanagerbridge/member"
	"github.com/tanagerbridge/tanagerbridge/queue"
	"github.com/tanagerbridge/tanagerbridge/route"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	// maxTickGap is the gap between two ticks from which the process counts as paused.
	maxTickGap = 2 * clock.Second
	// suspicionTerm is how long a request that crashed endpoints is refused.
	suspicionTerm = 10 * clock.Minute
	// sameCrashSpan is the time within which the entries report the same crash of an endpoint.
	sameCrashSpan = 5 * clock.Second
	// ledgerMargin is how long a record is kept after the deadline of its ticket.
	ledgerMargin = clock.Minute
)

// Config configures a Core.
type Config struct {
	Entry       ident.Entry
	Incarnation ident.Incarnation
	Region      ident.Region
	// Address is the address at which callers reach this entry. The platform's list of
	// instances may not contain it yet.
	Address string
	Seed    uint64
	// Bundles holds the bundle in force; the shell offers new versions to it.
	Bundles *bundle.Active
	Policy  route.Policy
}

// Core holds the state and the decision logic of one entry. It is not safe for concurrent use.
type Core struct {
	entry       ident.Entry
	incarnation ident.Incarnation
	region      ident.Region
	address     string
	random      *rand.Rand
	bundles     *bundle.Active
	policy      route.Policy

	version ident.Version
	fleet   *fleet.Fleet
	queue   *queue.Queue
	retries *budget.Retry
	// retryBounds and linkBounds are the settings of the current budgets.
	retryBounds bundle.Retry
	linkBounds  []bundle.Link
	links       []linkBudget
	suspects    *crash.Suspects
	// leases are those of the suspects that this entry owns.
	leases  *crash.Leases
	ledger  *ledger.Ledger
	burn    *burn.Meter
	planner *assign.Planner
	// lastPlanned is when model orders were last planned.
	lastPlanned clock.Time
	remoteLoads remoteLoads
	estimates   estimator
	counts      Counts

	requests requestTable
	members  []member.Member
	// addresses holds the address at which callers reach each listed entry.
	addresses    map[ident.Entry]string
	synchronised bool
	// knowsEndpoints is set once a list with endpoints has been received.
	knowsEndpoints bool
	lastTick       clock.Time
	drainUntil     clock.Time
	draining       bool

	actions []Action
}

type linkBudget struct {
	region ident.Region
	budget *budget.Link
}

// New returns a Core. It accepts no requests until it has a bundle, a list with endpoints,
// a tick and a MembersUpdated event that reports it as synchronised.
func New(cfg Config) *Core {
	core := &Core{
		entry:       cfg.Entry,
		incarnation: cfg.Incarnation,
		region:      cfg.Region,
		address:     cfg.Address,
		random:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		bundles:     cfg.Bundles,
		policy:      cfg.Policy,
		fleet:       fleet.New(fleet.Config{Region: cfg.Region, Seed: cfg.Seed}),
		suspects:    crash.New(crash.Config{Term: suspicionTerm, SameCrash: sameCrashSpan}),
		leases:      crash.NewLeases(),
		requests:    newRequestTable(),
		addresses:   make(map[ident.Entry]string),
	}
	core.ledger = ledger.New(ledger.Config{
		Entry: cfg.Entry, Incarnation: cfg.Incarnation, Margin: ledgerMargin,
	})
	core.burn = burn.New(burn.Config{Entry: cfg.Entry})
	core.planner = assign.New(assign.Config{Entry: cfg.Entry, Region: cfg.Region, Seed: cfg.Seed})
	core.queue = queue.New(queue.Config{})
	core.retries = budget.NewRetry(0, 0)
	return core
}

// Apply processes an event and returns the actions that the shell must carry out, in order.
func (c *Core) Apply(now clock.Time, event Event) []Action {
	c.actions = nil
	c.applyBundle()
	switch e := event.(type) {
	case RequestArrived:
		c.handleRequestArrived(now, e)
	case AnswerStarted:
		c.handleAnswerStarted(now, e)
	case AttemptEnded:
		c.handleAttemptEnded(now, e)
	case CallerDisconnected:
		c.handleCallerDisconnected(now, e.Request)
	case OwnerReplied:
		c.handleOwnerReply(now, e)
	case LeaseReplied:
		c.handleLeaseReplied(now, e)
	default:
		c.applyEnvironment(now, e)
	}
	return c.actions
}

// applyEnvironment processes an event that does not concern a single request.
func (c *Core) applyEnvironment(now clock.Time, event Event) {
	switch e := event.(type) {
	case InstancesListed:
		c.handleInstancesListed(now, e.Instances)
	case MembersUpdated:
		c.members, c.synchronised = e.Live, e.Ready
	case LoadReported:
		c.handleLoadReported(now, e)
	case ReportMissed:
		c.handleReportMissed(now, e)
	case RegionUnreachable:
		c.handleRegionUnreachable(now, e.Region)
	case GossipReceived:
		c.handleGossip(now, e.Gossip)
	case OrderEnded:
		c.planner.RecordResult(now, e.Number, e.Result)
	case BundleChanged:
		c.dispatchAllWaiting(now)
	case Tick:
		c.handleTick(now)
	case DrainStarted:
		c.draining, c.drainUntil = true, now.Add(e.AcceptFor)
	}
}

func (c *Core) emit(action Action) { c.actions = append(c.actions, action) }

// applyBundle updates the settings that depend on the bundle if another version is in force.
func (c *Core) applyBundle() {
	doc := c.bundles.Current()
	if doc == nil || doc.Version == c.version {
		return
	}
	c.version = doc.Version
	c.queue.Configure(queue.Config{PerService: doc.Limits.Queue, PerCaller: doc.Limits.Caller})
	c.ledger.SetAnswerLimit(doc.Limits.Answers)
	c.replaceBudgets(doc)
	c.burn.SetTargets(doc.Classes)
	for i := range doc.Services {
		c.fleet.SetModel(doc.Services[i].Name, doc.Services[i].Model)
	}
}

// replaceBudgets replaces the budgets whose settings have changed. The others keep their
// state: a new budget is full, so that with 2,500 versions a day each version could allow
// a burst of retries.
func (c *Core) replaceBudgets(doc *bundle.Document) {
	if doc.Retry != c.retryBounds {
		c.retryBounds = doc.Retry
		c.retries = budget.NewRetry(doc.Retry.Ratio, doc.Retry.Burst)
	}
	if !slices.Equal(doc.Links, c.linkBounds) {
		c.linkBounds = doc.Links
		c.links = linkBudgets(doc, c.region)
	}
}

func linkBudgets(doc *bundle.Document, from ident.Region) []linkBudget {
	var links []linkBudget
	for _, l := range doc.Links {
		if l.From != from {
			continue
		}
		links = append(links, linkBudget{region: l.To, budget: budget.NewLink(l.Budget, 2*l.Budget)})
	}
	return links
}

func (c *Core) handleInstancesListed(now clock.Time, instances []watch.Instance) {
	c.fleet.Sync(now, instances)
	clear(c.addresses)
	for _, i := range instances {
		if i.Role == watch.RoleEntry {
			c.addresses[ident.Entry(i.Name)] = i.Address
		} else {
			c.knowsEndpoints = true
		}
	}
	c.dispatchAllWaiting(now)
}

func (c *Core) handleLoadReported(now clock.Time, event LoadReported) {
	c.fleet.Report(now, event.Endpoint, event.Report)
	c.planner.Report(now, event.Endpoint, assign.Report{ListsModels: event.Report.ListsModels, Models: event.Report.Models, Loading: event.Report.Loading})
	if event.Report.State == fleet.ConditionLeaving {
		c.markDeparted(now, event.Endpoint)
	}
	c.dispatchAllWaiting(now)
}

func (c *Core) markDeparted(now clock.Time, id ident.Endpoint) {
	if c.fleet.MarkLeaving(now, id) {
		c.emit(PushGossip{})
	}
}

// handleReportMissed counts a missed load report; a refused connection is also handled as a
// crash. Once the endpoint is down, the attempts that wait for its answer are cancelled and
// their requests are retried elsewhere.
func (c *Core) handleReportMissed(now clock.Time, event ReportMissed) {
	if event.Refused {
		c.handleCrash(now, event.Endpoint)
	}
	c.fleet.RecordMissedReport(now, event.Endpoint)
	if c.fleet.State(event.Endpoint) != fleet.Down {
		return
	}
	c.requests.each(func(request *activeRequest) { c.abandonAttempts(now, request, event.Endpoint) })
}

// handleRegionUnreachable marks all endpoints of a region as down. A single missed report is not
// conclusive, but if all reports of a region are missed in one round, the link is cut.
func (c *Core) handleRegionUnreachable(now clock.Time, region ident.Region) {
	for _, t := range c.fleet.Targets() {
		if t.Region != region {
			continue
		}
		for range fleet.MissedReportLimit {
			if c.fleet.State(t.Endpoint) != fleet.Down {
				c.fleet.RecordMissedReport(now, t.Endpoint)
			}
		}
		c.requests.each(func(request *activeRequest) { c.abandonAttempts(now, request, t.Endpoint) })
	}
}

// abandonAttempts cancels the attempts of a request at an endpoint, unless its answer has
// started or it is not idempotent, and retries the request elsewhere.
func (c *Core) abandonAttempts(now clock.Time, request *activeRequest, id ident.Endpoint) {
	if request.nonIdempotent || request.answerStartedAt > 0 {
		return
	}
	for _, a := range append([]*activeAttempt(nil), request.attempts...) {
		if a.endpoint == id {
			c.retryElsewhere(now, request, a)
		}
	}
}
