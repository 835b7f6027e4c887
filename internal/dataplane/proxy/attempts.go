package proxy

import (
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/mechanism"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/errs"
)

const (
	// maxUnsentAttempts limits how many servers that accept no connection are skipped, because
	// each may delay the request by the dial timeout.
	maxUnsentAttempts = 3
	// maxLocalFailures is the same limit for servers to which this daemon has no free connection;
	// skipping these takes no time.
	maxLocalFailures = 32
)

// scheduleAttempt queues a request for a server. lastErr is the error of the previous attempt, nil
// for the first attempt: if no server becomes free, the request fails with lastErr.
func (p *Proxy) scheduleAttempt(r *activeRequest, lastErr error, now clock.Micros) {
	if now >= r.deadline {
		p.failRequest(r, errs.NewWithRetry(errs.DeadlineExceeded, p.settings.MinRetryAfter, "retry with a later deadline", "the deadline of the request has passed"), now)
		return
	}
	r.schedulerRequest = &scheduler.Request{
		ID:             r.ID,
		Tenant:         r.identity.Tenant,
		Route:          r.route,
		Priority:       r.priority,
		Prefix:         sharedPrefix(r.PromptSegments),
		PromptTokens:   r.PromptTokens,
		Pools:          p.choosePools(r.route),
		WantedWeights:  r.WantedWeights,
		Deadline:       p.queueDeadline(r, now),
		AvoidedServers: r.avoidedServers,
		Start:          func(assignment *scheduler.Assignment, _ clock.Micros) { p.startAttempt(r, assignment) },
		Drop: func(err error, now clock.Micros) {
			if lastErr != nil {
				err = lastErr
			}
			p.failRequest(r, err, now)
		},
	}
	if err := p.scheduler.Submit(r.schedulerRequest, now); err != nil {
		p.failRequest(r, err, now)
	}
}

// queueDeadline returns the time until which a request may wait for a server. A request that waits longer is
// rejected, so that its caller learns when to retry while there is still time for a retry.
func (p *Proxy) queueDeadline(r *activeRequest, now clock.Micros) clock.Micros {
	if p.scheduler.IsDisabled(mechanism.QueueTimeLimit) {
		return r.deadline
	}
	limit := now + p.settings.MaxQueueTime
	if latencyTarget := r.route.Forward.LatencyTarget; latencyTarget > 0 {
		limit = min(limit, now+latencyTarget/p.settings.QueueTimeDivisor)
	}
	return min(limit, r.deadline)
}

// choosePools selects the pools for a request of a split route at random, in proportion to their
// weights; nil means that the route's own pools apply.
func (p *Proxy) choosePools(route *config.Route) config.Selector {
	total := int64(0)
	for _, weighted := range route.Forward.Split {
		total += weighted.Weight
	}
	if total == 0 {
		return nil
	}
	draw := p.random.Int63n(total)
	for _, weighted := range route.Forward.Split {
		if draw -= weighted.Weight; draw < 0 {
			return weighted.Pools
		}
	}
	return nil
}

// sharedPrefix returns the ID of the first prompt segment, which is the one that most other requests
// share. Servers whose prefix cache may contain it are preferred.
func sharedPrefix(segments []PromptSegment) string {
	if len(segments) == 0 {
		return ""
	}
	return segments[0].ID
}

// startAttempt tells the gateway to send the request to the server that the scheduler assigned.
func (p *Proxy) startAttempt(r *activeRequest, assignment *scheduler.Assignment) {
	r.assignment = assignment
	r.attempts++
	p.decide(r.call, Attempt{
		Address:  assignment.Server.Address,
		Server:   assignment.Server.Name,
		Route:    r.route,
		Identity: r.currentIdentity(),
		Deadline: r.deadline,
		IsLast:   !r.hasAttemptsLeft(),
	})
}

// currentIdentity returns the identity that is sent to the server of an attempt. The tenant is the one
// that the request was admitted with. If a newer configuration has enabled authentication since then,
// the API key is no longer forwarded.
func (r *activeRequest) currentIdentity() Identity {
	identity := r.identity
	identity.IsAuthenticated = identity.IsAuthenticated || r.schedulerRequest.Route.Forward.IsAuthenticated()
	return identity
}

// hasAttemptsLeft reports whether the route allows an attempt on another server.
func (r *activeRequest) hasAttemptsLeft() bool {
	return r.attempts < max(1, r.route.Forward.MaxAttempts)
}

func (p *Proxy) handleAttemptStarted(call uint64, started AttemptStarted, now clock.Micros) {
	if r := p.inFlight[started.RequestID]; r != nil && r.assignment != nil {
		r.recordResponseStart(now)
		p.scheduler.ObserveLoad(r.assignment.Server.Name, started.Load, now)
		p.scheduler.ObserveWeights(r.assignment.Server.Name, started.WeightVersion, now)
		r.assignment.PrefillDone(now)
		p.recordExecutionStart(r, now)
	}
	p.acknowledge(call)
}

