// Package requests handles callers' live requests and batches at an edge (DESIGN §7): authentication,
// authorization, quotas, claims of idempotency keys, queueing, attempts on servers, and the
// guarantees that a reply gives to the caller.
//
// Inputs are the messages of messages.go, each answered by one machine.Reply. A live request is
// a dialogue: the gateway sends an Input and executes the Decision, until it gets a Response or an
// error. Batches and their results are kept by the stores; this package authorizes the caller,
// validates the input, and relays the request to the shard's owner.
//
// Two invariants hold for every live request:
//   - A one-shot request that may have run is never run again.
//   - An error other than errs.OutcomeUnknown guarantees to the caller that nothing ran and nothing
//     will: a claimed idempotency key is durably voided before the reply.
//
// The package is part of the edge's state machine: it opens no sockets and reads no clock.
// Nothing here is safe for concurrent use: the daemon's event loop is the only caller.
package requests

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
)

// Settings holds the limits on attempts and waiting times; see Defaults.
type Settings struct {
	MaxAttempts   int          // maximum number of attempts of a live request; default 4
	IdleTimeout   clock.Micros // longest wait for a server's next chunk; default 5 s
	CommitTimeout clock.Micros // time without a store's acknowledgement after which the outcome is unknown; default 3 s
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{MaxAttempts: 4, IdleTimeout: 5 * clock.Second, CommitTimeout: 3 * clock.Second}
}

// InjectedFaults are set by tests only, to verify that their checks detect these faults.
type InjectedFaults struct {
	RetryUnsafely        bool // run a one-shot request of unknown outcome again on another server
	RejectAfterRun       bool // reject a request that may have run
	RestartResumedStream bool // start a resumed stream from the beginning
	AcceptInterrupted    bool // treat an interrupted response as complete
	SkipIdempotencyClaim bool // do not claim an idempotency key before the first attempt
}

// Machine handles callers' requests and holds the live requests in flight.
type Machine struct {
	settings  Settings
	calls     *machine.Calls
	scheduler *scheduler.Scheduler
	quota     *quota.Quota
	reader    *reader.Reader
	decisions *decisionlog.Log
	inFlight  map[string]*activeRequest // by request ID

	InjectedFaults InjectedFaults
}

// New returns a Machine without requests.
func New(settings Settings, calls *machine.Calls, sched *scheduler.Scheduler, quotas *quota.Quota, r *reader.Reader, decisions *decisionlog.Log) *Machine {
	return &Machine{
		settings:  settings,
		calls:     calls,
		scheduler: sched,
		quota:     quotas,
		reader:    r,
		decisions: decisions,
		inFlight:  map[string]*activeRequest{},
	}
}

// InFlight returns the number of live requests in flight.
func (m *Machine) InFlight() int { return len(m.inFlight) }

// Call handles a message from the gateway. It returns false if the message is not for this package.
func (m *Machine) Call(call uint64, body any, now clock.Micros) bool {
	return m.callLive(call, body, now) || m.callBatch(call, body, now)
}

// callLive handles a message about a live request. It returns false for any other message.
func (m *Machine) callLive(call uint64, body any, now clock.Micros) bool {
	switch message := body.(type) {
	case LiveRequest:
		m.admitRequest(call, message, now)
	case AttemptResult:
		m.handleAttemptResult(call, message, now)
	case AttemptStarted:
		m.handleAttemptStarted(call, message, now)
	case CallerDisconnected:
		m.handleDisconnect(call, message, now)
	default:
		return false
	}
	return true
}

// callBatch handles a message about a batch or an item. It returns false for any other message.
func (m *Machine) callBatch(call uint64, body any, now clock.Micros) bool {
	switch message := body.(type) {
	case SubmitBatchRequest:
		m.submitBatch(call, message, now)
	case BatchStatusRequest:
		m.batchStatus(call, message, now)
	case PageRequest:
		m.readPage(call, message, now)
	case SubmitForwardedBatchRequest:
		m.submitForwardedBatch(call, message, now)
	case ResubmitForwardedBatchRequest:
		m.resubmitBatch(call, message, now)
	case ForwardedBatchStatusRequest:
		m.forwardedBatchStatus(call, message, now)
	case ForwardedPageRequest:
		m.readForwardedPage(call, message, now)
	case ItemBodyRequest:
		m.readItemBody(call, message, now)
	default:
		return false
	}
	return true
}

// replyDecision replies with the next step that the gateway has to take for a live request.
func (m *Machine) replyDecision(call uint64, decision Decision) {
	m.calls.Emit(machine.Reply{Call: call, Body: decision})
}

// replyError replies with an error, which is the final reply to the caller.
func (m *Machine) replyError(call uint64, err error) {
	m.calls.Emit(machine.Reply{Call: call, Err: err})
}

// replyEmpty replies to a report that requires no further step.
func (m *Machine) replyEmpty(call uint64) {
	m.calls.Emit(machine.Reply{Call: call})
}

// relay replies with the response of a store or of the reader.
func (m *Machine) relay(call uint64, body any, err error) {
	m.calls.Emit(machine.Reply{Call: call, Body: body, Err: err})
}
