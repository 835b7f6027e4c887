package verify

import (
	"fmt"
	"slices"
	"strings"

	"tuliprudder/proof/modelcontent"
)

// judgement is a verdict in the making.
type judgement struct {
	*Workload
	starts  []modelcontent.Start            // without the ends
	byInput map[string][]modelcontent.Start // the same, by input
	ends    map[string]int64                // when an answer was whole on a server, last
	// The promises; each list of checks is named by what it is about.
	kept, once, feed, never, ended, single, mixed, streams, leaving, back, soon, typed *Promise
	promises                                                                           []*Promise
	told                                                                               map[string]int
	times                                                                              map[string][]int64 // by kind of order
	feedSeen                                                                           map[string]int     // rows, by bundle and item
	holds                                                                              map[[2]int64]string
	accepted                                                                           int
	slowestRow, slowest, gap                                                           int64
}

func newJudgement(t *Workload, starts []modelcontent.Start) *judgement {
	j := &judgement{Workload: t, byInput: map[string][]modelcontent.Start{}, ends: map[string]int64{}, told: map[string]int{},
		times: map[string][]int64{}, feedSeen: map[string]int{}, holds: map[[2]int64]string{}}
	for _, start := range starts {
		if start.End {
			j.ends[start.Input] = max(j.ends[start.Input], start.At)
			continue
		}
		j.starts = append(j.starts, start)
		j.byInput[start.Input] = append(j.byInput[start.Input], start)
	}
	j.kept = j.promise("an accepted bundle is never lost; its results can be read")
	j.once = j.promise("each result appears exactly once; a position never changes what it holds")
	j.feed = j.promise("a reader coming back at any edge goes on exactly where it left off")
	j.never = j.promise("a bundle refused at every try never runs, not even in part")
	j.ended = j.promise("once a bundle is ended no work of it starts more than 3 s later")
	j.single = j.promise("a one-shot order never runs twice; one turned away never runs")
	j.mixed = j.promise("no answer is mixed with another's; none cut short looks complete")
	j.streams = j.promise("a stream never drops, repeats or joins pieces of two runs")
	j.leaving = j.promise("a leaving server gets no new work after 3 s")
	j.back = j.promise("after a crash, service is back within 12 s")
	j.back.Timed = true
	j.soon = j.promise("results can be read within about a second of being whole")
	j.soon.Timed = true
	j.typed = j.promise("answers are typed, and tell when to come back")
	seen := map[promise]*Promise{promiseKept: j.kept, promiseExact: j.once, promiseOnce: j.single, promiseTyped: j.typed}
	for _, breach := range t.breaches {
		seen[breach.promise].Breaches = append(seen[breach.promise].Breaches, breach.text)
	}
	return j
}

func (j *judgement) promise(name string) *Promise {
	p := &Promise{Name: name}
	j.promises = append(j.promises, p)
	return p
}

func (p *Promise) breach(format string, args ...any) {
	p.Breaches = append(p.Breaches, fmt.Sprintf(format, args...))
}

func (p *Promise) check(good bool, format string, args ...any) {
	p.Checked++
	if !good {
		p.breach(format, args...)
	}
}

func (j *judgement) judgeOrders() {
	for _, l := range j.lives {
		j.told[string(l.Outcome)]++
		if l.Kind != "" {
			j.told[l.Kind]++
		}
		j.typed.Checked++
		expected := modelcontent.Answer(l.Input, j.Pieces)
		if l.Once {
			j.judgeOneShot(l, expected)
		} else {
			j.judgeStream(l, expected)
		}
	}
}

func (j *judgement) judgeOneShot(l *Live, expected string) {
	runs := j.byInput[l.Input]
	j.single.check(len(runs) <= 1, "order %s ran %d times: %v", l.Input, len(runs), runs)
	if l.Outcome == Refused {
		j.single.check(len(runs) == 0, "order %s was turned away (%s) and ran", l.Input, l.Kind)
	}
	if l.Outcome == OK {
		j.mixed.check(l.Output == expected, "order %s: answer %q is not its own", l.Input, l.Output)
		j.times["one-shot of "+l.Key] = append(j.times["one-shot of "+l.Key], l.AnsweredAt-l.SentAt)
	}
}

func (j *judgement) judgeStream(l *Live, expected string) {
	j.streams.check(strings.HasPrefix(expected, l.Output), "stream %s: pieces dropped, repeated or joined: %q of %q", l.Input, l.Output, expected)
	if l.Ended {
		j.mixed.check(l.Output == expected, "stream %s: ended with %q of %q", l.Input, l.Output, expected)
		j.times["stream of "+l.Key] = append(j.times["stream of "+l.Key], l.AnsweredAt-l.SentAt)
	}
	if l.Outcome == Refused {
		j.single.check(len(j.byInput[l.Input]) == 0, "stream %s was turned away (%s) and ran", l.Input, l.Kind)
	}
}

// place notes what a position holds: it may never hold anything else.
func (j *judgement) place(row Row) {
	key := [2]int64{int64(row.Writer), row.Position}
	what := fmt.Sprintf("%s/%d/%s", row.Bundle, row.Item, row.Output)
	if known, ok := j.holds[key]; ok && known != what {
		j.once.breach("position %d of writer %d held %s, then %s", row.Position, row.Writer, known, what)
	}
	j.holds[key] = what
}

func (j *judgement) judgeFeed() {
	last := map[string]int64{}
	for _, row := range j.Workload.feed {
		j.feedSeen[fmt.Sprintf("%s/%d", row.Bundle, row.Item)]++
		j.place(row)
		j.feed.check(row.Position > last[row.Bundle], "feed: bundle %s goes back from position %d to %d", row.Bundle, last[row.Bundle], row.Position)
		last[row.Bundle] = row.Position
	}
}

