package gateway

import (
	"context"
	"time"

	"tuliprudder/internal/dataplane/proxy"
	"tuliprudder/internal/dataplane/requests"
	"tuliprudder/internal/errs"
)

// MachineCaller sends a message to the edge's state machine through the daemon's event loop and
// waits for the reply. If ctx ends first, it sends onDisconnect to the state machine (nil sends
// nothing) and still waits for the reply, up to the timeout, because only the state machine knows
// the outcome.
type MachineCaller func(ctx context.Context, message, onDisconnect any, timeout time.Duration) (any, error)

// machineTimeout limits the wait for a reply of the state machine. Every request in the state machine
// has its own deadline, so a reply that takes longer than this indicates a fault of the state machine.
const machineTimeout = 2 * time.Hour

// callMachine sends a message to the state machine and returns its reply, which must be a T.
func callMachine[T any](ctx context.Context, call MachineCaller, message, onDisconnect any) (T, error) {
	reply, err := call(ctx, message, onDisconnect, machineTimeout)
	response, ok := reply.(T)
	if err == nil && !ok {
		err = unexpectedReplyError(reply)
	}
	return response, err
}

func unexpectedReplyError(reply any) error {
	return errs.New(errs.ServerFault, "run the same release on all daemons", "unexpected reply of type %T from the state machine", reply)
}

// decide reports the latest step of a proxied request to proxy.Proxy.Call and returns its decision. A
// caller's disconnect is not reported here: it ends the attempt's context, which the attempt's result
// reports.
func (f *Forwarder) decide(ctx context.Context, input proxy.Input) (proxy.Decision, error) {
	return callMachine[proxy.Decision](ctx, f.CallMachine, input, nil)
}

func (f *Forwarder) reportStarted(started proxy.AttemptStarted) { f.Notify(started) }

// decide reports the latest step of a live request to requests.Machine.Call and returns its decision.
func (h *Handler) decide(ctx context.Context, requestID string, input requests.Input) (requests.Decision, error) {
	return callMachine[requests.Decision](ctx, h.CallMachine, input, requests.CallerDisconnected{RequestID: requestID})
}

func (h *Handler) reportStarted(started requests.AttemptStarted) { h.Notify(started) }
