package entry_test

import (
	"context"
	"encoding/base64"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/stage"
	"github.com/tanagerbridge/tanagerbridge/ticket"
)

// testLimit is the timeout of one test, for tests that hang.
const testLimit = 60 * time.Second

func startDeployment(t *testing.T) (context.Context, *stage.Deployment) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	t.Cleanup(cancel)
	s, err := stage.Start(ctx, stage.Config{Deployment: stage.Kgosi, Seed: 1, Speedup: 5})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.NoError(t, s.WaitReady(ctx))
	return ctx, s
}

func client(t *testing.T, s *stage.Deployment, service ident.Service) *caller.Client {
	t.Helper()
	c, err := caller.New(caller.Config{Entries: []string{s.CallerAddress(s.Regions()[0])}, Service: service, Seed: 1})
	require.NoError(t, err)
	return c
}

func prompt(text string) caller.Prompt {
	return caller.Prompt{Messages: []caller.Message{{Role: "user", Content: text}}, MaxTokens: 50}
}

func wantAnswer(p caller.Prompt) string {
	return fakes.FullAnswer(&fakes.CompletionRequest{Messages: []fakes.Message{{Role: "user", Content: p.Messages[0].Content}}, MaxTokens: p.MaxTokens})
}

// Guards against truncated or mixed answers under each fault of an engine's stream.
func TestCompleteAnswers(t *testing.T) {
	ctx, s := startDeployment(t)
	tests := []struct {
		name   string
		faults fakes.EngineFaults
	}{
		{"none", fakes.EngineFaults{}},
		{"crossed", fakes.EngineFaults{WrongRequest: 1}},
		{"truncated", fakes.EngineFaults{Truncate: 1}},
		{"broken", fakes.EngineFaults{Abort: 1}},
		{"repeated", fakes.EngineFaults{Repeat: 1}},
	}
	c := client(t, s, s.EngineService())
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for _, e := range s.Engines {
				e.InjectFaults(tt.faults)
			}
			p := prompt("how many beakers for grade nine, " + tt.name)
			var got strings.Builder
			_, err := c.Complete(ctx, p, caller.Sink{
				OnToken:   func(text string) { got.WriteString(text) },
				OnRestart: func(error) { got.Reset() },
			})
			require.NoError(t, err)
			require.Equal(t, wantAnswer(p), got.String())
		})
	}
}

// Guards against orders that http.Transport or a retry sends twice when the service
// drops the connection after reading the request.
func TestDroppedOrderIsPlacedOnce(t *testing.T) {
	ctx, s := startDeployment(t)
	c := client(t, s, s.PlainService())
	for range 3 {
		_, err := c.Call(ctx, http.MethodGet, "/stock?item=beaker", nil)
		require.NoError(t, err)
	}
	for _, d := range s.Services {
		d.InjectFaults(fakes.ServiceFaults{DropAfter: 1})
	}
	outcome, err := c.Call(ctx, http.MethodPost, "/orders", []byte(`{"order":"77"}`))
	require.Error(t, err)
	require.Equal(t, caller.Unknown, outcome.State)
	require.Equal(t, []fakes.PlacementCount{{Key: "77", Count: 1}}, fakes.CountPlacedOrders(s.Services...))
}

// Guards against invalid input that gets no specific error.
func TestBadInput(t *testing.T) {
	ctx, s := startDeployment(t)
	address := "http://" + s.CallerAddress(s.Regions()[0])
	tests := []struct {
		name, method, path, body string
		header                   http.Header
		status                   int
		kind                     caller.Reason
		ran                      caller.Ran
	}{
		{"large body", "POST", "/v1/chat/completions", strings.Repeat("a", 2<<20), nil, 413, caller.ReasonBody, caller.RanNo},
		{"no JSON", "POST", "/v1/chat/completions", "{", nil, 400, caller.ReasonMalformed, caller.RanNo},
		{"no messages", "POST", "/v1/chat/completions", `{"messages":[]}`, nil, 400, caller.ReasonMalformed, caller.RanNo},
		{"unknown service", "GET", "/v1/call/nowhere/x", "", nil, 404, caller.ReasonService, caller.RanNo},
		{"unknown call", "DELETE", "/v1/call/order-desk/orders", "", nil, 404, caller.ReasonService, caller.RanNo},
		{"unknown path", "GET", "/v2", "", nil, 404, caller.ReasonService, caller.RanNo},
		{"unknown home", "GET", "/v1/call/order-desk/stock", "", http.Header{caller.HeaderHome: {"moon"}}, 400, caller.ReasonHome, caller.RanNo},
		{"no ticket", "POST", "/v1/call/order-desk/orders", `{"order":"1"}`, nil, 428, caller.ReasonTicket, caller.RanNo},
		{"malformed ticket", "POST", "/v1/call/order-desk/orders", "", http.Header{caller.HeaderTicket: {"x"}}, 400, caller.ReasonMalformed, caller.RanUnknown},
		{"ticket of a removed key", "POST", "/v1/call/order-desk/orders", "", http.Header{caller.HeaderTicket: {removedKey(t)}}, 504, caller.ReasonUnknown, caller.RanUnknown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req, err := http.NewRequestWithContext(ctx, tt.method, address+tt.path, strings.NewReader(tt.body))
			require.NoError(t, err)
			if tt.header != nil {
				req.Header = tt.header
			}
			resp, err := http.DefaultClient.Do(req)
			require.NoError(t, err)
			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tt.status, resp.StatusCode, string(body))
			require.Contains(t, string(body), `"kind":"`+string(tt.kind)+`"`)
			require.Equal(t, string(tt.ran), resp.Header.Get(caller.HeaderRan))
		})
	}
}

