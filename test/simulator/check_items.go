package simulator

import (
	"strconv"
	"strings"

	"tuliprudder/internal/clock"
	"tuliprudder/test/modelcontent"
)

// itemStarted records a server's report that an item has started there.
func (v *Workload) itemStarted(key string, start modelcontent.Start) {
	b := v.batchByKey[key]
	if b == nil {
		v.reportViolation(answerIntact, "%s starts work of an unknown batch %s", start.Server, key)
		return
	}
	b.StartCount++
	if b.startsByItem[start.Input]++; b.startsByItem[start.Input] == 1 {
		b.itemsStarted++
	}
	if b.Abandoned && !b.OutcomeUnknown {
		v.reportViolation(rejectedNeverRuns, "batch %s was rejected at every attempt and %s starts on %s", key, start.Input, start.Server)
	}
	if b.EndedAt > 0 {
		v.countCheck(endedBatchStops)
		if v.world.Now > b.EndedAt+3*clock.Second+timingGrace {
			v.reportViolation(endedBatchStops, "%s starts on %s %d us after its batch ended", start.Input, start.Server, v.world.Now-b.EndedAt)
		}
	}
}

// itemCompleted records a server's report that an item's result is complete.
func (v *Workload) itemCompleted(key, item string) {
	if number, err := strconv.Atoi(item); err == nil && v.batchByKey[key] != nil {
		v.batchByKey[key].completedAt[number] = v.world.Now
	}
}

// itemFailed records a server's report that it has failed an item.
func (v *Workload) itemFailed(input string) {
	key, item, _ := strings.Cut(input, "#")
	if number, err := strconv.Atoi(item); err == nil && v.batchByKey[key] != nil {
		v.batchByKey[key].failuresByItem[number]++
	}
}
