package virtualtime

import (
	"math/rand"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
)

func TestEventsRunByTimeThenInsertionOrder(t *testing.T) {
	type execution struct {
		at     clock.Micros
		number int
	}
	var q Queue
	var got []execution
	rng := rand.New(rand.NewSource(1))
	for number := range 1000 {
		q.After(rng.Int63n(50), func() { got = append(got, execution{q.Now, number}) })
	}
	if count := q.RunFor(100); count != 1000 || len(got) != 1000 || q.Now != 100 {
		t.Fatalf("%d events ran, RunFor returned %d, clock at %d", len(got), count, q.Now)
	}
	inOrder := slices.IsSortedFunc(got, func(a, b execution) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.number - b.number
	})
	if !inOrder {
		t.Errorf("events ran out of order: %v", got)
	}
}

func TestRunForIncludesEventsAddedDuringTheRun(t *testing.T) {
	var q Queue
	ticks := 0
	var tick func()
	tick = func() {
		ticks++
		q.After(10, tick)
	}
	q.After(10, tick)
	if q.RunFor(35); ticks != 3 || q.Now != 35 {
		t.Fatalf("%d ticks by time %d, expected 3 by time 35", ticks, q.Now)
	}
	if q.RunFor(5); ticks != 4 {
		t.Errorf("%d ticks, expected 4: RunFor must include events at the very end of its duration", ticks)
	}
	if q.Clear(); q.RunFor(100) != 0 {
		t.Error("events ran after Clear")
	}
}
