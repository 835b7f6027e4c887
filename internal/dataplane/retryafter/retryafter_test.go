package retryafter

import (
	"testing"

	"tuliprudder/internal/clock"
)

func TestEstimateFollowsDepartureRate(t *testing.T) {
	for name, c := range map[string]struct {
		interval   clock.Micros
		departures int
		maxSamples int
		count      int
		want       clock.Micros
	}{
		"no departure":                {0, 0, 0, 5, defaultEstimate},
		"one departure":               {clock.Second, 1, 0, 5, defaultEstimate},
		"one a second":                {clock.Second, 10, 0, 5, 5 * clock.Second},
		"below the least":             {clock.Millisecond, 10, 0, 5, minEstimate},
		"above the most":              {clock.Second, 10, 0, 1000, maxEstimate},
		"only the latest 32 count":    {clock.Second, 100, 0, 2, 2 * clock.Second},
		"only as many as set count":   {clock.Second, 100, 4, 2, 2 * clock.Second},
		"nothing is ahead in a queue": {clock.Second, 10, 0, 0, minEstimate},
	} {
		t.Run(name, func(t *testing.T) {
			e := Estimator{MaxSamples: c.maxSamples}
			now := 100 * clock.Second
			for range c.departures {
				e.Record(now)
				now += c.interval
			}
			if got := e.Estimate(c.count, now); got != c.want {
				t.Errorf("estimate is %d us, want %d", got, c.want)
			}
		})
	}
}

func TestOldDeparturesAreDropped(t *testing.T) {
	e := Estimator{MaxSamples: 3}
	for _, at := range []clock.Micros{1, 2, 10 * clock.Second, 11 * clock.Second, 12 * clock.Second} {
		e.Record(at)
	}
	if got := e.Estimate(1, 13*clock.Second); got != clock.Second {
		t.Errorf("estimate is %d us, want 1 s", got)
	}
}
