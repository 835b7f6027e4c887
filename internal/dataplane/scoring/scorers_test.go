package scoring

import (
	"testing"

	"tuliprudder/internal/clock"
)

// A store's items stay within its slots on a server, and only one of them is in prefill at a time. The
// limit does not apply to other requests.
func TestBatchShare(t *testing.T) {
	for name, c := range map[string]struct {
		usage    *BatchUsage
		excluded bool
	}{
		"not a batch item":        {nil, false},
		"one slot free":           {&BatchUsage{Limit: 12, Running: 11}, false},
		"no slot free":            {&BatchUsage{Limit: 12, Running: 12}, true},
		"more items than slots":   {&BatchUsage{Limit: 4, Running: 9}, true},
		"no slots on this server": {&BatchUsage{Limit: 0, Running: 0}, true},
		"one in prefill":          {&BatchUsage{Limit: 12, Running: 1, Prefilling: 1}, true},
		"none in prefill":         {&BatchUsage{Limit: 12, Running: 8, Prefilling: 0}, false},
	} {
		score, reason := BatchShare(Requirements{}, Candidate{Slots: 16, BatchUsage: c.usage})
		if score != 0 || (reason != "") != c.excluded {
			t.Errorf("%s: score %v, excluded as %q", name, score, reason)
		}
	}
}

// The more prompt tokens a server has to prefill, the lower its score. No server is excluded.
func TestPrefill(t *testing.T) {
	previous := 2.0
	for _, tokens := range []int64{0, 1, 500, prefillScaleTokens, 10 * prefillScaleTokens, 1 << 40} {
		score, reason := Prefill(Requirements{}, Candidate{PrefillTokens: tokens})
		if reason != "" || score >= previous || score < 0 || score > 1 {
			t.Errorf("%d tokens: score %v after %v, excluded as %q", tokens, score, previous, reason)
		}
		previous = score
	}
	if score, _ := Prefill(Requirements{}, Candidate{}); score != 1 {
		t.Errorf("nothing to prefill: score %v, want 1", score)
	}
	if score, _ := Prefill(Requirements{}, Candidate{PrefillTokens: prefillScaleTokens}); score != 0.5 {
		t.Errorf("prefillScaleTokens to prefill: score %v, want 0.5", score)
	}
}

// A server that has made no progress for too long scores 0; it is not excluded.
func TestResponsiveness(t *testing.T) {
	for unresponsiveFor, want := range map[clock.Micros]float64{0: 1, maxUnresponsiveTime: 1, maxUnresponsiveTime + 1: 0, clock.Second: 0} {
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
		"active":                    {Draining, Requirements{}, func(*Candidate) {}, false},
		"draining":                  {Draining, Requirements{}, func(c *Candidate) { c.Draining = true }, true},
		"healthy":                   {Health, Requirements{}, func(*Candidate) {}, false},
		"unhealthy":                 {Health, Requirements{}, func(c *Candidate) { c.Healthy = false }, true},
		"in backoff":                {Health, Requirements{}, func(c *Candidate) { c.BackoffUntil = 101 }, true},
		"after its backoff":         {Health, Requirements{}, func(c *Candidate) { c.BackoffUntil = 100 }, false},
		"the adapter":               {Adapter, Requirements{Adapter: "a"}, func(*Candidate) {}, false},
		"another adapter":           {Adapter, Requirements{Adapter: "b"}, func(*Candidate) {}, true},
		"the weights":               {Weights, Requirements{Weights: "w"}, func(*Candidate) {}, false},
		"other weights":             {Weights, Requirements{Weights: "v"}, func(*Candidate) {}, true},
		"no weights required":       {Weights, Requirements{}, func(*Candidate) {}, false},
		"one slot is free":          {Utilization, Requirements{}, func(c *Candidate) { c.OwnRequests, c.OtherRequests = 1, 2 }, false},
		"full":                      {Utilization, Requirements{}, func(c *Candidate) { c.OwnRequests, c.OtherRequests = 2, 2 }, true},
		"no slots":                  {Utilization, Requirements{}, func(c *Candidate) { c.Slots = 0 }, true},
		"affinity to a full server": {PrefixAffinity, Requirements{}, func(c *Candidate) { c.HasPrefix, c.OwnRequests = true, 9 }, false},
		"unknown latency":           {Speed, Requirements{}, func(*Candidate) {}, false},
		"spread to a loaded server": {Spread, Requirements{}, func(c *Candidate) { c.OwnRequests = 9 }, false},
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

// The more requests wait on a server, the lower its score. No server is excluded.
func TestQueue(t *testing.T) {
	previous := 2.0
	for _, waiting := range []float64{0, 0.5, 1, 8, 1000} {
		score, reason := Queue(Requirements{}, Candidate{WaitingRequests: waiting})
		if reason != "" || score >= previous || score <= 0 || score > 1 {
			t.Errorf("%v waiting: score %v after %v, excluded as %q", waiting, score, previous, reason)
		}
		previous = score
	}
}

// A failing server scores lower but is never excluded: it may be the only server, and its recovery must
// be noticed.
func TestReliability(t *testing.T) {
	for rate, want := range map[float64]float64{0: 1, 0.25: 0.75, 1: 0} {
		if score, reason := Reliability(Requirements{}, Candidate{FailureRate: rate}); reason != "" || score != want {
			t.Errorf("rate %v: score %v, excluded as %q", rate, score, reason)
		}
	}
}

func TestLocality(t *testing.T) {
	for sameZone, want := range map[bool]float64{true: 1, false: 0} {
		if score, reason := Locality(Requirements{}, Candidate{SameZone: sameZone}); reason != "" || score != want {
			t.Errorf("same zone %v: score %v, excluded as %q", sameZone, score, reason)
		}
	}
}
