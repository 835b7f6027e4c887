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

// idlePeriod is since when a connection is idle, with the limit that was in force then: a caller
// may rely on that, even if it was lowered meanwhile.
type idlePeriod struct {
	since   time.Time
	timeout time.Duration
}

// stateChanged notes a connection's state, as net/http reports it. A connection is active from
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

// expired lists the connections that have been idle for too long. net/http reports a connection
// as idle until the next request's header is complete, so the time for a header is added.
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
