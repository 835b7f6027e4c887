package httpserver

import (
	"net"
	"net/http"
	"sync"
	"time"

	"tuliprudder/kernel/cleanup"
)

// followLimits has the server go by the limits in force. net/http's own are fixed
// once it serves, so it is given none for time, and a size that is always enough.
func (r *Raw) followLimits() {
	r.look()
	r.server.MaxHeaderBytes = mostHeaderBytes
	r.server.Handler = http.HandlerFunc(r.serveWithin)
	r.server.ConnState = func(conn net.Conn, state http.ConnState) {
		r.resting.noted(conn, state, time.Now(), r.known.Load().IdleWait)
	}
	cleanup.Every(&r.ends, limitsEvery, func() { r.sweep(time.Now()) })
}

// look asks for the limits in force.
func (r *Raw) look() Limits {
	now := r.Current()
	if now.HeaderBytes <= 0 {
		now.HeaderBytes = r.Limits.HeaderBytes
	}
	if now.HeaderWait <= 0 {
		now.HeaderWait = r.Limits.HeaderWait
	}
	if now.IdleWait <= 0 {
		now.IdleWait = r.Limits.IdleWait
	}
	r.known.Store(&now)
	return now
}

// serveWithin turns away a request whose header is larger than the limit in force.
func (r *Raw) serveWithin(w http.ResponseWriter, request *http.Request) {
	size := headerSize(request)
	if size > r.known.Load().HeaderBytes && size > r.look().HeaderBytes {
		w.Header().Set("Connection", "close")
		http.Error(w, "the header is larger than it may be", http.StatusRequestHeaderFieldsTooLarge)
		return
	}
	r.Handler.ServeHTTP(w, request)
}

// headerSize is the least number of bytes that a request's line and header took.
func headerSize(request *http.Request) int {
	const (
		lineExtra  = len("  HTTP/1.1\r\n")
		fieldExtra = len(":\r\n")
	)
	size := len(request.Method) + len(request.RequestURI) + lineExtra + len("Host") + len(request.Host) + fieldExtra
	for name, values := range request.Header {
		for _, value := range values {
			size += len(name) + len(value) + fieldExtra
		}
	}
	return size
}

// sweep closes the connections that have rested for longer than they may. The next
// request's header belongs to the rest until it is whole: its time is added.
func (r *Raw) sweep(now time.Time) {
	limits := r.look()
	for _, conn := range r.resting.over(now, limits) {
		conn.Close()
	}
}

// restingConns are the connections on which no request is under way.
type restingConns struct {
	mu    sync.Mutex
	conns map[net.Conn]restPeriod
}

// restPeriod is a connection's: callers that began it under one limit may keep to that.
type restPeriod struct {
	since time.Time
	most  time.Duration
}

// noted takes the server's word on a connection. It is active from the end of a
// request's header to the end of the answer.
func (c *restingConns) noted(conn net.Conn, state http.ConnState, now time.Time, most time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if state != http.StateNew && state != http.StateIdle {
		delete(c.conns, conn)
		return
	}
	if c.conns == nil {
		c.conns = map[net.Conn]restPeriod{}
	}
	c.conns[conn] = restPeriod{now, most}
}

// over lists those that have rested for too long.
func (c *restingConns) over(now time.Time, limits Limits) []net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []net.Conn
	for conn, one := range c.conns {
		if now.Sub(one.since) > max(one.most, limits.IdleWait)+limits.HeaderWait {
			out = append(out, conn)
		}
	}
	return out
}
