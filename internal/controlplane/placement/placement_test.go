package placement

import (
	"fmt"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/controlplane/registration"
	"tuliprudder/internal/errs"
	"tuliprudder/internal/replication"
)

const testNow = 1000 * clock.Second

var testSettings = Settings{Tolerance: 1, Zones: 2, PartitionCooldown: 30 * clock.Second, BalanceInterval: clock.Second, BalanceDelay: 4 * clock.Second}

// liveStores returns stores s1, s2, …, one for each of the given zones, that have been sending
// heartbeats for a minute.
func liveStores(zones ...string) map[string]Store {
	stores := map[string]Store{}
	for i, zone := range zones {
		stores[fmt.Sprint("s", i+1)] = Store{Zone: zone, Peer: fmt.Sprint("p", i+1), Incarnation: 1, Live: true, HeardAt: testNow, FirstHeardAt: testNow - 60*clock.Second}
	}
	return stores
}

// group returns a complete group in epoch 1 of stores in incarnation 1, the primary first.
func group(ids ...string) replication.Assignment {
	a := replication.Assignment{Epoch: 1, Primary: replication.Member{ID: ids[0], Incarnation: 1}}
	for _, id := range ids[1:] {
		a.Replicas = append(a.Replicas, replication.Member{ID: id, Incarnation: 1})
	}
	return a.Completed()
}

func view(stores map[string]Store, shards ...replication.Assignment) ClusterView {
	return ClusterView{Now: testNow, ServingSince: testNow - 60*clock.Second, Shards: shards, Stores: stores}
}

// editStore changes one store of the view in place and returns the view.
func (v ClusterView) editStore(id string, edit func(s *Store)) ClusterView {
	store := v.Stores[id]
	edit(&store)
	v.Stores[id] = store
	return v
}

func TestRepair(t *testing.T) {
	three := func() map[string]Store { return liveStores("z1", "z2", "z3") }
	for name, c := range map[string]struct {
		view ClusterView
		want string // the members of shard 0's next group; "" if it stays unchanged
	}{
		"all members are live": {view(three(), group("s1", "s2")), ""},
		"the replica is lost": {
			view(three(), group("s1", "s2")).editStore("s2", func(s *Store) { s.Live = false }), "[s1 s3]"},
		"the primary is lost: a replica succeeds it": {
			view(three(), group("s1", "s2")).editStore("s1", func(s *Store) { s.Live = false }), "[s2 s3]"},
		"the replica restarted": {
			view(three(), group("s1", "s2")).editStore("s2", func(s *Store) { s.Incarnation = 2 }), "[s1 s2]"},
		"the primary is draining": {
			view(three(), group("s1", "s2")).editStore("s1", func(s *Store) { s.Draining = true }), "[s2 s3]"},
		"a draining replica stays until its process exits": {
			view(three(), group("s1", "s2")).editStore("s2", func(s *Store) { s.Draining = true }), ""},
		"the replica's store is retiring": {
			view(three(), group("s1", "s2")).editStore("s2", func(s *Store) { s.Retiring = true }), "[s1 s3]"},
		"a retiring store stays while there is no replacement": {
			view(liveStores("z1", "z2"), group("s1", "s2")).editStore("s2", func(s *Store) { s.Retiring = true }), ""},
		"a single copy does not continue alone": {
			view(liveStores("z1", "z2"), group("s1", "s2")).editStore("s2", func(s *Store) { s.Live, s.HeardAt = false, 0 }), ""},
		"a replica does not answer its primary": {
			view(three(), group("s1", "s2")).editStore("s1", func(s *Store) {
				s.Unreachable = map[int]registration.UnreachableReplicas{0: {Epoch: 1, Peers: []string{"p2"}}}
			}), "[s1 s3]"},
		"a report of another epoch is ignored": {
			view(three(), group("s1", "s2")).editStore("s1", func(s *Store) {
				s.Unreachable = map[int]registration.UnreachableReplicas{0: {Epoch: 9, Peers: []string{"p2"}}}
			}), ""},
		"the shard was never assigned": {view(three(), replication.Assignment{}), "[s1 s2]"},
		"a store was first heard too recently for a first assignment": {
			view(three(), replication.Assignment{}).editStore("s3", func(s *Store) { s.FirstHeardAt = testNow - 1 }), ""},
	} {
		t.Run(name, func(t *testing.T) {
			decision := Decide(testSettings, c.view, PlannerState{NextBalance: testNow + 1})
			got := ""
			if next, ok := decision.Assignments[0]; ok {
				got = fmt.Sprint(next.IDs())
				if next.Epoch <= c.view.Shards[0].Epoch || len(decision.Events) != 1 {
					t.Errorf("epoch %d after %d, %d events; want a higher epoch and 1 event", next.Epoch, c.view.Shards[0].Epoch, len(decision.Events))
				}
			}
			if got != c.want {
				t.Errorf("next group: got %q, want %q", got, c.want)
			}
		})
	}
}

