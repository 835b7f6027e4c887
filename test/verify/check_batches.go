package verify

import (
	"fmt"

	"tuliprudder/test/modelcontent"
)

// position identifies an entry in the result sequence of a writer. It never changes which
// result it holds.
type position struct {
	writer int
	number int64
}

// recordPosition checks that a position always holds the same result.
func (c *checker) recordPosition(result Result) {
	key := position{result.Writer, result.Position}
	content := fmt.Sprintf("%s/%d/%s", result.Batch, result.ItemIndex, result.Output)
	if known, ok := c.positionContents[key]; ok && known != content {
		c.exactlyOnce.addViolation("position %d of writer %d held %s, then %s", result.Position, result.Writer, known, content)
	}
	c.positionContents[key] = content
}

// checkFeed checks that the positions of each batch only increase within the feed.
func (c *checker) checkFeed() {
	last := map[string]int64{}
	for _, result := range c.Workload.feed {
		c.feedSeen[fmt.Sprintf("%s/%d", result.Batch, result.ItemIndex)]++
		c.recordPosition(result)
		c.feedContinues.check(result.Position > last[result.Batch], "feed: batch %s went back from position %d to %d", result.Batch, last[result.Batch], result.Position)
		last[result.Batch] = result.Position
	}
}

// checkBatch checks a batch by its outcome: a rejected batch never ran, a cancelled one stopped,
// and a complete one has each result exactly once.
func (c *checker) checkBatch(b *Batch) {
	if !b.Accepted {
		c.checkRejected(b)
		return
	}
	c.acceptedBatches++
	c.rejectedNeverRuns.check(!b.IsInvalid, "batch %s with an invalid item was accepted", b.Key)
	if b.CancelledAt > 0 {
		c.checkCancelled(b)
		return
	}
	itemCounts := c.checkResults(b)
	c.checkReadDelay(b)
	for i := range b.Inputs {
		c.exactlyOnce.check(itemCounts[i] <= 1, "batch %s item %d is listed %d times", b.ID, i, itemCounts[i])
		c.neverLost.check(itemCounts[i] >= 1, "batch %s item %d is not listed", b.ID, i)
		if c.counts[feedTokenBytes] > 0 {
			seen := c.feedSeen[fmt.Sprintf("%s/%d", b.ID, i)]
			c.feedContinues.check(seen == 1, "feed: batch %s item %d was seen %d times", b.ID, i, seen)
		}
	}
	if b.CompleteAt > 0 {
		c.addDuration("batch", b.CompleteAt-b.AnsweredAt)
	}
}

// hasItem reports whether index is the index of an item.
func (b *Batch) hasItem(index int) bool { return index >= 0 && index < len(b.Inputs) }

// checkRejected checks that no item of a batch that was rejected at every attempt ran. Batches
// with an attempt of unknown outcome are exempt, as they may have been accepted.
func (c *checker) checkRejected(b *Batch) {
	if b.OutcomeUnknown {
		return
	}
	ran := 0
	for _, input := range b.Inputs {
		ran += len(c.byInput[input])
	}
	c.rejectedNeverRuns.check(ran == 0, "batch %s was rejected at every attempt and %d of its items ran", b.Key, ran)
}

// checkCancelled checks that no item starts more than stopGraceUS after the cancellation.
func (c *checker) checkCancelled(b *Batch) {
	for _, input := range b.Inputs {
		for _, start := range c.byInput[input] {
			c.cancelledStops.check(start.At <= b.CancelledAt+stopGraceUS, "batch %s was cancelled, and %s started %d us later", b.ID, input, start.At-b.CancelledAt)
		}
	}
	c.cancelledStops.Checked++
}

// checkResults checks the results of a batch and returns the number of results by item index.
func (c *checker) checkResults(b *Batch) map[int]int {
	items := map[int]int{}
	last := int64(0)
	for _, result := range b.Results {
		items[result.ItemIndex]++
		c.recordPosition(result)
		c.exactlyOnce.check(result.Position > last, "batch %s: position %d follows position %d", b.ID, result.Position, last)
		last = result.Position
		if !b.hasItem(result.ItemIndex) {
			c.exactlyOnce.addViolation("batch %s: result for item %d, which the batch does not have", b.ID, result.ItemIndex)
			continue
		}
		if result.Status == "ok" {
			expected := modelcontent.Answer(b.Inputs[result.ItemIndex], c.Chunks)
			c.neverMixed.check(result.Output == expected, "batch %s item %d: %q is not the answer to its input", b.ID, result.ItemIndex, result.Output)
		} else {
			c.outcomeCounts["items failed"]++
		}
	}
	return items
}

// checkReadDelay checks the delay between the completion of each result on a model server and
// its arrival at the waiting reader. With fault injection the recovery bound applies.
func (c *checker) checkReadDelay(b *Batch) {
	bound := int64(recoveryBoundUS)
	if c.NoFaults {
		bound = readDelayBoundUS
	}
	for i, result := range b.Results {
		if !b.hasItem(result.ItemIndex) || i >= len(b.SeenAt) {
			continue
		}
		completedAt := c.completedAt[b.Inputs[result.ItemIndex]]
		if completedAt == 0 {
			continue
		}
		// A caller can't wait for results before the submission is acknowledged.
		lag := b.SeenAt[i] - max(b.AnsweredAt, completedAt)
		c.slowestReadDelay = max(c.slowestReadDelay, lag)
		c.readableInTime.check(lag <= bound, "batch %s item %d reached its waiting reader %d us after completion", b.ID, result.ItemIndex, lag)
	}
}
