// Package core decides what an entry does. It turns events into actions and
// has no goroutine, socket, wall clock or global source of randomness: the same
// events at the same times give the same actions.
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
	// missesToDown is how many missed reports make an endpoint down; see package fleet.
	missesToDown = 3
	// pauseLimit is the gap between two ticks that shows that the process was stopped.
	pauseLimit = 2 * clock.Second
	// suspectTerm is how long a request that crashed endpoints is refused.
	suspectTerm = 10 * clock.Minute
	// ledgerMargin is how much longer than its ticket a record is kept.
	ledgerMargin = clock.Minute
)

// Config constructs a Core.
type Config struct {
	Entry       ident.Entry
	Incarnation ident.Incarnation
	Region      ident.Region
	// Address is where callers reach this entry; the list may not have it yet.
	Address string
	Seed    uint64
	// Force holds the bundle in force; the shells offer versions to it.
	Force  *bundle.Force
	Policy route.Policy
}

// Core composes the aggregates of one entry. It is not safe for concurrent use.
type Core struct {
	entry       ident.Entry
	incarnation ident.Incarnation
	region      ident.Region
	address     string
	random      *rand.Rand
	force       *bundle.Force
	policy      route.Policy

	version ident.Version
	fleet   *fleet.Fleet
	queue   *queue.Queue
	retries *budget.Retry
	// retryBounds and linkBounds are what the budgets were made from.
	retryBounds bundle.Retry
	linkBounds  []bundle.Link
	links       []linkBudget
	suspects    *crash.Suspects
	ledger      *ledger.Ledger
	burn        *burn.Meter
	planner     *assign.Planner
	// planned is when model orders were last planned.
	planned clock.Time
	hints   hints
	sizes   sizes
	counts  Counts

	requests requestTable
	members  []member.Member
	// addresses holds where callers reach each listed entry.
	addresses map[ident.Entry]string
	ready     bool
	// knowsEndpoints says that a list with endpoints was read since the start.
	knowsEndpoints bool
	lastTick       clock.Time
	drainEnd       clock.Time
	draining       bool

	actions []Action
}

type linkBudget struct {
	to     ident.Region
	bucket *budget.Link
}

// New returns a Core that takes no work until it has a bundle, a tick and word of its peers.
func New(cfg Config) *Core {
	c := &Core{
		entry:       cfg.Entry,
		incarnation: cfg.Incarnation,
		region:      cfg.Region,
		address:     cfg.Address,
		random:      rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		force:       cfg.Force,
		policy:      cfg.Policy,
		fleet:       fleet.New(fleet.Config{Region: cfg.Region, Seed: cfg.Seed}),
		suspects:    crash.New(crash.Config{Term: suspectTerm}),
		requests:    newRequestTable(),
		addresses:   make(map[ident.Entry]string),
	}
	c.ledger = ledger.New(ledger.Config{
		Entry: cfg.Entry, Incarnation: cfg.Incarnation, Margin: ledgerMargin,
	})
	c.burn = burn.New(burn.Config{Entry: cfg.Entry})
	c.planner = assign.New(assign.Config{Entry: cfg.Entry, Region: cfg.Region, Seed: cfg.Seed})
	c.queue = queue.New(queue.Config{})
	c.retries = budget.NewRetry(0, 0)
	return c
}

// Apply takes one event and returns what the shell must do, in order.
func (c *Core) Apply(now clock.Time, e Event) []Action {
	c.actions = nil
	c.adoptBundle()
	switch e := e.(type) {
	case Arrived:
		c.arrive(now, e)
	case First:
		c.first(now, e)
	case Ended:
		c.ended(now, e)
	case Gone:
		c.gone(now, e.Request)
	case Told:
		c.told(now, e)
	default:
		c.applyWorld(now, e)
	}
	return c.actions
}