// A group of three continues with two members only once the third has been missing for
// shrinkDelay.
func TestGroupShrinksOnlyAfterDelay(t *testing.T) {
	settings := testSettings
	settings.Tolerance = 2
	for _, c := range []struct {
		missingFor clock.Micros
		want       int
	}{{shrinkDelay - 1, 0}, {shrinkDelay, 2}} {
		v := view(liveStores("z1", "z2", "z3"), group("s1", "s2", "s3"))
		v.editStore("s3", func(s *Store) { s.Live, s.HeardAt = false, testNow-c.missingFor })
		decision := Decide(settings, v, PlannerState{})
		if got := len(decision.Assignments[0].Members()); got != c.want {
			t.Errorf("missing for %d us: got a group of %d, want %d", c.missingFor, got, c.want)
		}
	}
}

// Stores that lost contact are kept out of one group for PartitionCooldown if another store is
// available.
func TestPartitionedStoresShareNoGroup(t *testing.T) {
	report := func(s *Store) {
		s.Unreachable = map[int]registration.UnreachableReplicas{0: {Epoch: 1, Peers: []string{"p2"}}}
	}
	state := PlannerState{NextBalance: testNow + 60*clock.Second}
	before := view(liveStores("z1", "z2", "z3"), group("s1", "s2")).editStore("s1", report)
	state = Decide(testSettings, before, state).NextState
	if until := state.PartitionedUntil[PairOf("s2", "s1")]; until != testNow+testSettings.PartitionCooldown {
		t.Fatalf("partitioned until %d, want PartitionCooldown from now", until)
	}
	later := view(liveStores("z1", "z2", "z3", "z4"), group("s1", "s3"))
	later.editStore("s3", func(s *Store) { s.Live = false })
	if got := Decide(testSettings, later, state).Assignments[0].IDs(); !slices.Equal(got, []string{"s1", "s4"}) {
		t.Errorf("next group: got %v, want [s1 s4]", got)
	}
}

func TestBalance(t *testing.T) {
	uneven := []replication.Assignment{group("s1", "s2"), group("s1", "s2"), group("s1", "s2"), group("s2", "s1")}
	for name, c := range map[string]struct {
		view     ClusterView
		previous PlannerState
		moves    int
	}{
		"one move at a time":       {view(liveStores("z1", "z2", "z3"), uneven...), PlannerState{}, 1},
		"the next move is not due": {view(liveStores("z1", "z2", "z3"), uneven...), PlannerState{NextBalance: testNow + 1}, 0},
		"a store was first heard recently": {
			view(liveStores("z1", "z2", "z3"), uneven...).editStore("s3", func(s *Store) { s.FirstHeardAt = testNow - clock.Second }), PlannerState{}, 0},
		"a group is not complete": {
			view(liveStores("z1", "z2", "z3"), append(slices.Clone(uneven), replication.Assignment{Epoch: 1, Primary: replication.Member{ID: "s1", Incarnation: 1}, Replicas: []replication.Member{{ID: "s2", Incarnation: 1}}, Trusted: []string{"s1"}})...), PlannerState{}, 0},
		"the load is balanced": {view(liveStores("z1", "z2"), group("s1", "s2"), group("s2", "s1")), PlannerState{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Decide(testSettings, c.view, c.previous); len(got.Assignments) != c.moves {
				t.Errorf("got %d moves: %+v", len(got.Assignments), got.Assignments)
			}
		})
	}
}

// Decide must not modify its arguments, so that equal input always gives the same decision.
func TestDecideDoesNotModifyItsInput(t *testing.T) {
	v := view(liveStores("z1", "z2", "z3"), group("s1", "s2"), group("s2", "s1"))
	v.editStore("s1", func(s *Store) {
		s.Unreachable = map[int]registration.UnreachableReplicas{0: {Epoch: 1, Peers: []string{"p2"}}}
	})
	previous := PlannerState{PartitionedUntil: map[StorePair]clock.Micros{}}
	first := fmt.Sprintf("%+v", Decide(testSettings, v, previous))
	if again := fmt.Sprintf("%+v", Decide(testSettings, v, previous)); again != first || len(previous.PartitionedUntil) != 0 {
		t.Errorf("first %s, then %s; the state passed in is now %v", first, again, previous)
	}
}

func TestCheckRetirement(t *testing.T) {
	for name, c := range map[string]struct {
		view    ClusterView
		refused bool
	}{
		"enough stores and zones remain": {view(liveStores("z1", "z2", "z3")), false},
		"too few stores":                 {view(liveStores("z1", "z2")), true},
		"too few zones":                  {view(liveStores("z1", "z2", "z2")), true},
		"another store is down":          {view(liveStores("z1", "z2", "z3")).editStore("s2", func(s *Store) { s.Live = false }), true},
		"another store is draining":      {view(liveStores("z1", "z2", "z3")).editStore("s2", func(s *Store) { s.Draining = true }), true},
	} {
		t.Run(name, func(t *testing.T) {
			err := CheckRetirement(testSettings, c.view, "s1")
			if (err != nil) != c.refused || c.refused && (!errs.Is(err, errs.Rejected) || errs.Of(err).Remedy == "") {
				t.Errorf("got error %v", err)
			}
		})
	}
}
