package requests

import (
	"encoding/json"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/quota"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/machine"
)

type activeRequest struct {
	LiveRequest
	tenant               *config.Tenant
	class                *config.PriorityClass
	route                *config.Route
	configurationVersion uint64
	receivedAt           clock.Micros
	deadline             clock.Micros
	call                 uint64 // who waits for the next word
	schedulerRequest     *scheduler.Request
	assignment           *scheduler.Assignment
	releaseQuota         quota.Release
	avoidedServers       map[string]int
	attempts             int
	mayHaveRun           bool // a try may have run, in part at least
	disconnected         bool
	keyClaimed           bool
	partialOutput        string
}

// admitRequest begins an order: it is checked, takes its place in the quota, claims
// its key, and waits in the queue.
func (m *Machine) admitRequest(call uint64, request LiveRequest, now clock.Micros) {
	r := &activeRequest{LiveRequest: request, call: call, receivedAt: now, avoidedServers: map[string]int{}}
	if err := m.validate(r, now); err != nil {
		m.reply(call, nil, err)
		return
	}
	m.inFlight[r.ID] = r
	m.quota.Reserve(quota.TenantQuota{Tenant: r.tenant.Name, Limit: r.class.Quota, ConfigurationVersion: r.configurationVersion}, 1, now, func(release quota.Release, err error, now clock.Micros) {
		if err != nil {
			m.finish(r, nil, err, now)
			return
		}
		r.releaseQuota = release
		m.decisions.Begin(decisionlog.Entry{RequestID: r.ID, Tenant: r.tenant.Name, Route: r.route.Name, Priority: r.class.Priority, ReceivedAt: r.receivedAt})
		if r.IdempotencyKey != "" && !m.SkipIdempotencyClaim {
			m.claimIdempotencyKey(r, now)
			return
		}
		m.scheduleAttempt(r, nil, now)
	})
}

func (m *Machine) validate(r *activeRequest, now clock.Micros) error {
	configuration, tenant, class, err := m.authenticate(r.APIKey)
	if err != nil {
		return err
	}
	route, err := authorizeRoute(configuration, class, r.Route, false)
	if err != nil {
		return err
	}
	switch {
	case r.Input == "":
		return errs.New(errs.BadInput, "give the order an input", "input is empty")
	case r.MaxTokens < 0 || r.MaxTokens > route.MaxTokens:
		return errs.New(errs.BadInput, "leave max_tokens out, or keep to the route's bound", "max_tokens %d is not within 1 to %d", r.MaxTokens, route.MaxTokens)
	case r.TimeoutUS < 0:
		return errs.NewWithRetry(errs.DeadlineExceeded, clock.Second, "give an expiry that lies ahead, in microseconds from now", "the order had expired before it came")
	case len(r.IdempotencyKey) > 256:
		return errs.New(errs.BadInput, "use a key of at most 256 bytes", "the idempotency key is too long")
	case r.IdempotencyKey != "" && route.Kind != config.OneShot:
		return errs.New(errs.BadInput, "leave the key out: only one-shot orders and bundles take one", "route %q is of kind %s", route.Name, route.Kind)
	case !m.scheduler.IsFresh(now):
		return errs.NewWithRetry(errs.NotReady, clock.Second, "ask another daemon, or come back", "this daemon's news are old; it refreshes them first")
	}
	r.tenant, r.class, r.route, r.configurationVersion = tenant, class, route, configuration.Version
	r.deadline = now + route.Timeout
	if r.TimeoutUS > 0 {
		r.deadline = min(r.deadline, now+r.TimeoutUS)
	}
	if r.MaxTokens == 0 {
		r.MaxTokens = route.MaxTokens
	}
	return nil
}

// finish gives an order's last word.
func (m *Machine) finish(r *activeRequest, response any, err error, now clock.Micros) {
	delete(m.inFlight, r.ID)
	if r.releaseQuota != nil {
		r.releaseQuota(now)
	}
	if err != nil {
		m.decisions.RecordOutcome(r.ID, err.Error())
	}
	m.reply(r.call, response, err)
}

// callStore asks the store of a batch or a claim; back is told once.
func (m *Machine) callStore(id string, newRequest func(shardIndex int) any, timeout, now clock.Micros, callback machine.Callback) {
	shardIndex, owner, err := m.reader.Locate(id)
	if err != nil {
		callback(nil, err, now)
		return
	}
	m.calls.Request(owner.Peer, newRequest(shardIndex), timeout, callback)
}

