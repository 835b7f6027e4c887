package verify

import (
	"strings"
	"testing"

	"tuliprudder/proof/modelcontent"
)

const pieces = 4

func good() (*Workload, []modelcontent.Start) {
	list := func(bundle string, from int64) (out []Row) {
		for i := 0; i < 2; i++ {
			out = append(out, Row{Writer: 1, Position: from + int64(i), Bundle: bundle, Item: i, Status: "ok", Output: modelcontent.Answer(bundle+string(rune('a'+i)), pieces)})
		}
		return out
	}
	t := &Workload{Pieces: pieces, counts: map[string]int{"feed token bytes": 1}}
	t.lives = []*Live{
		{Input: "once", Once: true, Outcome: OK, Output: modelcontent.Answer("once", pieces), SentAt: 1, AnsweredAt: 1000},
		{Input: "away", Once: true, Outcome: Refused, Kind: "busy", SentAt: 1, AnsweredAt: 1000},
		{Input: "flow", Outcome: OK, Ended: true, Output: modelcontent.Answer("flow", pieces), SentAt: 1, AnsweredAt: 2000},
		{Input: "half", Outcome: Unknown, Output: modelcontent.Answer("half", 2), SentAt: 1, AnsweredAt: 2000},
	}
	whole := &Bundle{ID: "w", Key: "w", Inputs: []string{"wa", "wb"}, Accepted: true, SentAt: 1, AnsweredAt: 1000, CompleteAt: 2000, Rows: list("w", 5)}
	refused := &Bundle{ID: "r", Key: "r", Inputs: []string{"ra", "rb"}}
	ended := &Bundle{ID: "e", Key: "e", Inputs: []string{"ea", "eb"}, Accepted: true, SentAt: 1, AnsweredAt: 1000, Ended: 5_000_000}
	t.bundles = []*Bundle{whole, refused, ended}
	t.feed = append([]Row(nil), whole.Rows...)
	starts := []modelcontent.Start{{At: 10, Server: "s", Input: "once"}, {At: 10, Server: "s", Input: "flow"}, {At: 20, Server: "s", Input: "wa"}, {At: 20, Server: "s", Input: "wb"}, {At: 5_500_000, Server: "s", Input: "ea"}}
	return t, starts
}

// The judge finds nothing in a day that kept every promise, and each breach that
// is put into it, under the promise it breaks.
func TestTheJudgeCanFail(t *testing.T) {
	tour, starts := good()
	if v := tour.Verdict(starts, []LeavingSpan{{Server: "s", From: 6_000_000}}); v.Broken() {
		t.Fatalf("a good day:\n%s", v)
	}
	for name, c := range map[string]struct {
		promise string
		spoil   func(t *Workload, starts *[]modelcontent.Start)
	}{
		"an item is not listed":   {"never lost", func(t *Workload, _ *[]modelcontent.Start) { t.bundles[0].Rows = t.bundles[0].Rows[:1] }},
		"an item is listed twice": {"exactly once", func(t *Workload, _ *[]modelcontent.Start) { t.bundles[0].Rows[1].Item = 0 }},
		"a position holds two":    {"exactly once", func(t *Workload, _ *[]modelcontent.Start) { t.feed[1].Position = 5 }},
		"the feed misses a row":   {"left off", func(t *Workload, _ *[]modelcontent.Start) { t.feed = t.feed[:1] }},
		"the feed goes back":      {"left off", func(t *Workload, _ *[]modelcontent.Start) { t.feed[0], t.feed[1] = t.feed[1], t.feed[0] }},
		"a refused bundle ran":    {"refused at every try", func(_ *Workload, s *[]modelcontent.Start) { *s = append(*s, modelcontent.Start{Input: "ra"}) }},
		"an ended bundle ran on": {"is ended", func(_ *Workload, s *[]modelcontent.Start) {
			*s = append(*s, modelcontent.Start{At: 9_000_000, Input: "eb"})
		}},
		"a one-shot ran twice":      {"one-shot", func(_ *Workload, s *[]modelcontent.Start) { *s = append(*s, modelcontent.Start{Input: "once"}) }},
		"a turned-away one ran":     {"one-shot", func(_ *Workload, s *[]modelcontent.Start) { *s = append(*s, modelcontent.Start{Input: "away"}) }},
		"another's answer":          {"mixed", func(t *Workload, _ *[]modelcontent.Start) { t.lives[0].Output = modelcontent.Answer("flow", pieces) }},
		"cut short, looks complete": {"mixed", func(t *Workload, _ *[]modelcontent.Start) { t.lives[2].Output = modelcontent.Answer("flow", pieces-1) }},
		"a row is another's": {"mixed", func(t *Workload, _ *[]modelcontent.Start) {
			t.bundles[0].Rows[0].Output = modelcontent.Answer("wb", pieces)
		}},
		"a piece dropped": {"drops, repeats", func(t *Workload, _ *[]modelcontent.Start) { t.lives[3].Output = modelcontent.Pieces("half", 2)[1] }},
		"a piece repeated": {"drops, repeats", func(t *Workload, _ *[]modelcontent.Start) {
			t.lives[3].Output = strings.Repeat(modelcontent.Pieces("half", 1)[0], 2)
		}},
		"a leaving server got work": {"leaving server", func(_ *Workload, s *[]modelcontent.Start) {
			*s = append(*s, modelcontent.Start{At: 20_000_000, Server: "s", Input: "late"})
		}},
		"a row came late": {"within about a second", func(t *Workload, s *[]modelcontent.Start) {
			t.Quiet, t.bundles[0].SeenAt = true, []int64{2_000, 1_400_000}
			*s = append(*s, modelcontent.Start{At: 1_500, Input: "wb", End: true})
		}},
		"a caller saw a list cut": {"never lost", func(t *Workload, _ *[]modelcontent.Start) {
			t.counts = map[string]int{}
			t.addBreach(promiseKept, "cut")
		}},
		"a receipt came late": {"within 12 s", func(t *Workload, _ *[]modelcontent.Start) { t.bundles[0].AnsweredAt = 13_000_000 }},
	} {
		tour, starts := good()
		c.spoil(tour, &starts)
		v := tour.Verdict(starts, []LeavingSpan{{Server: "s", From: 6_000_000}})
		found := false
		for _, p := range v.Promises {
			found = found || strings.Contains(p.Name, c.promise) && len(p.Breaches) > 0
		}
		if !found {
			t.Errorf("%s: not found\n%s", name, v)
		}
	}
}
