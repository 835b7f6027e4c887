package scoring

import (
	"testing"

	"tuliprudder/internal/clock"
)

// A store's items keep to its part of a server: as many as its part of the room
// holds, at least one, and one at a time that has still to begin. It is no matter
// of who is not a store.
func TestBatchShare(t *testing.T) {
	for name, c := range map[string]struct {
		usage    *BatchUsage
		limit    float64
		slots    int
		excluded bool
	}{
		"no item":                  {nil, 0.75, 16, false},
		"the whole, room left":     {&BatchUsage{Share: 1, Running: 11}, 0.75, 16, false},
		"the whole, full":          {&BatchUsage{Share: 1, Running: 12}, 0.75, 16, true},
		"a third, room left":       {&BatchUsage{Share: 1.0 / 3, Running: 3}, 0.75, 16, false},
		"a third, full":            {&BatchUsage{Share: 1.0 / 3, Running: 4}, 0.75, 16, true},
		"rounded up":               {&BatchUsage{Share: 0.3, Running: 3}, 0.75, 16, false}, // 3.6
		"rounded down":             {&BatchUsage{Share: 0.2, Running: 2}, 0.75, 16, true},  // 2.4
		"no part, none runs":       {&BatchUsage{Share: 0, Running: 0}, 0.75, 16, false},
		"no part, one runs":        {&BatchUsage{Share: 0, Running: 1}, 0.75, 16, true},
		"one has to begin":         {&BatchUsage{Share: 1, Running: 1, Prefilling: 1}, 0.75, 16, true},
		"all have begun":           {&BatchUsage{Share: 1, Running: 8, Prefilling: 0}, 0.75, 16, false},
		"more than its part":       {&BatchUsage{Share: 0.5, Running: 9}, 0.75, 16, true},
		"the window, room left":    {&BatchUsage{Share: 1, Running: 4, Window: 5}, 0.75, 16, false},
		"the window, full":         {&BatchUsage{Share: 1, Running: 5, Window: 5}, 0.75, 16, true},
		"a higher limit":           {&BatchUsage{Share: 1, Running: 12}, 1, 16, false},
		"a server with few slots":  {&BatchUsage{Share: 0.5, Running: 0}, 0.75, 1, false},
		"the same, and it has one": {&BatchUsage{Share: 0.5, Running: 1}, 0.75, 1, true},
	} {
		score, reason := BatchShare(Requirements{}, Candidate{UtilizationLimit: c.limit, Slots: c.slots, BatchUsage: c.usage})
		if score != 0 || (reason != "") != c.excluded {
			t.Errorf("%s: mark %v, out %q", name, score, reason)
		}
	}
}

// Shares of all stores together leave the room above the limit to live orders.
func TestBatchSharesOfAllStoresAddUp(t *testing.T) {
	for _, stores := range []int{1, 2, 3, 4} {
		for _, slots := range []int{16, 32} {
			running := 0
			for range stores {
				usage := &BatchUsage{Share: 1 / float64(stores)}
				for {
					if _, reason := BatchShare(Requirements{}, Candidate{UtilizationLimit: 0.75, Slots: slots, BatchUsage: usage}); reason != "" {
						break
					}
					usage.Running++
				}
				running += usage.Running
			}
			if running != slots*3/4 {
				t.Errorf("%d keepers run %d items on %d slots", stores, running, slots)
			}
		}
	}
}

// The more tokens of prompts a server has to read, the lower its mark; none is
// ruled out.
func TestPrefill(t *testing.T) {
	before := 2.0
	for _, tokens := range []int64{0, 1, 500, prefillScaleTokens, 10 * prefillScaleTokens, 1 << 40} {
		score, reason := Prefill(Requirements{}, Candidate{PrefillTokens: tokens})
		if reason != "" || score >= before || score < 0 || score > 1 {
			t.Errorf("%d tokens: mark %v after %v, out %q", tokens, score, before, reason)
		}
		before = score
	}
	if score, _ := Prefill(Requirements{}, Candidate{}); score != 1 {
		t.Errorf("nothing to read: %v", score)
	}
	if score, _ := Prefill(Requirements{}, Candidate{PrefillTokens: prefillScaleTokens}); score != 0.5 {
		t.Errorf("the scale: %v", score)
	}
}

// A server that has left orders without a sign for too long loses its mark; it is
// not ruled out.
func TestResponsiveness(t *testing.T) {
	for unresponsiveFor, want := range map[clock.Micros]float64{0: 1, maxUnresponsive: 1, maxUnresponsive + 1: 0, clock.Second: 0} {
		if score, reason := Responsiveness(Requirements{}, Candidate{UnresponsiveFor: unresponsiveFor}); score != want || reason != "" {
			t.Errorf("%d us silent: mark %v, out %q", unresponsiveFor, score, reason)
		}
	}
}

// The sum weighs each judge's mark by the configuration, and one that rules out is enough.
func TestSum(t *testing.T) {
	healthy := Candidate{Healthy: true, Slots: 4, UtilizationLimit: 1, OwnRequests: 1, PrefillTokens: prefillScaleTokens}
	weights := map[string]float64{"fullness": 4, "spread": 2, "reading": 6, "silence": 20}
	sum, scores, ok := Sum(weights, Requirements{}, healthy)
	if want := 4*0.75 + 2*0.5 + 6*0.5 + 20*1; !ok || sum != want || len(scores) != len(Scorers) {
		t.Errorf("sum %v, not %v; %v", sum, want, scores)
	}
	unresponsive := healthy
	unresponsive.UnresponsiveFor = clock.Second
	if other, _, ok := Sum(weights, Requirements{}, unresponsive); !ok || other != sum-20 {
		t.Errorf("a silent one: %v", other)
	}
	healthy.BatchUsage = &BatchUsage{Share: 1, Prefilling: 1}
	if _, scores, ok := Sum(weights, Requirements{}, healthy); ok || scores[len(scores)-1].Scorer != "share" || scores[len(scores)-1].ExclusionReason == "" {
		t.Errorf("ruled out by %v", scores)
	}
}

// A server's place in the daemon's own order is its mark, the first the highest.
func TestRotation(t *testing.T) {
	for position, want := range map[float64]float64{0: 1, 0.25: 0.75, 0.75: 0.25} {
		if score, reason := Rotation(Requirements{}, Candidate{Rotation: position}); score != want || reason != "" {
			t.Errorf("place %v: mark %v, out %q", position, score, reason)
		}
	}
}
