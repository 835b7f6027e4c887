package verify

import "slices"

// checkTimes checks the time from the first submission of each batch to its acknowledgement, and
// the gaps between successive successful live requests.
func (c *checker) checkTimes() {
	for _, b := range c.batches {
		if b.Accepted {
			took := b.AnsweredAt - b.SentAt
			c.slowestAcceptance = max(c.slowestAcceptance, took)
			c.recoversInTime.check(took <= recoveryBoundUS, "batch %s was accepted %d us after it was first submitted", b.ID, took)
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

// checkDraining checks that no request starts on a draining server, after a grace period of
// stopGraceUS.
func (c *checker) checkDraining(spans []DrainingSpan) {
	for _, span := range spans {
		for _, start := range c.starts {
			if start.Server != span.Server {
				continue
			}
			isBefore := start.At <= span.From+stopGraceUS
			isAfter := span.To > 0 && start.At >= span.To
			c.drainingIdle.check(isBefore || isAfter, "server %s got request %s while draining, %d us after draining began", span.Server, start.Input, start.At-span.From)
		}
	}
}
