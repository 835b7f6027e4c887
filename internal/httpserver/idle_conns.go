package httpserver

import (
	"net/http"
	"sync"
	"time"
)

// idleConns are the connections without a request in progress.
type idleConns struct {
	mu    sync.Mutex // guards conns
	conns map[*callerConn]idlePeriod
}

// idlePeriod is the time since which a connection is idle and the timeout in force at that time. The
// caller may rely on that timeout even if it has been lowered since.
type idlePeriod struct {
	since   time.Time
	timeout time.Duration
}

// stateChanged records a connection's state, as net/http reports it. A connection is active from
// the end of a request's header to the end of the response.
func (c *idleConns) stateChanged(conn *callerConn, state http.ConnState, now time.Time, timeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isIdle := state == http.StateNew || state == http.StateIdle
	if !isIdle {
		delete(c.conns, conn)
		return
	}
	if c.conns == nil {
		c.conns = map[*callerConn]idlePeriod{}
	}
	c.conns[conn] = idlePeriod{now, timeout}
}

// expired returns the connections that have exceeded their idle timeout. net/http reports a connection
// as idle until the next request's header is complete, so the header timeout is added.
func (c *idleConns) expired(now time.Time, limits Limits) []*callerConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []*callerConn
	for conn, period := range c.conns {
		timeout := max(period.timeout, limits.IdleTimeout) + limits.HeaderTimeout
		if now.Sub(period.since) > timeout {
			out = append(out, conn)
		}
	}
	return out
}
