package entry

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/tanagerbridge/tanagerbridge/bundle"
	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/config"
	"github.com/tanagerbridge/tanagerbridge/fakes"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/status"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

const (
	benchRegion  ident.Region  = "gauteng"
	benchService ident.Service = "kit-assistant"
	// benchTokens is the length of an answer in tokens.
	benchTokens = 200
	// benchIDs is how many request ids are used in rotation: an id may not be reused before
	// the handler of its previous request has returned.
	benchIDs = 64
)

// stubEngine is an engine that sends a canned answer with the request's id.
type stubEngine struct {
	// long and short are answers of benchTokens tokens and one token, with idPlaceholder for
	// the id.
	long, short   string
	tokenInterval time.Duration
}

const idPlaceholder = "@"

func newStubEngine(tokenInterval time.Duration) *stubEngine {
	return &stubEngine{long: benchAnswer(benchTokens), short: benchAnswer(1), tokenInterval: tokenInterval}
}

func benchAnswer(tokens int) string {
	var b strings.Builder
	for n := 1; n <= tokens; n++ {
		finish := "null"
		if n == tokens {
			finish = `"stop"`
		}
		fmt.Fprintf(&b, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"choices\":"+
			"[{\"index\":0,\"delta\":{\"content\":\" token\"},\"finish_reason\":%s}]}\n\n", n, idPlaceholder, finish)
	}
	b.WriteString("data: [DONE]\n\n")
	return b.String()
}

func benchID(i int) string { return fmt.Sprintf("bench-%03d", i%benchIDs) }

// ServeHTTP writes and flushes each event separately, as an engine does.
func (s *stubEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/load" {
		_, _ = io.WriteString(w, `{"state":"ready","slots":1024,"running":0,"waiting":0,"age":0,"prefixes":[]}`)
		return
	}
	body, _ := io.ReadAll(r.Body)
	answer := s.long
	if strings.Contains(string(body), `"max_tokens":1,`) {
		answer = s.short
	}
	id := r.Header.Get(caller.HeaderRequest)
	w.Header().Set(caller.HeaderRequest, id)
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	rest := strings.ReplaceAll(answer, idPlaceholder, id)
	for rest != "" {
		event, after, _ := strings.Cut(rest, "\n\n")
		_, _ = io.WriteString(w, rest[:len(event)+2])
		_ = flush.Flush()
		rest = after
		if s.tokenInterval > 0 {
			time.Sleep(s.tokenInterval)
		}
	}
}

// bareProxy only copies and flushes: the minimum work of any proxy.
type bareProxy struct {
	engine string
	client *http.Transport
}

func (p *bareProxy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, _ := http.NewRequestWithContext(r.Context(), r.Method, p.engine+r.URL.Path, r.Body)
	req.Header = r.Header.Clone()
	resp, err := p.client.RoundTrip(req)
	if err != nil {
		w.WriteHeader(http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	maps.Copy(w.Header(), resp.Header)
	w.WriteHeader(resp.StatusCode)
	flush := http.NewResponseController(w)
	buffer := make([]byte, 32<<10)
	for {
		n, err := resp.Body.Read(buffer)
		if n > 0 {
			_, _ = w.Write(buffer[:n])
			_ = flush.Flush()
		}
		if err != nil {
			return
		}
	}
}

// paths are the URLs of the stub engine, directly, through the bare proxy and through an entry.
type paths struct {
	direct, bare, entry string
	client              *http.Client
	next                int
}

func newPaths(b *testing.B, tokenInterval time.Duration) *paths {
	b.Helper()
	engine := httptest.NewServer(newStubEngine(tokenInterval))
	b.Cleanup(engine.Close)
	proxy := httptest.NewServer(&bareProxy{engine: engine.URL, client: newClient().pooled})
	b.Cleanup(proxy.Close)
	list := []watch.Instance{{
		Name: "engine-1", Role: watch.RoleEndpoint, Region: benchRegion, Zone: "a", State: watch.StateLive,
		Address: engine.Listener.Addr().String(), Service: benchService, Slots: 1024,
	}}
	s := startBench(b, list, benchDocument(b, 1))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchIDs}}
	return &paths{direct: engine.URL, bare: proxy.URL, entry: "http://" + s.Address(), client: client}
}

