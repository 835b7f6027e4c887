package scheduler

import (
	"container/list"
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/mechanism"
)

// milli is what fractions of slots are counted in.
const milli = 1000

// defaultCompletionWindow is the time in which batch items count as due where their route names none.
const defaultCompletionWindow = 60 * clock.Second

// PoolLoad is what this daemon has to run in a pool whose servers are scaled.
type PoolLoad struct {
	Pool string // its name
	// Busy is how many slots of servers its requests took, the mean since the last reading, in
	// thousandths.
	Busy int64
	// Queued is how many live requests wait for a server now.
	Queued int64
	// Required is how many slots its queued batch items need to be ready when they are due, in thousandths.
	Required int64
	// Started, Rejected and Late count live requests since the daemon's start: those that got a server,
	// those that got none in time, and responses that came later than their route's targets.
	Started, Rejected, Late int64
}

// isIdle tells whether nothing runs or waits.
func (l PoolLoad) isIdle() bool { return l.Busy == 0 && l.Queued == 0 && l.Required == 0 }

// poolUsage is what this daemon's requests take of a pool's slots.
type poolUsage struct {
	running                  int
	busyTime                 clock.Micros // of all requests since the last reading, up to changedAt
	changedAt, intervalStart clock.Micros
	started, rejected, late  int64
	lastReported             PoolLoad
}

// advance counts the time up to now.
func (u *poolUsage) advance(now clock.Micros) {
	u.busyTime += clock.Micros(u.running) * (now - u.changedAt)
	u.changedAt = now
}

func (u *poolUsage) add(change int, now clock.Micros) {
	u.advance(now)
	u.running += change
}

// takeBusy is the mean of the slots taken since the last reading, in thousandths.
func (u *poolUsage) takeBusy(now clock.Micros) int64 {
	u.advance(now)
	elapsed, busyTime := now-u.intervalStart, u.busyTime
	u.intervalStart, u.busyTime = now, 0
	if elapsed <= 0 {
		return int64(u.running) * milli
	}
	return busyTime * milli / elapsed
}

// usageOf is the usage of a pool; nil for the name "".
func (sc *Scheduler) usageOf(pool string, now clock.Micros) *poolUsage {
	if pool == "" {
		return nil
	}
	if sc.pools[pool] == nil {
		sc.pools[pool] = &poolUsage{changedAt: now, intervalStart: now}
	}
	return sc.pools[pool]
}

// countRejected counts a live request that got no server in time.
func (sc *Scheduler) countRejected(r *Request, now clock.Micros) {
	if r.IsBatchItem {
		return
	}
	for _, pool := range sc.scaledPools(r.Route, r.Pools) {
		sc.usageOf(pool, now).rejected++
	}
}

// scaledPools are the names of the scaled pools that serve a route; chosen, where set, is the selector of
// those that serve the request at hand.
func (sc *Scheduler) scaledPools(route *config.Route, chosen config.Selector) []string {
	if sc.configuration == nil {
		return nil
	}
	return sc.configuration.ScaledPools(route, chosen)
}

// TakeLoads gives the load of each scaled pool, by name, and begins a new reading. A pool that was idle at
// the last reading and still is has none.
func (sc *Scheduler) TakeLoads(now clock.Micros) []PoolLoad {
	if sc.configuration == nil || sc.IsDisabled(mechanism.Autoscale) {
		return nil
	}
	queued := sc.queuedByPool(now)
	var out []PoolLoad
	for _, name := range slices.Sorted(maps.Keys(sc.pools)) {
		u := sc.pools[name]
		load := queued[name]
		load.Pool, load.Busy = name, u.takeBusy(now)
		load.Started, load.Rejected, load.Late = u.started, u.rejected, u.late
		if load != u.lastReported || !load.isIdle() {
			out = append(out, load)
		}
		u.lastReported = load
	}
	return out
}

// queuedByPool is what waits here, by pool. It looks at the lists of the queue alone, not at each request.
func (sc *Scheduler) queuedByPool(now clock.Micros) map[string]PoolLoad {
	out := map[string]PoolLoad{}
	for _, lists := range sc.queue.byLevel {
		for key, requests := range lists {
			for _, pool := range sc.scaledPools(key.route, firstOf(requests).Pools) {
				sc.usageOf(pool, now)
				load := out[pool]
				if firstOf(requests).IsBatchItem {
					load.Required += sc.requiredSlots(key, requests, now)
				} else {
					load.Queued += int64(requests.Len())
				}
				out[pool] = load
			}
		}
	}
	return out
}

// requiredSlots is how many slots a list's batch items need to be ready when they are due, in thousandths: their
// running time over what is left, on average, until then. Overdue ones are allowed the time that a new one has.
func (sc *Scheduler) requiredSlots(key listKey, requests *list.List, now clock.Micros) int64 {
	window := defaultCompletionWindow
	if key.route.Forward != nil && key.route.Forward.CompletionWindow > 0 {
		window = key.route.Forward.CompletionWindow
	}
	first, last := firstOf(requests).DueAt, requests.Back().Value.(*Request).DueAt
	if first > 0 && !key.isOverdue {
		window = max((first+last)/2-now, sc.batch.itemDuration, clock.Millisecond)
	}
	return int64(requests.Len()) * sc.batch.itemDuration * milli / window
}
