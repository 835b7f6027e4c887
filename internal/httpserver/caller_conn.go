package httpserver

import (
	"net"
	"sync"
	"time"
)

// callerConn is a caller's connection. It tracks how many bytes of the current request were read
// and of its response were written.
//
// Only the goroutine that serves the connection closes it while a request may be arriving: another
// goroutine can't know whether a request has just been read. retire asks the serving goroutine to
// end the connection instead, which it does only if a read returns no data. So a request that was
// read is always served.
type callerConn struct {
	net.Conn
	server     *RawServer
	acceptedAt time.Time

	mu       sync.Mutex // guards the fields below, and the read deadline while retiring
	exchange exchange
	retiring bool // the current read, or the next one, ends at once; a request that it still returns is served
	served   bool // at least one request was answered
}

// net/http closes the sending side first if the caller may still be sending (closeWriteAndWait).
var _ interface{ CloseWrite() error } = (*callerConn)(nil)

// exchange is the current request of a connection and its response; zero between two requests.
type exchange struct {
	requestBytes       int64
	responseBytes      int64
	firstByteAt        time.Time
	isActive           bool // net/http has read the request's header
	callerDisconnected bool // the connection broke before this daemon closed it
}

// isOpen reports whether a request is open: its header was read, or may still be completed before
// the timeout.
func (e exchange) isOpen(now time.Time, headTimeout time.Duration) bool {
	return e.isActive || e.requestBytes > 0 && now.Sub(e.firstByteAt) <= headTimeout
}

func (e exchange) isUnanswered() bool { return e.requestBytes > 0 && e.responseBytes == 0 }

// pastDeadline ends a blocked read, and makes a new one return no data.
var pastDeadline = time.Unix(1, 0)

// retire ends the connection unless a request is open on it. A request that arrives at the same
// moment is served, and the connection stays open.
func (c *callerConn) retire(headTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange.isOpen(time.Now(), headTimeout) {
		return
	}
	c.startRetiring()
}

// startRetiring makes the current read, or the next one, end at once; c.mu is held.
func (c *callerConn) startRetiring() {
	c.retiring = true
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// stopRetiring cancels retire, so that a request that arrived meanwhile is served; c.mu is held.
func (c *callerConn) stopRetiring() {
	if c.retiring {
		c.retiring = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // an error means that it is closed already
	}
}

// SetReadDeadline sets the deadline of net/http's reads. While the connection is retiring, the
// deadline set by retire stays in force.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retiring {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read reads from the connection and records how many bytes were read.
func (c *callerConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.stopRetiring()
		if c.exchange.requestBytes == 0 {
			c.exchange.firstByteAt = time.Now()
		}
		c.exchange.requestBytes += int64(n)
	}
	if err != nil && !isTimeout(err) {
		c.exchange.callerDisconnected = true
	}
	return n, err
}

// Write writes to the connection and records how many bytes were written.
func (c *callerConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.responseBytes += int64(n)
	if err != nil {
		c.exchange.callerDisconnected = true
	}
	return n, err
}

// CloseWrite closes the sending side only, so that a caller that is still sending gets the response.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close closes the connection. A connection that ends with an unanswered request is counted once.
func (c *callerConn) Close() error {
	c.mu.Lock()
	ended, wasRetiring := c.exchange, c.retiring
	c.exchange, c.retiring = exchange{}, false
	c.mu.Unlock()
	c.server.removeConn(c)
	if ended.isUnanswered() {
		c.server.recordUnanswered(c, ended)
	}
	if wasRetiring {
		c.server.Unanswered.ClosedIdle.Add(1)
	}
	return c.Conn.Close()
}

// requestStarted records that net/http has read the header of a request.
func (c *callerConn) requestStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.isActive = true
	c.stopRetiring() // the request may have been read together with the previous one
}

// requestEnded records that the response to the current request is complete. A closing server reads
// no further request on the connection, unless it was read together with the current one.
func (c *callerConn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = exchange{}
	c.served = true
	if c.server.IsClosing() {
		c.startRetiring()
	}
}

// mayRetire reports whether a closing server need not wait for a request on the connection: one
// was answered, or none has arrived within newConnectionGrace.
func (c *callerConn) mayRetire(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served || now.Sub(c.acceptedAt) > newConnectionGrace
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
