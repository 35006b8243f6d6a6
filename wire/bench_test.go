package wire_test

import (
	"context"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/wire"
)

// countingListener counts the bytes of its connections, excluding TCP and IP headers.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	l *countingListener
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l}, err
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.bytes.Add(int64(n))
	return n, err
}

func serveCounted(b *testing.B) *countingListener {
	b.Helper()
	s, err := wire.NewServer(wire.ServerConfig{Secrets: onlySecret(newSecret)})
	require.NoError(b, err)
	wire.Handle(s, "echo", func(_ context.Context, _ wire.Peer, q text) (text, error) { return q, nil })
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	l := &countingListener{Listener: inner}
	go func() { _ = s.Serve(context.Background(), l) }()
	b.Cleanup(s.Close)
	return l
}

// processCPU returns the CPU time of the whole process, client and server together.
func processCPU() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // the second run also frees pooled objects and shrinks stacks
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkPing measures one request and response of the size of a probe without updates.
func BenchmarkPing(b *testing.B) {
	l := serveCounted(b)
	c := client(b, wire.ClientConfig{Secrets: onlySecret(newSecret)})
	body := strings.Repeat("x", 500)
	_, err := call(b, c, l.Addr().String(), "echo", body)
	require.NoError(b, err)
	bytes, start := l.bytes.Load(), processCPU()
	for b.Loop() {
		if _, err := call(b, c, l.Addr().String(), "echo", body); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processCPU()-start).Microseconds())/float64(b.N), "processor-µs/ping")
	b.ReportMetric(float64(l.bytes.Load()-bytes)/float64(b.N), "tls-B/ping")
}

// BenchmarkConnection measures a new connection with one request, and the memory of
// an open connection, client and server together.
func BenchmarkConnection(b *testing.B) {
	const openConnections = 200
	l := serveCounted(b)
	address := l.Addr().String()
	clients := make([]*wire.Client, openConnections)
	for i := range clients {
		clients[i] = client(b, wire.ClientConfig{Secrets: onlySecret(newSecret)})
	}
	before := memoryInUse()
	for _, c := range clients {
		_, err := call(b, c, address, "echo", "x")
		require.NoError(b, err)
	}
	bytesPerConnection := (memoryInUse() - before) / openConnections
	bytes, start := l.bytes.Load(), processCPU()
	for b.Loop() {
		c, err := wire.NewClient(wire.ClientConfig{Secrets: onlySecret(newSecret)})
		require.NoError(b, err)
		if _, err := call(b, c, address, "echo", "x"); err != nil {
			b.Fatal(err)
		}
		c.Close()
	}
	b.ReportMetric(float64((processCPU()-start).Microseconds())/float64(b.N), "processor-µs/connection")
	b.ReportMetric(float64(l.bytes.Load()-bytes)/float64(b.N), "tls-B/connection")
	b.ReportMetric(bytesPerConnection, "held-B/connection")
}
