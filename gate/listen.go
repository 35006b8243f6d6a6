package gate

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"

	"golang.org/x/sys/unix"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// stopAccepting makes a listener accept no further connections and returns those that were opened but
// not accepted yet: closing the listener would reset them.
func stopAccepting(listener net.Listener) ([]net.Conn, error) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return nil, fault.Newf("stop listening", KindListen, "%s is not a TCP address", listener.Addr())
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return nil, fault.Wrap("stop listening", KindListen, err)
	}
	var accepted []int
	var listenErr error
	err = raw.Control(func(fd uintptr) {
		// Without a backlog, at most one connection can be opened between the last accept and the end.
		listenErr = unix.Listen(int(fd), 0)
		accepted = acceptPending(int(fd))
		if listenErr == nil {
			listenErr = unix.Shutdown(int(fd), unix.SHUT_RD)
		}
	})
	conns, wrapErr := wrapConns(accepted)
	if err := errors.Join(err, listenErr, wrapErr); err != nil {
		return conns, fault.Wrap("stop listening", KindListen, err)
	}
	return conns, nil
}

// acceptPending accepts the connections that wait on a listening socket.
func acceptPending(socket int) (accepted []int) {
	for {
		fd, _, err := unix.Accept4(socket, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
			accepted = append(accepted, fd)
		case unix.EINTR, unix.ECONNABORTED:
		default:
			return accepted
		}
	}
}

func wrapConns(sockets []int) (conns []net.Conn, failure error) {
	for _, fd := range sockets {
		file := os.NewFile(uintptr(fd), "accepted connection")
		conn, err := net.FileConn(file)
		_ = file.Close() // the connection has a copy
		if err != nil {
			failure = err
			continue
		}
		conns = append(conns, conn)
	}
	return conns, failure
}

// serveConns serves connections that were accepted apart from the server's listener.
func serveConns(server *http.Server, address net.Addr, conns []net.Conn) {
	if len(conns) == 0 {
		return
	}
	pending := &connListener{address: address, conns: make(chan net.Conn, len(conns)), closed: make(chan struct{})}
	for _, c := range conns {
		pending.conns <- c
	}
	go func() { _ = server.Serve(pending) }()
}

// connListener is a listener whose connections exist already.
type connListener struct {
	address   net.Addr
	conns     chan net.Conn
	closed    chan struct{}
	closeOnce sync.Once
}

// Accept returns the next connection, or an error once the listener is closed.
func (l *connListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close ends Accept.
func (l *connListener) Close() error {
	l.closeOnce.Do(func() { close(l.closed) })
	return nil
}

// Addr returns the address at which the connections were accepted.
func (l *connListener) Addr() net.Addr { return l.address }
