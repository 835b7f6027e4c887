package httpserver

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// UnansweredStats count, since the start, the connections that ended after something of a
// request was read on them and before anything of its response was written.
type UnansweredStats struct {
	// ClosedHere counts those that this daemon closed first. Nothing but a malformed request
	// and the end of the process may do that.
	ClosedHere atomic.Int64
	// CallersLeft counts those whose caller closed first, or was lost.
	CallersLeft atomic.Int64
	// LongestWait is the longest time, in microseconds, that such a caller had waited.
	LongestWait atomic.Int64
	// ClosedIdle counts the connections that were closed because they were idle for too long.
	ClosedIdle atomic.Int64
}

// Unanswered is a connection that this daemon closed after it had read something of a request
// and before it wrote anything of the response.
type Unanswered struct {
	Remote       string
	RequestBytes int64         // read of the request
	Age          time.Duration // since its first byte was read
}

// callerListener accepts callers' connections that notice when they end without an answer.
type callerListener struct {
	net.Listener
	server *RawServer
}

// Accept accepts the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, server: l.server}, nil
}

// callerConn is a caller's connection. It knows how much of the present request was read and of
// its response was written.
type callerConn struct {
	net.Conn
	server *RawServer

	mu       sync.Mutex // guards exchange
	exchange exchange
}

// exchange is the present request of a connection and its response; zero between two requests.
type exchange struct {
	requestBytes  int64
	responseBytes int64
	firstByteAt   time.Time
	callerLeft    bool // the connection broke before this daemon closed it
}

func (e exchange) isUnanswered() bool { return e.requestBytes > 0 && e.responseBytes == 0 }

// Read reads, and notes what was read.
func (c *callerConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.exchange.requestBytes == 0 {
		c.exchange.firstByteAt = time.Now()
	}
	c.exchange.requestBytes += int64(n)
	if err != nil && !isTimeout(err) {
		c.exchange.callerLeft = true
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
		c.exchange.callerLeft = true
	}
	return n, err
}

// Close closes the connection. One that ends without an answer is counted, once.
func (c *callerConn) Close() error {
	c.mu.Lock()
	ended := c.exchange
	c.exchange = exchange{}
	c.mu.Unlock()
	if ended.isUnanswered() {
		c.server.recordUnanswered(c, ended)
	}
	return c.Conn.Close()
}

// requestEnded tells that the response to the present request is complete.
func (c *callerConn) requestEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange = exchange{}
}

func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

// recordUnanswered counts a connection that ended without an answer, and tells of one that this
// daemon closed.
func (r *RawServer) recordUnanswered(conn *callerConn, ended exchange) {
	age := time.Since(ended.firstByteAt)
	if ended.callerLeft {
		r.Unanswered.CallersLeft.Add(1)
		raise(&r.Unanswered.LongestWait, age.Microseconds())
		return
	}
	r.Unanswered.ClosedHere.Add(1)
	if r.OnUnanswered != nil {
		r.OnUnanswered(Unanswered{Remote: conn.RemoteAddr().String(), RequestBytes: ended.requestBytes, Age: age})
	}
}

// raise sets a value to another one that is higher.
func raise(value *atomic.Int64, to int64) {
	for {
		present := value.Load()
		if to <= present || value.CompareAndSwap(present, to) {
			return
		}
	}
}
