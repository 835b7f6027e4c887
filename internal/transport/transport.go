package transport

import (
	"context"
	"net"
	"net/netip"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// Transport sends one daemon's messages and calls and serves those of other daemons. Its methods may
// be called from any goroutine.
type Transport struct {
	self     string // the daemon's own address
	receiver Receiver

	mu          sync.Mutex // guards the fields below; it is not held while dialling or calling
	outboxes    map[string]*outbox
	connections map[string]*callConnection
	closed      bool

	Counters
}

// Counters counts the traffic since the start, for operators. It may be read from any goroutine.
type Counters struct {
	MessagesSent atomic.Int64 // messages that were delivered
	MessagesLost atomic.Int64 // messages that were dropped, or whose delivery failed
	Calls        atomic.Int64 // calls of DeliverMethod that succeeded
	BytesOut     atomic.Int64 // bytes written to connections that this daemon dialled
}

// New returns the transport of a daemon with the given address.
func New(self string, receiver Receiver) *Transport {
	return &Transport{
		self:        self,
		receiver:    receiver,
		outboxes:    map[string]*outbox{},
		connections: map[string]*callConnection{},
	}
}

// close closes the outboxes and the connections for calls. Messages already queued are still sent.
func (t *Transport) close() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for _, box := range t.outboxes {
		box.queue.Close()
	}
	for _, connection := range t.connections {
		connection.close()
	}
}

const dialTimeout = 500 * time.Millisecond

// dial connects from the daemon's own address, so that the network in between can tell which daemon
// opened the connection.
func (t *Transport) dial(to string) (*rpc.Client, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	if self, err := netip.ParseAddrPort(t.self); err == nil {
		dialer.LocalAddr = &net.TCPAddr{IP: self.Addr().AsSlice()}
	}
	conn, err := dialer.DialContext(context.Background(), "tcp", to)
	if err != nil {
		return nil, errors.Wrapf(err, "dialling %s", to)
	}
	return rpc.NewClient(countingConn{conn, &t.BytesOut}), nil
}

// countingConn counts the bytes that are written to a connection.
type countingConn struct {
	net.Conn
	bytesOut *atomic.Int64
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytesOut.Add(int64(n))
	return n, err
}

// errTimeout is the error of a call that got no result in time. Whether it was executed is unknown.
var errTimeout = errors.New("the call timed out; its connection was closed")

// callWithTimeout calls a method and waits for its result. A call that times out closes the
// client, because net/rpc can't cancel a single call.
func callWithTimeout(client *rpc.Client, method string, args, reply any, timeout time.Duration) error {
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		return call.Error
	case <-timer.C:
		client.Close()
		return errTimeout
	}
}
