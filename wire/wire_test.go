package wire_test

import (
	"context"
	"crypto/tls"
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/clock"
	"github.com/tanagerbridge/tanagerbridge/fault"
	"github.com/tanagerbridge/tanagerbridge/wire"
)

var (
	oldSecret = []byte("an old secret for the tests")
	newSecret = []byte("a new secret for the tests")
)

type text struct {
	Text string `msgpack:"text"`
}

type node struct {
	server  *wire.Server
	address string
	metrics metrics.Registry
	block   chan struct{}
}

func (n *node) count(name string) int64 {
	return metrics.GetOrRegisterCounter(name, n.metrics).Count()
}

func serve(tb testing.TB, s wire.Secrets) *node {
	tb.Helper()
	n := &node{metrics: metrics.NewRegistry(), block: make(chan struct{})}
	server, err := wire.NewServer(wire.ServerConfig{Secrets: s, Metrics: n.metrics})
	require.NoError(tb, err)
	n.server = server
	wire.Handle(server, "echo", func(_ context.Context, _ wire.Peer, q text) (text, error) { return q, nil })
	wire.Handle(server, "fail", func(context.Context, wire.Peer, text) (text, error) { return text{}, errors.New("handler failed") })
	wire.Handle(server, "big", func(context.Context, wire.Peer, text) (text, error) {
		return text{strings.Repeat("x", wire.MaxFrame)}, nil
	})
	wire.Handle(server, "block", func(ctx context.Context, _ wire.Peer, q text) (text, error) {
		select {
		case <-n.block:
		case <-ctx.Done():
		}
		return q, nil
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	n.address = l.Addr().String()
	go func() { _ = server.Serve(context.Background(), l) }()
	tb.Cleanup(server.Close)
	return n
}

func client(tb testing.TB, c wire.ClientConfig) *wire.Client {
	tb.Helper()
	made, err := wire.NewClient(c)
	require.NoError(tb, err)
	tb.Cleanup(made.Close)
	return made
}

func onlySecret(s []byte) wire.Secrets { return wire.Secrets{Current: s} }

func call(tb testing.TB, c *wire.Client, address, kind, s string) (string, error) {
	tb.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	a, err := wire.Call[text, text](ctx, c, address, kind, text{s})
	return a.Text, err
}

// Guards against errors that reach the client without their kind.
func TestCallErrors(t *testing.T) {
	n := serve(t, onlySecret(newSecret))
	c := client(t, wire.ClientConfig{Secrets: onlySecret(newSecret)})
	cases := []struct {
		kind, text string
		want       wire.Kind
	}{
		{"echo", "x", ""},
		{"echo", strings.Repeat("x", wire.MaxFrame), wire.KindTooLarge},
		{"big", "x", wire.KindTooLarge},
		{"fail", "x", wire.KindHandlerFailed},
		{"none", "x", wire.KindUnknown},
		{"echo", strings.Repeat("x", wire.MaxFrame-100), ""},
	}
	for _, row := range cases {
		a, err := call(t, c, n.address, row.kind, row.text)
		require.Equal(t, row.want, fault.KindOf[wire.Kind](err), "%s: %v", row.kind, err)
		if row.want == "" {
			require.Equal(t, row.text, a)
		}
	}
	require.Equal(t, 1, c.Connections(), "all calls must share one connection")
	require.Equal(t, int64(1), n.count("wire.unknown"))
}

// Guards against processes that can't connect to each other during a rolling rotation
// of the secret, and against an old secret that is accepted after it.
func TestRotation(t *testing.T) {
	stages := map[string]wire.Secrets{
		"old":     onlySecret(oldSecret),
		"rolling": {Current: newSecret, Previous: oldSecret},
		"new":     onlySecret(newSecret),
	}
	for s, server := range stages {
		n := serve(t, server)
		for c, secrets := range stages {
			_, err := call(t, client(t, wire.ClientConfig{Secrets: secrets}), n.address, "echo", "x")
			if s != c && s != "rolling" && c != "rolling" {
				require.Equal(t, wire.KindUnauthenticated, fault.KindOf[wire.Kind](err), "%s to %s", c, s)
			} else {
				require.NoError(t, err, "%s to %s", c, s)
			}
		}
	}
}

// Guards against a fleet secret that is short enough to be guessed.
func TestShortSecret(t *testing.T) {
	_, err := wire.Identity([]byte("short"))
	require.Equal(t, wire.KindInvalidSecret, fault.KindOf[wire.Kind](err))
}

// requireClosed waits until the server closes the connection without sending a response.
func requireClosed(tb testing.TB, conn net.Conn) {
	tb.Helper()
	require.NoError(tb, conn.SetReadDeadline(time.Now().Add(20*time.Second)))
	_, err := io.ReadAll(conn)
	var timeout net.Error
	require.False(tb, errors.As(err, &timeout) && timeout.Timeout(), "the connection was not closed")
}

// Guards against unauthenticated peers that get a connection or a response.
func TestUnauthenticatedPeers(t *testing.T) {
	n := serve(t, onlySecret(newSecret))
	foreign, err := wire.Identity(oldSecret)
	require.NoError(t, err)
	cases := map[string]func() (net.Conn, error){
		"plain": func() (net.Conn, error) {
			conn, err := net.Dial("tcp", n.address)
			if err == nil {
				_, err = conn.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
			}
			return conn, err
		},
		"no certificate": func() (net.Conn, error) {
			return tls.Dial("tcp", n.address, &tls.Config{InsecureSkipVerify: true})
		},
		"other key": func() (net.Conn, error) {
			return tls.Dial("tcp", n.address, &tls.Config{
				InsecureSkipVerify:   true,
				GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &foreign, nil },
			})
		},
	}
	for name, dial := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := dial()
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			requireClosed(t, conn)
		})
	}
	require.Eventually(t, func() bool { return n.count("wire.refused") == 3 && n.server.Connections() == 0 },
		20*time.Second, 10*time.Millisecond)
}

