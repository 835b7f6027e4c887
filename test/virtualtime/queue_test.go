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
		t.Fatalf("%d events ran, %d by count, until %d", len(got), count, q.Now)
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
		t.Fatalf("%d ticks until %d, not 3 until 35", ticks, q.Now)
	}
	if q.RunFor(5); ticks != 4 {
		t.Errorf("%d ticks, not 4: an event at the end of a span belongs to it", ticks)
	}
	if q.Clear(); q.RunFor(100) != 0 {
		t.Error("events ran that had been dropped")
	}
}
