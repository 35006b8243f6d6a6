package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/tanagerbridge/tanagerbridge/caller"
	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/core"
	"github.com/tanagerbridge/tanagerbridge/fleet"
	"github.com/tanagerbridge/tanagerbridge/ident"
	"github.com/tanagerbridge/tanagerbridge/watch"
)

// stubEndpoints answers load report requests with minimal work, so that most of the CPU
// time of a poll is the entry's. It counts bytes in both directions.
type stubEndpoints struct {
	bytes, polls atomic.Int64
}

const reportHeader = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Fri, 04 Dec 2026 08:00:00 GMT\r\nContent-Length: 143\r\n\r\n"

func (r *stubEndpoints) serve(l net.Listener) {
	body := `{"state":"ready","slots":32,"running":12,"waiting":0,"age":500,"prefixes":[11111111111111111111,11111111111111111112,11111111111111111113]}`
	answer := []byte(reportHeader + body + strings.Repeat(" ", 143-len(body)))
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.handle(c, answer)
	}
}

func (r *stubEndpoints) handle(c net.Conn, answer []byte) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReaderSize(c, 512)
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return
		}
		r.bytes.Add(int64(len(line)))
		if len(line) > 2 {
			continue
		}
		_, _ = c.Write(answer)
		r.bytes.Add(int64(len(answer)))
		r.polls.Add(1)
	}
}

// endpoints starts n listeners, distributed over 26 services and 4 regions. A third are in
// the entry's region.
func (r *stubEndpoints) endpoints(b *testing.B, n int) []watch.Instance {
	b.Helper()
	regions := []ident.Region{benchRegion, "western-cape", "kzn", "free-state", benchRegion, "western-cape"}
	var list []watch.Instance
	for i := range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(b, err)
		b.Cleanup(func() { _ = l.Close() })
		go r.serve(l)
		service := benchService
		if k := i / len(regions) % 26; k > 0 {
			service = ident.Service(fmt.Sprintf("%s-%d", benchService, k))
		}
		list = append(list, watch.Instance{
			Name: fmt.Sprintf("runner-%d", i), Role: watch.RoleEndpoint, Region: regions[i%len(regions)], Zone: "a",
			State: watch.StateLive, Address: l.Addr().String(), Service: service, Slots: 32,
		})
	}
	return list
}

// BenchmarkPoll runs an entry in front of n endpoints for 4 s per operation and reports
// the cost per second, for comparison with the cost with one endpoint. The CPU time
// includes that of the stub endpoints; the reports have three prefixes.
func BenchmarkPoll(b *testing.B) {
	for _, n := range []int{1, 12, 100, 600} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			r := &stubEndpoints{}
			list := r.endpoints(b, n)
			before := heapAndStack()
			s := startBench(b, list, benchDocument(b, 26))
			time.Sleep(3 * time.Second)
			memory := heapAndStack() - before
			var used time.Duration
			var seconds float64
			polls, bytes := r.polls.Load(), r.bytes.Load()
			for b.Loop() {
				c := measure(func() { time.Sleep(4 * time.Second) })
				used += c.cpu
				seconds += c.wall.Seconds()
			}
			b.ReportMetric(microseconds(used)/seconds, "processor-µs/s")
			b.ReportMetric(float64(r.polls.Load()-polls)/seconds, "polls/s")
			b.ReportMetric(float64(r.bytes.Load()-bytes)/seconds, "B/s")
			b.ReportMetric(memory, "held-B")
			runtime.KeepAlive(s)
		})
	}
}

func heapAndStack() float64 {
	runtime.GC()
	runtime.GC() // the second run also frees the contents of sync.Pools
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkGossip builds and encodes the gossip of one probe, for an entry whose region has
// endpoints of the given number of services.
func BenchmarkGossip(b *testing.B) {
	for _, services := range []int{2, 26} {
		b.Run(fmt.Sprintf("services=%d", services), func(b *testing.B) {
			r := &stubEndpoints{}
			s := startBench(b, r.endpoints(b, 6*services), benchDocument(b, services))
			require.Eventually(b, func() bool { return len(withCore(s.shell, pollTargets)) > 0 }, time.Minute, 10*time.Millisecond)
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				encoded, err := msgpack.Marshal(peerDelegate{s}.Gossip())
				require.NoError(b, err)
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "B/message")
		})
	}
}

// BenchmarkList reads and applies a list of 390 entries and 600 endpoints.
func BenchmarkList(b *testing.B) {
	list := benchList()
	body, err := json.Marshal(map[string]any{"instances": list})
	require.NoError(b, err)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(body) }))
	defer server.Close()
	f := fleet.New(fleet.Config{Region: benchRegion})
	now := clock.Time(1000)
	b.ReportAllocs()
	for b.Loop() {
		ctx, cancel := context.WithCancel(b.Context())
		l := watch.NewListReader(watch.ListReaderConfig{URL: server.URL, View: benchRegion, Period: clock.Minute})
		_ = l.Run(ctx, func(found []watch.Instance) {
			now = now.Add(clock.Second)
			f.Sync(now, found)
			cancel()
		})
	}
	b.ReportMetric(float64(len(body)), "B/list")
}

func benchList() []watch.Instance {
	var list []watch.Instance
	for i := range 990 {
		region := ident.Region(fmt.Sprintf("region-%d", i%4))
		row := watch.Instance{
			Name: fmt.Sprintf("entry-%d", i), Role: watch.RoleEntry, Region: region, Zone: ident.Zone(string(region) + "-a"),
			State: watch.StateLive, Address: fmt.Sprintf("10.0.%d.%d:8080", i/250, i%250),
		}
		if i < 390 {
			row.Peer = fmt.Sprintf("10.0.%d.%d:8082", i/250, i%250)
		} else {
			row.Name, row.Role = fmt.Sprintf("runner-%d", i), watch.RoleEndpoint
			row.Service, row.Slots = ident.Service(fmt.Sprintf("assistant-%d", i%26)), 32
		}
		list = append(list, row)
	}
	return list
}

// BenchmarkLocation encodes a locate response.
func BenchmarkLocation(b *testing.B) {
	for _, n := range []int{4, 390} {
		b.Run(fmt.Sprintf("entries=%d", n), func(b *testing.B) {
			var addresses []core.EntryAddress
			for _, i := range benchList()[:n] {
				addresses = append(addresses, core.EntryAddress{Entry: ident.Entry(i.Name), Address: i.Address, Region: i.Region})
			}
			size := 0
			b.ReportAllocs()
			for b.Loop() {
				encoded, err := json.Marshal(caller.Location{Entries: callerEntries(addresses), Validity: 2000})
				require.NoError(b, err)
				size = len(encoded)
			}
			b.ReportMetric(float64(size), "B/answer")
		})
	}
}
