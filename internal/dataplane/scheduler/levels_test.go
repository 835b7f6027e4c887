package scheduler

import (
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/config"
	"tuliprudder/internal/dataplane/endpoints"
)

// Batch items leave capacity for live requests, also if another daemon's requests fill the
// server. They don't starve: after StarvationTimeout one item at a time may fill the server.
func TestBatchesLeaveCapacityAndDoNotStarve(t *testing.T) {
	f := newFixture(t, newServer("s", 10))
	f.SetLoad("s", 1, endpoints.Load{ReadAt: f.now, Healthy: true, Running: 8})
	f.submit("b1", 1, func(r *Request) { r.IsBatchItem = true })
	f.submit("b2", 1, func(r *Request) { r.IsBatchItem = true })
	f.requireNoAssignment(t, "a batch item took the capacity of live requests")
	f.submit("live", 1, nil)
	f.Match(f.now)
	if got := <-f.started; got != "live@s" {
		t.Fatalf("started %s", got)
	}
	f.now += 4 * clock.Second
	f.AdvanceFreshness(f.now)
	f.Match(f.now)
	if got := <-f.started; got != "b1@s" {
		t.Fatalf("started %s", got)
	}
	if f.Match(f.now); len(f.started) != 0 {
		t.Fatalf("a second batch item started at the same time: %s", <-f.started)
	}
}

// The priority of a forwarded route has levels, as that of a class does.
func TestForwardedRoutesHaveLevels(t *testing.T) {
	table := newLevelTable(&config.Configuration{Classes: []config.PriorityClass{{Priority: 5}},
		Routes: []config.Route{{Forward: &config.Forward{Priority: 3}}, {}, {Forward: &config.Forward{Priority: 5}}}})
	if want := (levelTable{batchLevel(3), liveLevel(3), batchLevel(5), liveLevel(5)}); !slices.Equal(table, want) {
		t.Errorf("levels %v, not %v", table, want)
	}
}

func TestLevelPositions(t *testing.T) {
	table := newLevelTable(&config.Configuration{Classes: []config.PriorityClass{{Priority: 5}, {Priority: 1}, {Priority: 5}}})
	for level, want := range map[int64]struct {
		position float64
		fromTop  int
	}{
		batchLevel(1): {0, 3},
		liveLevel(1):  {1.0 / 3, 2},
		batchLevel(5): {2.0 / 3, 1},
		liveLevel(5):  {1, 0},
		liveLevel(9):  {1, 0}, // above the table
	} {
		if got := table.position(level); got != want.position {
			t.Errorf("level %d: position %v, not %v", level, got, want.position)
		}
		if got := table.fromTop(level); got != want.fromTop {
			t.Errorf("level %d: %d from the top, not %d", level, got, want.fromTop)
		}
	}
	if got := (levelTable)(nil).position(liveLevel(1)); got != 1 {
		t.Errorf("position %v without any class", got)
	}
}
