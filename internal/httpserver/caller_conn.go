package httpserver

import (
	"net"
	"sync"
	"time"
)

// callerConn is a caller's connection. It knows how much of the present request was read and of
// its response was written.
//
// Nobody but the goroutine that serves the connection closes it while a request may be on its
// way: whoever looks at the connection from outside can't know whether a request has just been
// read. retire asks that goroutine to end the connection instead, and it does so only if a read
// brings nothing. So a request that was read is always served.
type callerConn struct {
	net.Conn
	server     *RawServer
	acceptedAt time.Time // when it was accepted

	mu       sync.Mutex // guards the fields below, and the read deadline while retiring
	exchange exchange
	retiring bool // the read under way, or the next one, ends at once; what it still brings is served
	served   bool // a request was answered
}

// net/http closes the sending side first where a caller may still be sending (closeWriteAndWait).
var _ interface{ CloseWrite() error } = (*callerConn)(nil)

// exchange is the present request of a connection and its response; zero between two requests.
type exchange struct {
	requestBytes       int64
	responseBytes      int64
	firstByteAt        time.Time
	isActive           bool // net/http has the request's head
	callerDisconnected bool // the connection broke before this daemon closed it
}

// isOpen tells whether a request is open: its head is read, or may still come in time.
func (e exchange) isOpen(now time.Time, headTimeout time.Duration) bool {
	return e.isActive || e.requestBytes > 0 && now.Sub(e.firstByteAt) <= headTimeout
}

func (e exchange) isUnanswered() bool { return e.requestBytes > 0 && e.responseBytes == 0 }

// pastDeadline ends a read that waits, and has one that begins bring nothing.
var pastDeadline = time.Unix(1, 0)

// retire ends the connection unless a request is open on it. One that comes at the same moment is
// served, and the connection goes on.
func (c *callerConn) retire(headTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange.isOpen(time.Now(), headTimeout) {
		return
	}
	c.retiring = true
	// An error means that the connection is closed already.
	_ = c.Conn.SetReadDeadline(pastDeadline)
}

// stopRetiring lets a request that came in time be served; c.mu is held.
func (c *callerConn) stopRetiring() {
	if c.retiring {
		c.retiring = false
		_ = c.Conn.SetReadDeadline(time.Time{}) // the same
	}
}

// SetReadDeadline sets the deadline of net/http's reads. While the connection is retiring the
// one of retire stays.
func (c *callerConn) SetReadDeadline(deadline time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.retiring {
		return nil
	}
	return c.Conn.SetReadDeadline(deadline)
}

// Read reads, and notes what was read.
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

// Write writes, and notes what was written.
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

// CloseWrite closes the sending side alone: a caller that is still sending gets the response.
func (c *callerConn) CloseWrite() error {
	if conn, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close closes the connection. One that ends without an answer is counted, once.
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

// requestStarted tells that net/http has the head of a request.
func (c *callerConn) requestStarted() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange.isActive = true
	c.stopRetiring() // the request was read together with the one before it
}

// requestEnded tells that the response to the present request is complete.
func (c *callerConn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = exchange{}
	c.served = true
}

// mayRetire tells whether a server that closes need not wait for a request: one was answered, or
// none has come for some time.
func (c *callerConn) mayRetire(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.served || now.Sub(c.acceptedAt) > newConnectionGrace
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}
