package assign_test

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// fakeEngine is a simulated engine that ignores fencing numbers.
type fakeEngine struct {
	name        ident.Endpoint
	hidesModels bool // it does not report its models
	down        bool
	models      []string
	// The load in progress ends at done.
	loading bool
	done    clock.Time
}

func (e *fakeEngine) report() assign.Report {
	r := assign.Report{Lists: !e.hidesModels}
	if !e.hidesModels {
		r.Models = slices.Clone(e.models)
	}
	if e.loading && !e.hidesModels {
		r.Loading = []string{model}
	}
	return r
}

// sentOrder is an order in transit.
type sentOrder struct {
	process *process
	order   assign.Order
}

// process is a simulated entry.
type process struct {
	*assign.Planner
	name    ident.Entry
	version ident.Version
	// fence is the fencing number of its last order.
	fence          ident.Version
	suspendedUntil clock.Time
}

// simulation holds two entries and the engines of their region.
type simulation struct {
	t          *rapid.T
	now        clock.Time
	version    ident.Version
	loads      int
	engines    []*fakeEngine
	processes  []*process
	inTransit  []sentOrder
	sentOrders []assign.Order
}

func newSimulation(t *rapid.T) *simulation {
	w := &simulation{t: t, now: start, version: 1, loads: rapid.IntRange(1, 2).Draw(t, "loads")}
	for i := range 5 {
		e := &fakeEngine{name: ident.Endpoint(fmt.Sprint("x", i)), hidesModels: i == 4}
		if !e.hidesModels && rapid.Bool().Draw(t, "loaded") {
			e.models = []string{model}
		}
		w.engines = append(w.engines, e)
	}
	for i, name := range []ident.Entry{"e1", "e2"} {
		w.processes = append(w.processes, &process{
			Planner: assign.New(assign.Config{Entry: name, Region: "r1", Seed: uint64(i)}), name: name,
			version: 1,
		})
	}
	return w
}

func (w *simulation) view(p *process) assign.View {
	v := assign.View{Document: document(p.version, w.loads)}
	for _, q := range w.processes {
		v.Live = append(v.Live, assign.Member{Entry: q.name, Region: "r1"})
	}
	for _, e := range w.engines {
		v.Runners = append(v.Runners, runner(e.name, "chat", "r1"))
	}
	return v
}

// advance lets one second pass: loads end, reports are read, and each running process plans
// and sends its orders.
func (w *simulation) advance() {
	w.now = w.now.Add(second)
	for _, e := range w.engines {
		if e.loading && !w.now.Before(e.done) {
			e.loading = false
			e.models = append(e.models, model)
		}
	}
	for _, p := range w.processes {
		if w.now.Before(p.suspendedUntil) {
			continue
		}
		for _, e := range w.engines {
			if !e.down {
				p.Report(w.now, e.name, e.report())
			}
		}
		visible := w.visibleLoads(p)
		w.send(p, p.Plan(w.now, w.view(p)), visible)
	}
}

// visibleLoads counts the engines that a process sees loading or has an unanswered order for.
func (w *simulation) visibleLoads(p *process) int {
	n := 0
	for _, e := range w.engines {
		waits := slices.ContainsFunc(w.inTransit, func(s sentOrder) bool { return s.process == p && s.order.Endpoint == e.name })
		if waits || !e.down && e.loading {
			n++
		}
	}
	return n
}

func (w *simulation) send(p *process, orders []assign.Order, visible int) {
	if len(orders) > 0 && visible+len(orders) > w.loads {
		w.t.Fatalf("%s orders %d loads in addition to %d visible ones, limit %d", p.name, len(orders), visible, w.loads)
	}
	for _, o := range orders {
		e := w.engine(o.Endpoint)
		if e.hidesModels || slices.Contains(e.models, model) {
			w.t.Fatalf("%s orders a model for %s, which has it or does not report its models", p.name, o.Endpoint)
		}
		if o.Fence < p.fence {
			w.t.Fatalf("%s sends fencing number %d after %d", p.name, o.Fence, p.fence)
		}
		p.fence = o.Fence
		if !p.Confirm(w.now, o.Number, p.version) {
			p.Done(w.now, o.Number, assign.Unsent)
			continue
		}
		w.inTransit = append(w.inTransit, sentOrder{p, o})
		w.sentOrders = append(w.sentOrders, o)
	}
}

