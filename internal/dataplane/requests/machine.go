// Package requests decides what becomes of callers' live requests and batches at an edge
// (DESIGN §7): who calls, what the configuration opens to them, the quota, the claim of an
// idempotency key, the queue, the attempts on servers, and what the caller may be assured of.
//
// Inputs are the messages of messages.go, each answered by one machine.Reply. A live request is
// a dialogue: the gateway sends an Input and carries out the Decision, until that is a Response
// or an error. Batches and their results belong to the stores; this package authorizes the
// caller, checks the input, and relays to the shard's owner.
//
// Two invariants hold for every live request:
//   - A one-shot request that may have run is never run again.
//   - An error other than errs.OutcomeUnknown assures the caller that nothing ran and nothing
//     will: a claimed idempotency key is voided durably before.
//
// The package is a part of the edge's state machine: it opens no socket and reads no clock.
// Nothing here is safe for concurrent use: the daemon's event loop is the one caller.
package requests

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/dataplane/reader"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
)

// Settings bound the attempts and waits; Defaults has the usual values.
type Settings struct {
	MaxAttempts   int          // attempts of a live request; default 4
	IdleTimeout   clock.Micros // longest wait for a server's next chunk; default 5 s
	CommitTimeout clock.Micros // after which a store's missing acknowledgement leaves the outcome unknown; default 3 s
}

// Defaults are the values used where nothing is set.
func Defaults() Settings {
	return Settings{MaxAttempts: 4, IdleTimeout: 5 * clock.Second, CommitTimeout: 3 * clock.Second}
}

// InjectedFaults are set by tests only, to show that their checks find such faults.
type InjectedFaults struct {
	RetryUnsafely        bool // a one-shot request of unknown outcome is run again elsewhere
	RejectAfterRun       bool // a request that may have run is rejected
	RestartResumedStream bool // a resumed stream starts from its beginning
	AcceptInterrupted    bool // an interrupted response is taken for a complete one
	SkipIdempotencyClaim bool // an idempotency key is not claimed before the first attempt
}

// Machine holds the live requests in flight.
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

// New makes the part of an edge's machine that serves callers' requests.
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

// InFlight is how many live requests are in flight.
func (m *Machine) InFlight() int { return len(m.inFlight) }

// Call handles a message of the gateway's; false if the message is not for this package.
func (m *Machine) Call(call uint64, body any, now clock.Micros) bool {
	return m.callLive(call, body, now) || m.callBatch(call, body, now)
}

// callLive handles a message about a live request; false for any other.
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

// callBatch handles a call about a batch or an item; false for any other.
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

// replyDecision replies with what the gateway has to do next about a live request.
func (m *Machine) replyDecision(call uint64, decision Decision) {
	m.calls.Emit(machine.Reply{Call: call, Body: decision})
}

// replyError replies with an error, the caller's final answer.
func (m *Machine) replyError(call uint64, err error) {
	m.calls.Emit(machine.Reply{Call: call, Err: err})
}

// replyEmpty replies to a report that nothing follows from.
func (m *Machine) replyEmpty(call uint64) {
	m.calls.Emit(machine.Reply{Call: call})
}

// relay replies with what a store or the reader answered.
func (m *Machine) relay(call uint64, body any, err error) {
	m.calls.Emit(machine.Reply{Call: call, Body: body, Err: err})
}
