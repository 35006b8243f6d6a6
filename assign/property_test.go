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
	// loading is set while a model is being loaded; the load ends at done.
	loading bool
	done    clock.Time
}

func (e *fakeEngine) report() assign.Report {
	report := assign.Report{ListsModels: !e.hidesModels}
	if !e.hidesModels {
		report.Models = slices.Clone(e.models)
	}
	if e.loading && !e.hidesModels {
		report.Loading = []string{model}
	}
	return report
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
	sim := &simulation{t: t, now: start, version: 1, loads: rapid.IntRange(1, 2).Draw(t, "loads")}
	for i := range 5 {
		engine := &fakeEngine{name: ident.Endpoint(fmt.Sprint("x", i)), hidesModels: i == 4}
		if !engine.hidesModels && rapid.Bool().Draw(t, "loaded") {
			engine.models = []string{model}
		}
		sim.engines = append(sim.engines, engine)
	}
	for i, name := range []ident.Entry{"e1", "e2"} {
		sim.processes = append(sim.processes, &process{
			Planner: assign.New(assign.Config{Entry: name, Region: "r1", Seed: uint64(i)}), name: name,
			version: 1,
		})
	}
	return sim
}

func (s *simulation) view(process *process) assign.View {
	view := assign.View{Document: document(process.version, s.loads)}
	for _, q := range s.processes {
		view.Live = append(view.Live, assign.Member{Entry: q.name, Region: "r1"})
	}
	for _, e := range s.engines {
		view.Engines = append(view.Engines, newEngine(e.name, "chat", "r1"))
	}
	return view
}

// advance lets one second pass: loads end, reports are read, and each running process plans
// and sends its orders.
func (s *simulation) advance() {
	s.now = s.now.Add(second)
	for _, e := range s.engines {
		if e.loading && !s.now.Before(e.done) {
			e.loading = false
			e.models = append(e.models, model)
		}
	}
	for _, p := range s.processes {
		if s.now.Before(p.suspendedUntil) {
			continue
		}
		for _, e := range s.engines {
			if !e.down {
				p.Report(s.now, e.name, e.report())
			}
		}
		visible := s.visibleLoads(p)
		s.send(p, p.Plan(s.now, s.view(p)), visible)
	}
}

// visibleLoads counts the engines that a process sees loading or has an unanswered order for.
func (s *simulation) visibleLoads(process *process) int {
	count := 0
	for _, e := range s.engines {
		waits := slices.ContainsFunc(s.inTransit, func(o sentOrder) bool { return o.process == process && o.order.Endpoint == e.name })
		if waits || !e.down && e.loading {
			count++
		}
	}
	return count
}

func (s *simulation) send(process *process, orders []assign.Order, visible int) {
	if len(orders) > 0 && visible+len(orders) > s.loads {
		s.t.Fatalf("%s orders %d loads in addition to %d visible ones, limit %d", process.name, len(orders), visible, s.loads)
	}
	for _, o := range orders {
		engine := s.engine(o.Endpoint)
		if engine.hidesModels || slices.Contains(engine.models, model) {
			s.t.Fatalf("%s orders a model for %s, which has it or does not report its models", process.name, o.Endpoint)
		}
		if o.Fence < process.fence {
			s.t.Fatalf("%s sends fencing number %d after %d", process.name, o.Fence, process.fence)
		}
		process.fence = o.Fence
		if !process.MaySend(s.now, o.Number, process.version) {
			process.RecordResult(s.now, o.Number, assign.Unsent)
			continue
		}
		s.inTransit = append(s.inTransit, sentOrder{process, o})
		s.sentOrders = append(s.sentOrders, o)
	}
}

func (s *simulation) engine(name ident.Endpoint) *fakeEngine {
	position := slices.IndexFunc(s.engines, func(e *fakeEngine) bool { return e.name == name })
	return s.engines[position]
}

// deliver has an engine carry out an order and checks that it keeps its models.
func (s *simulation) deliver(order assign.Order) assign.Result {
	engine := s.engine(order.Endpoint)
	switch {
	case engine.down:
		return assign.Failed
	case slices.Contains(engine.models, order.Model):
		return assign.Present
	case !engine.loading:
		engine.loading = true
		engine.done = s.now.Add(rapid.SampledFrom([]clock.Span{2, 6, 20}).Draw(s.t, "time") * second)
	}
	return assign.Accepted
}

// deliverNext delivers the first order in transit; its response arrives or is lost.
func (s *simulation) deliverNext() {
	if len(s.inTransit) == 0 {
		return
	}
	next := s.inTransit[0]
	s.inTransit = s.inTransit[1:]
	result := s.deliver(next.order)
	if rapid.IntRange(0, 4).Draw(s.t, "lost") == 0 {
		result = assign.Failed
	}
	next.process.RecordResult(s.now, next.order.Number, result)
}

// redeliver delivers an old order again.
func (s *simulation) redeliver() {
	if len(s.sentOrders) == 0 {
		return
	}
	order := rapid.SampledFrom(s.sentOrders).Draw(s.t, "old")
	engine := s.engine(order.Endpoint)
	before, loading := slices.Clone(engine.models), engine.loading
	s.deliver(order)
	if !slices.Equal(before, engine.models) || len(before) > 0 && engine.loading != loading {
		s.t.Fatalf("an old order changed the models of %s, which were %v", engine.name, before)
	}
}

func (s *simulation) toggleCrash() {
	engine := rapid.SampledFrom(s.engines).Draw(s.t, "engine")
	engine.down = !engine.down
	if engine.down {
		engine.loading = false
		engine.models = nil
	}
}

func (s *simulation) publish() { s.version++ }

// changeVersion gives a process a version, which may be older than its current one.
func (s *simulation) changeVersion() {
	process := rapid.SampledFrom(s.processes).Draw(s.t, "process")
	process.version = rapid.SampledFrom([]ident.Version{1, s.version, s.version}).Draw(s.t, "version")
}

func (s *simulation) suspend() {
	process := rapid.SampledFrom(s.processes).Draw(s.t, "process")
	process.suspendedUntil = s.now.Add(rapid.SampledFrom([]clock.Span{3, 8, 30}).Draw(s.t, "stop") * second)
}

// Guards against more visible loads than the bound, falling fencing numbers, orders for
// engines that have their model or do not report it, and old orders with an effect, in the
// presence of late responses, crashes and suspended processes.
func TestOrdersOfTwoEntries(t *testing.T) {
	ordered := 0
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		pass := func() {
			for range rapid.IntRange(1, 8).Draw(t, "seconds") {
				sim.advance()
			}
		}
		steps := []func(){pass, pass, pass, pass, sim.deliverNext, sim.deliverNext, sim.deliverNext, sim.redeliver, sim.toggleCrash, sim.publish, sim.changeVersion, sim.changeVersion, sim.suspend}
		for range rapid.IntRange(40, 160).Draw(t, "length") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
		}
		ordered += len(sim.sentOrders)
	})
	if ordered < 200 {
		t.Fatalf("only %d orders sent in all runs, want at least 200", ordered)
	}
}
