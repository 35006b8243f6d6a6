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
			{Name: "chat", Kind: bundle.Engine, Regions: []ident.Region{"r1", "r2"}, Fence: true, Model: model},
			{Name: "loose", Kind: bundle.Engine, Regions: []ident.Region{"r1"}, Model: model},
			{Name: "bare", Kind: bundle.Engine, Regions: []ident.Region{"r1"}},
		},
	}
}

func runner(name ident.Endpoint, s ident.Service, r ident.Region) assign.Runner {
	return assign.Runner{Endpoint: name, Address: "127.0.0.1:1", Service: s, Region: r}
}

var (
	lacking = assign.Report{Lists: true}
	loading = assign.Report{Lists: true, Loading: []string{model}}
	loaded  = assign.Report{Lists: true, Models: []string{model}}
)

// desk is a planner with the reports that its entry reads each second.
type desk struct {
	*assign.Planner
	now     clock.Time
	view    assign.View
	reports map[ident.Endpoint]assign.Report
}

func newDesk(loads int, runners ...assign.Runner) *desk {
	d := &desk{
		Planner: assign.New(assign.Config{Entry: "e1", Region: "r1", Seed: 1}), now: start,
		reports: make(map[ident.Endpoint]assign.Report),
		view: assign.View{
			Document: document(1, loads), Runners: runners,
			Live: []assign.Member{{Entry: "e1", Region: "r1"}},
		},
	}
	for _, r := range runners {
		d.reports[r.Endpoint] = lacking
	}
	return d
}

// step reads the reports and plans, once a second for a span. Orders are answered
// with the result; an accepted one shows in the reports after it.
func (d *desk) step(s clock.Span, result assign.Result) []assign.Order {
	var all []assign.Order
	for end := d.now.Add(s); d.now.Before(end); {
		d.now = d.now.Add(second)
		for _, r := range d.view.Runners {
			if report, ok := d.reports[r.Endpoint]; ok {
				d.Report(d.now, r.Endpoint, report)
			}
		}
		orders := d.Plan(d.now, d.view)
		for _, o := range orders {
			if result == assign.Accepted {
				d.reports[o.Endpoint] = loading
			}
			if result != "" {
				d.Done(d.now, o.Number, result)
			}
		}
		all = append(all, orders...)
	}
	return all
}

// Guards against orders for engines that need none, and against none for one that
// needs one.
func TestWhichEnginesGetOrders(t *testing.T) {
	gone := runner("x", "chat", "r1")
	gone.Leaving = true
	none := assign.Report{}
	for _, tc := range []struct {
		name   string
		runner assign.Runner
		report assign.Report
		orders int
	}{
		{"without its model", runner("x", "chat", "r1"), lacking, 1},
		{"with another model", runner("x", "chat", "r1"), assign.Report{Lists: true, Models: []string{"kit-0"}}, 1},
		{"with its model", runner("x", "chat", "r1"), loaded, 0},
		{"no models field", runner("x", "chat", "r1"), none, 0},
		{"loading", runner("x", "chat", "r1"), loading, 0},
		{"leaving", gone, lacking, 0},
		{"service without a model", runner("x", "bare", "r1"), lacking, 0},
		{"unknown service", runner("x", "other", "r1"), lacking, 0},
		{"region that the service is not in", runner("x", "loose", "r2"), lacking, 0},
		{"other region without an entry", runner("x", "chat", "r2"), lacking, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDesk(1, tc.runner)
			d.reports["x"] = tc.report
			orders := d.step(10*second, assign.Accepted)
			require.Len(t, orders, tc.orders)
			for _, o := range orders {
				require.Equal(t, assign.Order{Number: o.Number, Endpoint: "x", Address: "127.0.0.1:1", Model: model, Fence: 1}, o)
			}
		})
	}
}

// Guards against more loads at a time than the bundle allows, and against places
// that stay taken when a load has ended.
func TestLoadsAreBounded(t *testing.T) {
	for loads := 1; loads <= 3; loads++ {
		t.Run(fmt.Sprint(loads), func(t *testing.T) {
			var runners []assign.Runner
			for i := range 5 {
				runners = append(runners, runner(ident.Endpoint(fmt.Sprint("x", i)), "chat", "r1"))
			}
			d := newDesk(loads, runners...)
			ordered := map[ident.Endpoint]int{}
			for len(ordered) < len(runners) {
				orders := d.step(8*second, assign.Accepted)
				require.Len(t, orders, min(loads, len(runners)-len(ordered)))
				require.Empty(t, d.step(8*second, assign.Accepted), "an order although all places are taken")
				for _, o := range orders {
					ordered[o.Endpoint]++
					d.reports[o.Endpoint] = loaded
				}
			}
			for _, n := range ordered {
				require.Equal(t, 1, n)
			}
		})
	}
}

// Guards against a delay that a fault in between shortens: other entries may have
// acted meanwhile.
func TestDelayBeginsAnew(t *testing.T) {
	for _, tc := range []struct {
		name  string
		event func(d *desk)
	}{
		{"the reports stop and nothing is planned, as in a stopped process", func(d *desk) { d.now = d.now.Add(10 * second) }},
		{"the reports stop", func(d *desk) {
			report := d.reports["x"]
			delete(d.reports, "x")
			d.step(10*second, assign.Accepted)
			d.reports["x"] = report
		}},
		{"others order for a while", func(d *desk) {
			own := d.view.Live
			d.view.Live = []assign.Member{own[0], {Entry: "e2", Region: "r2"}}
			d.step(10*second, assign.Accepted)
			d.view.Live = own
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDesk(1, runner("x", "chat", "r2"))
			require.Empty(t, d.step(2*second, assign.Accepted))
			tc.event(d)
			require.Empty(t, d.step(5*second, assign.Accepted))
			require.Len(t, d.step(10*second, assign.Accepted), 1)
		})
	}
}

