package assign

import (
	"math/rand/v2"
	"slices"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// Planner decides on model orders.
type Planner struct {
	config Config
	random *rand.Rand
	// engines holds what was reported; pending the orders not yet answered.
	engines map[ident.Endpoint]*engine
	pending map[Number]*pending
	number  Number
	// version is the highest bundle version seen, refused the one that an engine
	// called stale.
	version ident.Version
	refused ident.Version
	counts  Counts
}

type pending struct {
	order Order
	made  clock.Time
	// fenced says that the engine checks fencing numbers.
	fenced bool
}

// New returns a Planner that knows no engine.
func New(c Config) *Planner {
	return &Planner{
		config:  c,
		random:  rand.New(rand.NewPCG(c.Seed, c.Seed)),
		engines: make(map[ident.Endpoint]*engine),
		pending: make(map[Number]*pending),
	}
}

// Counts returns how the orders ended.
func (p *Planner) Counts() Counts { return p.counts }

// Report takes in what an engine says of its models.
func (p *Planner) Report(now clock.Time, id ident.Endpoint, r Report) {
	e := p.engines[id]
	if e == nil {
		if !r.Lists {
			return
		}
		e = &engine{}
		p.engines[id] = e
	}
	e.report(now, r, p.upTo)
}

// Plan returns the orders to send now. The shell asks Confirm before it sends one,
// and says with Done what became of each.
func (p *Planner) Plan(now clock.Time, v View) []Order {
	if v.Document == nil || v.Document.Version < p.version {
		return nil
	}
	p.version = v.Document.Version
	p.forget(v.Runners)
	if p.version <= p.refused {
		return nil
	}
	var orders []Order
	for _, region := range v.Document.Regions {
		orders = append(orders, p.planRegion(now, v, region)...)
	}
	return orders
}

// forget drops the engines that are off the list.
func (p *Planner) forget(runners []Runner) {
	listed := make(map[ident.Endpoint]bool, len(runners))
	for _, r := range runners {
		listed[r.Endpoint] = true
	}
	for id := range p.engines {
		if !listed[id] {
			delete(p.engines, id)
		}
	}
}

// planRegion orders models for the engines of one region. Those without their model
// get their turn in the same order at every entry. An entry orders for those that it
// is responsible for and leaves the others' turns to the others, so that together
// they keep the bound although each decides alone.
func (p *Planner) planRegion(now clock.Time, v View, region ident.Region) []Order {
	orderers := orderers(v.Live, region)
	if !slices.Contains(orderers, p.config.Entry) {
		p.stand(v, region)
		return nil
	}
	loads, lacking := p.survey(now, v, region)
	var orders []Order
	for i, l := range lacking {
		if i >= v.Document.Limits.Loads-loads {
			l.engine.turned = 0
			continue
		}
		l.engine.takeTurn(now)
		if now.Before(l.engine.due) || !p.responsible(l, orderers) {
			continue
		}
		orders = append(orders, p.order(now, l))
	}
	return orders
}

// stand forgets the delays of a region's engines while other entries order for them,
// so that they begin anew when it falls to this one again.
func (p *Planner) stand(v View, region ident.Region) {
	for _, r := range v.Runners {
		if e := p.engines[r.Endpoint]; e != nil && r.Region == region {
			e.rest()
		}
	}
}

// lack is an engine without its model.
type lack struct {
	runner  Runner
	service *bundle.Service
	engine  *engine
}

// survey returns how many engines of a region are seen to load and which ones lack
// their model. Those that let a turn pass come last.
func (p *Planner) survey(now clock.Time, v View, region ident.Region) (loads int, lacking []lack) {
	for _, r := range v.Runners {
		e := p.engines[r.Endpoint]
		if r.Region != region || e == nil {
			continue
		}
		s, ok := v.Document.Service(r.Service)
		wanted := ok && s.Model != "" && slices.Contains(s.Regions, region) && !r.Leaving
		switch {
		case e.loads(now):
			loads++
			e.starts(now)
		case !wanted || slices.Contains(e.Models, s.Model):
			e.rest()
		case !e.lacks(now, s.Model):
			e.silence()
		default:
			e.await(now, p.delay(region))
			lacking = append(lacking, lack{runner: r, service: s, engine: e})
		}
	}
	slices.SortStableFunc(lacking, func(a, b lack) int { return a.engine.passed - b.engine.passed })
	return loads, lacking
}

// delay returns how long an engine has to be seen without its model.
func (p *Planner) delay(region ident.Region) clock.Span {
	d := settle
	if region != p.config.Region {
		d *= farther
	}
	return d + p.upTo(jitter)
}

func (p *Planner) upTo(s clock.Span) clock.Span { return clock.Span(p.random.Int64N(int64(s) + 1)) }

// orderers returns the entries that order for a region: its own or, if none is
// alive, all others.
func orderers(live []Member, region ident.Region) []ident.Entry {
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

// responsible tells whether this entry orders for an engine. With each turn that the
// engine lets pass, the next entry becomes responsible: the one before may be alive
// and yet unable to reach the engine. Entries that disagree may both order, which
// only repeats an idempotent order.
func (p *Planner) responsible(l lack, orderers []ident.Entry) bool {
	ranked := watch.Watchers(string(l.runner.Endpoint), orderers, len(orderers))
	return ranked[l.engine.passed%len(ranked)] == p.config.Entry
}

func (p *Planner) order(now clock.Time, l lack) Order {
	p.number++
	o := Order{
		Number: p.number, Endpoint: l.runner.Endpoint, Address: l.runner.Address,
		Model: l.service.Model, Fence: p.version,
	}
	p.pending[o.Number] = &pending{order: o, made: now, fenced: l.service.Fence}
	l.engine.ordered = o.Number
	return o
}

// Confirm tells whether an order may still be sent while a bundle version is in force.
// The shell asks just before, since the process may have been stopped after the
// decision.
func (p *Planner) Confirm(now clock.Time, n Number, inForce ident.Version) bool {
	w := p.pending[n]
	return w != nil && now.Sub(w.made) < valid && w.order.Fence == inForce && inForce > p.refused
}

// Done takes in what became of an order.
func (p *Planner) Done(now clock.Time, n Number, result Result) {
	w := p.pending[n]
	if w == nil {
		return
	}
	delete(p.pending, n)
	if result == Stale && !w.fenced {
		result = Failed
	}
	p.count(result)
	if result == Stale {
		p.refused = max(p.refused, w.order.Fence)
	}
	e := p.engines[w.order.Endpoint]
	if e == nil || e.ordered != n {
		return
	}
	e.ordered = 0
	switch result {
	case Accepted, Present:
		e.expect(now, w.order.Model)
	case Failed:
		// The engine may have got the order and load the model.
		e.expect(now, w.order.Model)
		e.postpone(now, p.upTo)
	case Later:
		e.postpone(now, p.upTo)
	}
}

func (p *Planner) count(r Result) {
	switch r {
	case Accepted:
		p.counts.Accepted++
	case Present:
		p.counts.Present++
	case Stale:
		p.counts.Stale++
	case Later:
		p.counts.Later++
	case Failed:
		p.counts.Failed++
	}
}
