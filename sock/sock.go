// Package sock opens TCP connections and listeners with the options that decide when the kernel gives up a peer
// that no longer answers.
package sock

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options are the options of a connection. A peer is silent while its machine answers nothing, no acknowledgement
// either.
type Options struct {
	// ProbeIdle is the time after the last byte from the peer at which the first keep-alive probe is sent, and
	// ProbeInterval the time between two probes. The kernel knows only whole seconds; others are rounded up.
	ProbeIdle     time.Duration
	ProbeInterval time.Duration
	// ProbeCount is the number of unanswered probes that end the connection if there is no UserTimeout.
	ProbeCount int
	// UserTimeout is how long sent bytes may remain unacknowledged; 0 leaves that to the kernel. It also decides
	// when unanswered probes end the connection, whatever their number.
	UserTimeout time.Duration
}

// Forward are the options of connections on which requests are sent on: to endpoints, other instances and the store.
// They bear a silence of 2 s.
func Forward() Options {
	return Options{ProbeIdle: time.Second, ProbeInterval: time.Second, ProbeCount: 4, UserTimeout: 5 * time.Second}
}

// Default are the options that package net gives a connection that names none. They bear a silence of two minutes.
func Default() Options {
	return Options{ProbeIdle: 15 * time.Second, ProbeInterval: 15 * time.Second, ProbeCount: 9}
}

// Dialer returns a dialer whose connections have the options. A timeout of 0 leaves the end of the attempt to the context.
func (o Options) Dialer(timeout time.Duration) *net.Dialer {
	dialer := &net.Dialer{Timeout: timeout, KeepAliveConfig: o.keepAlive()}
	if o.UserTimeout > 0 {
		dialer.Control = o.setUserTimeout
	}
	return dialer
}

// Listen opens a listener whose connections have the options.
func (o Options) Listen(ctx context.Context, address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: o.keepAlive()}
	if o.UserTimeout > 0 {
		config.Control = o.setUserTimeout
	}
	return config.Listen(ctx, "tcp", address)
}

func (o Options) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: o.ProbeIdle, Interval: o.ProbeInterval, Count: o.ProbeCount}
}

func (o Options) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(o.UserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}