func (w *simulation) engine(id ident.Endpoint) *fakeEngine {
	i := slices.IndexFunc(w.engines, func(e *fakeEngine) bool { return e.name == id })
	return w.engines[i]
}

// deliver has an engine carry out an order and checks that it keeps its models.
func (w *simulation) deliver(o assign.Order) assign.Result {
	e := w.engine(o.Endpoint)
	switch {
	case e.down:
		return assign.Failed
	case slices.Contains(e.models, o.Model):
		return assign.Present
	case !e.loading:
		e.loading = true
		e.done = w.now.Add(rapid.SampledFrom([]clock.Span{2, 6, 20}).Draw(w.t, "time") * second)
	}
	return assign.Accepted
}

// deliverNext delivers the first order in transit; its response arrives or is lost.
func (w *simulation) deliverNext() {
	if len(w.inTransit) == 0 {
		return
	}
	s := w.inTransit[0]
	w.inTransit = w.inTransit[1:]
	result := w.deliver(s.order)
	if rapid.IntRange(0, 4).Draw(w.t, "lost") == 0 {
		result = assign.Failed
	}
	s.process.Done(w.now, s.order.Number, result)
}

// redeliver delivers an old order again.
func (w *simulation) redeliver() {
	if len(w.sentOrders) == 0 {
		return
	}
	o := rapid.SampledFrom(w.sentOrders).Draw(w.t, "old")
	e := w.engine(o.Endpoint)
	before, loading := slices.Clone(e.models), e.loading
	w.deliver(o)
	if !slices.Equal(before, e.models) || len(before) > 0 && e.loading != loading {
		w.t.Fatalf("an old order changed the models of %s, which were %v", e.name, before)
	}
}

func (w *simulation) toggleCrash() {
	e := rapid.SampledFrom(w.engines).Draw(w.t, "engine")
	e.down = !e.down
	if e.down {
		e.loading = false
		e.models = nil
	}
}

func (w *simulation) publish() { w.version++ }

// changeVersion gives a process a version, which may be older than its current one.
func (w *simulation) changeVersion() {
	p := rapid.SampledFrom(w.processes).Draw(w.t, "process")
	p.version = rapid.SampledFrom([]ident.Version{1, w.version, w.version}).Draw(w.t, "version")
}

func (w *simulation) suspend() {
	p := rapid.SampledFrom(w.processes).Draw(w.t, "process")
	p.suspendedUntil = w.now.Add(rapid.SampledFrom([]clock.Span{3, 8, 30}).Draw(w.t, "stop") * second)
}

// Guards against more visible loads than the bound, falling fencing numbers, orders for
// engines that have their model or do not report it, and old orders with an effect, in the
// presence of late responses, crashes and suspended processes.
func TestOrdersOfTwoEntries(t *testing.T) {
	ordered := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t)
		pass := func() {
			for range rapid.IntRange(1, 8).Draw(t, "seconds") {
				w.advance()
			}
		}
		steps := []func(){pass, pass, pass, pass, w.deliverNext, w.deliverNext, w.deliverNext, w.redeliver, w.toggleCrash, w.publish, w.changeVersion, w.changeVersion, w.suspend}
		for range rapid.IntRange(40, 160).Draw(t, "length") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
		}
		ordered += len(w.sentOrders)
	})
	if ordered < 200 {
		t.Fatalf("only %d orders sent in all runs, want at least 200", ordered)
	}
}