// claimIdempotencyKey claims the key before anything starts: a repeated key gets the first
// order's answer.
func (m *Machine) claimIdempotencyKey(r *activeRequest, now clock.Micros) {
	claim := shard.Claim{Tenant: r.tenant.Name, Key: r.IdempotencyKey, RequestID: r.ID, Hash: shard.Hash(r.route.Name, r.Input)}
	m.callStore(shard.ClaimID(r.tenant.Name, r.IdempotencyKey), func(shardIndex int) any {
		return batchstore.ClaimRequest{Shard: shardIndex, Claim: claim, Timeout: m.settings.CommitTimeout}
	},
		m.settings.CommitTimeout+clock.Second, now, func(body any, err error, now clock.Micros) {
			response, ok := body.(batchstore.ClaimResponse)
			switch {
			case err != nil:
				m.finish(r, nil, err, now)
			case !ok:
				m.finish(r, nil, unexpectedReplyError(body), now)
			case response.Yours:
				r.keyClaimed = true
				m.scheduleAttempt(r, nil, now)
			case response.Claim.State == shard.Answered:
				var first Response
				if err := json.Unmarshal(response.Claim.Response, &first); err != nil {
					m.finish(r, nil, errs.New(errs.ServerFault, "run the same release on all daemons", "the key's first answer can't be read: %v", err), now)
					return
				}
				first.Replayed = true
				m.finish(r, first, nil, now)
			default:
				m.finish(r, nil, errs.NewWithRetry(errs.OutcomeUnknown, clock.Second, "ask again with the same key for the first order's answer", "the key's first order (%s) runs, or was cut off", response.Claim.RequestID), now)
			}
		})
}

func unexpectedReplyError(body any) error {
	return errs.New(errs.ServerFault, "run the same release on all daemons", "the store answered %T", body)
}

// completeClaim notes how a claimed order went, so that a repeated key hears it.
func (m *Machine) completeClaim(r *activeRequest, state string, response any, now clock.Micros, callback func(error, clock.Micros)) {
	id := shard.ClaimID(r.tenant.Name, r.IdempotencyKey)
	data, _ := json.Marshal(response)
	m.callStore(id, func(shardIndex int) any {
		return batchstore.CompleteClaimRequest{Shard: shardIndex, ID: id, State: state, Response: data, Timeout: m.settings.CommitTimeout}
	}, m.settings.CommitTimeout+clock.Second, now, func(_ any, err error, now clock.Micros) { callback(err, now) })
}

// rejectRequest says no for good. A claimed key is voided durably first; where that
// can't be confirmed the outcome is unknown.
func (m *Machine) rejectRequest(r *activeRequest, cause error, now clock.Micros) {
	if !r.keyClaimed {
		m.finish(r, nil, cause, now)
		return
	}
	m.completeClaim(r, shard.Voided, nil, now, func(err error, now clock.Micros) {
		if err != nil {
			cause = errs.NewWithRetry(errs.OutcomeUnknown, clock.Second, "ask again with the same key", "the order did not run, but its key could not be freed: %v", err)
		}
		m.finish(r, nil, cause, now)
	})
}

// failRequest ends an order that no server finished: it is rejected only if no try
// of it can have run.
func (m *Machine) failRequest(r *activeRequest, cause error, now clock.Micros) {
	if r.mayHaveRun && !m.RejectAfterRun {
		m.finish(r, nil, errs.NewWithRetry(errs.OutcomeUnknown, clock.Second, "ask anew; this stream does not go on", "a try of the order may have run in part: %v", cause), now)
		return
	}
	m.rejectRequest(r, cause, now)
}

// scheduleAttempt lets an order wait for a server; last is why it has to once more.
func (m *Machine) scheduleAttempt(r *activeRequest, lastErr error, now clock.Micros) {
	switch {
	case r.disconnected:
		m.failRequest(r, disconnectedError(), now)
		return
	case r.attempts >= m.settings.MaxAttempts, r.attempts > 0 && !m.scheduler.SpendRetry():
		m.failRequest(r, lastErr, now)
		return
	}
	r.attempts++
	r.schedulerRequest = &scheduler.Request{ID: r.ID, Tenant: r.tenant.Name, Route: r.route, Priority: r.class.Priority, Prefix: r.route.Prefix, Deadline: r.deadline, AvoidedServers: r.avoidedServers}
	r.schedulerRequest.Drop = func(err error, now clock.Micros) { m.failRequest(r, err, now) }
	r.schedulerRequest.Start = func(assignment *scheduler.Assignment, _ clock.Micros) {
		r.assignment = assignment
		if m.RestartResumedStream {
			r.partialOutput = ""
		}
		m.reply(r.call, Attempt{RouteKind: r.route.Kind, Deadline: r.deadline, Request: modelclient.Request{Address: assignment.Server.Address, RequestID: r.ID, Model: r.route.Model, Prefix: r.route.Prefix,
			Input: r.Input, PartialOutput: r.partialOutput, MaxTokens: r.MaxTokens, Priority: m.scheduler.ServerPriority(r.schedulerRequest), IdleTimeout: m.settings.IdleTimeout}}, nil)
	}
	if err := m.scheduler.Submit(r.schedulerRequest, now); err != nil {
		m.failRequest(r, err, now)
	}
}

