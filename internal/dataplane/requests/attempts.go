package requests

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
)

// maxAvoidedServers is the maximum number of servers that a request avoids at once. Beyond that all
// of them become eligible again, as there may be no further server to wait for.
const maxAvoidedServers = 2

// scheduleAttempt queues a request for a server. lastErr is the cause of the previous attempt's
// failure, nil for the first attempt. Retries are also limited by the daemon's retry budget.
func (m *Machine) scheduleAttempt(r *activeRequest, lastErr error, now clock.Micros) {
	if r.disconnected {
		m.failRequest(r, disconnectedError(), now)
		return
	}
	if r.attempts >= m.settings.MaxAttempts || r.attempts > 0 && !m.scheduler.SpendRetry() {
		m.failRequest(r, lastErr, now)
		return
	}
	r.attempts++
	r.schedulerRequest = &scheduler.Request{
		ID:             r.ID,
		Tenant:         r.tenant.Name,
		Route:          r.route,
		Priority:       r.class.Priority,
		Prefix:         r.route.Prefix,
		Deadline:       r.deadline,
		AvoidedServers: r.avoidedServers,
		Start:          func(assignment *scheduler.Assignment, _ clock.Micros) { m.startAttempt(r, assignment) },
		Drop:           func(err error, now clock.Micros) { m.failRequest(r, err, now) },
	}
	if err := m.scheduler.Submit(r.schedulerRequest, now); err != nil {
		m.failRequest(r, err, now)
	}
}

// startAttempt tells the gateway to run the request on the server that the scheduler assigned.
func (m *Machine) startAttempt(r *activeRequest, assignment *scheduler.Assignment) {
	r.assignment = assignment
	if m.InjectedFaults.RestartResumedStream {
		r.partialOutput = ""
	}
	m.replyDecision(r.call, Attempt{
		RouteKind: r.route.Kind,
		Deadline:  r.deadline,
		Request: modelclient.Request{
			Address:       assignment.Server.Address,
			RequestID:     r.ID,
			Model:         r.route.Model,
			Prefix:        r.route.Prefix,
			Input:         r.Input,
			PartialOutput: r.partialOutput,
			MaxTokens:     r.MaxTokens,
			Priority:      m.scheduler.ServerPriority(r.schedulerRequest),
			IdleTimeout:   m.settings.IdleTimeout,
		},
	})
}

// handleAttemptStarted releases the request's quota, which counts only waiting requests.
func (m *Machine) handleAttemptStarted(call uint64, started AttemptStarted, now clock.Micros) {
	if r := m.inFlight[started.RequestID]; r != nil {
		r.releaseQuota(now)
	}
	m.replyEmpty(call)
}

// handleAttemptResult records the outcome of an attempt, then finishes or retries the request.
func (m *Machine) handleAttemptResult(call uint64, result AttemptResult, now clock.Micros) {
	r := m.inFlight[result.RequestID]
	if r == nil || r.assignment == nil {
		m.replyError(call, errs.New(errs.OutcomeUnknown, "send the request again", "no attempt of request %q is in flight here", result.RequestID))
		return
	}
	assignment := r.assignment
	r.call = call
	r.assignment = nil
	r.schedulerRequest = nil
	r.partialOutput = result.Output
	m.decisions.RecordAttempt(r.ID, decisionlog.Attempt{
		Server:    assignment.Server.Name,
		Scores:    assignment.Scores,
		StartedAt: assignment.AssignedAt,
		Duration:  now - assignment.AssignedAt,
		Outcome:   result.Outcome.String(),
		Error:     result.Reason,
	})
	m.decideNext(r, assignment, result, now)
}

func (m *Machine) decideNext(r *activeRequest, assignment *scheduler.Assignment, result AttemptResult, now clock.Micros) {
	hasOutput := result.Output != ""
	acceptedByFault := m.InjectedFaults.AcceptInterrupted && result.Outcome == modelclient.Interrupted && hasOutput
	mustNotRunTwice := r.route.Kind == config.OneShot && !m.InjectedFaults.RetryUnsafely
	cannotContinue := result.ContextDone || hasOutput && r.route.Kind == config.Stream
	switch {
	case result.Outcome == modelclient.Complete, acceptedByFault:
		assignment.Release(now-assignment.AssignedAt, true, now)
		m.completeRequest(r, result.Output, assignment.Server.Name, now)
	case result.Outcome == modelclient.NotStarted:
		assignment.Rejected(now)
		m.retryElsewhere(r, assignment.Server.Name, result.Reason, now)
	case result.Outcome == modelclient.Rejected:
		assignment.Release(0, true, now)
		m.failRequest(r, errs.New(errs.BadInput, "correct the input for this route's model", "%s", result.Reason), now)
	case mustNotRunTwice:
		assignment.Release(0, false, now)
		m.finishWithError(r, errs.NewWithRetry(errs.OutcomeUnknown, clock.Second, "check by other means whether the request ran before sending it again", "the request started on a server and its response is incomplete: %s", result.Reason), now)
	case cannotContinue:
		assignment.Release(0, result.ContextDone, now)
		m.finishWithError(r, errs.NewWithRetry(errs.OutcomeUnknown, clock.Second, "send the request again; this stream can't be resumed", "the stream was interrupted: %s", result.Reason), now)
	default:
		// The caller has received no output yet, or the stream is resumable.
		assignment.Release(0, false, now)
		m.retryInterrupted(r, assignment.Server.Name, result.Reason, now)
	}
}

// completeRequest finishes a request with its response. If the request has a claimed key, the response
// is stored with the claim first.
func (m *Machine) completeRequest(r *activeRequest, output, server string, now clock.Micros) {
	response := Response{RequestID: r.ID, Status: responseStatusOK, Output: output, Server: server}
	if !r.keyClaimed {
		m.finishWithResponse(r, response, now)
		return
	}
	// The caller gets the complete response even if storing it fails; requests that repeat the key
	// then get errs.OutcomeUnknown.
	m.completeClaim(r, shard.Answered, &response, now, func(_ error, now clock.Micros) { m.finishWithResponse(r, response, now) })
}

// retryElsewhere retries a request on another server, after a server did not start it.
func (m *Machine) retryElsewhere(r *activeRequest, server, reason string, now clock.Micros) {
	r.avoidedServers[server] = scheduler.MaxFailuresPerServer
	if len(r.avoidedServers) > maxAvoidedServers {
		clear(r.avoidedServers)
	}
	m.scheduleAttempt(r, errs.NewWithRetry(errs.Busy, m.scheduler.RetryAfter(now), "retry after the indicated time", "no server accepted the request: %s", reason), now)
}

// retryInterrupted retries a request that may have run partially.
func (m *Machine) retryInterrupted(r *activeRequest, server, reason string, now clock.Micros) {
	r.mayHaveRun = true
	r.avoidedServers[server]++
	m.scheduleAttempt(r, errs.NewWithRetry(errs.ServerFault, clock.Second, "retry", "no server completed the request: %s", reason), now)
}