// recordExecutionStart reports once per request that a server has started to run it; retries are not reported.
func (p *Proxy) recordExecutionStart(r *activeRequest, now clock.Micros) {
	if r.executionStarted || p.OnExecutionStarted == nil {
		return
	}
	r.executionStarted = true
	p.OnExecutionStarted(r.identity.Tenant, now)
}

// recordResponseStart records when the response started; only the first call has an effect.
func (r *activeRequest) recordResponseStart(now clock.Micros) {
	if r.responseStartedAt == 0 {
		r.responseStartedAt = now
	}
}

// isLate reports whether a complete response missed its route's latency target or event gap target.
func (r *activeRequest) isLate(result AttemptResult) bool {
	targets := r.route.Forward
	isSlowToStart := targets.LatencyTarget > 0 && r.responseStartedAt-r.receivedAt > targets.LatencyTarget
	return isSlowToStart || targets.MaxEventGap > 0 && result.LongestEventGap > targets.MaxEventGap
}

// handleAttemptResult releases the server of an attempt and decides how the request continues.
func (p *Proxy) handleAttemptResult(call uint64, result AttemptResult, now clock.Micros) {
	r := p.inFlight[result.RequestID]
	if r == nil || r.assignment == nil {
		p.fail(call, errs.New(errs.OutcomeUnknown, "send the request again", "no attempt of request %q is in flight here", result.RequestID))
		return
	}
	assignment := r.assignment
	r.call = call
	r.assignment = nil
	r.schedulerRequest = nil
	if result.ExecutionStarted {
		p.recordExecutionStart(r, now)
	}
	p.scheduler.ObserveLoad(assignment.Server.Name, result.Load, now)
	p.scheduler.ObserveWeights(assignment.Server.Name, result.WeightVersion, now)
	releaseServer(assignment, result, now)
	switch result.Outcome {
	case Complete:
		p.Forwarded++
		r.recordResponseStart(now)
		if r.isLate(result) {
			assignment.CountLate()
		}
		delete(p.inFlight, r.ID)
		p.decide(call, Done{})
	case Invalid:
		delete(p.inFlight, r.ID)
		p.fail(call, errs.New(errs.BadInput, "correct the request", "%s", result.Reason))
	default:
		r.recordFailure(result)
		r.avoidedServers[assignment.Server.Name] = scheduler.MaxFailuresPerServer
		p.retryOrFail(r, result, now)
	}
}

// releaseServer ends an assignment and records what the result says about the server.
func releaseServer(assignment *scheduler.Assignment, result AttemptResult, now clock.Micros) {
	switch {
	case result.Outcome == Complete:
		assignment.Release(now-assignment.AssignedAt, true, now)
	case result.WrongWeights:
		assignment.Abandon(now) // the server is healthy: it runs requests for the weights that it has loaded
	case result.Outcome == NotRun:
		assignment.Rejected(now)
	case result.Outcome == Failed:
		assignment.ServerFailed(now)
	case result.countsAgainstServer():
		assignment.Release(0, false, now)
	default:
		assignment.Abandon(now)
	}
}

// recordFailure updates the request after a failed attempt. An attempt that reached no server does
// not count towards the route's maximum.
func (r *activeRequest) recordFailure(result AttemptResult) {
	switch result.Outcome {
	case NotSent:
		r.attempts--
		if result.LocalFailure {
			r.localFailures++
		} else {
			r.unsentAttempts++
		}
	case Failed, Interrupted:
		r.mayHaveRun = true
	}
}

func (p *Proxy) retryOrFail(r *activeRequest, result AttemptResult, now clock.Micros) {
	cause := errs.NewWithRetry(errs.NotReady, p.settings.MinRetryAfter, "retry", "no server completed the request: %s", result.Reason)
	if !p.mayRetry(r, result) {
		p.failRequest(r, cause, now)
		return
	}
	p.Retries++
	p.scheduleAttempt(r, cause, now)
}

// mayRetry reports whether a failed attempt may be retried.
func (p *Proxy) mayRetry(r *activeRequest, result AttemptResult) bool {
	mayRunTwice := r.mayHaveRun && !IsIdempotent(r.route) && !p.InjectedFaults.RetryUnsafely
	cannotContinue := result.ResponseStarted && r.route.Kind != config.Resumable
	exhausted := !r.hasAttemptsLeft() || r.unsentAttempts > maxUnsentAttempts || r.localFailures > maxLocalFailures
	return !result.ContextDone && !mayRunTwice && !cannotContinue && !exhausted
}
