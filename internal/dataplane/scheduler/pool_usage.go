package scheduler

import (
	"container/list"
	"maps"
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/mechanism"
)

// milli is the number of units per slot in which fractions of slots are counted.
const milli = 1000

// defaultCompletionWindow is the completion window of batch items whose route has none.
const defaultCompletionWindow = 60 * clock.Second

// PoolLoad is this daemon's load on an autoscaled pool.
type PoolLoad struct {
	Pool string // name of the pool
	// Busy is the mean number of server slots that its requests used since the last TakeLoads, in
	// thousandths.
	Busy int64
	// Queued is the number of live requests that are queued now.
	Queued int64
	// Required is the number of slots that its queued batch items need to be ready when due, in thousandths.
	Required int64
	// Started, Rejected and Late count live requests since the daemon's start: those that were assigned
	// to a server, those that were not assigned in time, and those whose response missed its route's
	// latency targets.
	Started, Rejected, Late int64
}

// isIdle reports whether nothing runs or is queued.
func (l PoolLoad) isIdle() bool { return l.Busy == 0 && l.Queued == 0 && l.Required == 0 }

// poolUsage tracks how many of a pool's slots this daemon's requests use.
type poolUsage struct {
	running                  int
	busyTime                 clock.Micros // of all requests, from intervalStart to changedAt
	changedAt, intervalStart clock.Micros
	started, rejected, late  int64
	lastReported             PoolLoad
}

// advance adds the busy time up to now.
func (u *poolUsage) advance(now clock.Micros) {
	u.busyTime += clock.Micros(u.running) * (now - u.changedAt)
	u.changedAt = now
}

func (u *poolUsage) add(change int, now clock.Micros) {
	u.advance(now)
	u.running += change
}

// takeBusy returns the mean number of slots used since intervalStart, in thousandths, and begins a new interval.
func (u *poolUsage) takeBusy(now clock.Micros) int64 {
	u.advance(now)
	elapsed, busyTime := now-u.intervalStart, u.busyTime
	u.intervalStart, u.busyTime = now, 0
	if elapsed <= 0 {
		return int64(u.running) * milli
	}
	return busyTime * milli / elapsed
}

// usageOf returns the usage of a pool, creating it if there is none; nil for the name "".
func (sc *Scheduler) usageOf(pool string, now clock.Micros) *poolUsage {
	if pool == "" {
		return nil
	}
	if sc.pools[pool] == nil {
		sc.pools[pool] = &poolUsage{changedAt: now, intervalStart: now}
	}
	return sc.pools[pool]
}

// countRejected counts a live request that was not assigned in time. Batch items are not counted.
func (sc *Scheduler) countRejected(r *Request, now clock.Micros) {
	if r.IsBatchItem {
		return
	}
	for _, pool := range sc.scaledPools(r.Route, r.Pools) {
		sc.usageOf(pool, now).rejected++
	}
}

// scaledPools returns the names of the autoscaled pools that serve a route. chosen, if set, is the selector
// of the pools that serve the request (Request.Pools).
func (sc *Scheduler) scaledPools(route *config.Route, chosen config.Selector) []string {
	if sc.configuration == nil {
		return nil
	}
	return sc.configuration.ScaledPools(route, chosen)
}

// TakeLoads returns the loads of the autoscaled pools, sorted by name, and begins a new interval. A pool that
// was idle at the last call and still is is left out.
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

// queuedByPool returns the queued load by pool. It reads only the ends and lengths of the queue's lists, not each
// request.
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

// requiredSlots returns how many slots a list's batch items need to be ready when due, in thousandths: their total
// duration divided by the mean time until they are due. For overdue items this is the completion window of a new item.
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
