package simulator

import (
	"fmt"

	"tuliprudder/internal/clock"
)

// serviceTimeout is within which every kind of service has to be restored after the last
// fault.
const serviceTimeout = 12 * clock.Second

// Finish ends a run whose faults have ended: service of every kind has to be restored, and
// every acknowledgement, result and configuration is read back. The timeout is for the
// callers, and for each time that the feed's reader makes no progress.
func (v *Workload) Finish(timeout clock.Micros) {
	w := v.world
	healedAt := w.Now
	v.checkServiceRestored(healedAt)
	if !w.RunUntil(max(0, healedAt+serviceTimeout-w.Now), w.FullyReplicated) {
		v.reportViolation(serviceRestored, "the fleet is not stable 12 s after the last fault: %s", w.Describe())
		return
	}
	v.Calling = false
	if !w.RunUntil(timeout, func() bool { return v.PendingCalls == 0 }) {
		v.reportViolation(serviceRestored, "%d callers still wait at the end of the run", v.PendingCalls)
	}
	allRead := func() bool { return v.firstUnreadItem() == "" }
	for v.feedProgresses(timeout, allRead) {
	}
	if item := v.firstUnreadItem(); item != "" {
		v.reportViolation(batchKept, "an accepted batch's result was never read in the feed: %s", item)
	}
	v.Reading = false
	v.checkBatches()
	w.RunFor(4 * clock.Second)
	v.checkConfigurations()
	if w.Outside != nil {
		w.Outside.checkPerformed()
	}
	v.CheckHistories()
}

// firstUnreadItem is an item of an accepted batch whose result the feed's reader has not
// read; "" where there is none. Forwarded batches are in no feed: their pages are read.
func (v *Workload) firstUnreadItem() string {
	for _, b := range v.Batches {
		if b.AcceptedAt == 0 || b.EndedAt > 0 || b.Forwarded {
			continue
		}
		for i := range b.ItemCount {
			if item := fmt.Sprintf("%s/%d", b.ID, i); v.feedItemCounts[item] == 0 {
				return item
			}
		}
	}
	return ""
}

// feedProgresses lets the feed's reader go on for a while: false once it has read all, or
// when it has had no result in that time. The reader takes some hundred results a second,
// and a burst may leave more than it reads in one such while.
func (v *Workload) feedProgresses(timeout clock.Micros, allRead func() bool) bool {
	before := v.FeedResults
	return !v.world.RunUntil(timeout, allRead) && v.FeedResults > before
}

// checkBatches checks every batch at the end of the run.
func (v *Workload) checkBatches() {
	for _, b := range v.Batches {
		if b.AcceptedAt == 0 {
			v.countCheck(rejectedNeverRuns)
			if !b.OutcomeUnknown && b.StartCount > 0 {
				v.reportViolation(rejectedNeverRuns, "batch %s was rejected at every attempt and %d of its items started", b.ID, b.StartCount)
			}
			continue
		}
		if b.EndedAt == 0 {
			v.readBack(b)
		}
	}
}
