package machine

import "tuliprudder/internal/clock"

// Send sends a message to the daemon at an address, over the transport. It may be lost, and has no
// answer: a protocol that needs an acknowledgement has a message for it, and retransmits.
type Send struct {
	To   string
	Body any
}

// Request sends a request to the daemon at an address, over the transport. The answer is
// ReplyReceived with the token, exactly once: the response, or an error after Timeout at the
// latest. An error that has no errs.Kind means that the outcome is unknown.
type Request struct {
	Token   uint64
	To      string
	Body    any
	Timeout clock.Micros // microseconds
}

func (Send) effect()    {}
func (Request) effect() {}
