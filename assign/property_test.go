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

// double is an engine of the model world; it ignores fencing numbers.
type double struct {
	name   ident.Endpoint
	mute   bool // it doesn't tell its models
	down   bool
	models []string
	// loading ends at done.
	loading bool
	done    clock.Time
}

func (e *double) report() assign.Report {
	r := assign.Report{Lists: !e.mute}
	if !e.mute {
		r.Models = slices.Clone(e.models)
	}
	if e.loading && !e.mute {
		r.Loading = []string{model}
	}
	return r
}

// sent is an order on its way.
type sent struct {
	process *process
	order   assign.Order
}

// process is an entry of the model world.
type process struct {
	*assign.Planner
	name    ident.Entry
	version ident.Version
	// fence is that of its last order.
	fence   ident.Version
	stopped clock.Time
}

// world holds two entries and the engines of their region.
type world struct {
	t         *rapid.T
	now       clock.Time
	version   ident.Version
	loads     int
	engines   []*double
	processes []*process
	wire      []sent
	old       []assign.Order
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: start, version: 1, loads: rapid.IntRange(1, 2).Draw(t, "loads")}
	for i := range 5 {
		e := &double{name: ident.Endpoint(fmt.Sprint("x", i)), mute: i == 4}
		if !e.mute && rapid.Bool().Draw(t, "loaded") {
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

func (w *world) view(p *process) assign.View {
	v := assign.View{Document: document(p.version, w.loads)}
	for _, q := range w.processes {
		v.Live = append(v.Live, assign.Member{Entry: q.name, Region: "r1"})
	}
	for _, e := range w.engines {
		v.Runners = append(v.Runners, runner(e.name, "chat", "r1"))
	}
	return v
}

// second lets one second pass: loads end, reports are read, and each process that
// runs plans and sends.
func (w *world) second() {
	w.now = w.now.Add(second)
	for _, e := range w.engines {
		if e.loading && !w.now.Before(e.done) {
			e.loading = false
			e.models = append(e.models, model)
		}
	}
	for _, p := range w.processes {
		if w.now.Before(p.stopped) {
			continue
		}
		for _, e := range w.engines {
			if !e.down {
				p.Report(w.now, e.name, e.report())
			}
		}
		seen := w.seen(p)
		w.send(p, p.Plan(w.now, w.view(p)), seen)
	}
}

// seen counts the engines that a process sees to load or has an unanswered order at.
func (w *world) seen(p *process) int {
	n := 0
	for _, e := range w.engines {
		waits := slices.ContainsFunc(w.wire, func(s sent) bool { return s.process == p && s.order.Endpoint == e.name })
		if waits || !e.down && e.loading {
			n++
		}
	}
	return n
}

func (w *world) send(p *process, orders []assign.Order, seen int) {
	if len(orders) > 0 && seen+len(orders) > w.loads {
		w.t.Fatalf("%s orders %d loads beside %d that it sees, with a bound of %d", p.name, len(orders), seen, w.loads)
	}
	for _, o := range orders {
		e := w.engine(o.Endpoint)
		if e.mute || slices.Contains(e.models, model) {
			w.t.Fatalf("%s orders a model that %s counts as having", p.name, o.Endpoint)
		}
		if o.Fence < p.fence {
			w.t.Fatalf("%s sends fence %d after %d", p.name, o.Fence, p.fence)
		}
		p.fence = o.Fence
		if !p.Confirm(w.now, o.Number, p.version) {
			p.Done(w.now, o.Number, assign.Unsent)
			continue
		}
		w.wire = append(w.wire, sent{p, o})
		w.old = append(w.old, o)
	}
}

func (w *world) engine(id ident.Endpoint) *double {
	i := slices.IndexFunc(w.engines, func(e *double) bool { return e.name == id })
	return w.engines[i]
}

// take lets an engine carry out an order and checks that it keeps its models.
func (w *world) take(o assign.Order) assign.Result {
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

// arrive lets the first order on its way arrive, and its answer come back or get lost.
func (w *world) arrive() {
	if len(w.wire) == 0 {
		return
	}
	s := w.wire[0]
	w.wire = w.wire[1:]
	result := w.take(s.order)
	if rapid.IntRange(0, 4).Draw(w.t, "lost") == 0 {
		result = assign.Failed
	}
	s.process.Done(w.now, s.order.Number, result)
}

// repeat delivers an old order again.
func (w *world) repeat() {
	if len(w.old) == 0 {
		return
	}
	o := rapid.SampledFrom(w.old).Draw(w.t, "old")
	e := w.engine(o.Endpoint)
	before, loading := slices.Clone(e.models), e.loading
	w.take(o)
	if !slices.Equal(before, e.models) || len(before) > 0 && e.loading != loading {
		w.t.Fatalf("an old order changed %s, which has %v", e.name, before)
	}
}

func (w *world) crash() {
	e := rapid.SampledFrom(w.engines).Draw(w.t, "engine")
	e.down = !e.down
	if e.down {
		e.loading = false
		e.models = nil
	}
}

func (w *world) publish() { w.version++ }

// learn gives a process a version, which may be older than the one it has.
func (w *world) learn() {
	p := rapid.SampledFrom(w.processes).Draw(w.t, "process")
	p.version = rapid.SampledFrom([]ident.Version{1, w.version, w.version}).Draw(w.t, "version")
}

func (w *world) stop() {
	p := rapid.SampledFrom(w.processes).Draw(w.t, "process")
	p.stopped = w.now.Add(rapid.SampledFrom([]clock.Span{3, 8, 30}).Draw(w.t, "stop") * second)
}

// Guards against more loads than the bound as far as an entry can see, a fence that
// falls, an order for an engine that has its model or doesn't tell, and an old order
// that changes anything, with late answers, crashes and stopped processes.
func TestOrdersOfTwoEntries(t *testing.T) {
	ordered := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		pass := func() {
			for range rapid.IntRange(1, 8).Draw(t, "seconds") {
				w.second()
			}
		}
		steps := []func(){pass, pass, pass, pass, w.arrive, w.arrive, w.arrive, w.repeat, w.crash, w.publish, w.learn, w.learn, w.stop}
		for range rapid.IntRange(40, 160).Draw(t, "length") {
			steps[rapid.IntRange(0, len(steps)-1).Draw(t, "step")]()
		}
		ordered += len(w.old)
	})
	if ordered < 200 {
		t.Fatalf("only %d orders were sent in all runs", ordered)
	}
}
