//go:build !linux

package upstream

import (
	"net"
	"syscall"
	"time"
)

// setUserTimeout has no counterpart here: the deadline of a request ends its writes.
func setUserTimeout(time.Duration) func(network, address string, raw syscall.RawConn) error {
	return nil
}

// isOpenWithoutInput can't tell here, so that no connection is used twice.
func isOpenWithoutInput(*net.TCPConn) bool { return false }
