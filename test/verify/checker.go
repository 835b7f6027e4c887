package verify

import (
	"slices"

	"tuliprudder/test/modelcontent"
)

// checker checks the records of a workload against the guarantees and builds the verdict.
type checker struct {
	*Workload
	starts      []modelcontent.Start            // from the servers' logs, without the completions
	byInput     map[string][]modelcontent.Start // starts by input
	completedAt map[string]int64                // when the answer to an input was last completed

	guarantees []*Guarantee // all guarantees below, in report order
	neverLost, exactlyOnce, feedContinues, rejectedNeverRuns,
	cancelledStops, runsAtMostOnce, neverMixed, streamsIntact,
	drainingIdle, recoversInTime, readableInTime, errorsTyped *Guarantee

	feedSeen         map[string]int // number of results in the feed, by batch and item
	positionContents map[position]string

	outcomeCounts                                          map[string]int
	durations                                              map[string][]int64 // by kind of request, in microseconds
	acceptedBatches                                        int                // batches
	slowestReadDelay, slowestAcceptance, longestServingGap int64              // microseconds
}

// DrainingGuarantee is the name of the guarantee that is checked only in runs that drain servers.
const DrainingGuarantee = "a draining server gets no new work after 3 s"

func newChecker(t *Workload, starts []modelcontent.Start) *checker {
	c := &checker{
		Workload:         t,
		byInput:          map[string][]modelcontent.Start{},
		completedAt:      map[string]int64{},
		outcomeCounts:    map[string]int{},
		durations:        map[string][]int64{},
		feedSeen:         map[string]int{},
		positionContents: map[position]string{},
	}
	for _, start := range starts {
		if start.End {
			c.completedAt[start.Input] = max(c.completedAt[start.Input], start.At)
			continue
		}
		c.starts = append(c.starts, start)
		c.byInput[start.Input] = append(c.byInput[start.Input], start)
	}
	c.addGuarantees()
	byID := map[guaranteeID]*Guarantee{guaranteeNeverLost: c.neverLost, guaranteeExactlyOnce: c.exactlyOnce, guaranteeSingleRun: c.runsAtMostOnce, guaranteeErrorsTyped: c.errorsTyped}
	for _, violation := range t.violations {
		byID[violation.guarantee].Violations = append(byID[violation.guarantee].Violations, violation.text)
	}
	return c
}

func (c *checker) addGuarantees() {
	c.neverLost = c.addGuarantee("an accepted batch is never lost; its results can be read")
	c.exactlyOnce = c.addGuarantee("each result appears exactly once; a position never changes what it holds")
	c.feedContinues = c.addGuarantee("a reader coming back at any edge goes on exactly where it left off")
	c.rejectedNeverRuns = c.addGuarantee("a batch rejected at every attempt never runs, not even in part")
	c.cancelledStops = c.addGuarantee("once a batch is cancelled no work of it starts more than 3 s later")
	c.runsAtMostOnce = c.addGuarantee("a one-shot request never runs twice; a rejected one never runs")
	c.neverMixed = c.addGuarantee("no answer is mixed with another's; none that was interrupted looks complete")
	c.streamsIntact = c.addGuarantee("a stream never drops, repeats or joins chunks of two runs")
	c.drainingIdle = c.addGuarantee(DrainingGuarantee)
	c.recoversInTime = c.addGuarantee("after a crash, service is restored within 12 s")
	c.recoversInTime.IsTimeBound = true
	c.readableInTime = c.addGuarantee("results can be read within about a second of their completion")
	c.readableInTime.IsTimeBound = true
	c.errorsTyped = c.addGuarantee("errors are typed, and say when to retry")
}

func (c *checker) addGuarantee(name string) *Guarantee {
	p := &Guarantee{Name: name}
	c.guarantees = append(c.guarantees, p)
	return p
}

func (c *checker) addDuration(kind string, duration int64) {
	c.durations[kind] = append(c.durations[kind], duration)
}

// verdict summarizes the checked guarantees and the counts and durations of the run.
func (c *checker) verdict() Verdict {
	v := Verdict{Counts: c.counts}
	for name, count := range c.outcomeCounts {
		v.Counts["live: "+name] = count
	}
	v.Counts["batches accepted"] = c.acceptedBatches
	v.Counts["requests that started on servers"] = len(c.starts)
	v.Counts["results in the feed"] = len(c.Workload.feed)
	v.Counts["slowest result us"] = int(c.slowestReadDelay)
	v.Counts["slowest acknowledgement us"] = int(c.slowestAcceptance)
	v.Counts["longest time without a live answer us"] = int(c.longestServingGap)
	for name, durations := range c.durations {
		slices.Sort(durations)
		v.Counts[name+" median us"] = int(durations[len(durations)/2])
		v.Counts[name+" p99 us"] = int(durations[len(durations)*99/100])
	}
	for _, p := range c.guarantees {
		v.Guarantees = append(v.Guarantees, *p)
	}
	return v
}