// startBench starts one entry in front of the instances of a list.
func startBench(b *testing.B, list []watch.Instance, document []byte) *Server {
	b.Helper()
	platform := fakes.NewPlatform(fakes.PlatformConfig{})
	require.NoError(b, platform.Start())
	b.Cleanup(platform.Close)
	public, private, err := bundle.GenerateKey("k1")
	require.NoError(b, err)
	signed, err := bundle.Sign(private, document)
	require.NoError(b, err)
	_, err = platform.PublishValue("bundle", signed.Encode())
	require.NoError(b, err)
	platform.PublishInstances(list)
	secret := base64.StdEncoding.EncodeToString(make([]byte, 32))
	c := config.Default()
	c.Name, c.Region, c.Zone, c.Seed = "e1", benchRegion, "a", 1
	c.Listen = config.Listen{Caller: "127.0.0.1:0", Admin: "127.0.0.1:0", Peer: "127.0.0.1:0"}
	c.Platform = config.Platform{ConfigURL: platform.URL(), InstancesURL: platform.URL(), BundleName: "bundle"}
	c.Keys = config.Keys{Bundle: public.String(), Fleet: "f1=" + secret, Tickets: "t1=" + secret}
	s, err := Start(context.Background(), c, zap.NewNop())
	require.NoError(b, err)
	b.Cleanup(func() { _ = s.Close() })
	require.Eventually(b, func() bool { return s.currentStatus().State == status.Ready }, time.Minute, 10*time.Millisecond)
	return s
}

// benchDocument returns a bundle with the given number of engine services.
func benchDocument(tb testing.TB, services int) []byte {
	tb.Helper()
	regions := []ident.Region{benchRegion, "western-cape", "kzn", "free-state"}
	d := &bundle.Document{
		Version: 1, Deployment: "bench", Regions: regions, Homes: []bundle.Home{},
		Classes: []bundle.Class{
			{Name: "short", Urgency: 0, FirstTokenTarget: 1600, BetweenTokensTarget: 54, Deadline: 20 * clock.Second, MaxTokens: 256, MaxShare: 1},
			{Name: "long", Urgency: 1, FirstTokenTarget: 8000, BetweenTokensTarget: 54, Deadline: 120 * clock.Second, MaxShare: 0.75},
		},
		Limits:  bundle.Limits{Body: 1 << 20, Queue: 512, Caller: 256, Answers: 16 << 20, Loads: 1},
		Retry:   bundle.Retry{Ratio: 0.1, Burst: 10, MaxAttempts: 3},
		Weights: bundle.Weights{Away: 1, Cost: 1, Short: 1, Tail: 1},
		Links:   []bundle.Link{},
	}
	for i := range services {
		name := benchService
		if i > 0 {
			name = ident.Service(fmt.Sprintf("%s-%d", benchService, i))
		}
		d.Services = append(d.Services, bundle.Service{
			Name: name, Kind: bundle.Engine, Regions: regions, Continue: true, Model: "m", Calls: []bundle.Call{},
		})
	}
	body, err := json.Marshal(d)
	require.NoError(tb, err)
	return body
}

const benchBody = `{"model":"m","stream":true,"max_tokens":%d,"messages":[{"role":"system","content":"You help with school kit."},` +
	`{"role":"user","content":"How many beakers does a class of thirty need for the term?"}]}`

// complete runs one stream to its end.
func (p *paths) complete(client *http.Client, url, id string, tokens int) error {
	body := fmt.Sprintf(benchBody, tokens)
	req, err := http.NewRequest(http.MethodPost, url+caller.PathComplete, strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set(caller.HeaderRequest, id)
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	n, err := io.Copy(io.Discard, resp.Body)
	if err == nil && (resp.StatusCode != http.StatusOK || n < int64(100*tokens)) {
		err = fmt.Errorf("status %d, %d bytes", resp.StatusCode, n)
	}
	return err
}

// cost is the resource use of a number of streams over one path.
type cost struct {
	wall, cpu          time.Duration
	allocations, bytes uint64
}

func (c *cost) add(d cost) {
	c.wall += d.wall
	c.cpu += d.cpu
	c.allocations += d.allocations
	c.bytes += d.bytes
}

// cpuTime returns the CPU time of the whole process: caller, proxy and engine.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func measure(work func()) cost {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	start, used := time.Now(), cpuTime()
	work()
	c := cost{wall: time.Since(start), cpu: cpuTime() - used}
	runtime.ReadMemStats(&after)
	c.allocations, c.bytes = after.Mallocs-before.Mallocs, after.TotalAlloc-before.TotalAlloc
	return c
}

