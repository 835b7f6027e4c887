package upstream

import (
	"net"
	"syscall"
	"time"
)

// optTCPUserTimeout is TCP_USER_TIMEOUT, which package syscall doesn't define.
const optTCPUserTimeout = 18

// setUserTimeout returns a net.Dialer.Control function that sets how long written bytes may stay
// unacknowledged before the kernel closes the connection (tcp(7), RFC 5482).
func setUserTimeout(timeout time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var sysErr error
		err := raw.Control(func(fd uintptr) {
			sysErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optTCPUserTimeout, int(timeout.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return sysErr
	}
}

// isOpenWithoutInput reports, without blocking, whether a socket is open and has nothing to read. If
// it returns false, the connection has to be closed, as a byte that was read is lost.
func isOpenWithoutInput(conn *net.TCPConn) bool {
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	var buffer [1]byte
	var sysErr error
	err = raw.Read(func(fd uintptr) bool {
		for {
			if _, sysErr = syscall.Read(int(fd), buffer[:]); sysErr != syscall.EINTR {
				return true
			}
		}
	})
	return err == nil && sysErr == syscall.EAGAIN
}
