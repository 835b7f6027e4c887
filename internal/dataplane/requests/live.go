package requests

import (
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
)

// activeRequest is a live request in flight.
type activeRequest struct {
	LiveRequest
	tenant               *config.Tenant
	class                *config.PriorityClass
	route                *config.Route
	configurationVersion uint64
	receivedAt           clock.Micros
	deadline             clock.Micros
	call                 uint64 // the call that the next reply answers
	schedulerRequest     *scheduler.Request
	assignment           *scheduler.Assignment // the server of the current attempt; nil between attempts
	releaseQuota         quota.Release
	avoidedServers       map[string]int
	attempts             int
	mayHaveRun           bool // an attempt may have run, at least partially
	disconnected         bool // the caller has disconnected
	keyClaimed           bool
	partialOutput        string // output of all attempts so far
}

// admitRequest validates a live request, reserves its quota, claims its idempotency key and
// schedules its first attempt, in this order.
func (m *Machine) admitRequest(call uint64, request LiveRequest, now clock.Micros) {
	r := &activeRequest{LiveRequest: request, call: call, receivedAt: now, avoidedServers: map[string]int{}}
	if err := m.validate(r, now); err != nil {
		m.replyError(call, err)
		return
	}
	m.inFlight[r.ID] = r
	account := quota.AccountQuota{Account: shard.AccountName{Tenant: r.tenant.Name}, Limit: r.class.Quota, ConfigurationVersion: r.configurationVersion}
	m.quota.Reserve(account, 1, now, func(release quota.Release, err error, now clock.Micros) {
		if err != nil {
			m.finishWithError(r, err, now)
			return
		}
		r.releaseQuota = release
		m.decisions.Begin(decisionlog.Entry{RequestID: r.ID, Tenant: r.tenant.Name, Route: r.route.Name, Priority: r.class.Priority, ReceivedAt: r.receivedAt})
		if r.IdempotencyKey != "" && !m.InjectedFaults.SkipIdempotencyClaim {
			m.claimIdempotencyKey(r, now)
			return
		}
		m.scheduleAttempt(r, nil, now)
	})
}

// validate authorizes a live request, checks its input, and sets the fields that depend on the route.
func (m *Machine) validate(r *activeRequest, now clock.Micros) error {
	c, err := m.authenticate(r.APIKey)
	if err != nil {
		return err
	}
	route, err := c.authorizeRoute(r.Route, false)
	if err != nil {
		return err
	}
	if err := r.LiveRequest.validate(route); err != nil {
		return err
	}
	if !m.scheduler.IsFresh(now) {
		return errs.NewWithRetry(errs.NotReady, clock.Second, "use another daemon, or retry", "this daemon's state is stale; it must be refreshed first")
	}
	r.tenant = c.tenant
	r.class = c.class
	r.route = route
	r.configurationVersion = c.configuration.Version
	r.deadline = now + route.Timeout
	if r.TimeoutUS > 0 {
		r.deadline = min(r.deadline, now+r.TimeoutUS)
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = route.MaxTokens
	}
	return nil
}

// validate checks the caller's input against the route's limits.
func (request LiveRequest) validate(route *config.Route) error {
	switch {
	case request.Input == "":
		return errs.New(errs.BadInput, "give the request an input", "input is empty")
	case request.MaxTokens < 0 || request.MaxTokens > route.MaxTokens:
		return errs.New(errs.BadInput, "omit max_tokens, or stay within the route's limit", "max_tokens %d is not between 1 and %d", request.MaxTokens, route.MaxTokens)
	case request.TimeoutUS < 0:
		return errs.NewWithRetry(errs.DeadlineExceeded, clock.Second, "give a positive expiry_us, in microseconds from now", "the deadline passed before the request arrived")
	case len(request.IdempotencyKey) > maxIdempotencyKeyBytes:
		return errs.New(errs.BadInput, "use a key of at most 256 bytes", "the idempotency key is %d bytes long", len(request.IdempotencyKey))
	case request.IdempotencyKey != "" && route.Kind != config.OneShot:
		return errs.New(errs.BadInput, "omit the idempotency key: only one-shot requests and batches accept one", "route %q is of kind %s", route.Name, route.Kind)
	}
	return nil
}

// finishWithResponse finishes a request with a response to its caller.
func (m *Machine) finishWithResponse(r *activeRequest, response Response, now clock.Micros) {
	m.release(r, now)
	m.replyDecision(r.call, response)
}

// finishWithError finishes a request with an error to its caller.
func (m *Machine) finishWithError(r *activeRequest, err error, now clock.Micros) {
	m.release(r, now)
	m.decisions.RecordOutcome(r.ID, err.Error())
	m.replyError(r.call, err)
}

// release removes a request from those in flight and releases its quota.
func (m *Machine) release(r *activeRequest, now clock.Micros) {
	delete(m.inFlight, r.ID)
	if r.releaseQuota != nil {
		r.releaseQuota(now)
	}
}

// rejectRequest fails a request that has not run and never will. A claimed key is first durably
// voided; if that can't be confirmed, the outcome is unknown.
func (m *Machine) rejectRequest(r *activeRequest, cause error, now clock.Micros) {
	if !r.keyClaimed {
		m.finishWithError(r, cause, now)
		return
	}
	m.completeClaim(r, shard.Voided, nil, now, func(err error, now clock.Micros) {
		if err != nil {
			cause = errs.NewWithRetry(errs.OutcomeUnknown, clock.Second, "retry with the same key", "the request did not run, but its key could not be released: %v", err)
		}
		m.finishWithError(r, cause, now)
	})
}

// failRequest fails a request that no server completed. The request is rejected only if none of its
// attempts may have run; otherwise its outcome is unknown.
func (m *Machine) failRequest(r *activeRequest, cause error, now clock.Micros) {
	if r.mayHaveRun && !m.InjectedFaults.RejectAfterRun {
		m.finishWithError(r, errs.NewWithRetry(errs.OutcomeUnknown, clock.Second, "send the request again; this stream can't be resumed", "an attempt of the request may have run partially: %v", cause), now)
		return
	}
	m.rejectRequest(r, cause, now)
}

// handleDisconnect removes a disconnected caller's request from the queue. An attempt in flight is
// ended by the gateway, which then reports its result.
func (m *Machine) handleDisconnect(call uint64, disconnected CallerDisconnected, now clock.Micros) {
	if r := m.inFlight[disconnected.RequestID]; r != nil {
		r.disconnected = true
		isQueued := r.schedulerRequest != nil && r.assignment == nil
		if isQueued && m.scheduler.Cancel(r.schedulerRequest) {
			m.failRequest(r, disconnectedError(), now)
		}
	}
	m.replyEmpty(call)
}

func disconnectedError() error {
	return errs.New(errs.Rejected, "send the request again", "the caller disconnected before the request started")
}
