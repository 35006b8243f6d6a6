package fakes

import (
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/tanagerbridge/tanagerbridge/fault"
)

// dropAll is a socket filter that drops whatever arrives.
var dropAll = []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K}}

// SetSilent starts or ends the silence of a TCP connection or listener, as if its machine answered nothing: what
// arrives meanwhile is lost and not acknowledged. The error has kind KindListen.
func SetSilent(socket syscall.Conn, silent bool) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return fault.Wrap("silence", KindListen, err)
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		if silent {
			failed = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: 1, Filter: &dropAll[0]})
			return
		}
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
	if err != nil {
		return fault.Wrap("silence", KindListen, err)
	}
	if failed != nil {
		return fault.Wrap("silence", KindListen, failed)
	}
	return nil
}
