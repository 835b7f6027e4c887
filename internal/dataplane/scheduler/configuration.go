package scheduler

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/errs"
)

// SetConfiguration puts a configuration in force here, for what waits as well: each order goes by
// the new configuration's route and rank from now on, and one whose route or tenant is
// gone is dropped.
func (sc *Scheduler) SetConfiguration(configuration *config.Configuration, now clock.Micros) {
	if sc.configuration != nil && configuration.Version <= sc.configuration.Version {
		return
	}
	waiting := sc.queued()
	for _, r := range waiting {
		sc.dequeue(r)
	}
	sc.configuration, sc.queueLevels, sc.changed = configuration, queueLevels(configuration), true
	for _, r := range waiting {
		if err := sc.applyConfiguration(r); err != nil {
			r.Drop(err, now)
			continue
		}
		sc.enqueue(r)
	}
}

// applyConfiguration lets an order go by the configuration in force: the one it was checked by may be
// another by now.
func (sc *Scheduler) applyConfiguration(r *Request) error {
	if sc.configuration == nil || sc.KeepOldConfiguration {
		return nil
	}
	route, class := sc.configuration.Lookup(r.Route.Name, r.Tenant)
	// What was accepted runs for as long as there is a route for it, and requests that
	// are passed on belong to no tenant.
	if route == nil || !r.IsBatchItem && r.Route.Forward == nil && (class == nil || !route.Classes.Matches(class.Labels)) {
		return errs.New(errs.UnknownRoute, "name a route that the plan opens to this customer's class", "the plan in force has no route %q for this customer any more; the order did not run and will not", r.Route.Name)
	}
	// Where requests are passed on there are no tenants, though one may be named
	// like the route.
	if r.Route = route; class != nil && route.Forward == nil {
		r.Priority = class.Priority
	}
	return nil
}

// Configuration is the configuration in force here; nil before the first.
func (sc *Scheduler) Configuration() *config.Configuration {
	return sc.configuration
}

// queueLevels are the levels of a configuration's classes, lowest first: batches of a class,
// then its live orders.
func queueLevels(configuration *config.Configuration) []int64 {
	seen := map[int64]bool{}
	var out []int64
	for _, class := range configuration.Classes {
		for _, level := range []int64{2 * class.Priority, 2*class.Priority + 1} {
			if !seen[level] {
				seen[level] = true
				out = append(out, level)
			}
		}
	}
	slices.Sort(out)
	return out
}

// utilizationLimit is the fullness up to which an order may fill a server: the lower its
// level, the more room it leaves for those above it, whichever daemon has them.
// So that batches never starve, a daemon whose batches have none running may
// start one that has waited long up to a full server.
func (sc *Scheduler) utilizationLimit(r *Request, now clock.Micros) float64 {
	position := 1.0
	if n := len(sc.queueLevels); n > 1 {
		at, _ := slices.BinarySearch(sc.queueLevels, queueLevel(r))
		position = float64(min(at, n-1)) / float64(n-1)
	}
	limit := sc.settings.MinUtilizationLimit + position*(sc.settings.MaxUtilizationLimit-sc.settings.MinUtilizationLimit)
	if r.IsBatchItem && sc.runningBatchItems == 0 && now-r.queuedAt > sc.settings.StarvationTimeout {
		limit = max(limit, 1)
	}
	return limit
}

// ServerPriority is what a server is told: 0 for the highest level, more for lower.
func (sc *Scheduler) ServerPriority(r *Request) int {
	at, _ := slices.BinarySearch(sc.queueLevels, queueLevel(r))
	return max(0, len(sc.queueLevels)-1-at)
}
