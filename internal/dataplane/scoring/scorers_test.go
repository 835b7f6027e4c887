package scoring

import (
	"testing"

	"tuliprudder/internal/clock"
)

// A store's items keep to its share of a server: as many as its share of the capacity
// holds, at least one, and one at a time in prefill. Other requests are not concerned.
func TestBatchShare(t *testing.T) {
	for name, c := range map[string]struct {
		usage    *BatchUsage
		limit    float64
		slots    int
		excluded bool
	}{
		"no item":                   {nil, 0.75, 16, false},
		"all of it, capacity left":  {&BatchUsage{Share: 1, Running: 11}, 0.75, 16, false},
		"all of it, full":           {&BatchUsage{Share: 1, Running: 12}, 0.75, 16, true},
		"a third, capacity left":    {&BatchUsage{Share: 1.0 / 3, Running: 3}, 0.75, 16, false},
		"a third, full":             {&BatchUsage{Share: 1.0 / 3, Running: 4}, 0.75, 16, true},
		"rounded up":                {&BatchUsage{Share: 0.3, Running: 3}, 0.75, 16, false}, // 3.6
		"rounded down":              {&BatchUsage{Share: 0.2, Running: 2}, 0.75, 16, true},  // 2.4
		"no share, none runs":       {&BatchUsage{Share: 0, Running: 0}, 0.75, 16, false},
		"no share, one runs":        {&BatchUsage{Share: 0, Running: 1}, 0.75, 16, true},
		"one in prefill":            {&BatchUsage{Share: 1, Running: 1, Prefilling: 1}, 0.75, 16, true},
		"none in prefill":           {&BatchUsage{Share: 1, Running: 8, Prefilling: 0}, 0.75, 16, false},
		"more than its share":       {&BatchUsage{Share: 0.5, Running: 9}, 0.75, 16, true},
		"the window, capacity left": {&BatchUsage{Share: 1, Running: 4, Window: 5}, 0.75, 16, false},
		"the window, full":          {&BatchUsage{Share: 1, Running: 5, Window: 5}, 0.75, 16, true},
		"a higher limit":            {&BatchUsage{Share: 1, Running: 12}, 1, 16, false},
		"a server with few slots":   {&BatchUsage{Share: 0.5, Running: 0}, 0.75, 1, false},
		"the same, and it has one":  {&BatchUsage{Share: 0.5, Running: 1}, 0.75, 1, true},
	} {
		score, reason := BatchShare(Requirements{}, Candidate{UtilizationLimit: c.limit, Slots: c.slots, BatchUsage: c.usage})
		if score != 0 || (reason != "") != c.excluded {
			t.Errorf("%s: score %v, excluded as %q", name, score, reason)
		}
	}
}

// The shares of all stores together leave the capacity above the limit to live requests.
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
				t.Errorf("%d stores run %d items on %d slots", stores, running, slots)
			}
		}
	}
}

// The more prompt tokens a server has to prefill, the lower its score; none is excluded.
func TestPrefill(t *testing.T) {
	before := 2.0
	for _, tokens := range []int64{0, 1, 500, prefillScaleTokens, 10 * prefillScaleTokens, 1 << 40} {
		score, reason := Prefill(Requirements{}, Candidate{PrefillTokens: tokens})
		if reason != "" || score >= before || score < 0 || score > 1 {
			t.Errorf("%d tokens: score %v after %v, excluded as %q", tokens, score, before, reason)
		}
		before = score
	}
	if score, _ := Prefill(Requirements{}, Candidate{}); score != 1 {
		t.Errorf("nothing to prefill: %v", score)
	}
	if score, _ := Prefill(Requirements{}, Candidate{PrefillTokens: prefillScaleTokens}); score != 0.5 {
		t.Errorf("the scale: %v", score)
	}
}

// A server without progress for too long loses its score; it is not excluded.
func TestResponsiveness(t *testing.T) {
	for unresponsiveFor, want := range map[clock.Micros]float64{0: 1, maxUnresponsive: 1, maxUnresponsive + 1: 0, clock.Second: 0} {
		if score, reason := Responsiveness(Requirements{}, Candidate{UnresponsiveFor: unresponsiveFor}); score != want || reason != "" {
			t.Errorf("unresponsive for %d us: score %v, excluded as %q", unresponsiveFor, score, reason)
		}
	}
}

// The first server of the daemon's own rotation has the highest score.
func TestRotation(t *testing.T) {
	for position, want := range map[float64]float64{0: 1, 0.25: 0.75, 0.75: 0.25} {
		if score, reason := Rotation(Requirements{}, Candidate{Rotation: position}); score != want || reason != "" {
			t.Errorf("position %v: score %v, excluded as %q", position, score, reason)
		}
	}
}

func TestScorersThatExclude(t *testing.T) {
	usable := Candidate{Healthy: true, Slots: 4, UtilizationLimit: 1, Now: 100, Labels: map[string]string{"adapter": "a", "weights": "w"}}
	for name, c := range map[string]struct {
		scorer   Scorer
		required Requirements
		change   func(*Candidate)
		excluded bool
	}{
		"active":                   {Draining, Requirements{}, func(*Candidate) {}, false},
		"draining":                 {Draining, Requirements{}, func(c *Candidate) { c.Draining = true }, true},
		"healthy":                  {Health, Requirements{}, func(*Candidate) {}, false},
		"unhealthy":                {Health, Requirements{}, func(c *Candidate) { c.Healthy = false }, true},
		"in backoff":               {Health, Requirements{}, func(c *Candidate) { c.BackoffUntil = 101 }, true},
		"after its backoff":        {Health, Requirements{}, func(c *Candidate) { c.BackoffUntil = 100 }, false},
		"the adapter":              {Adapter, Requirements{Adapter: "a"}, func(*Candidate) {}, false},
		"another adapter":          {Adapter, Requirements{Adapter: "b"}, func(*Candidate) {}, true},
		"the weights":              {Weights, Requirements{Weights: "w"}, func(*Candidate) {}, false},
		"other weights":            {Weights, Requirements{Weights: "v"}, func(*Candidate) {}, true},
		"no weights asked for":     {Weights, Requirements{}, func(*Candidate) {}, false},
		"one slot is free":         {Utilization, Requirements{}, func(c *Candidate) { c.OwnRequests, c.OtherRequests = 1, 2 }, false},
		"full":                     {Utilization, Requirements{}, func(c *Candidate) { c.OwnRequests, c.OtherRequests = 2, 2 }, true},
		"no slots":                 {Utilization, Requirements{}, func(c *Candidate) { c.Slots = 0 }, true},
		"affinity to a full one":   {PrefixAffinity, Requirements{}, func(c *Candidate) { c.HasPrefix, c.OwnRequests = true, 9 }, false},
		"speed of an unknown one":  {Speed, Requirements{}, func(*Candidate) {}, false},
		"spread over a loaded one": {Spread, Requirements{}, func(c *Candidate) { c.OwnRequests = 9 }, false},
	} {
		t.Run(name, func(t *testing.T) {
			candidate := usable
			c.change(&candidate)
			score, reason := c.scorer(c.required, candidate)
			if (reason != "") != c.excluded {
				t.Errorf("excluded as %q", reason)
			}
			if score < 0 || score > 1 || c.excluded && score != 0 {
				t.Errorf("score %v", score)
			}
		})
	}
}
