package verify

import (
	"fmt"
	"slices"
	"strings"

	"tuliprudder/test/modelcontent"
)

// checker is a verdict in the making.
type checker struct {
	*Workload
	starts  []modelcontent.Start            // without the ends
	byInput map[string][]modelcontent.Start // the same, by input
	endedAt map[string]int64                // when an answer was whole on a server, last
	// The promises; each list of checks is named by what it is about.
	neverLost, exactlyOnce, feedContinues, rejectedNeverRuns, cancelledStops, runsAtMostOnce, neverMixed, streamsIntact, drainingIdle, recoversInTime, readableInTime, errorsTyped *Guarantee
	guarantees                                                                                                                                                                     []*Guarantee
	outcomeCounts                                                                                                                                                                  map[string]int
	durations                                                                                                                                                                      map[string][]int64 // by kind of order
	feedSeen                                                                                                                                                                       map[string]int     // rows, by batch and item
	positionContents                                                                                                                                                               map[[2]int64]string
	accepted                                                                                                                                                                       int
	slowestResult, slowestAcceptance, longestGap                                                                                                                                   int64
}

func newChecker(t *Workload, starts []modelcontent.Start) *checker {
	c := &checker{Workload: t, byInput: map[string][]modelcontent.Start{}, endedAt: map[string]int64{}, outcomeCounts: map[string]int{},
		durations: map[string][]int64{}, feedSeen: map[string]int{}, positionContents: map[[2]int64]string{}}
	for _, start := range starts {
		if start.End {
			c.endedAt[start.Input] = max(c.endedAt[start.Input], start.At)
			continue
		}
		c.starts = append(c.starts, start)
		c.byInput[start.Input] = append(c.byInput[start.Input], start)
	}
	c.neverLost = c.addGuarantee("an accepted bundle is never lost; its results can be read")
	c.exactlyOnce = c.addGuarantee("each result appears exactly once; a position never changes what it holds")
	c.feedContinues = c.addGuarantee("a reader coming back at any edge goes on exactly where it left off")
	c.rejectedNeverRuns = c.addGuarantee("a bundle refused at every try never runs, not even in part")
	c.cancelledStops = c.addGuarantee("once a bundle is ended no work of it starts more than 3 s later")
	c.runsAtMostOnce = c.addGuarantee("a one-shot order never runs twice; one turned away never runs")
	c.neverMixed = c.addGuarantee("no answer is mixed with another's; none cut short looks complete")
	c.streamsIntact = c.addGuarantee("a stream never drops, repeats or joins pieces of two runs")
	c.drainingIdle = c.addGuarantee("a leaving server gets no new work after 3 s")
	c.recoversInTime = c.addGuarantee("after a crash, service is back within 12 s")
	c.recoversInTime.IsTimeBound = true
	c.readableInTime = c.addGuarantee("results can be read within about a second of being whole")
	c.readableInTime.IsTimeBound = true
	c.errorsTyped = c.addGuarantee("answers are typed, and tell when to come back")
	seen := map[guaranteeID]*Guarantee{guaranteeKept: c.neverLost, guaranteeExact: c.exactlyOnce, guaranteeOnce: c.runsAtMostOnce, guaranteeTyped: c.errorsTyped}
	for _, violation := range t.violations {
		seen[violation.guarantee].Violations = append(seen[violation.guarantee].Violations, violation.text)
	}
	return c
}

func (c *checker) addGuarantee(name string) *Guarantee {
	p := &Guarantee{Name: name}
	c.guarantees = append(c.guarantees, p)
	return p
}

func (p *Guarantee) addViolation(format string, args ...any) {
	p.Violations = append(p.Violations, fmt.Sprintf(format, args...))
}

func (p *Guarantee) check(ok bool, format string, args ...any) {
	p.Checked++
	if !ok {
		p.addViolation(format, args...)
	}
}

func (c *checker) checkLiveRequests() {
	for _, l := range c.liveRequests {
		c.outcomeCounts[string(l.Outcome)]++
		if l.ErrorKind != "" {
			c.outcomeCounts[l.ErrorKind]++
		}
		c.errorsTyped.Checked++
		expected := modelcontent.Answer(l.Input, c.Chunks)
		if l.AtMostOnce {
			c.checkOneShot(l, expected)
		} else {
			c.checkStream(l, expected)
		}
	}
}

