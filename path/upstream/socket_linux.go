package upstream

import (
	"net"
	"syscall"
	"time"
)

// tcpUserTimeout is TCP_USER_TIMEOUT, which package syscall doesn't name.
const tcpUserTimeout = 18

// userTimeout bounds how long written bytes may stay unacknowledged.
func userTimeout(span time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(span.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// quiet tells, without waiting, whether a socket is open with nothing to read.
// What it reads otherwise is lost: the connection is to be closed then.
func quiet(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	var failed error
	err = raw.Read(func(fd uintptr) bool {
		for {
			if _, failed = syscall.Read(int(fd), one[:]); failed != syscall.EINTR {
				return true
			}
		}
	})
	return err == nil && failed == syscall.EAGAIN
}
