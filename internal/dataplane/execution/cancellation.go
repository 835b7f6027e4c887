package execution

import (
	"tuliprudder/internal/batchstore"
	"tuliprudder/internal/clock"
)

// Revoke drops the items of a batch or of a shard, wherever they are: this store reports no result
// for them. An attempt in flight is cancelled.
func (r *Runner) Revoke(revoked batchstore.CancelItems, now clock.Micros) {
	if r.InjectedFaults.IgnoreRevoke {
		return
	}
	for _, name := range sortedNames(r.deferred) {
		if r.deferred[name].isRevokedBy(revoked) {
			r.takeDeferred(name)
		}
	}
	for _, name := range sortedNames(r.jobs) {
		if j := r.jobs[name]; j.isRevokedBy(revoked) {
			r.drop(j, now)
		}
	}
}

func (j *job) isRevokedBy(revoked batchstore.CancelItems) bool {
	ofShard := revoked.Shard >= 0 && j.item.Shard == revoked.Shard
	ofBatch := revoked.Batch != "" && j.item.Batch == revoked.Batch
	return ofShard || ofBatch
}

// drop forgets a job that is queued or on a server.
func (r *Runner) drop(j *job, now clock.Micros) {
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
