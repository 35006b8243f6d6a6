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

// counted is a listener that counts the bytes of its connections, without TCP and IP headers.
type counted struct {
	net.Listener
	bytes atomic.Int64
}

type countedConn struct {
	net.Conn
	l *counted
}

func (l *counted) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countedConn{c, l}, err
}

func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.bytes.Add(int64(n))
	return n, err
}

func counting(b *testing.B) *counted {
	b.Helper()
	s, err := wire.NewServer(wire.ServerConfig{Secrets: current(newSecret)})
	require.NoError(b, err)
	wire.Handle(s, "echo", func(_ context.Context, _ wire.Peer, q text) (text, error) { return q, nil })
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	l := &counted{Listener: inner}
	go func() { _ = s.Serve(context.Background(), l) }()
	b.Cleanup(s.Close)
	return l
}

// processor returns the processor time of the whole process, both ends included.
func processor() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func memory() float64 {
	runtime.GC()
	runtime.GC() // the second run also frees what pools kept, and shrinks stacks
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// BenchmarkPing measures one request and answer with the size of a quiet probe.
func BenchmarkPing(b *testing.B) {
	l := counting(b)
	c := client(b, wire.ClientConfig{Secrets: current(newSecret)})
	body := strings.Repeat("x", 500)
	_, err := call(b, c, l.Addr().String(), "echo", body)
	require.NoError(b, err)
	bytes, start := l.bytes.Load(), processor()
	for b.Loop() {
		if _, err := call(b, c, l.Addr().String(), "echo", body); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64((processor()-start).Microseconds())/float64(b.N), "processor-µs/ping")
	b.ReportMetric(float64(l.bytes.Load()-bytes)/float64(b.N), "tls-B/ping")
}

// BenchmarkConnection measures a new connection with one request, and then what a
// connection that stays open holds, on both ends together.
func BenchmarkConnection(b *testing.B) {
	const held = 200
	l := counting(b)
	address := l.Addr().String()
	clients := make([]*wire.Client, held)
	for i := range clients {
		clients[i] = client(b, wire.ClientConfig{Secrets: current(newSecret)})
	}
	before := memory()
	for _, c := range clients {
		_, err := call(b, c, address, "echo", "x")
		require.NoError(b, err)
	}
	kept := (memory() - before) / held
	bytes, start := l.bytes.Load(), processor()
	for b.Loop() {
		c, err := wire.NewClient(wire.ClientConfig{Secrets: current(newSecret)})
		require.NoError(b, err)
		if _, err := call(b, c, address, "echo", "x"); err != nil {
			b.Fatal(err)
		}
		c.Close()
	}
	b.ReportMetric(float64((processor()-start).Microseconds())/float64(b.N), "processor-µs/connection")
	b.ReportMetric(float64(l.bytes.Load()-bytes)/float64(b.N), "tls-B/connection")
	b.ReportMetric(kept, "held-B/connection")
}
