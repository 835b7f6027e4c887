package gateway

import (
	"context"
	"time"

	"tuliprudder/internal/dataplane/proxy"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/errs"
)

// MachineCaller sends a message to the edge's machine through the daemon's event loop and
// waits for the reply. If ctx ends first, the machine is sent onDisconnect (nil for nothing),
// and the reply is still waited for, up to the timeout: only the machine knows the outcome.
type MachineCaller func(ctx context.Context, message, onDisconnect any, timeout time.Duration) (any, error)

// machineTimeout bounds the wait for a reply of the machine. Every request in the machine has
// a deadline of its own; past this time the machine itself is at fault.
const machineTimeout = 2 * time.Hour

// callMachine sends a message and expects a reply of one type.
func callMachine[T any](ctx context.Context, call MachineCaller, message, onDisconnect any) (T, error) {
	reply, err := call(ctx, message, onDisconnect, machineTimeout)
	response, ok := reply.(T)
	if err == nil && !ok {
		err = unexpectedReplyError(reply)
	}
	return response, err
}

func unexpectedReplyError(reply any) error {
	return errs.New(errs.ServerFault, "run the same release on all daemons", "the machine's reply is a %T", reply)
}

// decide reports the next step of a proxied request; proxy.Proxy.Call decides what follows. A
// caller that leaves is not reported: the attempt's context ends, which its result says.
func (f *Forwarder) decide(ctx context.Context, input proxy.Input) (proxy.Decision, error) {
	return callMachine[proxy.Decision](ctx, f.CallMachine, input, nil)
}

func (f *Forwarder) reportStarted(started proxy.AttemptStarted) { f.Notify(started) }

// decide reports the next step of a live request; requests.Machine.Call decides what follows.
func (h *Handler) decide(ctx context.Context, requestID string, input requests.Input) (requests.Decision, error) {
	return callMachine[requests.Decision](ctx, h.CallMachine, input, requests.CallerDisconnected{RequestID: requestID})
}

func (h *Handler) reportStarted(started requests.AttemptStarted) { h.Notify(started) }
