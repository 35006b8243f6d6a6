package cmd

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/burn"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/gossip"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/status"
)

// newFakeAdmin starts a server that handles the admin paths like an entry.
func newFakeAdmin(t *testing.T, name ident.Entry, requests *atomic.Int64) *httptest.Server {
	t.Helper()
	m := burn.New(burn.Config{Entry: name})
	m.Record(1, burn.Sample{Service: "assistant", Class: "short", Region: "kzn", First: 10, Complete: true})
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body any
		switch r.Method + r.URL.Path {
		case "GET" + status.PathReport:
			body = m.Report(clock.Time(1))
		case "GET" + status.PathStatus:
			left := requests.Add(-1)
			if left < 0 {
				go s.Close()
			}
			body = statusOf(name, int(left))
		case "POST" + status.PathDrain:
			w.WriteHeader(http.StatusAccepted)
			body = status.Drain{Entry: name, Incarnation: 7, Requests: int(requests.Load())}
		}
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(s.Close)
	return s
}

func statusOf(name ident.Entry, requests int) status.Status {
	return status.Status{
		Entry: name, Region: "kzn", Zone: "kzn-1", Incarnation: 7, State: status.Draining,
		Version: 12, Digest: strings.Repeat("ab", 32), Requests: requests,
		Members:   []status.Member{{Name: "e2", Region: "gauteng", State: gossip.Suspect, Incarnation: 3}},
		Endpoints: []status.Endpoint{{Name: "runner-1", Service: "assistant", Region: "kzn", State: "ready", Weight: 0.5, Load: 2.25, OwnAttempts: 1}},
		Queues:    []status.Queue{{Service: "assistant", Waiting: 4}},
		Counters:  []status.Counter{{Name: "unknown", Value: 2}},
	}
}

func address(s *httptest.Server) string { return s.Listener.Addr().String() }

// Guards against a report that omits entries without saying so.
func TestReport(t *testing.T) {
	var n atomic.Int64
	a, b := newFakeAdmin(t, "e1", &n), newFakeAdmin(t, "e2", &n)
	admins := address(a) + "," + address(b) + ",127.0.0.1:1"
	code, out, errOut := run("report", "--admins", admins)
	require.Zero(t, code, errOut)
	require.Contains(t, out, "entries: e1, e2\n")
	require.Contains(t, out, "missing: 127.0.0.1:1 (")
	code, out, errOut = run("report", "--admins", admins, "--json")
	require.Zero(t, code, errOut)
	var r burn.Report
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, int64(2), r.Series[0].First.Count())
	require.Len(t, r.Missing, 1)
}

// Guards against a status that omits data of entries, or entries that do not answer.
func TestStatus(t *testing.T) {
	var n atomic.Int64
	n.Store(10)
	a := newFakeAdmin(t, "e1", &n)
	code, out, errOut := run("status", "--admins", address(a)+",127.0.0.1:1")
	require.Zero(t, code, errOut)
	for _, want := range []string{
		"e1     kzn     kzn-1  7            draining  12       abababababab  9",
		"e1       e2      gauteng  suspect  3",
		"e1       runner-1  assistant  kzn     ready  0.50    2.2   1",
		"e1     assistant  4",
		"e1     unknown  2",
		"missing: 127.0.0.1:1 (",
	} {
		require.Contains(t, out, want)
	}
	_, out, _ = run("status", "--admins", address(a), "--json")
	var r statusReport
	require.NoError(t, json.Unmarshal([]byte(out), &r))
	require.Equal(t, []status.Status{statusOf("e1", 8)}, r.Entries)
}

// Guards against a drain that is reported as finished while the entry is running, and
// against one that keeps waiting after the entry has exited.
func TestDrain(t *testing.T) {
	var n atomic.Int64
	n.Store(3)
	a := newFakeAdmin(t, "e1", &n)
	code, out, errOut := run("drain", "--admin", address(a), "--interval", "1ms")
	require.Zero(t, code, errOut)
	require.Contains(t, out, "e1 is draining, 3 requests in progress\n2 requests in progress\n")
	require.True(t, strings.HasSuffix(out, "left\n"))

	n.Store(1 << 40)
	b := newFakeAdmin(t, "e2", &n)
	code, _, errOut = run("drain", "--admin", address(b), "--interval", "5ms", "--timeout", "200ms")
	require.Equal(t, exitError, code)
	require.Contains(t, errOut, "has not left")
	require.Contains(t, errOut, "requests in progress")
}

// Guards against another process at the same address that is taken for the draining
// entry.
func TestDrainReplaced(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, _ = w.Write([]byte(`{"entry":"e1","incarnation":6,"requests":1}`))
			return
		}
		_ = json.NewEncoder(w).Encode(statusOf("e1", 5))
	}))
	defer s.Close()
	code, out, errOut := run("drain", "--admin", address(s), "--timeout", "5s")
	require.Zero(t, code, errOut)
	require.Contains(t, out, "left\n")
}