func (c *checker) checkOneShot(l *LiveRequest, expected string) {
	runs := c.byInput[l.Input]
	c.runsAtMostOnce.check(len(runs) <= 1, "order %s ran %d times: %v", l.Input, len(runs), runs)
	if l.Outcome == Rejected {
		c.runsAtMostOnce.check(len(runs) == 0, "order %s was turned away (%s) and ran", l.Input, l.ErrorKind)
	}
	if l.Outcome == OK {
		c.neverMixed.check(l.Output == expected, "order %s: answer %q is not its own", l.Input, l.Output)
		c.durations["one-shot of "+l.Key] = append(c.durations["one-shot of "+l.Key], l.AnsweredAt-l.SentAt)
	}
}

func (c *checker) checkStream(l *LiveRequest, expected string) {
	c.streamsIntact.check(strings.HasPrefix(expected, l.Output), "stream %s: pieces dropped, repeated or joined: %q of %q", l.Input, l.Output, expected)
	if l.EndSeen {
		c.neverMixed.check(l.Output == expected, "stream %s: ended with %q of %q", l.Input, l.Output, expected)
		c.durations["stream of "+l.Key] = append(c.durations["stream of "+l.Key], l.AnsweredAt-l.SentAt)
	}
	if l.Outcome == Rejected {
		c.runsAtMostOnce.check(len(c.byInput[l.Input]) == 0, "stream %s was turned away (%s) and ran", l.Input, l.ErrorKind)
	}
}

// recordPosition notes what a position holds: it may never hold anything else.
func (c *checker) recordPosition(result Result) {
	key := [2]int64{int64(result.Writer), result.Position}
	what := fmt.Sprintf("%s/%d/%s", result.Batch, result.ItemIndex, result.Output)
	if known, ok := c.positionContents[key]; ok && known != what {
		c.exactlyOnce.addViolation("position %d of writer %d held %s, then %s", result.Position, result.Writer, known, what)
	}
	c.positionContents[key] = what
}

func (c *checker) checkFeed() {
	last := map[string]int64{}
	for _, result := range c.Workload.feed {
		c.feedSeen[fmt.Sprintf("%s/%d", result.Batch, result.ItemIndex)]++
		c.recordPosition(result)
		c.feedContinues.check(result.Position > last[result.Batch], "feed: bundle %s goes back from position %d to %d", result.Batch, last[result.Batch], result.Position)
		last[result.Batch] = result.Position
	}
}

func (c *checker) checkBatch(b *Batch) {
	if !b.Accepted {
		ran := 0
		for _, input := range b.Inputs {
			ran += len(c.byInput[input])
		}
		if !b.OutcomeUnknown {
			c.rejectedNeverRuns.check(ran == 0, "bundle %s was refused at every try and %d of its items ran", b.Key, ran)
		}
		return
	}
	c.accepted++
	c.rejectedNeverRuns.check(!b.IsInvalid, "bundle %s with a bad item was accepted", b.Key)
	if b.CancelledAt > 0 {
		c.checkCancelled(b)
		return
	}
	items := c.checkResults(b)
	c.checkReadDelay(b)
	for i := range b.Inputs {
		c.exactlyOnce.check(items[i] <= 1, "bundle %s item %d is listed %d times", b.ID, i, items[i])
		c.neverLost.check(items[i] >= 1, "bundle %s item %d is not listed", b.ID, i)
		if c.counts["feed token bytes"] > 0 {
			seen := c.feedSeen[fmt.Sprintf("%s/%d", b.ID, i)]
			c.feedContinues.check(seen == 1, "feed: bundle %s item %d seen %d times", b.ID, i, seen)
		}
	}
	if b.CompleteAt > 0 {
		c.durations["bundle"] = append(c.durations["bundle"], b.CompleteAt-b.AnsweredAt)
	}
}

