package autoscale

import (
	"math"
	"testing"
)

// loadSecond is the load of a service of 48 servers with 8 slots each in one second.
type loadSecond struct {
	utilization, misses float64
	required            int64 // slots that queued batch items need
}

// historyOf returns a history of the given seconds, with 500 live requests in each.
func historyOf(seconds ...loadSecond) (h history) {
	const servers, slots, requests = 48, 48 * 8, 500
	for _, s := range seconds {
		load := Load{Busy: int64(s.utilization * slots * milli), Required: s.required * milli, Started: requests, Late: int64(s.misses * requests)}
		h = h.add(newSample(load, servers, slots))
	}
	return h
}

// appendRepeated appends a second several times to the seconds before it.
func appendRepeated(count int, s loadSecond, before ...loadSecond) []loadSecond {
	for range count {
		before = append(before, s)
	}
	return before
}

func TestRaiseDecision(t *testing.T) {
	usual := loadSecond{utilization: 0.5}
	for name, c := range map[string]struct {
		seconds []loadSecond
		want    float64 // servers; 48: no change
	}{
		"no samples":                                 {nil, 48},
		"normal load":                                {appendRepeated(12, usual), 48},
		"overload for 7 s":                           {appendRepeated(7, loadSecond{utilization: 1.7}, appendRepeated(5, usual)...), 48},
		"overload for 8 s":                           {appendRepeated(8, loadSecond{utilization: 1.02}, appendRepeated(4, usual)...), 57.6},
		"high load and misses":                       {appendRepeated(8, loadSecond{utilization: 0.72, misses: 0.026}, appendRepeated(4, usual)...), 57.6},
		"high load without misses":                   {appendRepeated(12, loadSecond{utilization: 0.8}), 48},
		"severe overload":                            {appendRepeated(8, loadSecond{utilization: 4}), 72},
		"slightly high load and misses":              {appendRepeated(12, loadSecond{utilization: 0.64, misses: 0.025}), 48},
		"batch items would miss their deadlines":     {appendRepeated(8, loadSecond{utilization: 0.5, required: 160}), 55},
		"few misses":                                 {appendRepeated(12, loadSecond{utilization: 0.6, misses: 0.02}), 48},
		"many misses for 6 s":                        {appendRepeated(6, loadSecond{utilization: 0.6, misses: 0.06}, appendRepeated(6, usual)...), 48},
		"many misses for 7 s":                        {appendRepeated(7, loadSecond{utilization: 0.6, misses: 0.06}, appendRepeated(5, usual)...), 53.04},
		"many misses in 7 s of 12":                   {appendRepeated(3, loadSecond{utilization: 0.6, misses: 0.06}, appendRepeated(5, usual, appendRepeated(4, loadSecond{utilization: 0.6, misses: 0.06})...)...), 53.04},
		"severe misses for 2 s":                      {appendRepeated(2, loadSecond{utilization: 0.6, misses: 0.3}, appendRepeated(7, usual)...), 48},
		"severe misses for 3 s":                      {appendRepeated(3, loadSecond{utilization: 0.6, misses: 0.3}, appendRepeated(7, usual)...), 62.4},
		"misses at low utilization":                  {appendRepeated(12, loadSecond{utilization: 0.2, misses: 0.3}), 48},
		"load and misses: the higher number applies": {appendRepeated(8, loadSecond{utilization: 0.7, misses: 0.3}), 62.4},
	} {
		decided, changes := historyOf(c.seconds...).raiseDecision(48, true)
		if math.Abs(decided.servers-c.want) > 0.01 || changes != (c.want > 48) {
			t.Errorf("%s: %.2f servers (%s), want %.2f", name, decided.servers, decided.reason, c.want)
		}
	}
	if decided, changes := historyOf(appendRepeated(6, loadSecond{utilization: 0.6, misses: 0.3})...).raiseDecision(48, false); changes {
		t.Errorf("raised to %.1f servers for misses that must be ignored", decided.servers)
	}
}

func TestLowerDecision(t *testing.T) {
	low := loadSecond{utilization: 0.2}
	for name, c := range map[string]struct {
		seconds []loadSecond
		want    float64 // servers; 48: no change
	}{
		"too few samples":           {appendRepeated(11, low), 48},
		"low load":                  {appendRepeated(12, low), 40.8},
		"slightly low load":         {appendRepeated(12, loadSecond{utilization: 0.38}), 45.6},
		"normal load":               {appendRepeated(12, loadSecond{utilization: 0.5}), 48},
		"recent high load":          {appendRepeated(9, low, appendRepeated(3, loadSecond{utilization: 1.2})...), 48},
		"misses at low load":        {appendRepeated(12, loadSecond{utilization: 0.2, misses: 0.03}), 48},
		"queued batch items":        {appendRepeated(12, loadSecond{utilization: 0.2, required: 220}), 46.375},
		"no load":                   {appendRepeated(12, loadSecond{}), 40.8},
		"one second of higher load": {appendRepeated(11, low, loadSecond{utilization: 0.3}), 40.8},
	} {
		decided, changes := historyOf(c.seconds...).lowerDecision(48, 3)
		if !changes {
			decided.servers = 48
		}
		if math.Abs(decided.servers-c.want) > 0.01 {
			t.Errorf("%s: %.2f servers, want %.2f", name, decided.servers, c.want)
		}
	}
	if decided, _ := historyOf(appendRepeated(12, loadSecond{})...).lowerDecision(9, 3); decided.servers != 6 {
		t.Errorf("9 servers in 3 zones are lowered to %.1f in one step", decided.servers)
	}
}
