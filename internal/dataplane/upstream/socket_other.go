//go:build !linux

package upstream

import (
	"net"
	"syscall"
	"time"
)

// setUserTimeout returns nil, as there is no portable equivalent: the deadline of a request ends its
// writes.
func setUserTimeout(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return nil
}

// isOpenWithoutInput returns false, as this can't be determined portably: no connection is reused.
func isOpenWithoutInput(*net.TCPConn) bool { return false }
