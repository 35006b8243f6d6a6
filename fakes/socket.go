package fakes

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// narrowBufferBytes is the receive buffer of the connections of ListenNarrow.
const narrowBufferBytes = 2 << 10

// ListenNarrow listens on a loopback port. The connections hold only a few KiB that have not been read; what exceeds
// that stays with its sender. Errors have kind KindListen.
func ListenNarrow(ctx context.Context) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, narrowBufferBytes)
		})
		if err != nil {
			return err
		}
		return failed
	}}
	listener, err := config.Listen(ctx, "tcp", loopbackAddress)
	if err != nil {
		return nil, fault.Wrap("listen", KindListen, err)
	}
	return listener, nil
}

// HasEnded reports whether the other side has closed or reset a connection, whose bytes may not be read yet.
func HasEnded(conn syscall.Conn) bool { return polls(conn, unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) }

// isReset reports whether the other side has reset it.
func isReset(conn syscall.Conn) bool { return polls(conn, unix.POLLHUP|unix.POLLERR) }

// polls reports whether a connection has one of some events, or can't be used any more.
func polls(conn syscall.Conn, events int16) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	polled := []unix.PollFd{{Events: events}}
	err = raw.Control(func(fd uintptr) {
		polled[0].Fd = int32(fd)
		_, _ = unix.Poll(polled, 0) // without an event the connection is open
	})
	return err != nil || polled[0].Revents&events != 0
}
