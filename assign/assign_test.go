package assign_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/assign"
	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/ident"
)

// Fixes the seed of the property tests unless the command line sets one.
func init() { _ = flag.Set("rapid.seed", "1") }

const (
	second = clock.Second
	start  = clock.Time(60_000)
	model  = "kit-1"
)

func document(version ident.Version, loads int) *bundle.Document {
	return &bundle.Document{
		Version: version, Regions: []ident.Region{"r1", "r2"}, Limits: bundle.Limits{Loads: loads},
		Services: []bundle.Service{
			{Name: "chat", Kind: bundle.Engine, Regions: []ident.Region{"r1", "r2"}, ChecksFence: true, Model: model},
			{Name: "loose", Kind: bundle.Engine, Regions: []ident.Region{"r1"}, Model: model},
			{Name: "bare", Kind: bundle.Engine, Regions: []ident.Region{"r1"}},
		},
	}
}

func newEngine(name ident.Endpoint, service ident.Service, region ident.Region) assign.Engine {
	return assign.Engine{Endpoint: name, Address: "127.0.0.1:1", Service: service, Region: region}
}

var (
	lacking = assign.Report{ListsModels: true}
	loading = assign.Report{ListsModels: true, Loading: []string{model}}
	loaded  = assign.Report{ListsModels: true, Models: []string{model}}
)

// testPlanner is a planner with the reports that its entry reads every second.
type testPlanner struct {
	*assign.Planner
	now     clock.Time
	view    assign.View
	reports map[ident.Endpoint]assign.Report
}

func newTestPlanner(loads int, engines ...assign.Engine) *testPlanner {
	planner := &testPlanner{
		Planner: assign.New(assign.Config{Entry: "e1", Region: "r1", Seed: 1}), now: start,
		reports: make(map[ident.Endpoint]assign.Report),
		view: assign.View{
			Document: document(1, loads), Engines: engines,
			Live: []assign.Member{{Entry: "e1", Region: "r1"}},
		},
	}
	for _, r := range engines {
		planner.reports[r.Endpoint] = lacking
	}
	return planner
}

// step applies the reports and plans, once a second for a span of time. Orders are answered
// with the result; an accepted one shows in subsequent reports.
func (p *testPlanner) step(span clock.Span, result assign.Result) []assign.Order {
	var all []assign.Order
	for end := p.now.Add(span); p.now.Before(end); {
		p.now = p.now.Add(second)
		for _, r := range p.view.Engines {
			if report, ok := p.reports[r.Endpoint]; ok {
				p.Report(p.now, r.Endpoint, report)
			}
		}
		orders := p.Plan(p.now, p.view)
		for _, o := range orders {
			if result == assign.Accepted {
				p.reports[o.Endpoint] = loading
			}
			if result != "" {
				p.RecordResult(p.now, o.Number, result)
			}
		}
		all = append(all, orders...)
	}
	return all
}

// Guards against orders for engines that need none, and against sending none to an engine
// that needs one.
func TestWhichEnginesGetOrders(t *testing.T) {
	leaving := newEngine("x", "chat", "r1")
	leaving.Leaving = true
	unlisted := assign.Report{}
	for _, tc := range []struct {
		name   string
		engine assign.Engine
		report assign.Report
		orders int
	}{
		{"lacks its model", newEngine("x", "chat", "r1"), lacking, 1},
		{"has another model", newEngine("x", "chat", "r1"), assign.Report{ListsModels: true, Models: []string{"kit-0"}}, 1},
		{"has its model", newEngine("x", "chat", "r1"), loaded, 0},
		{"models not reported", newEngine("x", "chat", "r1"), unlisted, 0},
		{"loading", newEngine("x", "chat", "r1"), loading, 0},
		{"leaving", leaving, lacking, 0},
		{"service without a model", newEngine("x", "bare", "r1"), lacking, 0},
		{"unknown service", newEngine("x", "other", "r1"), lacking, 0},
		{"region without the service", newEngine("x", "loose", "r2"), lacking, 0},
		{"other region without an entry", newEngine("x", "chat", "r2"), lacking, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			planner := newTestPlanner(1, tc.engine)
			planner.reports["x"] = tc.report
			orders := planner.step(10*second, assign.Accepted)
			require.Len(t, orders, tc.orders)
			for _, o := range orders {
				require.Equal(t, assign.Order{Number: o.Number, Endpoint: "x", Address: "127.0.0.1:1", Model: model, Fence: 1}, o)
			}
		})
	}
}