func (j *judgement) judgeBundle(b *Bundle) {
	if !b.Accepted {
		ran := 0
		for _, input := range b.Inputs {
			ran += len(j.byInput[input])
		}
		if !b.OutcomeUnknown {
			j.never.check(ran == 0, "bundle %s was refused at every try and %d of its items ran", b.Key, ran)
		}
		return
	}
	j.accepted++
	j.never.check(!b.Invalid, "bundle %s with a bad item was accepted", b.Key)
	if b.Ended > 0 {
		j.judgeEnded(b)
		return
	}
	items := j.judgeRows(b)
	j.judgeDelay(b)
	for i := range b.Inputs {
		j.once.check(items[i] <= 1, "bundle %s item %d is listed %d times", b.ID, i, items[i])
		j.kept.check(items[i] >= 1, "bundle %s item %d is not listed", b.ID, i)
		if j.counts["feed token bytes"] > 0 {
			seen := j.feedSeen[fmt.Sprintf("%s/%d", b.ID, i)]
			j.feed.check(seen == 1, "feed: bundle %s item %d seen %d times", b.ID, i, seen)
		}
	}
	if b.CompleteAt > 0 {
		j.times["bundle"] = append(j.times["bundle"], b.CompleteAt-b.AnsweredAt)
	}
}

func (j *judgement) judgeEnded(b *Bundle) {
	for _, input := range b.Inputs {
		for _, start := range j.byInput[input] {
			j.ended.check(start.At <= b.Ended+grace, "bundle %s ended, and %s started %d us later", b.ID, input, start.At-b.Ended)
		}
	}
	j.ended.Checked++
}

// judgeRows checks a bundle's list, and counts how often each item is on it.
func (j *judgement) judgeRows(b *Bundle) map[int]int {
	items := map[int]int{}
	last := int64(0)
	for _, row := range b.Rows {
		items[row.Item]++
		j.place(row)
		j.once.check(row.Position > last, "bundle %s: position %d after %d", b.ID, row.Position, last)
		last = row.Position
		if row.Item < 0 || row.Item >= len(b.Inputs) {
			j.once.breach("bundle %s: row of item %d", b.ID, row.Item)
			continue
		}
		if row.Status == "ok" {
			j.mixed.check(row.Output == modelcontent.Answer(b.Inputs[row.Item], j.Pieces), "bundle %s item %d: %q is not its answer", b.ID, row.Item, row.Output)
		} else {
			j.told["items failed"]++
		}
	}
	return items
}

// judgeDelay checks how long each row took to its waiting reader.
func (j *judgement) judgeDelay(b *Bundle) {
	bound := int64(backWithin)
	if j.Quiet {
		bound = readWithin
	}
	for i, row := range b.Rows {
		if row.Item < 0 || row.Item >= len(b.Inputs) || j.ends[b.Inputs[row.Item]] == 0 || i >= len(b.SeenAt) {
			continue
		}
		// Nobody can wait for a list before its receipt.
		lag := b.SeenAt[i] - max(b.AnsweredAt, j.ends[b.Inputs[row.Item]])
		j.slowestRow = max(j.slowestRow, lag)
		j.soon.check(lag <= bound, "bundle %s item %d was whole %d us before a waiting reader had it", b.ID, row.Item, lag)
	}
}

// judgeTimes checks how long bundles took to their receipts, and the longest time
// without a live answer.
func (j *judgement) judgeTimes() {
	for _, b := range j.bundles {
		if b.Accepted {
			took := b.AnsweredAt - b.SentAt
			j.slowest = max(j.slowest, took)
			j.back.check(took <= backWithin, "bundle %s was accepted only %d us after it was first handed in", b.ID, took)
		}
	}
	var served []int64
	for _, l := range j.lives {
		if l.Outcome == OK {
			served = append(served, l.AnsweredAt)
		}
	}
	slices.Sort(served)
	for i := 1; i < len(served); i++ {
		gap := served[i] - served[i-1]
		j.gap = max(j.gap, gap)
		j.back.check(gap <= backWithin, "no live order was served for %d us", gap)
	}
}

func (j *judgement) judgeLeaving(leaves []LeavingSpan) {
	for _, leave := range leaves {
		for _, start := range j.starts {
			if start.Server != leave.Server {
				continue
			}
			allowed := start.At <= leave.From+grace || leave.To > 0 && start.At >= leave.To
			j.leaving.check(allowed, "%s was marked as leaving and got %s %d us later", leave.Server, start.Input, start.At-leave.From)
		}
	}
}

func (j *judgement) verdict() Verdict {
	v := Verdict{Counts: j.counts}
	for name, number := range j.told {
		v.Counts["live: "+name] = number
	}
	v.Counts["bundles accepted"], v.Counts["orders that started on servers"] = j.accepted, len(j.starts)
	v.Counts["feed rows"], v.Counts["slowest row us"] = len(j.Workload.feed), int(j.slowestRow)
	v.Counts["slowest receipt us"], v.Counts["longest time without a live answer us"] = int(j.slowest), int(j.gap)
	for name, list := range j.times {
		slices.Sort(list)
		if len(list) > 0 {
			v.Counts[name+" median us"], v.Counts[name+" p99 us"] = int(list[len(list)/2]), int(list[len(list)*99/100])
		}
	}
	for _, p := range j.promises {
		v.Promises = append(v.Promises, *p)
	}
	return v
}
