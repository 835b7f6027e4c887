package scoring

import (
	"testing"

	"tuliprudder/kernel/clock"
)

// A keeper's items keep to its part of a server: as many as its part of the room
// holds, at least one, and one at a time that has still to begin. It is no matter
// of who is not a store.
func TestKeeperShare(t *testing.T) {
	for name, c := range map[string]struct {
		share *Share
		limit float64
		slots int
		out   bool
	}{
		"no item":                  {nil, 0.75, 16, false},
		"the whole, room left":     {&Share{Part: 1, Running: 11}, 0.75, 16, false},
		"the whole, full":          {&Share{Part: 1, Running: 12}, 0.75, 16, true},
		"a third, room left":       {&Share{Part: 1.0 / 3, Running: 3}, 0.75, 16, false},
		"a third, full":            {&Share{Part: 1.0 / 3, Running: 4}, 0.75, 16, true},
		"rounded up":               {&Share{Part: 0.3, Running: 3}, 0.75, 16, false}, // 3.6
		"rounded down":             {&Share{Part: 0.2, Running: 2}, 0.75, 16, true},  // 2.4
		"no part, none runs":       {&Share{Part: 0, Running: 0}, 0.75, 16, false},
		"no part, one runs":        {&Share{Part: 0, Running: 1}, 0.75, 16, true},
		"one has to begin":         {&Share{Part: 1, Running: 1, Opening: 1}, 0.75, 16, true},
		"all have begun":           {&Share{Part: 1, Running: 8, Opening: 0}, 0.75, 16, false},
		"more than its part":       {&Share{Part: 0.5, Running: 9}, 0.75, 16, true},
		"the window, room left":    {&Share{Part: 1, Running: 4, Window: 5}, 0.75, 16, false},
		"the window, full":         {&Share{Part: 1, Running: 5, Window: 5}, 0.75, 16, true},
		"a higher limit":           {&Share{Part: 1, Running: 12}, 1, 16, false},
		"a server with few slots":  {&Share{Part: 0.5, Running: 0}, 0.75, 1, false},
		"the same, and it has one": {&Share{Part: 0.5, Running: 1}, 0.75, 1, true},
	} {
		mark, out := StoreShare(Requirements{}, Candidate{Limit: c.limit, Slots: c.slots, Share: c.share})
		if mark != 0 || (out != "") != c.out {
			t.Errorf("%s: mark %v, out %q", name, mark, out)
		}
	}
}

// Shares of all stores together leave the room above the limit to live orders.
func TestKeepersSharesAddUp(t *testing.T) {
	for _, keepers := range []int{1, 2, 3, 4} {
		for _, slots := range []int{16, 32} {
			running := 0
			for range keepers {
				mine := &Share{Part: 1 / float64(keepers)}
				for {
					if _, out := StoreShare(Requirements{}, Candidate{Limit: 0.75, Slots: slots, Share: mine}); out != "" {
						break
					}
					mine.Running++
				}
				running += mine.Running
			}
			if running != slots*3/4 {
				t.Errorf("%d keepers run %d items on %d slots", keepers, running, slots)
			}
		}
	}
}

// The more tokens of prompts a server has to read, the lower its mark; none is
// ruled out.
func TestReading(t *testing.T) {
	before := 2.0
	for _, tokens := range []int64{0, 1, 500, readingScale, 10 * readingScale, 1 << 40} {
		mark, out := Reading(Requirements{}, Candidate{Reading: tokens})
		if out != "" || mark >= before || mark < 0 || mark > 1 {
			t.Errorf("%d tokens: mark %v after %v, out %q", tokens, mark, before, out)
		}
		before = mark
	}
	if mark, _ := Reading(Requirements{}, Candidate{}); mark != 1 {
		t.Errorf("nothing to read: %v", mark)
	}
	if mark, _ := Reading(Requirements{}, Candidate{Reading: readingScale}); mark != 0.5 {
		t.Errorf("the scale: %v", mark)
	}
}

// A server that has left orders without a sign for too long loses its mark; it is
// not ruled out.
func TestSilence(t *testing.T) {
	for silent, want := range map[clock.Micros]float64{0: 1, mostSilence: 1, mostSilence + 1: 0, clock.Second: 0} {
		if mark, out := Silence(Requirements{}, Candidate{Silent: silent}); mark != want || out != "" {
			t.Errorf("%d us silent: mark %v, out %q", silent, mark, out)
		}
	}
}

// The sum weighs each judge's mark by the plan, and one that rules out is enough.
func TestSum(t *testing.T) {
	sound := Candidate{Healthy: true, Slots: 4, Limit: 1, Own: 1, Reading: readingScale}
	weights := map[string]float64{"fullness": 4, "spread": 2, "reading": 6, "silence": 20}
	sum, marks, ok := Sum(weights, Requirements{}, sound)
	if want := 4*0.75 + 2*0.5 + 6*0.5 + 20*1; !ok || sum != want || len(marks) != len(All) {
		t.Errorf("sum %v, not %v; %v", sum, want, marks)
	}
	lost := sound
	lost.Silent = clock.Second
	if other, _, ok := Sum(weights, Requirements{}, lost); !ok || other != sum-20 {
		t.Errorf("a silent one: %v", other)
	}
	sound.Share = &Share{Part: 1, Opening: 1}
	if _, marks, ok := Sum(weights, Requirements{}, sound); ok || marks[len(marks)-1].Judge != "share" || marks[len(marks)-1].Out == "" {
		t.Errorf("ruled out by %v", marks)
	}
}

// A server's place in the daemon's own order is its mark, the first the highest.
func TestTurn(t *testing.T) {
	for place, want := range map[float64]float64{0: 1, 0.25: 0.75, 0.75: 0.25} {
		if mark, out := Turn(Requirements{}, Candidate{Turn: place}); mark != want || out != "" {
			t.Errorf("place %v: mark %v, out %q", place, mark, out)
		}
	}
}
