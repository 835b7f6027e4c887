package execution

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
)

// Cancel removes the items of a batch or of a shard, whether they are queued, deferred or on a
// server; this store reports no result for them. Attempts in flight are cancelled.
func (r *Runner) Cancel(cancelled batchstore.CancelItems, now clock.Micros) {
	if r.InjectedFaults.IgnoreCancel {
		return
	}
	for _, name := range sortedNames(r.deferred) {
		if r.deferred[name].isCancelledBy(cancelled) {
			r.takeDeferred(name)
		}
	}
	for _, name := range sortedNames(r.jobs) {
		if j := r.jobs[name]; j.isCancelledBy(cancelled) {
			r.cancelJob(j, now)
		}
	}
}

func (j *job) isCancelledBy(cancelled batchstore.CancelItems) bool {
	ofShard := cancelled.Shard >= 0 && j.item.Shard == cancelled.Shard
	ofBatch := cancelled.Batch != "" && j.item.Batch == cancelled.Batch
	return ofShard || ofBatch
}

// cancelJob removes a job that is queued or on a server and cancels its attempt, if any.
func (r *Runner) cancelJob(j *job, now clock.Micros) {
	delete(r.jobs, j.name)
	if j.assignment != nil {
		r.execute(CancelAttempt{AttemptID: j.attemptID})
		delete(r.attempts, j.attemptID)
		j.assignment.Release(0, true, now)
		j.assignment = nil
		return
	}
	if j.schedulerRequest != nil {
		r.scheduler.Cancel(j.schedulerRequest)
	}
}
