package scheduler

import (
	"slices"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/mechanism"
)

// Each priority has two queue levels (docs/DESIGN.md section 11.1): one for batch items and,
// above it, one for live requests. Forwarded batch items have separate levels, see queueLevel.
func batchLevel(priority int64) int64 { return 2 * priority }

func liveLevel(priority int64) int64 { return 2*priority + 1 }

// Forwarded batch items have lower levels than all other requests, so that no live request waits behind
// one, whatever their priorities. Of forwarded items promoted ones come first, then those that can be ready
// in time, by priority, then overdue ones, by priority.
const promotedItemLevel int64 = 1

func onTimeItemLevel(priority int64) int64 { return priority - config.MaxPriority }

func overdueItemLevel(priority int64) int64 { return onTimeItemLevel(priority) - config.MaxPriority }

// queueLevel returns a request's level; higher levels are assigned first.
func queueLevel(r *Request) int64 {
	switch {
	case !r.IsBatchItem:
		return max(liveLevel(r.Priority), r.promotedLevel)
	case !r.isForwardedItem():
		return batchLevel(r.Priority)
	case r.dueState == stateOverdue:
		return overdueItemLevel(r.Priority)
	case r.dueState == statePromotedOverdue, r.dueState == statePromotedOnTime:
		return promotedItemLevel
	}
	return onTimeItemLevel(r.Priority)
}

// levelTable holds the levels of a configuration's classes and forwarded routes, lowest first.
type levelTable []int64

func newLevelTable(configuration *config.Configuration) levelTable {
	var out levelTable
	add := func(priority int64) { out = append(out, batchLevel(priority), liveLevel(priority)) }
	for _, class := range configuration.Classes {
		add(class.Priority)
	}
	for _, route := range configuration.Routes {
		if route.Forward != nil {
			add(route.Forward.Priority)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// index returns a level's index in the table, or the index at which it would be inserted.
func (t levelTable) index(level int64) int {
	at, _ := slices.BinarySearch(t, level)
	return at
}

// position returns a level's relative position, from 0 for the lowest of the table to 1 for
// the highest; 1 if the table has at most one level.
func (t levelTable) position(level int64) float64 {
	n := len(t)
	if n <= 1 {
		return 1
	}
	return float64(min(t.index(level), n-1)) / float64(n-1)
}

// fromTop returns 0 for the highest level, and one more for each level below it.
func (t levelTable) fromTop(level int64) int { return max(0, len(t)-1-t.index(level)) }

// ServerPriority returns the priority that is sent to the server with a request: 0 for the
// highest level, larger numbers for lower levels.
func (sc *Scheduler) ServerPriority(r *Request) int { return sc.levels.fromTop(queueLevel(r)) }

// utilizationLimit returns the utilization, in requests per slot, up to which a request may
// fill a server. The lower its level, the more capacity it leaves for requests of higher
// levels, also those of other daemons.
func (sc *Scheduler) utilizationLimit(r *Request, now clock.Micros) float64 {
	lowest, highest := sc.settings.MinUtilizationLimit, sc.settings.MaxUtilizationLimit
	if sc.IsDisabled(mechanism.LevelLimits) {
		return highest
	}
	limit := lowest + sc.levels.position(queueLevel(r))*(highest-lowest)
	if sc.isStarving(r, now) {
		return max(limit, 1)
	}
	return limit
}

// isStarving reports whether a batch item has waited so long that it may fill a server up to
// utilization 1. Only one item at a time may, so that batches always make progress without
// taking the capacity of live requests.
func (sc *Scheduler) isStarving(r *Request, now clock.Micros) bool {
	if sc.IsDisabled(mechanism.Starvation) {
		return false
	}
	return r.IsBatchItem && sc.runningBatchItems == 0 && now-r.queuedAt > sc.settings.StarvationTimeout
}