func (c *checker) checkCancelled(b *Batch) {
	for _, input := range b.Inputs {
		for _, start := range c.byInput[input] {
			c.cancelledStops.check(start.At <= b.CancelledAt+drainGraceUS, "bundle %s ended, and %s started %d us later", b.ID, input, start.At-b.CancelledAt)
		}
	}
	c.cancelledStops.Checked++
}

// checkResults checks a batch's list, and counts how often each item is on it.
func (c *checker) checkResults(b *Batch) map[int]int {
	items := map[int]int{}
	last := int64(0)
	for _, result := range b.Results {
		items[result.ItemIndex]++
		c.recordPosition(result)
		c.exactlyOnce.check(result.Position > last, "bundle %s: position %d after %d", b.ID, result.Position, last)
		last = result.Position
		if result.ItemIndex < 0 || result.ItemIndex >= len(b.Inputs) {
			c.exactlyOnce.addViolation("bundle %s: row of item %d", b.ID, result.ItemIndex)
			continue
		}
		if result.Status == "ok" {
			c.neverMixed.check(result.Output == modelcontent.Answer(b.Inputs[result.ItemIndex], c.Chunks), "bundle %s item %d: %q is not its answer", b.ID, result.ItemIndex, result.Output)
		} else {
			c.outcomeCounts["items failed"]++
		}
	}
	return items
}

// checkReadDelay checks how long each row took to its waiting reader.
func (c *checker) checkReadDelay(b *Batch) {
	bound := int64(recoveryBoundUS)
	if c.NoFaults {
		bound = readBoundUS
	}
	for i, result := range b.Results {
		if result.ItemIndex < 0 || result.ItemIndex >= len(b.Inputs) || c.endedAt[b.Inputs[result.ItemIndex]] == 0 || i >= len(b.SeenAt) {
			continue
		}
		// Nobody can wait for a list before its acknowledgement.
		lag := b.SeenAt[i] - max(b.AnsweredAt, c.endedAt[b.Inputs[result.ItemIndex]])
		c.slowestResult = max(c.slowestResult, lag)
		c.readableInTime.check(lag <= bound, "bundle %s item %d was whole %d us before a waiting reader had it", b.ID, result.ItemIndex, lag)
	}
}

// checkTimes checks how long batches took to their acknowledgements, and the longest time
// without a live answer.
func (c *checker) checkTimes() {
	for _, b := range c.batches {
		if b.Accepted {
			took := b.AnsweredAt - b.SentAt
			c.slowestAcceptance = max(c.slowestAcceptance, took)
			c.recoversInTime.check(took <= recoveryBoundUS, "bundle %s was accepted only %d us after it was first handed in", b.ID, took)
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
		c.longestGap = max(c.longestGap, gap)
		c.recoversInTime.check(gap <= recoveryBoundUS, "no live order was served for %d us", gap)
	}
}

func (c *checker) checkDraining(spans []DrainingSpan) {
	for _, span := range spans {
		for _, start := range c.starts {
			if start.Server != span.Server {
				continue
			}
			allowed := start.At <= span.From+drainGraceUS || span.To > 0 && start.At >= span.To
			c.drainingIdle.check(allowed, "%s was marked as leaving and got %s %d us later", span.Server, start.Input, start.At-span.From)
		}
	}
}

func (c *checker) verdict() Verdict {
	v := Verdict{Counts: c.counts}
	for name, number := range c.outcomeCounts {
		v.Counts["live: "+name] = number
	}
	v.Counts["bundles accepted"], v.Counts["orders that started on servers"] = c.accepted, len(c.starts)
	v.Counts["feed rows"], v.Counts["slowest row us"] = len(c.Workload.feed), int(c.slowestResult)
	v.Counts["slowest receipt us"], v.Counts["longest time without a live answer us"] = int(c.slowestAcceptance), int(c.longestGap)
	for name, list := range c.durations {
		slices.Sort(list)
		if len(list) > 0 {
			v.Counts[name+" median us"], v.Counts[name+" p99 us"] = int(list[len(list)/2]), int(list[len(list)*99/100])
		}
	}
	for _, p := range c.guarantees {
		v.Guarantees = append(v.Guarantees, *p)
	}
	return v
}
