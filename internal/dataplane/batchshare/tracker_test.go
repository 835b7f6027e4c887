package batchshare

import (
	"maps"
	"slices"
	"testing"

	"tuliprudder/internal/clock"
	"tuliprudder/internal/dataplane/endpoints"
	"tuliprudder/internal/dataplane/scheduler"
	"tuliprudder/internal/machine"
	"tuliprudder/internal/membership"
)

func testStore(id, zone string) membership.Member {
	return membership.Member{ID: id, Kind: membership.Store, Zone: zone, Peer: "p" + id}
}

// The parts are proportional to the demands, ordered by the stores' zones, and do not overlap. A live
// store without a known demand counts as much as this one.
func TestAllotmentsFollowDemands(t *testing.T) {
	members := map[string]membership.Member{
		"a": testStore("a", "z2"), "b": testStore("b", "z1"), "c": testStore("c", "z3"), "d": testStore("d", "z2"),
		"e": {ID: "e", Kind: membership.Edge, Zone: "z1"}, "f": {ID: "f", Kind: membership.Store, Zone: "z1", Status: membership.Dead},
	}
	tracker := NewTracker("a")
	if got := tracker.Allotment(LocalDemand{}, nil, 1); got != (scheduler.BatchAllotment{Size: 1, Total: 1}) {
		t.Fatalf("no other store: %+v", got)
	}
	if got := tracker.Allotment(LocalDemand{Items: 40, Tokens: 400}, members, 1); got != (scheduler.BatchAllotment{Offset: 40, Size: 40, Total: 160, ItemTokens: 10}) {
		t.Fatalf("no demand received: %+v", got)
	}
	tracker.Receive(Demand{ID: "b", Items: 60, Tokens: 600}, 1)
	tracker.Receive(Demand{ID: "c", Items: 90, Tokens: 1700}, 1)
	tracker.Receive(Demand{ID: "d", Items: 10, Tokens: 100}, 1)
	if got := tracker.Allotment(LocalDemand{Items: 40, Tokens: 400}, members, 2); got != (scheduler.BatchAllotment{Offset: 60, Size: 40, Total: 200, ItemTokens: 14}) {
		t.Fatalf("want 40 of 200, after the 60 of an earlier zone: %+v", got)
	}
	tracker.Receive(Demand{ID: "b", Items: 0}, 3)
	if got := tracker.Allotment(LocalDemand{Items: 40, Tokens: 400}, members, 4); got != (scheduler.BatchAllotment{Offset: 0, Size: 40, Total: 140, ItemTokens: 15}) {
		t.Fatalf("want 40 of 140: %+v", got)
	}
	if got := tracker.Allotment(LocalDemand{Items: 40, Tokens: 400}, members, 4+demandTTL); got != (scheduler.BatchAllotment{Offset: 40, Size: 40, Total: 160, ItemTokens: 10}) {
		t.Fatalf("all received demands expired: %+v", got)
	}
}

// Other stores' running items are counted by server, until their demands expire.
func TestRunningItemsOfOtherStoresAreCounted(t *testing.T) {
	tracker := NewTracker("a")
	tracker.Receive(Demand{ID: "b", Items: 9, Running: []ServerItems{{endpoints.NameHash("s1"), 2}, {endpoints.NameHash("s2"), 1}}}, 1)
	tracker.Receive(Demand{ID: "c", Items: 9, Running: []ServerItems{{endpoints.NameHash("s1"), 3}, {endpoints.NameHash("unknown here"), 1}}}, 1)
	servers := []string{"s1", "s2", "s3"}
	if got := tracker.RunningForOtherStores(servers); !maps.Equal(got, map[string]int{"s1": 5, "s2": 1}) {
		t.Errorf("got counts %v", got)
	}
	tracker.Receive(Demand{ID: "c", Items: 9}, 2)
	if got := tracker.RunningForOtherStores(servers); !maps.Equal(got, map[string]int{"s1": 2, "s2": 1}) {
		t.Errorf("got counts %v", got)
	}
	tracker.removeStaleDemands(3 + demandTTL)
	if got := tracker.RunningForOtherStores(servers); len(got) > 0 {
		t.Errorf("got counts %v", got)
	}
}

// A store announces its demand to live stores only: after minInterval if it changed, otherwise after
// maxInterval.
func TestDemandsAreAnnouncedToStores(t *testing.T) {
	members := map[string]membership.Member{
		"a": {ID: "a", Kind: membership.Store, Peer: "pa"},
		"b": {ID: "b", Kind: membership.Store, Peer: "pb"},
		"c": {ID: "c", Kind: membership.Edge, Peer: "pc"},
		"d": {ID: "d", Kind: membership.Store, Peer: "pd", Status: membership.Dead},
	}
	tracker := NewTracker("a")
	start := 10 * clock.Second
	for _, test := range []struct {
		name      string
		own       int
		running   map[string]int
		at        clock.Micros
		announced bool
	}{
		{"the first demand", 5, nil, start, true},
		{"a change before minInterval", 6, nil, start + 1, false},
		{"a change", 6, nil, start + minInterval, true},
		{"no change", 6, nil, start + 2*minInterval, false},
		{"another server", 6, map[string]int{"s": 1}, start + 3*minInterval, true},
		{"no change again", 6, map[string]int{"s": 1}, start + 4*minInterval, false},
		{"no change for maxInterval", 6, map[string]int{"s": 1}, start + 3*minInterval + maxInterval, true},
	} {
		var sentTo []string
		tracker.Announce(LocalDemand{Items: test.own, Tokens: 100 * test.own, Running: test.running}, members, func(e machine.Effect) { sentTo = append(sentTo, e.(machine.Send).To) }, test.at)
		if test.announced && !slices.Equal(sentTo, []string{"pb"}) || !test.announced && len(sentTo) > 0 {
			t.Errorf("%s: sent to %q", test.name, sentTo)
		}
	}

}
