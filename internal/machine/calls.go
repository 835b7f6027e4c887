package machine

import "tuliprudder/internal/clock"

// Callback handles the response to a request, or the error that there was none. It is called
// within a step of the machine.
type Callback func(body any, err error, now clock.Micros)

// Calls is shared by the parts of one daemon's machine: they emit their effects to it, and it
// calls them back with the responses to their requests.
type Calls struct {
	Effects
	lastToken uint64
	pending   map[uint64]Callback // by token
}

// NewCalls makes Calls without pending requests.
func NewCalls() *Calls { return &Calls{pending: map[uint64]Callback{}} }

// Token returns a number that was not returned before.
func (c *Calls) Token() uint64 {
	c.lastToken++
	return c.lastToken
}

// Request emits a request; callback is called exactly once. timeout is in microseconds.
func (c *Calls) Request(to string, body any, timeout clock.Micros, callback Callback) {
	token := c.Token()
	c.pending[token] = callback
	c.Emit(Request{Token: token, To: to, Body: body, Timeout: timeout})
}

// ReplyReceived calls the callback of a request. A second response to it is dropped.
func (c *Calls) ReplyReceived(token uint64, body any, err error, now clock.Micros) {
	if callback := c.pending[token]; callback != nil {
		delete(c.pending, token)
		callback(body, err, now)
	}
}

// Pending is the number of requests whose responses are still to come.
func (c *Calls) Pending() int { return len(c.pending) }
