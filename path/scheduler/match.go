package scheduler

import (
	"container/list"
	"sort"

	"tuliprudder/core/config"
	"tuliprudder/kernel/clock"
	"tuliprudder/kernel/errs"
	"tuliprudder/path/scoring"
)

// Settle looks for as long as looking changes something: the daemon's machine
// calls it at the end of each of its steps.
func (d *Scheduler) Settle(now clock.Micros) {
	for d.changed {
		d.Match(now)
	}
}

// Match assigns what can be assigned now, higher ranks first.
func (d *Scheduler) Match(now clock.Micros) {
	type start struct {
		order      *Order
		assignment *Assignment
	}
	var starts []start
	var expired []*Order
	d.changed = false
	for len(d.expiries) > 0 && now >= d.expiries[0].Expiry {
		o := d.expiries[0]
		d.remove(o)
		expired = append(expired, o)
		d.Expired++
	}
	if !d.Fresh(now) {
		expired = append(expired, d.removeLive()...)
	} else if d.plan != nil {
		for _, level := range d.openLevels() {
			for _, backlog := range d.backlogsOf(level) {
				d.drain(backlog, now, func(o *Order, assignment *Assignment) { starts = append(starts, start{o, assignment}) })
			}
		}
	}
	for _, s := range starts {
		if s.order.Permit != nil && !s.order.Permit(now) {
			s.assignment.Release(0, true, now)
			d.NotPermitted++
			s.order.Drop(errs.New(errs.Refused, "nothing to do: another store runs it, or it has ended", "no permit to start"), now)
			continue
		}
		s.order.Start(s.assignment, now)
	}
	for _, o := range expired {
		if o.Expiry == 0 || now < o.Expiry {
			o.Drop(errs.Later(errs.NotReady, clock.Second, "ask another daemon, or come back", "this daemon's news are old; the order did not run and will not"), now)
			continue
		}
		o.Drop(errs.Later(errs.Expired, d.After(now), "ask again with a later expiry, or when it is less busy", "the order expired in the backlog; it did not run and will not"), now)
	}
}

// drain assigns from one queue until no server is left for its route. Only an
// order that has servers to avoid is stepped over.
func (d *Scheduler) drain(backlog *list.List, now clock.Micros, start func(*Order, *Assignment)) {
	var next *list.Element
	for e := backlog.Front(); e != nil; e = next {
		next = e.Next()
		o := e.Value.(*Order)
		assignment := d.choose(o, now)
		if assignment == nil {
			if len(o.Avoid) == 0 {
				return
			}
			continue
		}
		d.remove(o)
		o.started = true
		start(o, assignment)
	}
}

// choose assigns an order to the server with the highest sum of scores; ties fall by
// seeded chance. It returns nil where no server may take the order now.
func (d *Scheduler) choose(o *Order, now clock.Micros) *Assignment {
	best, scores := d.bestServers(o, now)
	if len(best) == 0 {
		return nil
	}
	return d.assign(o, d.servers[best[d.random.Intn(len(best))]], scores, now)
}

// sumTolerance is how far apart two sums of scores may be and count as equal.
const sumTolerance = 1e-9

// bestServers are the servers with the highest sum of scores for an order, and the
// scores of the first of them.
func (d *Scheduler) bestServers(o *Order, now clock.Micros) (best []string, bestScores []scoring.Score) {
	names, fastest := d.listedServers()
	limit := d.limit(o, now)
	lastOfPrefix := d.prefixes[prefixOf(o)]
	requirements := scoring.Requirements{Model: o.Route.Model, Adapter: o.Route.Adapter, Weights: o.Route.Weights}
	avoid := o.Avoid
	if o.Bundle && len(avoid) > 0 && !d.otherServer(o, names) {
		avoid = nil // what was accepted rather goes where it failed than nowhere
	}
	top := -1.0
	begin := int(d.serverOffset * float64(len(names)))
	for i, name := range names {
		s := d.servers[name]
		if !d.serves(o, s.server.Labels) || avoid[name] >= 3 {
			continue
		}
		candidate := d.candidate(s, o, now)
		candidate.Limit, candidate.Prefix, candidate.Fastest = limit, lastOfPrefix == name, fastest
		candidate.Turn = float64((i-begin+len(names))%len(names)) / float64(len(names))
		sum, scores, ok := scoring.Sum(d.plan.Judges, requirements, candidate)
		if !ok {
			continue
		}
		if sum > top+sumTolerance {
			top, best, bestScores = sum, best[:0], scores
		}
		if sum >= top-sumTolerance {
			best = append(best, name)
		}
	}
	return best, bestScores
}

