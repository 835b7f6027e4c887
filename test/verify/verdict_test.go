package verify

import (
	"strings"
	"testing"

	"tuliprudder/test/modelcontent"
)

const chunkCount = 4

// validHistory returns the records of a run that violates no guarantee.
func validHistory() (*Workload, []modelcontent.Start) {
	results := func(batch string, from int64) (out []Result) {
		for i := 0; i < 2; i++ {
			out = append(out, Result{Writer: 1, Position: from + int64(i), Batch: batch, ItemIndex: i, Status: "ok", Output: modelcontent.Answer(batch+string(rune('a'+i)), chunkCount)})
		}
		return out
	}
	t := &Workload{Chunks: chunkCount, counts: map[string]int{"feed token bytes": 1}}
	t.liveRequests = []*LiveRequest{
		{Input: "once", AtMostOnce: true, Outcome: OK, Output: modelcontent.Answer("once", chunkCount), SentAt: 1, AnsweredAt: 1000},
		{Input: "away", AtMostOnce: true, Outcome: Rejected, ErrorKind: "busy", SentAt: 1, AnsweredAt: 1000},
		{Input: "flow", Outcome: OK, EndSeen: true, Output: modelcontent.Answer("flow", chunkCount), SentAt: 1, AnsweredAt: 2000},
		{Input: "half", Outcome: Unknown, Output: modelcontent.Answer("half", 2), SentAt: 1, AnsweredAt: 2000},
	}
	complete := &Batch{ID: "w", Key: "w", Inputs: []string{"wa", "wb"}, Accepted: true, SentAt: 1, AnsweredAt: 1000, CompleteAt: 2000, Results: results("w", 5)}
	rejected := &Batch{ID: "r", Key: "r", Inputs: []string{"ra", "rb"}}
	cancelled := &Batch{ID: "e", Key: "e", Inputs: []string{"ea", "eb"}, Accepted: true, SentAt: 1, AnsweredAt: 1000, CancelledAt: 5_000_000}
	t.batches = []*Batch{complete, rejected, cancelled}
	t.feed = append([]Result(nil), complete.Results...)
	starts := []modelcontent.Start{{At: 10, Server: "s", Input: "once"}, {At: 10, Server: "s", Input: "flow"}, {At: 20, Server: "s", Input: "wa"}, {At: 20, Server: "s", Input: "wb"}, {At: 5_500_000, Server: "s", Input: "ea"}}
	return t, starts
}

// The checker reports nothing for a valid history. Each violation injected into it is reported
// under the guarantee that it violates.
func TestCheckerReportsEachViolation(t *testing.T) {
	workload, starts := validHistory()
	if v := workload.Verdict(starts, []DrainingSpan{{Server: "s", From: 6_000_000}}); v.IsBroken() {
		t.Fatalf("violations reported for a valid history:\n%s", v)
	}
	for name, c := range map[string]struct {
		guaranteeName   string
		injectViolation func(t *Workload, starts *[]modelcontent.Start)
	}{
		"an item is not listed":    {"never lost", func(t *Workload, _ *[]modelcontent.Start) { t.batches[0].Results = t.batches[0].Results[:1] }},
		"an item is listed twice":  {"exactly once", func(t *Workload, _ *[]modelcontent.Start) { t.batches[0].Results[1].ItemIndex = 0 }},
		"a position holds two":     {"exactly once", func(t *Workload, _ *[]modelcontent.Start) { t.feed[1].Position = 5 }},
		"the feed misses a result": {"left off", func(t *Workload, _ *[]modelcontent.Start) { t.feed = t.feed[:1] }},
		"the feed goes back":       {"left off", func(t *Workload, _ *[]modelcontent.Start) { t.feed[0], t.feed[1] = t.feed[1], t.feed[0] }},
		"a rejected batch ran":     {"rejected at every attempt", func(_ *Workload, s *[]modelcontent.Start) { *s = append(*s, modelcontent.Start{Input: "ra"}) }},
		"a cancelled batch ran on": {"is cancelled", func(_ *Workload, s *[]modelcontent.Start) {
			*s = append(*s, modelcontent.Start{At: 9_000_000, Input: "eb"})
		}},
		"a one-shot ran twice": {"one-shot", func(_ *Workload, s *[]modelcontent.Start) { *s = append(*s, modelcontent.Start{Input: "once"}) }},
		"a rejected one ran":   {"one-shot", func(_ *Workload, s *[]modelcontent.Start) { *s = append(*s, modelcontent.Start{Input: "away"}) }},
		"another's answer": {"mixed", func(t *Workload, _ *[]modelcontent.Start) {
			t.liveRequests[0].Output = modelcontent.Answer("flow", chunkCount)
		}},
		"interrupted, looks complete": {"mixed", func(t *Workload, _ *[]modelcontent.Start) {
			t.liveRequests[2].Output = modelcontent.Answer("flow", chunkCount-1)
		}},
		"a result is another's": {"mixed", func(t *Workload, _ *[]modelcontent.Start) {
			t.batches[0].Results[0].Output = modelcontent.Answer("wb", chunkCount)
		}},
		"a chunk dropped": {"drops, repeats", func(t *Workload, _ *[]modelcontent.Start) {
			t.liveRequests[3].Output = modelcontent.Chunks("half", 2)[1]
		}},
		"a chunk repeated": {"drops, repeats", func(t *Workload, _ *[]modelcontent.Start) {
			t.liveRequests[3].Output = strings.Repeat(modelcontent.Chunks("half", 1)[0], 2)
		}},
		"a draining server got work": {"draining server", func(_ *Workload, s *[]modelcontent.Start) {
			*s = append(*s, modelcontent.Start{At: 20_000_000, Server: "s", Input: "late"})
		}},
		"a result came late": {"within about a second", func(t *Workload, s *[]modelcontent.Start) {
			t.NoFaults, t.batches[0].SeenAt = true, []int64{2_000, 1_400_000}
			*s = append(*s, modelcontent.Start{At: 1_500, Input: "wb", End: true})
		}},
		"a caller saw results missing": {"never lost", func(t *Workload, _ *[]modelcontent.Start) {
			t.counts = map[string]int{}
			t.addViolation(guaranteeNeverLost, "missing")
		}},
		"an acknowledgement came late": {"within 12 s", func(t *Workload, _ *[]modelcontent.Start) { t.batches[0].AnsweredAt = 13_000_000 }},
	} {
		workload, starts := validHistory()
		c.injectViolation(workload, &starts)
		v := workload.Verdict(starts, []DrainingSpan{{Server: "s", From: 6_000_000}})
		found := false
		for _, p := range v.Guarantees {
			found = found || strings.Contains(p.Name, c.guaranteeName) && len(p.Violations) > 0
		}
		if !found {
			t.Errorf("%s: violation not reported\n%s", name, v)
		}
	}
}
