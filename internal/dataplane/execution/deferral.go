package execution

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// retryInterval is the time between two retries of the deferred items.
const retryInterval = 50 * clock.Millisecond

// deferJob keeps an item that can be neither queued nor started just now: the store submits it
// again, or Tick does.
func (r *Runner) deferJob(j *job) {
	r.remove(j)
	if r.deferred[j.name] == nil {
		r.deferred[j.name] = j
	}
}

// takeDeferred removes an item from the deferred ones and returns it; nil if it is not deferred.
func (r *Runner) takeDeferred(name string) *job {
	j := r.deferred[name]
	if j == nil {
		return nil
	}
	delete(r.deferred, name)
	return j
}

// retryDeferred submits the deferred items that may start now: a shard's items are submitted when
// the store begins to serve it, a moment before it has the lease.
func (r *Runner) retryDeferred(configuration *config.Configuration, now clock.Micros) {
	if now < r.lastRetry+retryInterval || len(r.deferred) == 0 {
		return
	}
	r.lastRetry = now
	for _, name := range sortedNames(r.deferred) {
		j := r.deferred[name]
		if j == nil || configuration.Version < j.item.ConfigurationVersion {
			continue
		}
		if r.mayRun(j.item.Shard, j.item.Batch, j.item.Item, now) {
			r.Submit(j.item, now)
		}
	}
}

// sortedNames orders jobs, so that the same inputs have the same effects.
func sortedNames(jobs map[string]*job) []string { return slices.Sorted(maps.Keys(jobs)) }