// removedKey returns a ticket under a key that no entry has.
func removedKey(t *testing.T) string {
	t.Helper()
	keys, err := ticket.ParseKeys("old=" + base64.StdEncoding.EncodeToString(make([]byte, 32)))
	require.NoError(t, err)
	return keys.Encode(ticket.Ticket{Entry: "entry-1", Incarnation: 1, Sequence: 1, Service: "order-desk"})
}

// Guards against resuming another caller's stream: callers choose their request ids, and
// two entries may send the same id to one engine.
func TestEqualRequestIDsDoNotMixAnswers(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testLimit)
	defer cancel()
	s, err := stage.Start(ctx, stage.Config{Deployment: stage.Kgosi, Seed: 1, Speedup: 5, Engines: 1, Entries: 3})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	require.NoError(t, s.WaitReady(ctx))
	s.Engines[0].InjectFaults(fakes.EngineFaults{Abort: 3})
	var group errgroup
	for i, e := range s.Entries() {
		group.run(func() error {
			c, err := caller.New(caller.Config{Entries: []string{e.Address()}, Service: s.EngineService(), Seed: 7, MaxAttempts: 1})
			if err != nil {
				return err
			}
			p := prompt(strings.Repeat("question ", i+1))
			var got strings.Builder
			_, err = c.Complete(ctx, p, caller.Sink{OnToken: func(text string) { got.WriteString(text) }})
			if err == nil && got.String() != wantAnswer(p) {
				err = errors.Errorf("caller %d got %q instead of %q", i, got.String(), wantAnswer(p))
			}
			return err
		})
	}
	require.NoError(t, group.wait())
}

// errgroup runs functions concurrently and keeps the first error.
type errgroup struct {
	wg   sync.WaitGroup
	once sync.Once
	err  error
}

func (g *errgroup) run(f func() error) {
	g.wg.Go(func() {
		if err := f(); err != nil {
			g.once.Do(func() { g.err = err })
		}
	})
}

func (g *errgroup) wait() error {
	g.wg.Wait()
	return g.err
}

// Guards against requests that stay in progress forever, and block a drain, because their
// caller disconnected between the dispatch decision and the dispatch.
func TestDeparturesLeaveNothingInProgress(t *testing.T) {
	ctx, s := startDeployment(t)
	c := client(t, s, s.PlainService())
	location, err := c.Locate(ctx, "POST /orders")
	require.NoError(t, err)
	address := location.Entries[0].Address
	var group errgroup
	for i := range 300 {
		group.run(func() error {
			located, err := c.Locate(ctx, "POST /orders")
			if err != nil {
				return err
			}
			shortCtx, cancel := context.WithTimeout(ctx, time.Duration(i*10)*time.Microsecond)
			defer cancel()
			body := strings.NewReader(`{"order":"` + strconv.Itoa(i) + `"}`)
			req, err := http.NewRequestWithContext(shortCtx, http.MethodPost, "http://"+address+"/v1/call/order-desk/orders", body)
			if err != nil {
				return err
			}
			req.Header.Set(caller.HeaderTicket, located.Ticket)
			if resp, err := http.DefaultClient.Do(req); err == nil {
				return resp.Body.Close()
			}
			return nil
		})
	}
	require.NoError(t, group.wait())
	require.Eventually(t, func() bool {
		for _, e := range s.Entries() {
			st, err := e.Status(ctx)
			if err != nil || st.Requests != 0 {
				return false
			}
		}
		return true
	}, 20*time.Second, 50*time.Millisecond)
	for _, o := range fakes.CountPlacedOrders(s.Services...) {
		require.Equal(t, 1, o.Count, o.Key)
	}
}
