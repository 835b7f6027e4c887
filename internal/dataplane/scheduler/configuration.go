package scheduler

import (
	"maps"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/mechanism"
)

// SetConfiguration puts a configuration in force; an older one than that in force is
// ignored. Queued requests go by the new routes and priorities from now on; those
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

// enabledScorers are the weights of the scorers that are not switched off.
func (sc *Scheduler) enabledScorers(weights map[string]float64) map[string]float64 {
	out := maps.Clone(weights)
	maps.DeleteFunc(out, func(name string, _ float64) bool { return sc.IsDisabled(mechanism.Scorer(name)) })
	return out
}

// Configuration is the configuration in force; nil before the first.
func (sc *Scheduler) Configuration() *config.Configuration { return sc.configuration }

// applyConfiguration gives a request the route and priority of the configuration in
// force, which may be newer than the one that it was checked by. The request must not be
// queued.
func (sc *Scheduler) applyConfiguration(r *Request) error {
	if sc.configuration == nil || sc.InjectedFaults.KeepOldConfiguration {
		return nil
	}
	route, class := sc.configuration.Lookup(r.Route.Name, r.Tenant)
	forwarded := r.Route.Forward != nil
	if route == nil || forwarded != (route.Forward != nil) {
		return errRouteRemoved(r.Route.Name)
	}
	// A batch item was accepted and runs for as long as its route exists; so does a forwarded request,
	// whose tenant may have no class, or none at all.
	needsClass := !r.IsBatchItem && !forwarded
	if needsClass && (class == nil || !route.Classes.Matches(class.Labels)) {
		return errRouteRemoved(r.Route.Name)
	}
	r.Route = route
	sc.applyPriority(r, class)
	return nil
}

// applyPriority gives a request the priority of its tenant's class (nil for none) or of its route.
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

// prioritizesItems tells whether a forwarded route's batch items go by priority. Where callers have no tenants, a
// route's priority is one of urgency among live requests alone, and its items go by their due times.
func (sc *Scheduler) prioritizesItems(route *config.Route) bool {
	return route.Forward.IsAuthenticated() && !sc.IsDisabled(mechanism.ItemPriority)
}
