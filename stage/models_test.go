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

// patience bounds a wait for something that must happen; it only ends tests that hang.
const patience = 90 * time.Second

func run(t *testing.T, cfg stage.Config) (context.Context, *stage.Stage) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	t.Cleanup(cancel)
	cfg.Speed = 5
	s, err := stage.Start(ctx, cfg)
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.NoError(t, s.Ready(ctx))
	return ctx, s
}

// order sends a model order as a late process would and returns the status.
func order(ctx context.Context, t *testing.T, e *fakes.Engine, o fakes.ModelOrder) int {
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
// loads at a time than the bundle allows in a region, and against a late copy of an
// order that takes a model away at an engine which ignores the fencing number.
func TestCrashedEnginesGetTheirModel(t *testing.T) {
	ctx, s := run(t, stage.Config{
		Entries: 4, Runners: 18, Loads: &stage.Loads{Size: 1 << 20, Rate: 1 << 20, Ignore: true},
	})
	region, model := s.Regions()[0], s.Document().Services[0].Model
	crashed := s.EnginesIn(region)[:2] // a third of them
	for _, e := range crashed {
		require.NoError(t, s.Crash(e.Name()))
	}
	for _, e := range crashed {
		require.NoError(t, s.Restart(e.Name()))
		require.Empty(t, e.Models())
	}
	for _, e := range crashed {
		require.Eventually(t, func() bool { return slices.Contains(e.Models(), model) }, patience, 50*time.Millisecond, e.Name())
	}
	for _, r := range s.Regions() {
		require.LessOrEqual(t, s.Store.Most(r), s.Document().Limits.Loads, r)
	}
	require.Equal(t, len(crashed), s.Store.Loads(region))
	for _, e := range crashed {
		for _, o := range e.Orders() {
			require.Equal(t, fakes.ModelOrder{Kind: "load", Model: model, Fence: 1}, o.ModelOrder)
		}
	}

	late := fakes.ModelOrder{Kind: "load", Model: model, Fence: 1}
	require.Equal(t, http.StatusOK, order(ctx, t, crashed[0], fakes.ModelOrder{Kind: "load", Model: model, Fence: 2}))
	require.Equal(t, http.StatusOK, order(ctx, t, crashed[0], late))
	require.Equal(t, []string{model}, crashed[0].Models())
	require.Equal(t, len(crashed), s.Store.Loads(region))
}

// Guards against an order that is placed twice, or whose outcome stays unknown
// although the service tells copies apart, when the connection is dropped before or
// after the order takes effect, and against a copy where it doesn't.
func TestDroppedOrders(t *testing.T) {
	drops := []struct {
		name   string
		faults fakes.ServiceFaults
		placed int // without a key
	}{
		{"before it is placed", fakes.ServiceFaults{Before: 1}, 0},
		{"after it is placed", fakes.ServiceFaults{After: 1}, 1},
	}
	for _, header := range []string{"", "Idempotency-Key", "X-Idempotency-Key"} {
		t.Run("key "+header, func(t *testing.T) {
			ctx, s := run(t, stage.Config{Entries: 2, Runners: 3, Dedupe: header})
			c, err := caller.New(caller.Config{Entries: []string{s.CallerAddress(s.Regions()[0])}, Service: s.PlainService(), Seed: 1})
			require.NoError(t, err)
			for i, d := range drops {
				// With a key, one of the bundle's three tries must be left. The first
				// endpoint is the only one in the entry's region.
				spoilt := s.Services
				if header != "" {
					spoilt = spoilt[:2]
				}
				for _, desk := range spoilt {
					desk.Spoil(d.faults)
				}
				name := fmt.Sprint(70 + i)
				outcome, err := c.Call(ctx, http.MethodPost, "/orders", []byte(`{"order":"`+name+`"}`))
				after := calls(s, name)
				if header == "" {
					require.Error(t, err, d.name)
					require.Equal(t, caller.Unknown, outcome.State, d.name)
					require.Len(t, after, 1, d.name)
					require.Equal(t, d.placed, placed(after), d.name)
					continue
				}
				checkRepeats(t, d.name, outcome, err, after)
			}
		})
	}
}

func checkRepeats(t *testing.T, name string, outcome caller.Outcome, err error, all []fakes.Call) {
	t.Helper()
	require.NoError(t, err, name)
	require.Equal(t, caller.Done, outcome.State, name)
	require.Greater(t, len(all), 1, name)
	require.Equal(t, 1, placed(all), name)
	for _, one := range all {
		require.NotEmpty(t, one.Key, name)
		require.Equal(t, all[0].Key, one.Key, name)
	}
}

// calls returns the records of one order at all instances of the service.
func calls(s *stage.Stage, order string) []fakes.Call {
	var found []fakes.Call
	for _, d := range s.Services {
		for _, c := range d.Calls() {
			if c.Order == order {
				found = append(found, c)
			}
		}
	}
	return found
}

func placed(all []fakes.Call) int {
	n := 0
	for _, c := range all {
		if c.Placed {
			n++
		}
	}
	return n
}
