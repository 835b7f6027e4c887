package proxy

import (
	"testing"

	"tuliprudder/internal/config"
)

// newScaledTestBench is a bench whose servers are scaled; its route is to begin within 300 ms and to pause for
// 150 ms at most.
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

// A response is late by its route's targets: that of its first event, and that of the pauses within it.
func TestLateResponses(t *testing.T) {
	for name, c := range map[string]struct {
		firstEventMS, endMS, pauseMS int64 // after the request; 0: no event is reported
		outcome                      Outcome
		want                         int64
	}{
		"in time":                      {firstEventMS: 250, endMS: 2000, pauseMS: 150, outcome: Complete},
		"it begins late":               {firstEventMS: 301, endMS: 400, outcome: Complete, want: 1},
		"it pauses for too long":       {firstEventMS: 100, endMS: 400, pauseMS: 151, outcome: Complete, want: 1},
		"no stream, in time":           {endMS: 300, outcome: Complete},
		"no stream, late":              {endMS: 301, outcome: Complete, want: 1},
		"it breaks off":                {firstEventMS: 301, endMS: 400, pauseMS: 200, outcome: Interrupted},
		"its server doesn't run it":    {endMS: 400, outcome: NotRun},
		"it begins late and is paused": {firstEventMS: 400, endMS: 900, pauseMS: 400, outcome: Complete, want: 1},
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
			t.Errorf("%s: the load is %+v", name, loads)
		}
	}
}
