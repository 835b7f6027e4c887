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

// localCallTimeout bounds a call to this daemon's own state machine.
const localCallTimeout = 30 * time.Second

// errNoReply is returned for a call that got no reply within its time limit; its outcome is
// unknown.
var errNoReply = errors.New("the machine sent no reply in time")

// errRingFull is returned for a call that was rejected because a ring is full.
func errRingFull() error {
	return errs.NewWithRetry(errs.Busy, clock.Second, "retry after the time given", "the daemon's work queue is full")
}

// Deliver enqueues a one-way message that the transport received (transport.Receiver). If the
// ring is full, the message is dropped and counted.
func (l *Loop) Deliver(message transport.Envelope) {
	if gossip.IsMessage(message.Body) {
		l.enqueueGossipMessage(message)
		return
	}
	if l.machine != nil {
		l.enqueueMachine(func(now clock.Micros) []machine.Effect { return l.machine.Message(message.From, message.Body, now) })
	}
}

// HandleCall answers a request that the transport received (transport.Receiver).
func (l *Loop) HandleCall(message transport.Envelope) (any, error) {
	return l.CallLocal(message.Body)
}

// CallLocal calls this daemon's own machine and waits at most 30 s for the reply.
func (l *Loop) CallLocal(body any) (any, error) {
	return l.CallLocalContext(context.Background(), body, nil, localCallTimeout)
}

// CallLocalContext calls this daemon's own machine on behalf of a caller who may disconnect
// before the reply. When ctx ends, the machine is notified with onCancel, and the call still
// waits for the reply until limit. The error is errs.Busy if the machine's ring is full, and
// an error without a kind if no reply came within limit.
func (l *Loop) CallLocalContext(ctx context.Context, body, onCancel any, limit time.Duration) (any, error) {
	if l.machine == nil {
		return nil, errs.New(errs.BadInput, "send it to a daemon of the right role", "this daemon does not handle requests of type %T", body)
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

// Notify calls the machine with a report and does not wait for the reply.
func (l *Loop) Notify(body any) {
	l.enqueueMachineWait(func(now clock.Micros) []machine.Effect {
		return l.machine.Call(l.calls.openUnawaited(), body, now)
	})
}