// Guards against orders that are repeated ever again at once, and against a place
// that an order which came to nothing keeps.
func TestResults(t *testing.T) {
	for _, tc := range []struct {
		name    string
		service ident.Service
		result  assign.Result
		// most bounds the orders of a minute at one engine.
		most int
		// next says that the engine behind gets its turn within the minute.
		next   bool
		counts assign.Counts
	}{
		{"later", "chat", assign.Later, 7, true, assign.Counts{Later: 1}},
		{"failed", "chat", assign.Failed, 7, true, assign.Counts{Failed: 1}},
		{"present but not shown", "chat", assign.Present, 7, true, assign.Counts{Present: 1}},
		{"stale", "chat", assign.Stale, 1, false, assign.Counts{Stale: 1}},
		{"stale from an engine without fence", "loose", assign.Stale, 7, true, assign.Counts{Failed: 1}},
		{"not answered", "chat", "", 1, false, assign.Counts{}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDesk(1, runner("x", tc.service, "r1"), runner("y", tc.service, "r1"))
			first := d.step(5*second, tc.result)
			require.Len(t, first, 1)
			require.Equal(t, ident.Endpoint("x"), first[0].Endpoint)
			require.Equal(t, tc.counts, d.Counts())
			count := map[ident.Endpoint]int{"x": 1}
			for _, o := range d.step(clock.Minute, tc.result) {
				count[o.Endpoint]++
			}
			require.LessOrEqual(t, count["x"], tc.most)
			require.Equal(t, tc.next, count["y"] > 0, count)
		})
	}
}

// Guards against an engine that ends during each load and is ordered one as often as
// it comes back.
func TestBackOffOutlastsSilence(t *testing.T) {
	d := newDesk(1, runner("x", "chat", "r1"))
	var gaps []clock.Span
	for last := d.now; len(gaps) < 7; {
		d.reports["x"] = lacking
		for len(d.step(second, assign.Accepted)) == 0 {
			require.Less(t, d.now.Sub(last), 3*clock.Minute, "no order any more")
		}
		gaps = append(gaps, d.now.Sub(last))
		last = d.now
		delete(d.reports, "x")
		d.step(20*second, assign.Accepted)
	}
	require.Greater(t, gaps[1], 20*second+3*second, "an order before other entries have seen the engine")
	require.Greater(t, gaps[6], gaps[1]+15*second, gaps)
}

// Guards against an engine that stays without its model because the one entry that
// orders for it is alive and can't reach it.
func TestAnotherEntryTakesOver(t *testing.T) {
	for i := range 8 {
		d := newDesk(1, runner(ident.Endpoint(fmt.Sprint("x", i)), "chat", "r1"))
		d.view.Live = append(d.view.Live, assign.Member{Entry: "e2", Region: "r1"}, assign.Member{Entry: "e3", Region: "r1"})
		require.Len(t, d.step(clock.Minute, assign.Accepted), 1, i)
	}
}

// Guards against an order that is sent although its decision is out of date.
func TestConfirm(t *testing.T) {
	for _, tc := range []struct {
		name    string
		after   clock.Span
		inForce ident.Version
		event   func(d *desk, n assign.Number)
		want    bool
	}{
		{"at once", 0, 1, nil, true},
		{"after a stop", second, 1, nil, false},
		{"under a newer bundle that no plan has seen", 0, 2, nil, false},
		{"answered before", 0, 1, func(d *desk, n assign.Number) { d.Done(d.now, n, assign.Unsent) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			d := newDesk(1, runner("x", "chat", "r1"))
			orders := d.step(5*second, "")
			require.Len(t, orders, 1)
			if tc.event != nil {
				tc.event(d, orders[0].Number)
			}
			require.Equal(t, tc.want, d.Confirm(d.now.Add(tc.after), orders[0].Number, tc.inForce))
		})
	}
}

// Guards against orders under a version that an engine has refused, and against
// none under the one after it.
func TestStaleEndsWithNewerVersion(t *testing.T) {
	d := newDesk(1, runner("x", "chat", "r1"))
	require.Len(t, d.step(5*second, assign.Stale), 1)
	require.Empty(t, d.step(clock.Minute, assign.Stale))
	d.view.Document = document(2, 1)
	orders := d.step(8*second, assign.Accepted)
	require.Len(t, orders, 1)
	require.Equal(t, ident.Version(2), orders[0].Fence)
}

// Guards against a plan from a document that is older than one that was seen.
func TestLowerVersionIsIgnored(t *testing.T) {
	d := newDesk(1, runner("x", "chat", "r1"))
	d.view.Document = document(2, 1)
	require.Empty(t, d.step(second, assign.Accepted))
	d.view.Document = document(1, 1)
	require.Empty(t, d.step(clock.Minute, assign.Accepted))
}

// Guards against orders for an engine that came back as a release which doesn't tell
// its models.
func TestEngineStopsTelling(t *testing.T) {
	d := newDesk(1, runner("x", "chat", "r1"))
	require.Empty(t, d.step(second, assign.Accepted))
	d.reports["x"] = assign.Report{}
	require.Empty(t, d.step(clock.Minute, assign.Accepted))
}
