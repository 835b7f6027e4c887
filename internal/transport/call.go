package transport

import (
	"net/rpc"
	"sync"

	"github.com/pkg/errors"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
)

// callConnection is the connection that the calls to one peer share.
type callConnection struct {
	mu     sync.Mutex  // guards client; held while dialling, so that concurrent calls dial only once
	client *rpc.Client // nil if not connected
}

// Call calls another daemon and waits for the response for at most timeout, in microseconds. An
// errs.NotReady means that the peer could not be reached and did not receive the call; any other
// *errs.Error is the peer's answer. An error of another type means that the outcome is unknown.
func (t *Transport) Call(to string, body any, timeout clock.Micros) (any, error) {
	connection := t.connectionTo(to)
	client, err := connection.dialOnce(func() (*rpc.Client, error) { return t.dial(to) })
	if err != nil {
		return nil, errs.NewWithRetry(errs.NotReady, clock.Second, "retry; another daemon may serve the request by then", "daemon at %s can't be reached: %v", to, err)
	}
	var reply CallReply
	request := Envelope{From: t.self, Body: body}
	if err := callWithTimeout(client, CallMethod, request, &reply, clock.Duration(timeout)); err != nil {
		connection.discard(client)
		return nil, errors.Wrapf(err, "calling %s", to)
	}
	if reply.Err != nil {
		return nil, errors.WithStack(reply.Err)
	}
	return reply.Body, nil
}

// connectionTo returns the connection for calls to a peer, and adds one if there is none. It does
// not dial.
func (t *Transport) connectionTo(to string) *callConnection {
	t.mu.Lock()
	defer t.mu.Unlock()
	connection := t.connections[to]
	if connection == nil {
		connection = &callConnection{}
		t.connections[to] = connection
	}
	return connection
}

// dialOnce returns the client, and dials if there is none.
func (c *callConnection) dialOnce(dial func() (*rpc.Client, error)) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == nil {
		client, err := dial()
		if err != nil {
			return nil, err
		}
		c.client = client
	}
	return c.client, nil
}

// discard closes a client that failed, unless another call has replaced it already.
func (c *callConnection) discard(client *rpc.Client) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client == client {
		c.client = nil
		client.Close()
	}
}

// close closes the client if there is one.
func (c *callConnection) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.client != nil {
		c.client.Close()
	}
}
