package execution

import (
	"strings"

	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/batchstore/shard"
	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/decisionlog"
	"tuliprudder/internal/dataplane/modelclient"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
)

// maxAvoidedServers is the maximum number of servers that a chat item avoids at once. Beyond that
// all of them become eligible again, as there may be no further server to wait for.
const maxAvoidedServers = 2

// HandleAttemptStarted processes the report that a server has begun to process an item.
func (r *Runner) HandleAttemptStarted(started AttemptStarted, now clock.Micros) {
	j := r.attempts[started.AttemptID]
	if j == nil {
		return // cancelled
	}
	r.scheduler.ObserveLoad(j.assignment.Server.Name, started.Load, now)
	r.scheduler.ObserveWeights(j.assignment.Server.Name, started.WeightVersion, now)
	j.assignment.PrefillDone(now)
}

// HandleAttemptResult processes the outcome of an attempt: the item gets its result or is queued
// for another attempt.
func (r *Runner) HandleAttemptResult(result AttemptResult, now clock.Micros) {
	j := r.attempts[result.AttemptID]
	if j == nil {
		return // cancelled
	}
	delete(r.attempts, result.AttemptID)
	assignment := j.assignment
	j.assignment = nil
	j.attemptID = 0
	r.scheduler.ObserveLoad(assignment.Server.Name, result.Load, now)
	r.scheduler.ObserveWeights(assignment.Server.Name, result.WeightVersion, now)
	r.recordDecision(j, assignment, result, now)
	if j.isOpaque() {
		r.handleOpaqueResult(j, assignment, result, now)
	} else {
		r.handleChatResult(j, assignment, result, now)
	}
}

func (r *Runner) recordDecision(j *job, assignment *scheduler.Assignment, result AttemptResult, now clock.Micros) {
	r.Decisions.Begin(decisionlog.Entry{
		RequestID:  j.name,
		Tenant:     j.item.Tenant,
		Route:      j.item.Route,
		Priority:   j.schedulerRequest.Priority,
		ReceivedAt: j.item.SubmittedAt,
	})
	r.Decisions.RecordAttempt(j.name, decisionlog.Attempt{
		Server:    assignment.Server.Name,
		Scores:    assignment.Scores,
		StartedAt: assignment.AssignedAt,
		Duration:  now - assignment.AssignedAt,
		Outcome:   result.Outcome.String(),
		Error:     result.Reason,
	})
}

// handleChatResult finishes a chat item or queues it again after an attempt. Attempts that did not
// start do not count towards the limit; an interrupted item is run again from the beginning.
func (r *Runner) handleChatResult(j *job, assignment *scheduler.Assignment, result AttemptResult, now clock.Micros) {
	server := assignment.Server.Name
	switch result.Outcome {
	case modelclient.Complete:
		assignment.Release(now-assignment.AssignedAt, true, now)
		r.completeItem(j, result.Output, server, now)
		return
	case modelclient.NotStarted:
		assignment.Rejected(now)
	default:
		isReachable := result.Outcome == modelclient.Rejected
		assignment.Release(0, isReachable, now)
		j.failedAttempts++
	}
	if result.Outcome == modelclient.Rejected || j.failedAttempts >= r.settings.MaxAttempts {
		r.failItem(j, outputNotFinished+result.Reason, server, now)
		return
	}
	j.avoidedServers[server]++
	if len(j.avoidedServers) > maxAvoidedServers {
		clear(j.avoidedServers)
	}
	r.schedule(j, now)
}

// handleOpaqueResult finishes an opaque item or queues it again after an attempt. An item fails only
// if a server rejects it, its failed attempts reach the route's limit, it exceeds the route's
// retention, or its route is removed; in all other cases it is queued again.
func (r *Runner) handleOpaqueResult(j *job, assignment *scheduler.Assignment, result AttemptResult, now clock.Micros) {
	server := assignment.Server.Name
	switch {
	case result.ServerFailed:
		assignment.Release(0, false, now)
		r.keepEvents(j, result)
		j.failedAttempts++
		r.report(batchstore.AttemptFailed{Shard: j.item.Shard, Batch: j.item.Batch, Item: j.item.Item}, now)
		j.avoidedServers[server] = scheduler.MaxFailuresPerServer
		if route := r.scheduler.Configuration().ResolveRoute(j.item.RouteReference()); j.hasNoAttemptsLeft(route) {
			r.failItem(j, outputAttemptsFailed+result.Reason, server, now)
			return
		}
	case result.Outcome == modelclient.Complete:
		assignment.Release(now-assignment.AssignedAt, true, now)
		r.completeItem(j, strings.Join(append(j.events, result.Events...), "\n"), server, now)
		return
	case result.Outcome == modelclient.Rejected:
		assignment.Release(0, true, now)
		r.failItem(j, outputRejected+result.Reason, server, now)
		return
	case result.WrongWeights && result.WeightVersion != 0:
		assignment.Abandon(now) // the server stays available to items for its weights; this item needs another server
	case result.Outcome == modelclient.NotStarted:
		assignment.Rejected(now)
	default:
		assignment.Release(0, false, now)
		r.keepEvents(j, result)
	}
	r.schedule(j, now)
}

// hasNoAttemptsLeft reports whether the failed attempts of an opaque item have reached its route's
// limit; a limit of 0 means unlimited.
func (j *job) hasNoAttemptsLeft(route *config.Route) bool {
	if !j.isOpaque() || !j.isAcceptedBy(route) {
		return false
	}
	limit := route.Forward.MaxAttempts
	return limit > 0 && int64(j.failedAttempts) >= limit
}

func (r *Runner) completeItem(j *job, output, server string, now clock.Micros) {
	r.finishItem(j, batchstore.ItemFinished{Status: shard.StatusOK, Output: output, Server: server}, now)
}

// keepEvents stores the events of an incomplete attempt, so that the next one resumes after them.
// Events without a new event ID are not stored: the item can't be resumed after them, and the server
// sends them again.
func (r *Runner) keepEvents(j *job, result AttemptResult) {
	if result.LastEventID <= j.lastEventID {
		return
	}
	size := j.eventBytes
	for _, event := range result.Events {
		size += len(event)
	}
	if size > r.settings.MaxOutputBytes {
		r.calls.Emit(machine.LogEvent{Event: ItemOutputDropped{Item: j.name, Bytes: size, Remedy: "raise MaxOutputBytes"}})
		j.events = nil
		j.eventBytes = 0
		j.lastEventID = 0
		return
	}
	j.events = append(j.events, result.Events...)
	j.eventBytes = size
	j.lastEventID = result.LastEventID
}
