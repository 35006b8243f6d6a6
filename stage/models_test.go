package stage_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/stage"
)

// testTimeout bounds waits for events that must happen; it only ends tests that hang.
const testTimeout = 90 * time.Second

func startDeployment(t *testing.T, cfg stage.Config) (context.Context, *stage.Deployment) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	cfg.Speedup = 5
	s, err := stage.Start(ctx, cfg)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.NoError(t, s.WaitReady(ctx))
	return ctx, s
}

// sendModelOrder sends a model order, as a delayed process would, and returns the HTTP
// status.
func sendModelOrder(ctx context.Context, t *testing.T, e *fakes.Engine, o fakes.ModelOrder) int {
	t.Helper()
	body, err := json.Marshal(o)
	require.NoError(t, err)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address()+"/v1/orders", bytes.NewReader(body))
	require.NoError(t, err)
	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp.StatusCode
}

// Guards against engines that stay without their model after a crash, against more
// concurrent loads in a region than the bundle allows, and against a delayed duplicate of
// an order that unloads or reloads a model at an engine that ignores fencing numbers.
func TestCrashedEnginesGetTheirModel(t *testing.T) {
	ctx, s := startDeployment(t, stage.Config{
		Entries: 4, Engines: 18, ModelLoading: &stage.ModelLoading{ModelSize: 1 << 20, StoreBandwidth: 1 << 20, IgnoreFences: true},
	})
	region, model := s.Regions()[0], s.Document().Services[0].Model
	crashed := s.EnginesIn(region)[:2] // a third of the region's engines
	for _, e := range crashed {
		require.NoError(t, s.CrashEngine(e.Name()))
	}
	for _, e := range crashed {
		require.NoError(t, s.RestartEngine(e.Name()))
		require.Empty(t, e.Models())
	}
	for _, e := range crashed {
		require.Eventually(t, func() bool { return slices.Contains(e.Models(), model) }, testTimeout, 50*time.Millisecond, e.Name())
	}
	for _, r := range s.Regions() {
		require.LessOrEqual(t, s.Store.PeakLoads(r), s.Document().Limits.Loads, r)
	}
	require.Equal(t, len(crashed), s.Store.TotalLoads(region))
	for _, e := range crashed {
		for _, o := range e.ModelOrders() {
			require.Equal(t, fakes.ModelOrder{Kind: "load", Model: model, Fence: 1}, o.ModelOrder)
		}
	}

	delayed := fakes.ModelOrder{Kind: "load", Model: model, Fence: 1}
	require.Equal(t, http.StatusOK, sendModelOrder(ctx, t, crashed[0], fakes.ModelOrder{Kind: "load", Model: model, Fence: 2}))
	require.Equal(t, http.StatusOK, sendModelOrder(ctx, t, crashed[0], delayed))
	require.Equal(t, []string{model}, crashed[0].Models())
	require.Equal(t, len(crashed), s.Store.TotalLoads(region))
}

// Guards against wrong handling of an order whose connection is closed before or after it
// takes effect. If the service detects duplicates by a key, the order must be repeated and
// placed exactly once; otherwise it must not be repeated, and its outcome is unknown.
func TestDroppedOrders(t *testing.T) {
	cases := []struct {
		name   string
		faults fakes.ServiceFaults
		placed int // without a key
	}{
		{"before it is placed", fakes.ServiceFaults{DropBefore: 1}, 0},
		{"after it is placed", fakes.ServiceFaults{DropAfter: 1}, 1},
	}
	for _, header := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
		t.Run("key "+header, func(t *testing.T) {
			ctx, s := startDeployment(t, stage.Config{Entries: 2, Engines: 3, KeyHeader: header})
			c, err := caller.New(caller.Config{Entries: []string{s.CallerAddress(s.Regions()[0])}, Service: s.PlainService(), Seed: 1})
			require.NoError(t, err)
			for i, tc := range cases {
				// With a key, one of the bundle's three attempts must succeed. The first
				// endpoint is the only one in the entry's region.
				faulty := s.Services
				if header != "" {
					faulty = faulty[:2]
				}
				for _, sv := range faulty {
					sv.InjectFaults(tc.faults)
				}
				name := fmt.Sprint(70 + i)
				outcome, err := c.Call(ctx, http.MethodPost, "/orders", []byte(`{"order":"`+name+`"}`))
				recorded := callsForOrder(s, name)
				if header == "" {
					require.Error(t, err, tc.name)
					require.Equal(t, caller.Unknown, outcome.State, tc.name)
					require.Len(t, recorded, 1, tc.name)
					require.Equal(t, tc.placed, countPlaced(recorded), tc.name)
					continue
				}
				requireSinglePlacement(t, tc.name, outcome, err, recorded)
			}
		})
	}
}

func requireSinglePlacement(t *testing.T, name string, outcome caller.Outcome, err error, all []fakes.Call) {
	t.Helper()
	require.NoError(t, err, name)
	require.Equal(t, caller.Done, outcome.State, name)
	require.Greater(t, len(all), 1, name)
	require.Equal(t, 1, countPlaced(all), name)
	for _, one := range all {
		require.NotEmpty(t, one.Key, name)
		require.Equal(t, all[0].Key, one.Key, name)
	}
}

// callsForOrder returns the records of an order at all instances of the service.
func callsForOrder(s *stage.Deployment, order string) []fakes.Call {
	var found []fakes.Call
	for _, sv := range s.Services {
		for _, c := range sv.Calls() {
			if c.Order == order {
				found = append(found, c)
			}
		}
	}
	return found
}

func countPlaced(all []fakes.Call) int {
	n := 0
	for _, c := range all {
		if c.Placed {
			n++
		}
	}
	return n
}