// Guards against more concurrent loads than the bundle allows, and against slots that stay
// occupied after a load has ended.
func TestLoadsAreBounded(t *testing.T) {
	for loads := 1; loads <= 3; loads++ {
		t.Run(fmt.Sprint(loads), func(t *testing.T) {
			var engines []assign.Engine
			for i := range 5 {
				engines = append(engines, newEngine(ident.Endpoint(fmt.Sprint("x", i)), "chat", "r1"))
			}
			planner := newTestPlanner(loads, engines...)
			ordered := map[ident.Endpoint]int{}
			for len(ordered) < len(engines) {
				orders := planner.step(8*second, assign.Accepted)
				require.Len(t, orders, min(loads, len(engines)-len(ordered)))
				require.Empty(t, planner.step(8*second, assign.Accepted), "an order although all load slots are occupied")
				for _, o := range orders {
					ordered[o.Endpoint]++
					planner.reports[o.Endpoint] = loaded
				}
			}
			for _, n := range ordered {
				require.Equal(t, 1, n)
			}
		})
	}
}

// Guards against a delay that is not restarted after an interruption, during which other
// entries may have acted.
func TestDelayBeginsAnew(t *testing.T) {
	for _, tc := range []struct {
		name  string
		event func(planner *testPlanner)
	}{
		{"reports and planning stop, as in a suspended process", func(p *testPlanner) { p.now = p.now.Add(10 * second) }},
		{"reports stop", func(p *testPlanner) {
			report := p.reports["x"]
			delete(p.reports, "x")
			p.step(10*second, assign.Accepted)
			p.reports["x"] = report
		}},
		{"other entries order for a while", func(p *testPlanner) {
			own := p.view.Live
			p.view.Live = []assign.Member{own[0], {Entry: "e2", Region: "r2"}}
			p.step(10*second, assign.Accepted)
			p.view.Live = own
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			planner := newTestPlanner(1, newEngine("x", "chat", "r2"))
			require.Empty(t, planner.step(2*second, assign.Accepted))
			tc.event(planner)
			require.Empty(t, planner.step(5*second, assign.Accepted))
			require.Len(t, planner.step(10*second, assign.Accepted), 1)
		})
	}
}

// Guards against repeating orders immediately and endlessly, and against an order without
// effect that keeps occupying a load slot.
func TestResults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		service ident.Service
		result  assign.Result
		// most bounds the orders per minute to one engine.
		most int
		// next is set if the next engine gets its turn within that minute.
		next   bool
		counts assign.Counts
	}{
		{"later", "chat", assign.Deferred, 7, true, assign.Counts{Deferred: 1}},
		{"failed", "chat", assign.Failed, 7, true, assign.Counts{Failed: 1}},
		{"present but not reported", "chat", assign.Present, 7, true, assign.Counts{Present: 1}},
		{"stale", "chat", assign.Stale, 1, false, assign.Counts{Stale: 1}},
		{"stale from an engine without fence", "loose", assign.Stale, 7, true, assign.Counts{Failed: 1}},
		{"not answered", "chat", "", 1, false, assign.Counts{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			planner := newTestPlanner(1, newEngine("x", tc.service, "r1"), newEngine("y", tc.service, "r1"))
			first := planner.step(5*second, tc.result)
			require.Len(t, first, 1)
			require.Equal(t, ident.Endpoint("x"), first[0].Endpoint)
			require.Equal(t, tc.counts, planner.Counts())
			count := map[ident.Endpoint]int{"x": 1}
			for _, o := range planner.step(clock.Minute, tc.result) {
				count[o.Endpoint]++
			}
			require.LessOrEqual(t, count["x"], tc.most)
			require.Equal(t, tc.next, count["y"] > 0, count)
		})
	}
}