// listedServers are the names of the servers that are not gone, in order, and the
// latency of the fastest server; 0 where none is known.
func (d *Scheduler) listedServers() (names []string, fastest clock.Micros) {
	names = make([]string, 0, len(d.servers))
	for name, s := range d.servers {
		if !s.server.Gone {
			names = append(names, name)
		}
		if s.latency > 0 && (fastest == 0 || s.latency < fastest) {
			fastest = s.latency
		}
	}
	sort.Strings(names)
	return names, fastest
}

// candidate is what is known of a server by itself.
func (d *Scheduler) candidate(s *serverState, o *Order, now clock.Micros) scoring.Candidate {
	out := scoring.Candidate{Name: s.server.Name, Labels: s.server.Labels, Slots: s.server.Slots, Own: s.own, Others: s.others,
		Leaving: s.server.Leaving && !d.IgnoreStaleness, Healthy: s.healthy(), Latency: s.latency,
		RestUntil: s.restUntil, Now: now, Reading: s.reading, Silent: s.silent(now)}
	if o.Bundle && o.Route.Forward != nil {
		out.Share = &scoring.Share{Part: d.part, Window: s.window.room(), Running: s.bundles, Opening: s.opening}
	}
	return out
}

// keptAssignments is how many of the latest assignments the pace is taken from.
const keptAssignments = 64

// assign counts an order in at its chosen server.
func (d *Scheduler) assign(o *Order, chosen *serverState, scores []scoring.Score, now clock.Micros) *Assignment {
	chosen.own++
	if o.Bundle {
		d.bundles++
	}
	here := &presence{start: now}
	chosen.presences = append(chosen.presences, here)
	d.Assigned++
	d.retries = min(mostRetries, d.retries+retryShare)
	if d.assignedAt = append(d.assignedAt, now); len(d.assignedAt) > keptAssignments {
		d.assignedAt = d.assignedAt[1:]
	}
	d.remember(prefixOf(o), chosen.server.Name)
	assignment := &Assignment{Server: chosen.server, Scores: scores, Started: now, bundle: o.Bundle, prompt: o.Prompt, presence: here, scheduler: d, server: chosen}
	chosen.pending, chosen.reading = append(chosen.pending, assignment), chosen.reading+assignment.prompt
	if o.Bundle {
		chosen.bundles++
		chosen.opening++
	}
	return assignment
}

func (d *Scheduler) serves(o *Order, labels config.Labels) bool {
	if o.Pools != nil {
		return d.plan.Selects(o.Pools, labels)
	}
	return d.plan.Serves(o.Route, labels)
}

// otherServer tells whether there is a sound server for an order besides those it
// avoids; one that is full or rests counts, for it will take orders again.
func (d *Scheduler) otherServer(o *Order, names []string) bool {
	for _, name := range names {
		if s := d.servers[name]; o.Avoid[name] < 3 && s.healthy() && !s.server.Leaving && d.serves(o, s.server.Labels) {
			return true
		}
	}
	return false
}

func (d *Scheduler) remember(prefix uint64, server string) {
	if _, known := d.prefixes[prefix]; !known {
		d.prefixOrder.PushBack(prefix)
		if d.prefixOrder.Len() > d.set.PrefixKept {
			oldest := d.prefixOrder.Remove(d.prefixOrder.Front()).(uint64)
			delete(d.prefixes, oldest)
		}
	}
	d.prefixes[prefix] = server
}
