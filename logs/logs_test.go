package logs_test

import (
	"bytes"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tanagerbridge/tanagerbridge/logs"
)

// Guards against lines that are lost on Close, and against an invalid level that is accepted.
func TestCloseWritesAll(t *testing.T) {
	var out bytes.Buffer
	l, err := logs.New(logs.Config{Out: &out, Level: "info"})
	require.NoError(t, err)
	for range 100 {
		l.Info("line")
	}
	l.Debug("hidden")
	l.Close()
	require.Equal(t, 100, strings.Count(out.String(), "\n"))
	_, err = logs.New(logs.Config{Out: &out, Level: "loud"})
	require.ErrorContains(t, err, "log level")
}

// Guards against a log volume that grows with the load, and against warnings that are
// dropped.
func TestRateIsBounded(t *testing.T) {
	var out bytes.Buffer
	l, err := logs.New(logs.Config{Out: &out, Level: "info", Rate: 10})
	require.NoError(t, err)
	began := time.Now()
	for range 1000 {
		l.Info("line")
	}
	l.Warn("important")
	l.Close()
	seconds := int(time.Since(began).Seconds()) + 2
	require.LessOrEqual(t, strings.Count(out.String(), `"line"`), 10*seconds)
	require.Contains(t, out.String(), "important")
}

// Guards against a panic when an aborted request logs after Close.
func TestLoggingAfterClose(t *testing.T) {
	var out bytes.Buffer
	l, err := logs.New(logs.Config{Out: &out, Level: "info"})
	require.NoError(t, err)
	l.Info("before")
	l.Close()
	require.NotPanics(t, func() { l.Info("after") })
	require.Contains(t, out.String(), "before")
}

// blockedWriter is a writer that blocks until it is released.
type blockedWriter struct{ release chan struct{} }

func (s blockedWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// Guards against a full pipe that blocks the code that logs, and against dropped lines that
// are not counted.
func TestNeverBlocks(t *testing.T) {
	var dropped atomic.Int64
	w := blockedWriter{make(chan struct{})}
	l, err := logs.New(logs.Config{Out: w, Level: "info", Dropped: func(n int64) { dropped.Add(n) }})
	require.NoError(t, err)
	done := make(chan struct{})
	go func() {
		for range 10_000 {
			l.Info("line")
		}
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("a blocked writer blocks logging")
	}
	close(w.release)
	require.Eventually(t, func() bool { return dropped.Load() > 0 }, 10*time.Second, 10*time.Millisecond)
	l.Close()
}
