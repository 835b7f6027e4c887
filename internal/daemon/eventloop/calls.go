package eventloop

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/gossip"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/transport"
)

// localCallTimeout is how long a call of this daemon's own machine may take.
const localCallTimeout = 30 * time.Second

// errNoReply is the error of a call whose reply did not come in time; its outcome is unknown.
var errNoReply = errors.New("the machine sent no reply in time")

// errRingFull is the error of a call that a full ring rejected.
func errRingFull() error {
	return errs.NewWithRetry(errs.Busy, clock.Second, "come back after the time given", "the daemon's queue of work is full")
}

// Deliver takes a one-way message off the transport (transport.Receiver). A message that
// finds a full ring is dropped and counted.
func (l *Loop) Deliver(message transport.Envelope) {
	if gossip.IsMessage(message.Body) {
		l.enqueueGossipMessage(message)
		return
	}
	if l.machine != nil {
		l.enqueueMachine(func(now clock.Micros) []machine.Effect { return l.machine.Message(message.From, message.Body, now) })
	}
}

// HandleCall answers a request off the transport (transport.Receiver).
func (l *Loop) HandleCall(message transport.Envelope) (any, error) {
	return l.CallLocal(message.Body)
}

// CallLocal calls this daemon's own machine and waits for the reply, 30 s at the most.
func (l *Loop) CallLocal(body any) (any, error) {
	return l.CallLocalContext(context.Background(), body, nil, localCallTimeout)
}

// CallLocalContext calls this daemon's own machine on behalf of a caller who may leave
// first. When ctx ends, the machine is notified with onCancel, and the reply is still waited
// for, until the limit. The error is errs.Busy where the machine has no room for the call,
// and one without a kind where no reply came in time.
func (l *Loop) CallLocalContext(ctx context.Context, body, onCancel any, limit time.Duration) (any, error) {
	if l.machine == nil {
		return nil, errs.New(errs.BadInput, "send it to a daemon of the right role", "this daemon handles no request of the type %T", body)
	}
	callNumber, reply := l.calls.open()
	if !l.enqueueMachine(func(now clock.Micros) []machine.Effect { return l.machine.Call(callNumber, body, now) }) {
		l.calls.abandon(callNumber)
		return nil, errRingFull()
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	cancelled := ctx.Done()
	for {
		select {
		case got := <-reply:
			return got.Body, got.Err
		case <-cancelled:
			cancelled = nil
			l.Notify(onCancel)
		case <-timer.C:
			l.calls.abandon(callNumber)
			return nil, errNoReply
		}
	}
}

// Notify calls the machine with a report whose reply nobody waits for.
func (l *Loop) Notify(body any) {
	l.enqueueMachineWait(func(now clock.Micros) []machine.Effect {
		return l.machine.Call(l.calls.openUnawaited(), body, now)
	})
}
