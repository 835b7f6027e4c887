package upstream

import (
	"net"
	"syscall"
	"time"
)

// optTCPUserTimeout is TCP_USER_TIMEOUT, which package syscall doesn't name.
const optTCPUserTimeout = 18

// setUserTimeout sets how long written bytes may stay unacknowledged before the kernel closes the
// connection (tcp(7), RFC 5482).
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

// isOpenWithoutInput tells, without waiting, whether a socket is open with nothing to read. If not, the
// connection has to be closed: the byte that was read is lost.
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
