package verify

import (
	"fmt"
	"sort"
	"strings"

	"tuliprudder/proof/modelcontent"
)

// Promise is one promise's verdict.
type Promise struct {
	Name     string   `json:"promise"`
	Checked  int      `json:"checked"`
	Breaches []string `json:"breaches"`
	Timed    bool     `json:"timed"` // a bound on time: a slow machine may break it
}

// Verdict is all of them, with what was counted.
type Verdict struct {
	Promises []Promise      `json:"promises"`
	Counts   map[string]int `json:"counts"`
}

// Broken tells whether any promise was broken.
func (v Verdict) Broken() bool {
	for _, p := range v.Promises {
		if len(p.Breaches) > 0 {
			return true
		}
	}
	return false
}

// BrokenUntimed tells whether a promise was broken that is not a bound on time.
func (v Verdict) BrokenUntimed() bool {
	for _, p := range v.Promises {
		if len(p.Breaches) > 0 && !p.Timed {
			return true
		}
	}
	return false
}

// String is the verdict promise by promise.
func (v Verdict) String() string {
	var out strings.Builder
	for _, p := range v.Promises {
		word := "kept"
		if len(p.Breaches) > 0 {
			word = "BROKEN"
		} else if p.Checked == 0 {
			word = "not seen"
		}
		fmt.Fprintf(&out, "%-9s %-74s %6d checked, %d breaches\n", word, p.Name, p.Checked, len(p.Breaches))
		for i, breach := range p.Breaches {
			if i == 12 {
				fmt.Fprintf(&out, "          ... and %d more\n", len(p.Breaches)-12)
				break
			}
			fmt.Fprintf(&out, "          %s\n", breach)
		}
	}
	names := make([]string, 0, len(v.Counts))
	for name := range v.Counts {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		fmt.Fprintf(&out, "          %s: %d\n", name, v.Counts[name])
	}
	return out.String()
}

// LeavingSpan is a server marked as leaving at a time.
type LeavingSpan struct {
	Server   string
	From, To int64
}

const (
	grace      = 3_300_000  // "about 3 seconds"
	backWithin = 12_500_000 // "about 12 seconds"
	readWithin = 1_200_000  // "about a second"
)

