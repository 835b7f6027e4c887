package autoscale

import (
	"math"
	"testing"
)

// loadSecond is what a service of 48 servers with 8 slots each does in a loadSecond.
type loadSecond struct {
	utilization, misses float64
	required            int64 // slots that queued batch items need
}

// historyOf is a history of such seconds, with 500 live requests in each.
func historyOf(seconds ...loadSecond) (h history) {
	const servers, slots, requests = 48, 48 * 8, 500
	for _, s := range seconds {
		load := Load{Busy: int64(s.utilization * slots * milli), Required: s.required * milli, Started: requests, Late: int64(s.misses * requests)}
		h = h.add(newSample(load, servers, slots))
	}
	return h
}

// appendRepeated is the same second several times, after others.
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
		want    float64 // servers; 48: none are added
	}{
		"nothing is known":                        {nil, 48},
		"the load is usual":                       {appendRepeated(12, usual), 48},
		"slots are taken for 7 s":                 {appendRepeated(7, loadSecond{utilization: 1.7}, appendRepeated(5, usual)...), 48},
		"slots are taken for 8 s":                 {appendRepeated(8, loadSecond{utilization: 1.02}, appendRepeated(4, usual)...), 57.6},
		"some are, and requests miss targets":     {appendRepeated(8, loadSecond{utilization: 0.72, misses: 0.026}, appendRepeated(4, usual)...), 57.6},
		"some are, and no requests miss targets":  {appendRepeated(12, loadSecond{utilization: 0.8}), 48},
		"far more slots are needed":               {appendRepeated(8, loadSecond{utilization: 4}), 72},
		"a little too many slots are taken":       {appendRepeated(12, loadSecond{utilization: 0.64, misses: 0.025}), 48},
		"batch items would be late":               {appendRepeated(8, loadSecond{utilization: 0.5, required: 160}), 55},
		"few requests miss their targets":         {appendRepeated(12, loadSecond{utilization: 0.6, misses: 0.02}), 48},
		"many do for 6 s":                         {appendRepeated(6, loadSecond{utilization: 0.6, misses: 0.06}, appendRepeated(6, usual)...), 48},
		"many do for 7 s":                         {appendRepeated(7, loadSecond{utilization: 0.6, misses: 0.06}, appendRepeated(5, usual)...), 53.04},
		"many do for 7 s of 12":                   {appendRepeated(3, loadSecond{utilization: 0.6, misses: 0.06}, appendRepeated(5, usual, appendRepeated(4, loadSecond{utilization: 0.6, misses: 0.06})...)...), 53.04},
		"very many do for 2 s":                    {appendRepeated(2, loadSecond{utilization: 0.6, misses: 0.3}, appendRepeated(7, usual)...), 48},
		"very many do for 3 s":                    {appendRepeated(3, loadSecond{utilization: 0.6, misses: 0.3}, appendRepeated(7, usual)...), 62.4},
		"they do though most slots are free":      {appendRepeated(12, loadSecond{utilization: 0.2, misses: 0.3}), 48},
		"both: what asks for more servers counts": {appendRepeated(8, loadSecond{utilization: 0.7, misses: 0.3}), 62.4},
	} {
		decided, changes := historyOf(c.seconds...).raiseDecision(48, true)
		if math.Abs(decided.servers-c.want) > 0.01 || changes != (c.want > 48) {
			t.Errorf("%s: %.2f servers (%s), not %.2f", name, decided.servers, decided.reason, c.want)
		}
	}
	if decided, changes := historyOf(appendRepeated(6, loadSecond{utilization: 0.6, misses: 0.3})...).raiseDecision(48, false); changes {
		t.Errorf("misses count while new servers boot: %.1f", decided.servers)
	}
}

func TestLowerDecision(t *testing.T) {
	low := loadSecond{utilization: 0.2}
	for name, c := range map[string]struct {
		seconds []loadSecond
		want    float64 // servers; 48: none are taken away
	}{
		"too little is known":             {appendRepeated(11, low), 48},
		"the load is low":                 {appendRepeated(12, low), 40.8},
		"the load is a little low":        {appendRepeated(12, loadSecond{utilization: 0.38}), 45.6},
		"the load is usual":               {appendRepeated(12, loadSecond{utilization: 0.5}), 48},
		"it was high a moment ago":        {appendRepeated(9, low, appendRepeated(3, loadSecond{utilization: 1.2})...), 48},
		"requests miss their targets":     {appendRepeated(12, loadSecond{utilization: 0.2, misses: 0.03}), 48},
		"batch items wait":                {appendRepeated(12, loadSecond{utilization: 0.2, required: 220}), 46.375},
		"nothing runs":                    {appendRepeated(12, loadSecond{}), 40.8},
		"a second without a single sound": {appendRepeated(11, low, loadSecond{utilization: 0.3}), 40.8},
	} {
		decided, changes := historyOf(c.seconds...).lowerDecision(48, 3)
		if !changes {
			decided.servers = 48
		}
		if math.Abs(decided.servers-c.want) > 0.01 {
			t.Errorf("%s: %.2f servers, not %.2f", name, decided.servers, c.want)
		}
	}
	if decided, _ := historyOf(appendRepeated(12, loadSecond{})...).lowerDecision(9, 3); decided.servers != 6 {
		t.Errorf("of 9 servers in 3 zones %.1f are left at once", decided.servers)
	}
}