// Guards against an engine that crashes during each load and is sent an order every time it
// comes back.
func TestBackoffSurvivesMissingReports(t *testing.T) {
	planner := newTestPlanner(1, newEngine("x", "chat", "r1"))
	var gaps []clock.Span
	for last := planner.now; len(gaps) < 7; {
		planner.reports["x"] = lacking
		for len(planner.step(second, assign.Accepted)) == 0 {
			require.Less(t, planner.now.Sub(last), 3*clock.Minute, "no further order")
		}
		gaps = append(gaps, planner.now.Sub(last))
		last = planner.now
		delete(planner.reports, "x")
		planner.step(20*second, assign.Accepted)
	}
	require.Greater(t, gaps[1], 20*second+3*second, "order sent before other entries have seen the engine")
	require.Greater(t, gaps[6], gaps[1]+15*second, gaps)
}

// Guards against an engine that stays without its model because the entry responsible for
// it is alive but cannot reach it.
func TestAnotherEntryTakesOver(t *testing.T) {
	for i := range 8 {
		planner := newTestPlanner(1, newEngine(ident.Endpoint(fmt.Sprint("x", i)), "chat", "r1"))
		planner.view.Live = append(planner.view.Live, assign.Member{Entry: "e2", Region: "r1"}, assign.Member{Entry: "e3", Region: "r1"})
		require.Len(t, planner.step(clock.Minute, assign.Accepted), 1, i)
	}
}

// Guards against sending an order that is based on an outdated decision.
func TestMaySend(t *testing.T) {
	for _, tc := range []struct {
		name    string
		after   clock.Span
		inForce ident.Version
		event   func(planner *testPlanner, number assign.OrderNumber)
		want    bool
	}{
		{"without delay", 0, 1, nil, true},
		{"after a suspension", second, 1, nil, false},
		{"newer bundle not planned yet", 0, 2, nil, false},
		{"already answered", 0, 1, func(p *testPlanner, n assign.OrderNumber) { p.RecordResult(p.now, n, assign.Unsent) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			planner := newTestPlanner(1, newEngine("x", "chat", "r1"))
			orders := planner.step(5*second, "")
			require.Len(t, orders, 1)
			if tc.event != nil {
				tc.event(planner, orders[0].Number)
			}
			require.Equal(t, tc.want, planner.MaySend(planner.now.Add(tc.after), orders[0].Number, tc.inForce))
		})
	}
}

// Guards against orders under a version that an engine rejected, and against sending none
// under the next version.
func TestStaleEndsWithNewerVersion(t *testing.T) {
	planner := newTestPlanner(1, newEngine("x", "chat", "r1"))
	require.Len(t, planner.step(5*second, assign.Stale), 1)
	require.Empty(t, planner.step(clock.Minute, assign.Stale))
	planner.view.Document = document(2, 1)
	orders := planner.step(8*second, assign.Accepted)
	require.Len(t, orders, 1)
	require.Equal(t, ident.Version(2), orders[0].Fence)
}

// Guards against a plan based on a document older than one seen before.
func TestLowerVersionIsIgnored(t *testing.T) {
	planner := newTestPlanner(1, newEngine("x", "chat", "r1"))
	planner.view.Document = document(2, 1)
	require.Empty(t, planner.step(second, assign.Accepted))
	planner.view.Document = document(1, 1)
	require.Empty(t, planner.step(clock.Minute, assign.Accepted))
}

// Guards against orders for an engine that comes back as a release which does not report
// its models.
func TestEngineStopsReportingModels(t *testing.T) {
	planner := newTestPlanner(1, newEngine("x", "chat", "r1"))
	require.Empty(t, planner.step(second, assign.Accepted))
	planner.reports["x"] = assign.Report{}
	require.Empty(t, planner.step(clock.Minute, assign.Accepted))
}