// Verdict checks every promise against what the servers logged.
func (t *Workload) Verdict(starts []modelcontent.Start, leaves []LeavingSpan) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	byInput := map[string][]modelcontent.Start{}
	ends := map[string]int64{} // when an answer was whole on a server, last
	all := starts
	starts = nil
	for _, start := range all {
		if start.End {
			ends[start.Input] = max(ends[start.Input], start.At)
			continue
		}
		starts = append(starts, start)
		byInput[start.Input] = append(byInput[start.Input], start)
	}
	order := []string{}
	promises := map[string]*Promise{}
	at := func(name string) *Promise {
		if promises[name] == nil {
			promises[name] = &Promise{Name: name}
			order = append(order, name)
		}
		return promises[name]
	}
	check := func(p *Promise, good bool, format string, args ...any) {
		p.Checked++
		if !good {
			p.Breaches = append(p.Breaches, fmt.Sprintf(format, args...))
		}
	}
	whole := at("an accepted bundle is never lost; its results can be read")
	once := at("each result appears exactly once; a position never changes what it holds")
	follow := at("a reader coming back at any edge goes on exactly where it left off")
	never := at("a bundle refused at every try never runs, not even in part")
	ended := at("once a bundle is ended no work of it starts more than 3 s later")
	single := at("a one-shot order never runs twice; one turned away never runs")
	mixed := at("no answer is mixed with another's; none cut short looks complete")
	streams := at("a stream never drops, repeats or joins pieces of two runs")
	leaving := at("a leaving server gets no new work after 3 s")
	back := at("after a crash, service is back within 12 s")
	back.Timed = true
	soon := at("results can be read within about a second of being whole")
	soon.Timed = true
	other := at("answers are typed, and tell when to come back")
	sawBroken := map[promise]*Promise{promiseKept: whole, promiseExact: once, promiseOnce: single, promiseTyped: other}
	for _, breach := range t.breaches {
		sawBroken[breach.promise].Breaches = append(sawBroken[breach.promise].Breaches, breach.text)
	}
	told := map[string]int{}
	var bundleTimes []int64
	liveTimes := map[string][]int64{}
	for _, l := range t.lives {
		told[string(l.Outcome)]++
		if l.Kind != "" {
			told[l.Kind]++
		}
		runs := byInput[l.Input]
		expected := modelcontent.Answer(l.Input, t.Pieces)
		other.Checked++
		if l.Once {
			check(single, len(runs) <= 1, "order %s ran %d times: %v", l.Input, len(runs), runs)
			if l.Outcome == Refused {
				check(single, len(runs) == 0, "order %s was turned away (%s) and ran", l.Input, l.Kind)
			}
			if l.Outcome == OK {
				check(mixed, l.Output == expected, "order %s: answer %q is not its own", l.Input, l.Output)
				liveTimes["one-shot of "+l.Key] = append(liveTimes["one-shot of "+l.Key], l.AnsweredAt-l.SentAt)
			}
			continue
		}
		check(streams, strings.HasPrefix(expected, l.Output), "stream %s: pieces dropped, repeated or joined: %q of %q", l.Input, l.Output, expected)
		if l.Ended {
			check(mixed, l.Output == expected, "stream %s: ended with %q of %q", l.Input, l.Output, expected)
			liveTimes["stream of "+l.Key] = append(liveTimes["stream of "+l.Key], l.AnsweredAt-l.SentAt)
		}
		if l.Outcome == Refused {
			check(single, len(runs) == 0, "stream %s was turned away (%s) and ran", l.Input, l.Kind)
		}
	}
	feedSeen := map[string]int{}
	holds := map[[2]int64]string{}
	place := func(row Row) {
		key := [2]int64{int64(row.Writer), row.Position}
		what := fmt.Sprintf("%s/%d/%s", row.Bundle, row.Item, row.Output)
		if known, ok := holds[key]; ok && known != what {
			once.Breaches = append(once.Breaches, fmt.Sprintf("position %d of writer %d held %s, then %s", row.Position, row.Writer, known, what))
		}
		holds[key] = what
	}
	lastOf := map[string]int64{}
	for _, row := range t.feed {
		feedSeen[fmt.Sprintf("%s/%d", row.Bundle, row.Item)]++
		place(row)
		check(follow, row.Position > lastOf[row.Bundle], "feed: bundle %s goes back from position %d to %d", row.Bundle, lastOf[row.Bundle], row.Position)
		lastOf[row.Bundle] = row.Position
	}
	accepted, slowestRow := 0, int64(0)
	for _, b := range t.bundles {
		ran := 0
		for _, input := range b.Inputs {
			ran += len(byInput[input])
		}
		if !b.Accepted {
			if !b.OutcomeUnknown {
				check(never, ran == 0, "bundle %s was refused at every try and %d of its items ran", b.Key, ran)
			}
			continue
		}
		accepted++
		check(never, !b.Invalid, "bundle %s with a bad item was accepted", b.Key)
		if b.Ended > 0 {
			for _, input := range b.Inputs {
				for _, start := range byInput[input] {
					check(ended, start.At <= b.Ended+grace, "bundle %s ended, and %s started %d us later", b.ID, input, start.At-b.Ended)
				}
			}
			ended.Checked++
			continue
		}
		items := map[int]int{}
		last := int64(0)
		for _, row := range b.Rows {
			items[row.Item]++
			place(row)
			check(once, row.Position > last, "bundle %s: position %d after %d", b.ID, row.Position, last)
			last = row.Position
			if row.Item < 0 || row.Item >= len(b.Inputs) {
				once.Breaches = append(once.Breaches, fmt.Sprintf("bundle %s: row of item %d", b.ID, row.Item))
				continue
			}
			if row.Status == "ok" {
				check(mixed, row.Output == modelcontent.Answer(b.Inputs[row.Item], t.Pieces), "bundle %s item %d: %q is not its answer", b.ID, row.Item, row.Output)
			} else {
				told["items failed"]++
			}
		}
		for i, row := range b.Rows {
			if row.Item < 0 || row.Item >= len(b.Inputs) || ends[b.Inputs[row.Item]] == 0 || i >= len(b.SeenAt) {
				continue
			}
			// Nobody can wait for a list before its receipt.
			lag := b.SeenAt[i] - max(b.AnsweredAt, ends[b.Inputs[row.Item]])
			slowestRow = max(slowestRow, lag)
			bound := int64(backWithin)
			if t.Quiet {
				bound = readWithin
			}
			check(soon, lag <= bound, "bundle %s item %d was whole %d us before a waiting reader had it", b.ID, row.Item, lag)
		}
		for i := range b.Inputs {
			check(once, items[i] <= 1, "bundle %s item %d is listed %d times", b.ID, i, items[i])
			check(whole, items[i] >= 1, "bundle %s item %d is not listed", b.ID, i)
			if t.counts["feed token bytes"] > 0 {
				check(follow, feedSeen[fmt.Sprintf("%s/%d", b.ID, i)] == 1, "feed: bundle %s item %d seen %d times", b.ID, i, feedSeen[fmt.Sprintf("%s/%d", b.ID, i)])
			}
		}
		if b.CompleteAt > 0 {
			bundleTimes = append(bundleTimes, b.CompleteAt-b.AnsweredAt)
		}
	}
	slowest := int64(0)
	for _, b := range t.bundles {
		if b.Accepted {
			slowest = max(slowest, b.AnsweredAt-b.SentAt)
			check(back, b.AnsweredAt-b.SentAt <= backWithin, "bundle %s was accepted only %d us after it was first handed in", b.ID, b.AnsweredAt-b.SentAt)
		}
	}
	var served []int64
	for _, l := range t.lives {
		if l.Outcome == OK {
			served = append(served, l.AnsweredAt)
		}
	}
	sort.Slice(served, func(i, j int) bool { return served[i] < served[j] })
	gap := int64(0)
	for i := 1; i < len(served); i++ {
		gap = max(gap, served[i]-served[i-1])
		check(back, served[i]-served[i-1] <= backWithin, "no live order was served for %d us", served[i]-served[i-1])
	}
	for _, leave := range leaves {
		for _, start := range starts {
			if start.Server == leave.Server {
				check(leaving, start.At <= leave.From+grace || (leave.To > 0 && start.At >= leave.To), "%s was marked as leaving and got %s %d us later", leave.Server, start.Input, start.At-leave.From)
			}
		}
	}
	v := Verdict{Counts: t.counts}
	for name, number := range told {
		v.Counts["live: "+name] = number
	}
	v.Counts["bundles accepted"], v.Counts["orders that started on servers"] = accepted, len(starts)
	v.Counts["feed rows"], v.Counts["slowest row us"] = len(t.feed), int(slowestRow)
	v.Counts["slowest receipt us"], v.Counts["longest time without a live answer us"] = int(slowest), int(gap)
	liveTimes["bundle"] = bundleTimes
	for name, list := range liveTimes {
		sort.Slice(list, func(i, j int) bool { return list[i] < list[j] })
		if len(list) > 0 {
			v.Counts[name+" median us"], v.Counts[name+" p99 us"] = int(list[len(list)/2]), int(list[len(list)*99/100])
		}
	}
	for _, name := range order {
		v.Promises = append(v.Promises, *promises[name])
	}
	return v
}
