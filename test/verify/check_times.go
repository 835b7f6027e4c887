package verify

import "slices"

// checkTimes checks how long batches took to their acknowledgements, and the longest time
// without a live answer.
func (c *checker) checkTimes() {
	for _, b := range c.batches {
		if b.Accepted {
			took := b.AnsweredAt - b.SentAt
			c.slowestAcceptance = max(c.slowestAcceptance, took)
			c.recoversInTime.check(took <= recoveryBoundUS, "batch %s was accepted only %d us after it was first submitted", b.ID, took)
		}
	}
	var served []int64
	for _, l := range c.liveRequests {
		if l.Outcome == OK {
			served = append(served, l.AnsweredAt)
		}
	}
	slices.Sort(served)
	for i := 1; i < len(served); i++ {
		gap := served[i] - served[i-1]
		c.longestServingGap = max(c.longestServingGap, gap)
		c.recoversInTime.check(gap <= recoveryBoundUS, "no live request was served for %d us", gap)
	}
}

// checkDraining checks that servers get nothing while they drain.
func (c *checker) checkDraining(spans []DrainingSpan) {
	for _, span := range spans {
		for _, start := range c.starts {
			if start.Server != span.Server {
				continue
			}
			isBefore := start.At <= span.From+stopGraceUS
			isAfter := span.To > 0 && start.At >= span.To
			c.drainingIdle.check(isBefore || isAfter, "%s was draining and got %s %d us later", span.Server, start.Input, start.At-span.From)
		}
	}
}