// applyWorld takes an event that is not about one request.
func (c *Core) applyWorld(now clock.Time, e Event) {
	switch e := e.(type) {
	case Listed:
		c.listed(now, e.Instances)
	case Peers:
		c.members, c.ready = e.Live, e.Ready
	case Reported:
		c.reported(now, e)
	case Missed:
		c.missed(now, e)
	case Unreached:
		c.unreached(now, e.Region)
	case Heard:
		c.heard(now, e.News)
	case Ordered:
		c.planner.Done(now, e.Number, e.Result)
	case Bundled:
		c.pumpAll(now)
	case Tick:
		c.tick(now)
	case Draining:
		c.draining, c.drainEnd = true, now.Add(e.Linger)
	}
}

func (c *Core) act(a Action) { c.actions = append(c.actions, a) }

// adoptBundle rebuilds what depends on the bundle when another version is in force.
func (c *Core) adoptBundle() {
	doc := c.force.Current()
	if doc == nil || doc.Version == c.version {
		return
	}
	c.version = doc.Version
	c.queue.Configure(queue.Config{Limit: doc.Limits.Queue, Caller: doc.Limits.Caller})
	c.ledger.Limit(doc.Limits.Answers)
	c.adoptBudgets(doc)
	c.burn.Objectives(doc.Classes)
	for i := range doc.Services {
		c.fleet.Want(doc.Services[i].Name, doc.Services[i].Model)
	}
}

// adoptBudgets replaces the budgets whose bounds have changed. The others keep their
// state, since a new budget is full: with 2,500 versions a day, a burst of retries
// could follow each.
func (c *Core) adoptBudgets(doc *bundle.Document) {
	if doc.Retry != c.retryBounds {
		c.retryBounds = doc.Retry
		c.retries = budget.NewRetry(doc.Retry.Share, doc.Retry.Burst)
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
		links = append(links, linkBudget{to: l.To, bucket: budget.NewLink(l.Budget, 2*l.Budget)})
	}
	return links
}

func (c *Core) listed(now clock.Time, instances []watch.Instance) {
	c.fleet.Sync(now, instances)
	clear(c.addresses)
	for _, i := range instances {
		if i.Role == watch.RoleEntry {
			c.addresses[ident.Entry(i.Name)] = i.Address
		} else {
			c.knowsEndpoints = true
		}
	}
	c.pumpAll(now)
}

func (c *Core) reported(now clock.Time, e Reported) {
	c.fleet.Report(now, e.Endpoint, e.Report)
	c.planner.Report(now, e.Endpoint, assign.Report{Lists: e.Report.Lists, Models: e.Report.Models, Loading: e.Report.Loading})
	if e.Report.State == fleet.ConditionLeaving {
		c.depart(now, e.Endpoint)
	}
	c.pumpAll(now)
}

func (c *Core) depart(now clock.Time, id ident.Endpoint) {
	if c.fleet.Depart(now, id) {
		c.act(Push{})
	}
}

// missed counts an unread report. Tries that wait for an endpoint which is down
// by now are sent elsewhere.
func (c *Core) missed(now clock.Time, e Missed) {
	if e.Refused {
		c.crashed(now, e.Endpoint)
	}
	c.fleet.Missed(now, e.Endpoint)
	if c.fleet.State(e.Endpoint) != fleet.Down {
		return
	}
	c.requests.each(func(r *request) { c.abandon(now, r, e.Endpoint) })
}

// unreached takes all endpoints of a region as down. One missed report proves
// nothing, but all of a region's in one round show a cut link.
func (c *Core) unreached(now clock.Time, region ident.Region) {
	for _, t := range c.fleet.Targets() {
		if t.Region != region {
			continue
		}
		for range missesToDown {
			if c.fleet.State(t.Endpoint) != fleet.Down {
				c.fleet.Missed(now, t.Endpoint)
			}
		}
		c.requests.each(func(r *request) { c.abandon(now, r, t.Endpoint) })
	}
}

// abandon takes a request whose answer has not begun away from an endpoint.
func (c *Core) abandon(now clock.Time, r *request, id ident.Endpoint) {
	if r.once || r.begun > 0 {
		return
	}
	for _, t := range append([]*try(nil), r.tries...) {
		if t.endpoint != id {
			continue
		}
		c.act(Cancel{Request: r.Request, Try: t.number})
		c.lost(now, r, t)
	}
}
