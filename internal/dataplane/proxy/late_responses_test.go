package proxy

import (
	"testing"

	"tuliprudder/internal/config"
)

// newScaledTestBench makes a test bench with an autoscaled pool and a route with a latency target of 300 ms and
// a maximum event gap of 150 ms.
func newScaledTestBench(t *testing.T) *testBench {
	t.Helper()
	b := newTestBench(t, []string{"a"}, newRoute(config.Stream, 1))
	route := newRoute(config.Stream, 1)
	route.Forward.MaxEventGap = 150 * millisecond
	c := &config.Configuration{
		Version: 2, ScorerWeights: map[string]float64{"fullness": 1}, Routes: []config.Route{route},
		Pools: []config.Pool{{Name: "a", Labels: config.Labels{"u": "a"}, Servers: config.Selector{"pool": {"a"}}, Autoscale: config.Autoscale{Min: 1, Max: 2}}},
	}
	c.Index()
	b.scheduler.SetConfiguration(c, b.now)
	return b
}

// A response is late if it misses its route's target for the first event or for the gap between events.
func TestLateResponses(t *testing.T) {
	for name, c := range map[string]struct {
		firstEventMS, endMS, pauseMS int64 // the first two count from the request; firstEventMS 0: no event is reported
		outcome                      Outcome
		want                         int64
	}{
		"on time":                    {firstEventMS: 250, endMS: 2000, pauseMS: 150, outcome: Complete},
		"late first event":           {firstEventMS: 301, endMS: 400, outcome: Complete, want: 1},
		"gap too long":               {firstEventMS: 100, endMS: 400, pauseMS: 151, outcome: Complete, want: 1},
		"no stream, on time":         {endMS: 300, outcome: Complete},
		"no stream, late":            {endMS: 301, outcome: Complete, want: 1},
		"response interrupted":       {firstEventMS: 301, endMS: 400, pauseMS: 200, outcome: Interrupted},
		"not run by the server":      {endMS: 400, outcome: NotRun},
		"late first event, long gap": {firstEventMS: 400, endMS: 900, pauseMS: 400, outcome: Complete, want: 1},
	} {
		b := newScaledTestBench(t)
		b.attempt(b.submit("r", config.Stream))
		start := b.now
		if c.firstEventMS > 0 {
			b.advance(c.firstEventMS * millisecond)
			b.send(AttemptStarted{RequestID: "r"})
		}
		b.advance(start + c.endMS*millisecond - b.now)
		b.send(AttemptResult{RequestID: "r", Outcome: c.outcome, LongestEventGap: c.pauseMS * millisecond})
		loads := b.scheduler.TakeLoads(b.now)
		if len(loads) != 1 || loads[0].Started != 1 || loads[0].Late != c.want {
			t.Errorf("%s: got loads %+v", name, loads)
		}
	}
}
