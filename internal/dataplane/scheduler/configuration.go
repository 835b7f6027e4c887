package scheduler

import (
	"maps"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/mechanism"
)

// SetConfiguration puts a configuration in force, unless its version is not newer than the
// current one. Queued requests get the routes and priorities of the new configuration; those
// whose route or tenant was removed are dropped (docs/DESIGN.md section 8.2).
func (sc *Scheduler) SetConfiguration(configuration *config.Configuration, now clock.Micros) {
	if sc.configuration != nil && configuration.Version <= sc.configuration.Version {
		return
	}
	queued := sc.queue.removeAll()
	sc.configuration = configuration
	sc.levels = newLevelTable(configuration)
	sc.scorerWeights = sc.enabledScorers(configuration.ScorerWeights)
	sc.changed = true
	for _, s := range sc.servers {
		sc.configureServer(s)
	}
	for _, r := range queued {
		if err := sc.applyConfiguration(r); err != nil {
			r.Drop(err, now)
			continue
		}
		sc.queue.add(r)
	}
}

// enabledScorers returns the weights of the scorers that are not disabled.
func (sc *Scheduler) enabledScorers(weights map[string]float64) map[string]float64 {
	out := maps.Clone(weights)
	maps.DeleteFunc(out, func(name string, _ float64) bool { return sc.IsDisabled(mechanism.Scorer(name)) })
	return out
}

// Configuration returns the configuration in force, nil until the first one is set.
func (sc *Scheduler) Configuration() *config.Configuration { return sc.configuration }

// applyConfiguration sets a request's route and priority from the configuration in force,
// which may be newer than the one that the request was validated against. The request must
// not be queued.
func (sc *Scheduler) applyConfiguration(r *Request) error {
	if sc.configuration == nil || sc.InjectedFaults.KeepOldConfiguration {
		return nil
	}
	route := sc.configuration.RouteByID(r.Route.ID())
	class := sc.configuration.ClassOfTenant(r.Tenant)
	forwarded := r.Route.Forward != nil
	if route == nil || forwarded != (route.Forward != nil) {
		return errRouteRemoved(r.Route.Name)
	}
	// An accepted batch item may run as long as its route exists. So may a forwarded request: its
	// tenant may have no class, and it may have no tenant.
	needsClass := !r.IsBatchItem && !forwarded
	if needsClass && (class == nil || !route.Classes.Matches(class.Labels)) {
		return errRouteRemoved(r.Route.Name)
	}
	r.Route = route
	sc.applyPriority(r, class)
	return nil
}

// applyPriority sets a request's priority from its tenant's class (nil if it has none) or from its route.
func (sc *Scheduler) applyPriority(r *Request, class *config.PriorityClass) {
	switch {
	case r.isForwardedItem() && !sc.prioritizesItems(r.Route):
		r.Priority = config.MaxPriority
	case r.Route.Forward != nil:
		r.Priority = sc.configuration.PriorityOf(r.Route.Forward, r.Tenant)
	case class != nil:
		r.Priority = class.Priority
	}
}

// prioritizesItems reports whether a forwarded route's batch items are ordered by priority. Where callers have no
// tenants, a route's priority ranks live requests only, and its items are ordered by their due times.
func (sc *Scheduler) prioritizesItems(route *config.Route) bool {
	return route.Forward.IsAuthenticated() && !sc.IsDisabled(mechanism.ItemPriority)
}
