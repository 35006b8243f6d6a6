package fakes_test

import (
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

func get(t *testing.T, url string) (status int, revision, body string) {
	t.Helper()
	r, err := http.Get(url)
	require.NoError(t, err)
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	require.NoError(t, err)
	return r.StatusCode, r.Header.Get("Revision"), string(b)
}

// Guards against deviations from the protocol of the configuration service: revisions,
// watches, stale reads, outages, the rate limit and the size limit.
func TestPlatformValues(t *testing.T) {
	p := fakes.NewPlatform(fakes.PlatformConfig{RateLimit: 100})
	require.NoError(t, p.Start())
	t.Cleanup(p.Close)
	set := func(v string) { _, err := p.PublishValue("bundle", []byte(v)); require.NoError(t, err) }
	set("one")
	for _, tc := range []struct {
		name     string
		prepare  func()
		query    string
		status   int
		revision string
		body     string
	}{
		{"read", func() {}, "", 200, "1", "one"},
		{"not modified", func() {}, "?after=1&wait=10", 304, "", ""},
		{"watch", func() { time.AfterFunc(50*time.Millisecond, func() { set("two") }) }, "?after=1&wait=10000", 200, "2", "two"},
		{"stale", func() { p.SetStaleBy(1) }, "", 200, "1", "one"},
		{"fresh again", func() { p.SetStaleBy(0) }, "?after=1", 200, "2", "two"},
	} {
		tc.prepare()
		status, revision, body := get(t, p.URL()+"/v1/value/bundle"+tc.query)
		require.Equal(t, tc.status, status, tc.name)
		require.Equal(t, tc.revision, revision, tc.name)
		require.Equal(t, tc.body, body, tc.name)
	}
	p.SetOutage(true)
	status, _, _ := get(t, p.URL()+"/v1/value/bundle")
	require.Equal(t, 503, status)
	p.SetOutage(false)
	for range 200 {
		if status, _, _ = get(t, p.URL()+"/v1/value/bundle"); status == 429 {
			break
		}
	}
	require.Equal(t, 429, status)
	_, err := p.PublishValue("bundle", make([]byte, 2<<20))
	require.Error(t, err)
}

// Guards against an instance list without its lag, or whose addresses bypass the links.
func TestPlatformList(t *testing.T) {
	p := fakes.NewPlatform(fakes.PlatformConfig{})
	require.NoError(t, p.Start())
	t.Cleanup(p.Close)
	seen := func(view string) []watch.Instance {
		var out struct{ Instances []watch.Instance }
		_, _, body := get(t, p.URL()+"/v1/instances?view="+view)
		require.NoError(t, json.Unmarshal([]byte(body), &out))
		return out.Instances
	}
	status, _, _ := get(t, p.URL()+"/v1/instances?view=a")
	require.Equal(t, 503, status) // with an empty list, an entry would assume that it is the only one
	p.PublishInstances([]watch.Instance{{Name: "e1", Address: "127.0.0.1:1"}})
	p.SetRewrite(fakes.Rewrite{View: "b", Name: "e1", Address: "127.0.0.1:2"})
	require.Equal(t, "127.0.0.1:1", seen("a")[0].Address)
	require.Equal(t, "127.0.0.1:2", seen("b")[0].Address)
	p.SetListLag(clock.Minute)
	p.PublishInstances(nil)
	require.Len(t, seen("a"), 1)
	p.SetListLag(0)
	require.Empty(t, seen("a"))
}

// Guards against order counts that miss an order whose connection was closed after it
// took effect.
func TestServiceOrders(t *testing.T) {
	for _, tc := range []struct {
		name   string
		faults fakes.ServiceFaults
		placed int
		fails  bool
		status int
	}{
		{"placed", fakes.ServiceFaults{}, 1, false, 200},
		{"dropped before", fakes.ServiceFaults{DropBefore: 1}, 0, true, 0},
		{"dropped after", fakes.ServiceFaults{DropAfter: 1}, 1, true, 0},
		{"refused", fakes.ServiceFaults{Refuse: 1}, 0, false, 503},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := fakes.NewService(fakes.ServiceConfig{Name: "o1"})
			require.NoError(t, s.Start())
			t.Cleanup(s.Close)
			s.InjectFaults(tc.faults)
			r, err := http.Post("http://"+s.Address()+"/orders", "application/json", strings.NewReader(`{"order":"A-1"}`))
			require.Equal(t, tc.fails, err != nil)
			if err == nil {
				require.Equal(t, tc.status, r.StatusCode)
				_ = r.Body.Close()
			}
			require.Len(t, fakes.CountPlacedOrders(s), tc.placed)
		})
	}
}