func disconnectedError() error {
	return errs.New(errs.Rejected, "ask again", "the caller left before the order started")
}

// handleDisconnect takes an order whose caller has gone out of the queue. One that runs
// is ended by the event loop, which tells how it went.
func (m *Machine) handleDisconnect(name string, now clock.Micros) {
	r := m.inFlight[name]
	if r == nil {
		return
	}
	r.disconnected = true
	if r.schedulerRequest != nil && r.assignment == nil && m.scheduler.Cancel(r.schedulerRequest) {
		m.failRequest(r, disconnectedError(), now)
	}
}

// completeRequest ends an order with its answer; a claimed key keeps the answer first.
func (m *Machine) completeRequest(r *activeRequest, result AttemptResult, assignment *scheduler.Assignment, now clock.Micros) {
	assignment.Release(now-assignment.AssignedAt, true, now)
	response := Response{RequestID: r.ID, Status: answerOK, Output: result.Output, Server: assignment.Server.Name}
	if !r.keyClaimed {
		m.finish(r, response, nil, now)
		return
	}
	m.completeClaim(r, shard.Answered, response, now, func(_ error, now clock.Micros) { m.finish(r, response, nil, now) })
}

// handleAttemptResult decides by how a try went.
func (m *Machine) handleAttemptResult(call uint64, result AttemptResult, now clock.Micros) {
	r := m.inFlight[result.RequestID]
	if r == nil || r.assignment == nil {
		m.reply(call, nil, errs.New(errs.OutcomeUnknown, "ask anew", "no order %q is under way here", result.RequestID))
		return
	}
	assignment := r.assignment
	r.call, r.assignment, r.schedulerRequest, r.partialOutput = call, nil, nil, result.Output
	m.decisions.RecordAttempt(r.ID, decisionlog.Attempt{Server: assignment.Server.Name, Scores: assignment.Scores, StartedAt: assignment.AssignedAt, Duration: now - assignment.AssignedAt, Outcome: result.Outcome.String(), Error: result.Reason})
	switch {
	case result.Outcome == modelclient.Complete, m.AcceptInterrupted && result.Outcome == modelclient.Interrupted && result.Output != "":
		m.completeRequest(r, result, assignment, now)
	case result.Outcome == modelclient.NotStarted:
		assignment.Rejected(now)
		if r.avoidedServers[assignment.Server.Name] = 3; len(r.avoidedServers) >= 3 {
			clear(r.avoidedServers)
		}
		m.scheduleAttempt(r, errs.NewWithRetry(errs.Busy, m.scheduler.RetryAfter(now), "come back after the time given", "no server took the order: %s", result.Reason), now)
	case result.Outcome == modelclient.Rejected:
		assignment.Release(0, true, now)
		m.failRequest(r, errs.New(errs.BadInput, "correct the input for this route's model", "%s", result.Reason), now)
	case r.route.Kind == config.OneShot && !m.RetryUnsafely:
		// It may have run: never a second time.
		assignment.Release(0, false, now)
		m.finish(r, nil, errs.NewWithRetry(errs.OutcomeUnknown, clock.Second, "find out by other means whether it ran before asking anew", "the order started on a server and gave no whole answer: %s", result.Reason), now)
	case result.ContextDone || (result.Output != "" && r.route.Kind == config.Stream):
		assignment.Release(0, result.ContextDone, now)
		m.finish(r, nil, errs.NewWithRetry(errs.OutcomeUnknown, clock.Second, "ask anew; this stream does not go on", "the stream was cut: %s", result.Reason), now)
	default:
		// Nothing has reached the caller yet, or the kind may be gone on with.
		assignment.Release(0, false, now)
		r.mayHaveRun = true
		r.avoidedServers[assignment.Server.Name]++
		m.scheduleAttempt(r, errs.NewWithRetry(errs.ServerFault, clock.Second, "ask again", "no server finished the order: %s", result.Reason), now)
	}
}
