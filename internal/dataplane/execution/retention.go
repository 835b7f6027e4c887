package execution

import (
	"maps"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
)

// retentionCheckInterval is the time between two searches for items that can no longer run, such
// as those that exceed their route's retention.
const retentionCheckInterval = clock.Second

// failureReason returns why an item can no longer run, as the output of its result; "" if it can.
func (j *job) failureReason(route *config.Route, now clock.Micros) string {
	switch {
	case !j.isAcceptedBy(route):
		return outputRouteRemoved
	case j.exceedsRetention(route, now):
		return outputRetentionExceeded
	case j.hasNoAttemptsLeft(route):
		return outputAttemptsFailed + reasonEarlierOwner
	}
	return ""
}

// exceedsRetention reports whether an opaque item is older than its route's retention.
func (j *job) exceedsRetention(route *config.Route, now clock.Micros) bool {
	if !j.isOpaque() || route.Forward.ItemRetention <= 0 {
		return false
	}
	return now > j.item.SubmittedAt+route.Forward.ItemRetention
}

// Tick submits deferred items that may start now, and fails waiting opaque items that can no longer
// run, for example because they exceed their route's retention. Items on a server are not affected.
func (r *Runner) Tick(now clock.Micros) {
	configuration := r.scheduler.Configuration()
	if configuration == nil {
		return
	}
	r.retryDeferred(configuration, now)
	if now < r.nextRetentionCheck {
		return
	}
	r.nextRetentionCheck = now + retentionCheckInterval
	for _, item := range r.unrunnableItems(configuration, now) {
		if r.takeDeferred(item.job.name) == nil {
			r.scheduler.Cancel(item.job.schedulerRequest)
		}
		r.failItem(item.job, item.reason, "", now)
	}
}

// unrunnableItem is an item that can no longer run.
type unrunnableItem struct {
	job    *job
	reason string
}

// unrunnableItems returns the waiting opaque items that can no longer run, in the order of their names.
func (r *Runner) unrunnableItems(configuration *config.Configuration, now clock.Micros) []unrunnableItem {
	waiting := maps.Clone(r.jobs)
	maps.Copy(waiting, r.deferred)
	var unrunnable []unrunnableItem
	for _, name := range sortedNames(waiting) {
		j := waiting[name]
		if j.assignment != nil || !j.isOpaque() || configuration.Version < j.item.ConfigurationVersion {
			continue
		}
		route := configuration.ResolveRoute(j.item.RouteReference())
		if reason := j.failureReason(route, now); reason != "" {
			unrunnable = append(unrunnable, unrunnableItem{job: j, reason: reason})
		}
	}
	return unrunnable
}
