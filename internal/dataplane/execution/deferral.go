package execution

import (
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// retryInterval is the minimum time between two retries of the deferred items.
const retryInterval = 50 * clock.Millisecond

// deferJob sets aside an item that can currently be neither queued nor started. The store or Tick
// submits it again.
func (r *Runner) deferJob(j *job) {
	r.remove(j)
	if r.deferred[j.name] == nil {
		r.deferred[j.name] = j
	}
}

// takeDeferred removes a deferred item and returns it, or nil if the item is not deferred.
func (r *Runner) takeDeferred(name string) *job {
	j := r.deferred[name]
	if j == nil {
		return nil
	}
	delete(r.deferred, name)
	return j
}

// retryDeferred submits the deferred items that may start now. The store submits a shard's items
// when it begins to serve the shard, shortly before it holds the lease, so they are deferred at first.
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

// sortedNames returns the names of jobs in order, so that equal inputs produce equal effects.
func sortedNames(jobs map[string]*job) []string { return slices.Sorted(maps.Keys(jobs)) }
