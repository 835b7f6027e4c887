package machine

import "tuliprudder/internal/clock"

// Callback handles the response to a request, or the error if there was none. It is called within
// a step of the machine.
type Callback func(body any, err error, now clock.Micros)

// Calls collects the effects and tracks the pending requests of one daemon's machine. The parts of
// the machine share it: they emit their effects to it, and it calls them back with the responses.
type Calls struct {
	Effects
	lastToken uint64
	pending   map[uint64]Callback // by token
}

// NewCalls returns a Calls without pending requests.
func NewCalls() *Calls { return &Calls{pending: map[uint64]Callback{}} }

// Token returns a number that it has not returned before.
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

// ReplyReceived calls the callback of the request with the given token. A second response to it,
// or one with an unknown token, is dropped.
func (c *Calls) ReplyReceived(token uint64, body any, err error, now clock.Micros) {
	if callback := c.pending[token]; callback != nil {
		delete(c.pending, token)
		callback(body, err, now)
	}
}

// Pending returns the number of requests that have not been answered yet.
func (c *Calls) Pending() int { return len(c.pending) }
