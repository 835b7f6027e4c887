package scheduler

import (
	"slices"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
)

// SetPlan puts a plan in force here, for what waits as well: each order goes by
// the new plan's route and rank from now on, and one whose route or customer is
// gone is dropped.
func (d *Scheduler) SetPlan(plan *config.Plan, now clock.Micros) {
	if d.plan != nil && plan.Version <= d.plan.Version {
		return
	}
	waiting := d.all()
	for _, o := range waiting {
		d.remove(o)
	}
	d.plan, d.levels, d.changed = plan, levels(plan), true
	for _, o := range waiting {
		if err := d.applyPlan(o); err != nil {
			o.Drop(err, now)
			continue
		}
		d.put(o)
	}
}

// applyPlan lets an order go by the plan in force: the one it was checked by may be
// another by now.
func (d *Scheduler) applyPlan(o *Order) error {
	if d.plan == nil || d.KeepOldPlan {
		return nil
	}
	route, class := d.plan.Lookup(o.Route.Name, o.Customer)
	// What was accepted runs for as long as there is a route for it, and requests that
	// are passed on belong to no customer.
	if route == nil || !o.Bundle && o.Route.Forward == nil && (class == nil || !route.Classes.Matches(class.Labels)) {
		return errs.New(errs.UnknownRoute, "name a route that the plan opens to this customer's class", "the plan in force has no route %q for this customer any more; the order did not run and will not", o.Route.Name)
	}
	// Where requests are passed on there are no customers, though one may be named
	// like the route.
	if o.Route = route; class != nil && route.Forward == nil {
		o.Rank = class.Rank
	}
	return nil
}

// Plan is the plan in force here; nil before the first.
func (d *Scheduler) Plan() *config.Plan {
	return d.plan
}

// levels are the levels of a plan's classes, lowest first: bundles of a class,
// then its live orders.
func levels(plan *config.Plan) []int64 {
	seen := map[int64]bool{}
	var out []int64
	for _, class := range plan.Classes {
		for _, level := range []int64{2 * class.Rank, 2*class.Rank + 1} {
			if !seen[level] {
				seen[level] = true
				out = append(out, level)
			}
		}
	}
	slices.Sort(out)
	return out
}

// limit is the fullness up to which an order may fill a server: the lower its
// level, the more room it leaves for those above it, whichever daemon has them.
// So that bundles never starve, a daemon whose bundles have none running may
// start one that has waited long up to a full server.
func (d *Scheduler) limit(o *Order, now clock.Micros) float64 {
	place := 1.0
	if n := len(d.levels); n > 1 {
		at, _ := slices.BinarySearch(d.levels, levelOf(o))
		place = float64(min(at, n-1)) / float64(n-1)
	}
	limit := d.set.LowLimit + place*(d.set.HighLimit-d.set.LowLimit)
	if o.Bundle && d.bundles == 0 && now-o.since > d.set.Patience {
		limit = max(limit, 1)
	}
	return limit
}

// Priority is what a server is told: 0 for the highest level, more for lower.
func (d *Scheduler) Priority(o *Order) int {
	at, _ := slices.BinarySearch(d.levels, levelOf(o))
	return max(0, len(d.levels)-1-at)
}
