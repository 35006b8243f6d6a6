package assign

import (
	"math/rand/v2"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// Planner decides which model orders to send.
type Planner struct {
	config Config
	random *rand.Rand
	// engines holds the reported state by engine; pending holds the unanswered orders.
	engines    map[ident.Endpoint]*engine
	pending    map[OrderNumber]*pendingOrder
	lastNumber OrderNumber
	// highestVersion is the highest bundle version seen; staleVersion is the highest version
	// that an engine rejected as stale.
	highestVersion ident.Version
	staleVersion   ident.Version
	counts         Counts
}

type pendingOrder struct {
	order     Order
	createdAt clock.Time
	// checksFence is set if the engine checks fencing numbers.
	checksFence bool
}

// New returns a Planner without engines.
func New(config Config) *Planner {
	return &Planner{
		config:  config,
		random:  rand.New(rand.NewPCG(config.Seed, config.Seed)),
		engines: make(map[ident.Endpoint]*engine),
		pending: make(map[OrderNumber]*pendingOrder),
	}
}

// Counts returns the number of orders by result.
func (p *Planner) Counts() Counts { return p.counts }

// Report applies the models that an engine reports.
func (p *Planner) Report(now clock.Time, name ident.Endpoint, report Report) {
	known := p.engines[name]
	if known == nil {
		if !report.ListsModels {
			return
		}
		known = &engine{}
		p.engines[name] = known
	}
	known.applyReport(now, report, p.randomUpTo)
}

// Plan returns the orders to send now. Before sending each order, MaySend must be called;
// afterwards, RecordResult must be called with its result.
func (p *Planner) Plan(now clock.Time, view View) []Order {
	if view.Document == nil || view.Document.Version < p.highestVersion {
		return nil
	}
	p.highestVersion = view.Document.Version
	p.removeUnlisted(view.Engines)
	if p.highestVersion <= p.staleVersion {
		return nil
	}
	var orders []Order
	for _, region := range view.Document.Regions {
		orders = append(orders, p.planRegion(now, view, region)...)
	}
	return orders
}

// removeUnlisted deletes the engines that are not on the list.
func (p *Planner) removeUnlisted(engines []Engine) {
	listed := make(map[ident.Endpoint]bool, len(engines))
	for _, r := range engines {
		listed[r.Endpoint] = true
	}
	for id := range p.engines {
		if !listed[id] {
			delete(p.engines, id)
		}
	}
}

// planRegion creates the orders for the engines of one region. Engines without their model
// take turns in the same order at every entry. An entry creates orders only for the
// engines that it is responsible for and leaves the other turns to the other entries, so
// that together they stay within the limit on loads although each decides on its own.
func (p *Planner) planRegion(now clock.Time, view View, region ident.Region) []Order {
	orderers := orderingEntries(view.Live, region)
	if !slices.Contains(orderers, p.config.Entry) {
		p.resetRegion(view, region)
		return nil
	}
	loads, lacking := p.surveyRegion(now, view, region)
	var orders []Order
	for i, l := range lacking {
		if i >= view.Document.Limits.Loads-loads {
			l.engine.turnStartedAt = 0
			continue
		}
		l.engine.takeTurn(now)
		if now.Before(l.engine.orderAfter) || !p.isResponsible(l, orderers) {
			continue
		}
		orders = append(orders, p.createOrder(now, l))
	}
	return orders
}

// resetRegion resets the delays of a region's engines while other entries order for them,
// so that they start again when this entry takes over.
func (p *Planner) resetRegion(view View, region ident.Region) {
	for _, r := range view.Engines {
		if engine := p.engines[r.Endpoint]; engine != nil && r.Region == region {
			engine.reset()
		}
	}
}

// lackingEngine is an engine without its model.
type lackingEngine struct {
	listed  Engine
	service *bundle.Service
	engine  *engine
}

// surveyRegion returns how many engines of a region are loading a model and which ones lack
// their model. Engines that let turns pass are sorted last.
func (p *Planner) surveyRegion(now clock.Time, view View, region ident.Region) (loads int, lacking []lackingEngine) {
	for _, r := range view.Engines {
		engine := p.engines[r.Endpoint]
		if r.Region != region || engine == nil {
			continue
		}
		service, ok := view.Document.Service(r.Service)
		wanted := ok && service.Model != "" && slices.Contains(service.Regions, region) && !r.Leaving
		switch {
		case engine.isLoading(now):
			loads++
			engine.endTurn(now)
		case !wanted || slices.Contains(engine.Models, service.Model):
			engine.reset()
		case !engine.lacksModel(now, service.Model):
			engine.resetDelays()
		default:
			engine.startDelay(now, p.delay(region))
			lacking = append(lacking, lackingEngine{listed: r, service: service, engine: engine})
		}
	}
	slices.SortStableFunc(lacking, func(a, b lackingEngine) int { return a.engine.turnsPassed - b.engine.turnsPassed })
	return loads, lacking
}

// delay returns how long an engine must be seen without its model before it gets an order.
func (p *Planner) delay(region ident.Region) clock.Span {
	delay := settleDelay
	if region != p.config.Region {
		delay *= remoteDelayFactor
	}
	return delay + p.randomUpTo(maxJitter)
}

func (p *Planner) randomUpTo(limit clock.Span) clock.Span {
	return clock.Span(p.random.Int64N(int64(limit) + 1))
}

// orderingEntries returns the entries that order for a region: its own or, if none of them
// is alive, all others.
func orderingEntries(live []Member, region ident.Region) []ident.Entry {
	var own, others []ident.Entry
	for _, m := range live {
		if m.Region == region {
			own = append(own, m.Entry)
		} else {
			others = append(others, m.Entry)
		}
	}
	if len(own) > 0 {
		return own
	}
	return others
}

// isResponsible reports whether this entry orders for an engine. Each time the engine lets a
// turn pass, the next entry becomes responsible, because the previous one may be alive but
// unable to reach the engine. Entries that disagree may both send an order, which is
// harmless since orders are idempotent.
func (p *Planner) isResponsible(target lackingEngine, orderers []ident.Entry) bool {
	ranked := watch.Rendezvous(string(target.listed.Endpoint), orderers, len(orderers))
	return ranked[target.engine.turnsPassed%len(ranked)] == p.config.Entry
}

func (p *Planner) createOrder(now clock.Time, target lackingEngine) Order {
	p.lastNumber++
	order := Order{
		Number: p.lastNumber, Endpoint: target.listed.Endpoint, Address: target.listed.Address,
		Model: target.service.Model, Fence: p.highestVersion,
	}
	p.pending[order.Number] = &pendingOrder{order: order, createdAt: now, checksFence: target.service.ChecksFence}
	target.engine.pendingOrder = order.Number
	return order
}

// MaySend reports whether an order may still be sent while the given bundle version is in
// force. It must be called immediately before sending, since the process may have been
// suspended after the decision.
func (p *Planner) MaySend(now clock.Time, number OrderNumber, inForce ident.Version) bool {
	pending := p.pending[number]
	return pending != nil && now.Sub(pending.createdAt) < orderValidity && pending.order.Fence == inForce && inForce > p.staleVersion
}

// RecordResult records the result of an order.
func (p *Planner) RecordResult(now clock.Time, number OrderNumber, result Result) {
	pending := p.pending[number]
	if pending == nil {
		return
	}
	delete(p.pending, number)
	if result == Stale && !pending.checksFence {
		result = Failed
	}
	p.countResult(result)
	if result == Stale {
		p.staleVersion = max(p.staleVersion, pending.order.Fence)
	}
	engine := p.engines[pending.order.Endpoint]
	if engine == nil || engine.pendingOrder != number {
		return
	}
	engine.pendingOrder = 0
	switch result {
	case Accepted, Present:
		engine.expectLoad(now, pending.order.Model)
	case Failed:
		// The engine may have received the order and be loading the model.
		engine.expectLoad(now, pending.order.Model)
		engine.delayNextOrder(now, p.randomUpTo)
	case Deferred:
		engine.delayNextOrder(now, p.randomUpTo)
	}
}

func (p *Planner) countResult(result Result) {
	switch result {
	case Accepted:
		p.counts.Accepted++
	case Present:
		p.counts.Present++
	case Stale:
		p.counts.Stale++
	case Deferred:
		p.counts.Deferred++
	case Failed:
		p.counts.Failed++
	}
}