// Guards against malformed frames that get a response, block other connections or
// crash the server.
func TestGarbage(t *testing.T) {
	n := serve(t, onlySecret(newSecret))
	certificate, err := wire.Identity(newSecret)
	require.NoError(t, err)
	sized := func(n uint32, body string) string {
		return string(binary.BigEndian.AppendUint32(nil, n)) + body
	}
	nested := strings.Repeat("\x91", wire.MaxFrame)
	cases := map[string]string{
		"oversized": sized(wire.MaxFrame+1, ""),
		"text":      sized(4, "spam"),
		"nested":    sized(wire.MaxFrame, nested),
		"empty":     sized(0, ""),
		"no kind":   sized(1, "\x80"),
		"bad body":  sized(28, "\x84\xa4kind\xa4echo\xa5proto\x01\xa2id\x01\xa4body\x01"),
	}
	for name, data := range cases {
		t.Run(name, func(t *testing.T) {
			conn, err := tls.Dial("tcp", n.address, &tls.Config{
				InsecureSkipVerify: true, Certificates: []tls.Certificate{certificate},
			})
			require.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			_, err = io.WriteString(conn, data)
			require.NoError(t, err)
			requireClosed(t, conn)
		})
	}
	_, err = call(t, client(t, wire.ClientConfig{Secrets: onlySecret(newSecret)}), n.address, "echo", "x")
	require.NoError(t, err)
}

// Guards against an unbounded number of handlers per connection.
func TestConcurrentRequests(t *testing.T) {
	n := serve(t, onlySecret(newSecret))
	a := client(t, wire.ClientConfig{Secrets: onlySecret(newSecret)})
	done := make(chan error, 16)
	for range 16 {
		go func() {
			_, err := call(t, a, n.address, "block", "x")
			done <- err
		}()
	}
	full := func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, err := wire.Call[text, text](ctx, a, n.address, "echo", text{})
		return fault.KindOf[wire.Kind](err) == wire.KindBusy
	}
	require.Eventually(t, full, 20*time.Second, 10*time.Millisecond)
	_, err := call(t, client(t, wire.ClientConfig{Secrets: onlySecret(newSecret)}), n.address, "echo", "x")
	require.NoError(t, err, "other connections must not be affected")
	close(n.block)
	for range 16 {
		require.NoError(t, <-done)
	}
}

// Guards against KindBusy for a client within its limit: the server must not count a
// request whose response the client already has.
func TestFullConnectionIsNotBusy(t *testing.T) {
	n := serve(t, onlySecret(newSecret))
	a := client(t, wire.ClientConfig{Secrets: onlySecret(newSecret)})
	failed := make(chan error, 16)
	for range 16 {
		go func() {
			var err error
			for i := 0; i < 400 && err == nil; i++ {
				_, err = call(t, a, n.address, "echo", "x")
			}
			failed <- err
		}()
	}
	for range 16 {
		require.NoError(t, <-failed)
	}
}

// Guards against idle connections that are never closed, and against more than one
// connection per address.
func TestConnectionsAreBounded(t *testing.T) {
	c := client(t, wire.ClientConfig{Secrets: onlySecret(newSecret), IdleTimeout: 200 * clock.Millisecond, MaxConnections: 2})
	for range 4 {
		n := serve(t, onlySecret(newSecret))
		for range 3 {
			_, err := call(t, c, n.address, "echo", "x")
			require.NoError(t, err)
		}
		require.LessOrEqual(t, c.Connections(), 2)
	}
	require.Eventually(t, func() bool { return c.Connections() == 0 }, 20*time.Second, 10*time.Millisecond)
}

// Guards against calls that hang when the server does not respond, and against reuse of
// a dead connection.
func TestSilentServer(t *testing.T) {
	n := serve(t, onlySecret(newSecret))
	c := client(t, wire.ClientConfig{Secrets: onlySecret(newSecret)})
	ctx, cancel := context.WithTimeout(context.Background(), 1500*time.Millisecond)
	defer cancel()
	_, err := wire.Call[text, text](ctx, c, n.address, "block", text{})
	require.Equal(t, wire.KindTimeout, fault.KindOf[wire.Kind](err))
	require.Equal(t, 0, c.Connections())
	n.server.Close()
	_, err = call(t, c, n.address, "echo", "x")
	require.Equal(t, wire.KindUnreachable, fault.KindOf[wire.Kind](err))
}