// run sends batch streams, sequentially or all at once.
func (p *paths) run(b *testing.B, url string, batch, tokens int, together bool) cost {
	b.Helper()
	failures := make(chan error, batch)
	c := measure(func() {
		for range batch {
			p.next++
			id := benchID(p.next)
			if together {
				go func() { failures <- p.complete(p.client, url, id, tokens) }()
				continue
			}
			failures <- p.complete(p.client, url, id, tokens)
		}
		for range batch {
			if err := <-failures; err != nil {
				b.Fatal(err)
			}
		}
	})
	return c
}

// BenchmarkOverhead sends streams of 200 tokens and of one token directly to the stub
// engine, through the bare proxy and through an entry, alternately. "burst" has no delay
// between tokens; "paced" has 5 ms and 32 concurrent streams, so that each token is a
// separate wakeup, as in production. Measurements include caller and engine; "own" is the
// share of the proxy, without that of the direct path. The cost per request is that of a
// one-token stream.
func BenchmarkOverhead(b *testing.B) {
	b.Run("burst", func(b *testing.B) { benchmarkOverhead(b, 0, 16, false) })
	b.Run("paced", func(b *testing.B) { benchmarkOverhead(b, 5*time.Millisecond, 32, true) })
}

func benchmarkOverhead(b *testing.B, tokenInterval time.Duration, batch int, together bool) {
	b.Helper()
	p := newPaths(b, tokenInterval)
	var long, short [3]cost
	urls := []string{p.direct, p.bare, p.entry}
	for _, url := range urls {
		p.run(b, url, batch, 1, together)
	}
	rounds := 0
	for b.Loop() {
		for i, url := range urls {
			long[i].add(p.run(b, url, batch, benchTokens, together))
			short[i].add(p.run(b, url, batch, 1, together))
		}
		rounds++
	}
	b.ReportMetric(0, "ns/op")
	requests := float64(rounds * batch)
	for i, name := range []string{"bare", "entry"} {
		reportOverhead(b, name, requests, long[0], short[0], long[i+1], short[i+1])
	}
	direct, plain, own := long[0], long[1], long[2]
	b.ReportMetric(float64(own.wall)/float64(plain.wall), "entry/bare-wall")
	b.ReportMetric(float64(own.wall)/float64(direct.wall), "entry/direct-wall")
	b.ReportMetric(float64(own.cpu)/float64(plain.cpu), "entry/bare-processor")
	b.ReportMetric(float64(own.cpu-direct.cpu)/float64(plain.cpu-direct.cpu), "entry/bare-own-processor")
}

// reportOverhead reports the cost of a proxy over the direct path.
func reportOverhead(b *testing.B, name string, requests float64, directLong, directShort, long, short cost) {
	b.Helper()
	tokens := requests * (benchTokens - 1)
	request := microseconds(short.cpu - directShort.cpu)
	b.ReportMetric(request/requests, name+"-µs/request")
	b.ReportMetric((microseconds(long.cpu-directLong.cpu)-request)/tokens, name+"-µs/token")
	allocations := float64(short.allocations) - float64(directShort.allocations)
	b.ReportMetric(allocations/requests, name+"-allocs/request")
	b.ReportMetric((float64(long.allocations)-float64(directLong.allocations)-allocations)/tokens, name+"-allocs/token")
	size := float64(short.bytes) - float64(directShort.bytes)
	b.ReportMetric(size/requests, name+"-B/request")
}

func microseconds(d time.Duration) float64 { return float64(d.Nanoseconds()) / 1e3 }

// BenchmarkEntry runs only the path through the entry, for profiling.
func BenchmarkEntry(b *testing.B) {
	p := newPaths(b, 0)
	b.ReportAllocs()
	for b.Loop() {
		p.next++
		if err := p.complete(p.client, p.entry, benchID(p.next), benchTokens); err != nil {
			b.Fatal(err)
		}
	}
}
